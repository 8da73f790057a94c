package attempt_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/atmostonce"
	"almondreel.example/almondreel/internal/attempt"
)

// A status that is none of an answer must not reach a caller: net/http panics for some.
func TestCallWithStatusOutOfRangeIsNotAnswered(t *testing.T) {
	for _, status := range []string{"200", "-1", "0", "99", "101", "199", "600", "1000", "1e2", "9223372036854775808", ""} {
		m := startAgent(t, func(conn net.Conn) {
			id, err := readDispatch(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.WriteString(conn, strings.Replace(callAnswer(id), agent.HeaderStatus+": 200", agent.HeaderStatus+": "+status, 1))
			}
		})
		client := atmostonce.NewClient()
		result := runCall(client, m)
		client.Close()
		_, completed := result.(attempt.Completed)
		require.Equal(t, status == "200", completed, "%q: %#v", status, result)
	}
}

// An agent's answer with a field whose name contains a blank or a control byte is none:
// the field may frame the answer. Nor does it refuse the request.
func TestAnswerOfAgentWithInvalidFieldNameIsNone(t *testing.T) {
	for _, line := range []string{"X Field: v", "X-Field : v", " X-Field: v", "\tX-Field: v", "X-\x01Field: v", "Content-Length : 2", " Content-Length: 2"} {
		for name, answer := range map[string]func(id string) string{"answer": callAnswer, "refusal": refusalAnswer} {
			m := startAgent(t, func(conn net.Conn) {
				id, err := readDispatch(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.WriteString(conn, strings.Replace(answer(id), "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1))
				}
			})
			client := atmostonce.NewClient()
			result := runCall(client, m)
			client.Close()
			require.IsType(t, attempt.Interrupted{}, result, "%s: %q", name, line)
		}
	}
}
