package hosting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against agents that start before any gateway and report the weights of their
// engines as incomplete at first: a gateway that had begun to serve refused all requests
// until their next reports.
func TestFirstReportOfAgentTakesNoRequestsFromItsEngine(t *testing.T) {
	s := startSite(t, options{gateways: 1, engines: 1, firstVersion: 1})
	s.waitForVersion(0, 1, 10*time.Second)
	s.engines[0].SetEventMS(1)
	gateway, agent := s.gateways[0], s.engines[0].agent
	for round := range 5 {
		gateway.kill()
		agent.kill()
		agent.start(t)
		time.Sleep(300 * time.Millisecond) // it has read its engine's state
		gateway.start(t)
		s.waitForStatus(0, 200, 10*time.Second)
		for began := time.Now(); time.Since(began) < 700*time.Millisecond; {
			o := s.send(0, apiKey)
			require.Equal(t, 200, o.Status, "round %d, %v after the first answer", round, time.Since(began))
		}
	}
}
