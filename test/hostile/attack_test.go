package hostile_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"time"

	"almondreel.example/almondreel/internal/control"
)

// The load of one case: the number of clients and what each of them sends.
const (
	bodyBytes  = 4 << 20   // max_body_bytes of section 6, and MaxBodyBytes of the gateway's settings
	overBytes  = 32 << 20  // a body far over the limit
	fieldBytes = 15 << 10  // many short fields, within max_header_bytes of section 6
	pieceBytes = 2 << 10   // of a body that is sent in small pieces
	pipelined  = 20_000    // requests, or calls, on one connection
	manyCalls  = 50_000    // net/rpc calls on one connection
	hugeLength = 1 << 40   // announced length of a net/rpc message
	bodies     = 64        // clients that send bodies: 256 MB of legal bodies
	heavy      = 16        // clients that send without end
	crowd      = 2 * files // clients that only hold a connection
)

// An attack is what hostile clients send to a target.
type attack struct {
	name    string
	clients int
	send    func(c net.Conn, t target) error // until done or an error; the connection is then held open
}

// httpAttacks are the loads of section 6 over HTTP, by its list.
var httpAttacks = []attack{
	{"whole bodies", bodies, func(c net.Conn, t target) error { return sendBody(c, t, bodyBytes, bodyBytes, bodyBytes) }},
	{"bodies in small pieces", bodies, func(c net.Conn, t target) error { return sendBody(c, t, bodyBytes, bodyBytes, pieceBytes) }},
	{"bodies in chunks", bodies, func(c net.Conn, t target) error { return sendChunks(c, t, bodyBytes, "0\r\n\r\n") }},
	{"bodies without their last byte", bodies, func(c net.Conn, t target) error { return sendBody(c, t, bodyBytes, bodyBytes-1, bodyBytes) }},
	{"chunked bodies without their end", bodies, func(c net.Conn, t target) error { return sendChunks(c, t, bodyBytes-1, "") }},
	{"long bodies with a length", heavy, func(c net.Conn, t target) error { return sendBody(c, t, overBytes, overBytes, bodyBytes) }},
	{"long bodies without a length", heavy, func(c net.Conn, t target) error { return sendChunks(c, t, overBytes, "0\r\n\r\n") }},
	{"short fields in the header", crowd, func(c net.Conn, t target) error {
		// The last line is left out, so that the fields stay held.
		return write(c, t.head(t.path, shortFields(":", "\r\n")))
	}},
	{"short fields in the trailer", bodies, func(c net.Conn, t target) error {
		return sendChunks(c, t, 1, "0\r\n"+shortFields(":", "\r\n")+"\r\n")
	}},
	{"short fields in the query", crowd, func(c net.Conn, t target) error {
		return write(c, t.head(t.path+"?"+shortFields("=", "&"), "Content-Length: 1\r\n")+"\r\n")
	}},
	{"short fields in the body", bodies, func(c net.Conn, t target) error {
		text := strings.Repeat(`"a":1,`, bodyBytes/len(`"a":1,`)-1)
		return write(c, t.head(t.path, fmt.Sprintf("Content-Length: %d\r\n", len(text)+7))+"\r\n{"+text+`"a":1}`)
	}},
	{"pipelined requests", heavy, func(c net.Conn, t target) error {
		return write(c, strings.Repeat(t.head(t.path, "Content-Length: 0\r\n")+"\r\n", pipelined))
	}},
	{"headers that stop half-way", crowd, func(c net.Conn, t target) error { return write(c, t.head(t.path, "X-A: b")) }},
	{"bodies that stop half-way", crowd, func(c net.Conn, t target) error { return sendBody(c, t, bodyBytes, 100, 100) }},
	{"slow bodies", crowd, func(c net.Conn, t target) error {
		if err := sendBody(c, t, bodyBytes, 1, 1); err != nil {
			return err
		}
		for {
			if err := write(c, "a"); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"answers that are read slowly", crowd, func(c net.Conn, t target) error {
		if err := write(c, t.request()); err != nil {
			return err
		}
		for one := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
			if _, err := c.Read(one); err != nil {
				return err
			}
		}
	}},
}

// rpcAttacks are the loads of section 6 over net/rpc.
var rpcAttacks = []attack{
	{"whole messages", bodies, func(c net.Conn, t target) error { return sendMessage(c, bodyBytes, bodyBytes) }},
	{"messages without their last byte", bodies, func(c net.Conn, t target) error { return sendMessage(c, bodyBytes, bodyBytes-1) }},
	{"long messages", heavy, func(c net.Conn, t target) error { return sendMessage(c, hugeLength, overBytes) }},
	{"calls whose answers are not read", heavy, sendCalls},
	{"connections that stop half-way", crowd, func(c net.Conn, t target) error { return sendMessage(c, 100, 1) }},
}

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// sendBody sends a request with a body of length bytes, of which it sends the first sent,
// in pieces.
func sendBody(c net.Conn, t target, length, sent, piece int) error {
	if err := write(c, t.head(t.path, fmt.Sprintf("Content-Length: %d\r\n", length))+"\r\n"); err != nil {
		return err
	}
	for rest := sent; rest > 0; rest -= piece {
		if _, err := c.Write(letters[:min(piece, rest)]); err != nil {
			return err
		}
	}
	return nil
}

var letters = bytes.Repeat([]byte("a"), bodyBytes)

// sendChunks sends a request with a chunked body of length bytes, and then end.
func sendChunks(c net.Conn, t target, length int, end string) error {
	if err := write(c, t.head(t.path, "Transfer-Encoding: chunked\r\n")+"\r\n"); err != nil {
		return err
	}
	for rest := length; rest > 0; rest -= pieceBytes {
		piece := letters[:min(pieceBytes, rest)]
		if err := write(c, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)); err != nil {
			return err
		}
	}
	return write(c, end)
}

// shortFields returns fieldBytes of fields with different names and values of one byte.
func shortFields(between, after string) string {
	var text strings.Builder
	for n := 0; text.Len() < fieldBytes; n++ {
		fmt.Fprintf(&text, "%c%c%sb%s", 'a'+n%26, 'a'+n/26%26, between, after)
	}
	return text.String()
}

// connectRPC asks for the net/rpc service on a connection.
func connectRPC(c net.Conn) error {
	if err := write(c, "CONNECT "+control.Path+" HTTP/1.0\r\n\r\n"); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len("HTTP/1.0 200 Connected to Go RPC\n\n")))
	return err
}

// sendMessage sends a net/rpc message that announces length bytes, of which it sends the
// first sent.
func sendMessage(c net.Conn, length uint64, sent int) error {
	if err := connectRPC(c); err != nil {
		return err
	}
	head := []byte{byte(length)}
	if length > 0x7f {
		head = []byte{0xf8, 0, 0, byte(length >> 40), byte(length >> 32), byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	for rest := sent; rest > 0; rest -= bodyBytes {
		if _, err := c.Write(letters[:min(bodyBytes, rest)]); err != nil {
			return err
		}
	}
	return nil
}

// sendCalls sends calls and reads no answer.
func sendCalls(c net.Conn, t target) error {
	if err := connectRPC(c); err != nil {
		return err
	}
	encoder := gob.NewEncoder(c)
	for n := range uint64(manyCalls) {
		if err := encoder.Encode(rpc.Request{ServiceMethod: t.method, Seq: n}); err != nil {
			return err
		}
		if err := encoder.Encode(t.call); err != nil {
			return err
		}
	}
	return nil
}

const (
	// sendTimeout bounds the sending of one case. A process that stops reading, or closes
	// the connection, does no harm.
	sendTimeout = 2 * time.Second
	// holdTime is the least time for which the connections stay open after that.
	holdTime = 300 * time.Millisecond
)

// run has the clients attack a target, calls held while their connections are open, and
// closes them.
func (a attack) run(t target, held func()) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	ended := make(chan net.Conn, a.clients)
	for range a.clients {
		go func() {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.address)
			if err == nil {
				_ = c.SetDeadline(deadline)
				_ = a.send(c, t) // an attack may fail
			}
			ended <- c
		}()
	}
	var open []net.Conn
	for range a.clients {
		if c := <-ended; c != nil {
			open = append(open, c)
		}
	}
	time.Sleep(holdTime)
	held()
	for _, c := range open {
		_ = c.Close()
	}
}
