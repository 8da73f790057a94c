package peerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/peerconn"
)

// testTimeout bounds each exchange of messages in the tests.
const testTimeout = 5 * time.Second

// body contains what would be invalid in a head.
const body = "a\r\n\r\nHTTP/1.1 000 Odd\r\n b : c\r\n\r\n"

// validHeads are heads of responses with the body above, without the fields that frame it.
var validHeads = map[string]string{
	"usual":                "HTTP/1.1 200 OK\r\nServer: s\r\n",
	"no field":             "HTTP/1.1 200 OK\r\n",
	"no reason":            "HTTP/1.1 404\r\n",
	"empty reason":         "HTTP/1.1 500 \r\n",
	"line feeds only":      "HTTP/1.1 200 OK\nServer: s\n",
	"informational before": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\nHTTP/1.1 200 OK\r\n",
	"odd values":           "HTTP/1.1 200 OK\r\nA:\r\nB: a : b \tc\r\nC:c\r\nD: \x80\xff\r\n",
	"odd names":            "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: a\r\n",
	"long lines":           "HTTP/1.1 200 " + strings.Repeat("long ", 99) + "\r\n" + strings.Repeat("a", 999) + ": " + strings.Repeat("b c ", 999) + "\r\n",
}

// serve answers each request on the connections of a listener with the next answer, and
// closes them after the last one.
func serve(t *testing.T, answers ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-ended })
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answerAll(c, answers)
		}
	}()
	return l.Addr().String()
}

func answerAll(c net.Conn, answers []string) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(c)
	for _, answer := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// get sends a request and returns the body of the response.
func get(c *http.Client, url string) (string, error) {
	response, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: peerconn.NewTransport(&http.Transport{}), Timeout: testTimeout}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func TestValidResponsesAreReadUnchanged(t *testing.T) {
	for name, head := range validHeads {
		for framing, rest := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
			"close":  "\r\n" + body,
		} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				answers := []string{head + rest, head + rest}
				if framing == "close" {
					answers = answers[:1]
				}
				url, c := "http://"+serve(t, answers...), newClient(t)
				for range 2 {
					text, err := get(c, url)
					require.NoError(t, err)
					require.Equal(t, body, text)
				}
				bytes, err := io.ReadAll(peerconn.NewReader(iotest.OneByteReader(strings.NewReader(head + rest))))
				require.NoError(t, err)
				require.Equal(t, head+rest, string(bytes))
			})
		}
	}
}

// A response that begins before the request has been sent is followed by no other head.
func TestBodyOfEarlyResponseIsNotTakenForHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		reader := bufio.NewReader(c)
		r, err := http.ReadRequest(reader)
		if err == nil {
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		}
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err == nil {
			_, err = io.WriteString(c, body)
		}
		served <- err
	}()
	reading, writing := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), reading)
	require.NoError(t, err)
	sent := make(chan error, 1)
	response, err := func() (*http.Response, error) {
		go func() {
			time.Sleep(20 * time.Millisecond) // the head of the response arrives before the rest of the request
			_, err := io.WriteString(writing, "the request's body")
			_ = writing.Close()
			sent <- err
		}()
		return newClient(t).Do(request)
	}()
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(text))
	require.NoError(t, <-sent)
	require.NoError(t, <-served)
}

const valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// The head of every response on a connection is checked, not only that of the first.
func TestLaterResponseOnConnectionIsChecked(t *testing.T) {
	for _, invalid := range invalidAnswers {
		url, c := "http://"+serve(t, valid, valid, invalid), newClient(t)
		for range 2 {
			text, err := get(c, url)
			require.NoError(t, err)
			require.Equal(t, "ok", text)
		}
		_, err := get(c, url)
		require.ErrorContains(t, err, "invalid response head", "%q", invalid)
		bytes, err := io.ReadAll(peerconn.NewReader(iotest.OneByteReader(strings.NewReader(invalid))))
		require.Error(t, err, "%q", invalid)
		require.True(t, strings.HasPrefix(invalid, string(bytes)))
		require.NotContains(t, string(bytes), "\r\n\r\nok")
	}
}

var invalidAnswers = []string{
	"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Field: v\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Field : v\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X-Field: v\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n\tX-Field: v\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\nContent-Length: 2\n X-Field: v\n\nok",
	"HTTP/1.1 103 Early Hints\r\nX Field: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("long-", 999) + " : v\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-\x01Field: v\r\n\r\nok",
}

// A trailer whose name contains a blank or a control byte makes the body incomplete, like
// other trailers that are invalid.
func TestInvalidTrailerNameMakesTheBodyIncomplete(t *testing.T) {
	for trailer, complete := range map[string]bool{
		"": true, "X-Sum: 1 2\r\n": true, "X Sum: 1\r\n": false, "X-Sum : 1\r\n": false, "X-\x01Sum: 1\r\n": false, " X-Sum: 1\r\n": false,
	} {
		answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n"
		url, c := "http://"+serve(t, answer), newClient(t)
		text, err := get(c, url)
		require.Equal(t, "ok", text)
		require.Equal(t, complete, err == nil, "%q: %v", trailer, err)
	}
}

// Responses over TLS are checked like others.
func TestResponseOverTLSIsChecked(t *testing.T) {
	answer := valid
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}))
	server.StartTLS()
	defer server.Close()
	config := server.Client().Transport.(*http.Transport).TLSClientConfig
	c := &http.Client{Transport: peerconn.NewTransport(&http.Transport{TLSClientConfig: config})}
	text, err := get(c, server.URL)
	require.NoError(t, err)
	require.Equal(t, "ok", text)
	for _, answer = range invalidAnswers {
		_, err = get(c, server.URL)
		require.ErrorContains(t, err, "invalid response head")
	}
	_, err = get(newClient(t), server.URL)
	require.ErrorContains(t, err, "certificate", "the peer's certificate is verified")
}

// net/http reads through the reader only responses with a valid head, and these as without it.
func FuzzReader(f *testing.F) {
	for _, answer := range append(invalidAnswers, valid) {
		f.Add(answer)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		response, err := http.ReadResponse(bufio.NewReader(peerconn.NewReader(strings.NewReader(answer))), nil)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, response.StatusCode, 100)
		require.LessOrEqual(t, response.StatusCode, 599)
		for name := range response.Header {
			require.NotContains(t, name, " ")
		}
		head, _, _ := strings.Cut(strings.ReplaceAll(answer, "\r\n", "\n"), "\n\n")
		require.NotContains(t, head, "\n ")
		require.NotContains(t, head, "\n\t")
		plain, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
		require.NoError(t, err)
		require.Equal(t, plain.Header, response.Header)
	})
}
