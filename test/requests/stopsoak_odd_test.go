package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"almondreel.example/almondreel/internal/instances"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/ledger"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/internal/placement"
	"almondreel.example/almondreel/internal/quarantinesync"
)

const (
	// oddInstanceCount is the number of odd entries in the platform's list.
	oddInstanceCount = 4
	// oddDocumentTime is the longest time for which a document is odd.
	oddDocumentTime = 400 * time.Millisecond
)

// nested returns a deeply nested JSON value. The platform's list holds no deeper one.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddInstances returns odd entries of the platform's list, some of which name the address
// of a sound agent.
func oddInstances(address string) []string {
	entry := func(change ...string) string {
		sound := `{"Name":"odd","Role":"Agent","Region":"delta","DataCentre":"delta-1","Address":"` + address + `","State":"Live"}`
		return strings.NewReplacer(change...).Replace(sound)
	}
	return []string{
		entry(), entry(`"Agent"`, `"Gateway"`), entry(`"Agent"`, `"Odd"`), entry(`"Agent"`, `7`), entry(`"Live"`, `"Odd"`), entry(`"Live"`, `1e400`),
		entry(`"odd"`, `null`), entry(`"odd"`, `""`), entry(`"odd"`, `{}`), entry(`"odd"`, nested(9000)), entry(`"delta"`, `1e300`), entry(`"delta-1"`, `"nowhere"`),
		entry(`127.0.0.1:`, `127.0.0.1:9`), entry(`127.0.0.1:`, `127.0.0.1:-`), entry(`127.0.0.1:`, `127.0.0.1:http`), entry(`127.0.0.1:`, `::`),
		entry(`"Address"`, `"Address":5,"A"`), entry(`"Address"`, `"Address":"","A"`), entry(`"Name"`, `"More":`+nested(9000)+`,"Name"`),
		`null`, `[]`, `7`, `1e400`, `"odd"`, `{}`, nested(9000),
	}
}

// listOddInstances puts odd entries into the platform's list and takes them out. It leaves
// some behind.
func (s *plannedSoak) listOddInstances(ctx context.Context) {
	r := s.newRand(1002)
	for ctx.Err() == nil {
		odd := oddInstances(s.Backends[r.IntN(len(s.Backends))].AgentAddress)
		s.listMu.Lock()
		s.odd = append(s.odd, json.RawMessage(odd[r.IntN(len(odd))]))
		s.odd = s.odd[max(0, len(s.odd)-oddInstanceCount):]
		s.listMu.Unlock()
		s.list("odd", instances.Live)
		pause.For(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
	}
}

// writeOddDocuments replaces documents in the key-value service by odd ones for a short
// time, and writes odd documents that nobody asks for.
func (s *plannedSoak) writeOddDocuments(ctx context.Context) {
	r := s.newRand(1003)
	client := kv.NewClient("http://" + s.Platform.KeyValue)
	// None is a whole document that says something else.
	values := []string{"[]", "7", "1e400", `"odd"`, "{", "\xff\xfe", nested(9000), nested(20000), `{"Classes":7,"Assignments":7}`,
		`{"Classes":[{"Target":{"Replicas":1e300}}],"Assignments":[{"Class":1e300}]}`, `{"Classes":` + nested(9000) + `,"Assignments":` + nested(9000) + `}`}
	for n := 0; ctx.Err() == nil; n++ {
		value := []byte(values[r.IntN(len(values))])
		keys := []string{quarantinesync.Key, placement.Key, operator.ConfigurationKey, fmt.Sprint(ledger.Prefix, "odd/", n), fmt.Sprint("odd/", n)}
		key := keys[r.IntN(len(keys))]
		before, err := client.Get(ctx, key)
		if err != nil {
			s.t.Logf("odd document %s: %v", key, err)
			continue
		}
		odd, err := client.Swap(ctx, kv.Swap{Key: key, Value: value, Revision: before.Revision})
		if err == nil && before.Revision > 0 {
			pause.For(ctx, time.Duration(r.Int64N(int64(oddDocumentTime))))
			_, err = client.Swap(context.WithoutCancel(ctx), kv.Swap{Key: key, Value: before.Value, Revision: odd.Revision})
		}
		if err != nil {
			s.t.Logf("odd document %s: %v", key, err) // as if another change came first
		}
		pause.For(ctx, time.Duration(r.IntN(1000))*time.Millisecond)
	}
}
