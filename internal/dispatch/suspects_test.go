package dispatch_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/agent"
	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/dispatch"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/membership"
	"almondreel.example/almondreel/internal/outcome"
	"almondreel.example/almondreel/internal/process"
	"almondreel.example/almondreel/internal/route"
	"almondreel.example/almondreel/pkg/quarantine"
)

// recordingAgents are fake agents that complete every request and record which of them
// answered.
type recordingAgents struct {
	members  []gateway.Member
	servers  map[string]*httptest.Server
	answered []string
}

func newRecordingAgents(t *testing.T) *recordingAgents {
	t.Helper()
	const agents = 4
	a := &recordingAgents{servers: map[string]*httptest.Server{}}
	ports, err := process.Reserve(agents) // the port of a closed server stays free
	require.NoError(t, err)
	t.Cleanup(ports.Release)
	for i := range agents {
		name := fmt.Sprint("assistant-", i)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a.answered = append(a.answered, name)
			completeAnswer(w, r, answerWriter{w: w, attempt: r.Header.Get(agent.HeaderAttempt)})
		}))
		require.NoError(t, server.Listener.Close())
		server.Listener, err = ports.Listen()
		require.NoError(t, err)
		server.Start()
		t.Cleanup(server.Close)
		a.servers[name] = server
		a.members = append(a.members, gateway.Member{
			Name: name, Address: server.Listener.Addr().String(), Service: "assistant", Digest: digest, Slots: 4, Sequence: 1, Started: 1,
		})
	}
	return a
}

// first returns the name that ranks first for a key.
func first(members []gateway.Member, key string) string {
	ranked := append([]gateway.Member(nil), members...)
	route.Rank(ranked, key)
	return ranked[0].Name
}

// A request crashed the first backend server. One gateway sends it again after the crash;
// another one, which found that server unreachable, has a repeat of it. Both must choose
// the same server for it, or it crashes two more at once.
func TestGatewaysThatFindOtherAgentsUnreachableSendSuspectsToTheSame(t *testing.T) {
	a := newRecordingAgents(t)
	request := suspectRequest(a.members)
	crashed := first(a.members, request.Affinity())
	a.servers[crashed].Close()
	others := make([]gateway.Member, 0, len(a.members))
	for _, m := range a.members {
		if m.Name != crashed {
			others = append(others, m)
		}
	}
	table := quarantine.NewTable()
	for range 2 {
		require.Equal(t, quarantine.Suspect, table.RecordCrash(request.Fingerprint, crashed, false, time.Now().Add(time.Minute)))
		members := membership.NewTable()
		for _, m := range a.members {
			members.RecordHeartbeat(m, time.Now())
		}
		d := dispatch.New(dispatch.Options{Gateway: "g", Desired: placedState(t), Members: members, Quarantine: table, Claims: grantAllClaims{}})
		_, o := d.Stream(t.Context(), request, &tokenRecorder{})
		require.IsType(t, outcome.Answered{}, o)
	}
	require.Equal(t, []string{first(others, request.Fingerprint), first(others, request.Fingerprint)}, a.answered)
}

// suspectRequest returns a request for which the second server by its prompt is not the
// first of the others by its fingerprint.
func suspectRequest(members []gateway.Member) attempt.Request {
	request := completionRequest()
	ranked := append([]gateway.Member(nil), members...)
	route.Rank(ranked, request.Affinity())
	for n := 0; ; n++ {
		request.Fingerprint = fmt.Sprint("f", n)
		if first(ranked[1:], request.Fingerprint) != ranked[1].Name {
			return request
		}
	}
}
