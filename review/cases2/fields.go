//go:build review

package main

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

func init() { cases["fields"] = fields }

const (
	routeTimeout  = 2500 * time.Millisecond
	fieldRequests = 12
	shortFields   = 1100
)

//go:embed fields.json
var fieldsConfiguration []byte

// fields checks the rule CONFIG for single requests in calm whose headers are legal in size
// but made of very many short fields. Without trouble the same bytes are in longer fields.
func fields(s *site) bool {
	var item struct {
		Key   string
		Value json.RawMessage
	}
	must(json.Unmarshal(fieldsConfiguration, &item))
	s.store.PutText(item.Key, string(item.Value))
	s.startStore()
	address := s.ports.Next()
	server := standin.NewService("i-7f3a91c2", address, dataCentre)
	s.listen(address, server)
	server.Register(s.store)
	s.startGateways(2)

	var text strings.Builder
	for n := range shortFields {
		fmt.Fprintf(&text, "a%d:b\r\n", n)
	}
	if !s.trouble {
		bytes := text.Len()
		text.Reset()
		for n := 0; text.Len() < bytes; n++ {
			fmt.Fprintf(&text, "a%d:%s\r\n", n, strings.Repeat("b", 80))
		}
	}
	unanswered, late := 0, 0
	for n := range fieldRequests {
		status, took := s.sendFields(s.gateways[n%len(s.gateways)], text.String())
		if took >= routeTimeout {
			unanswered++
		}
		if took >= routeTimeout+500*time.Millisecond {
			late++
		}
		s.record.note("fields of %d bytes: status %d after %.1f s (0: none)", text.Len(), status, took.Seconds())
	}
	for _, r := range server.Runs() {
		s.record.add(r.At, "run", "%s", r.Attempt)
	}
	s.record.note("%d of %d requests had no answer at the route's timeout, %d of them none half a second later", unanswered, fieldRequests, late)
	return late >= 8 && 2*late > unanswered
}

// sendFields sends one request on a new connection. It waits for its answer for a second
// longer than the route's timeout.
func (s *site) sendFields(g *process, text string) (status int, took time.Duration) {
	attempt := s.newAttempt()
	c, err := net.DialTimeout("tcp", g.callers, time.Second)
	must(err)
	defer c.Close()
	began := time.Now()
	defer func() {
		took = time.Since(began)
		s.record.add(time.Now(), "answer", "%s status %d", attempt, status)
	}()
	s.record.add(began, "sent", "%s to %s, fields of %d bytes", attempt, g.name, len(text))
	_ = c.SetDeadline(began.Add(routeTimeout + time.Second))
	if _, err := fmt.Fprintf(c, "GET %sx HTTP/1.1\r\n%s%s\r\n", standin.OncePath, caller.HeaderLines(attempt, modelKey, "4000"), text); err != nil {
		return 0, 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		status = response.StatusCode
	}
	return status, 0
}
