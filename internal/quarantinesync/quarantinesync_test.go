package quarantinesync_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	"almondreel.example/almondreel/internal/quarantinesync"
	standinkv "almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/pkg/quarantine"
)

func noPeers() []gateway.Peer { return nil }

// A gateway that no other gateway reaches must read a convicted fingerprint from the
// key-value service, even if it starts later and responses to the write were lost.
func TestQuarantineSurvivesLostAnswersAndLateStart(t *testing.T) {
	service := standinkv.New(standinkv.Options{})
	service.SetFaults(standinkv.Faults{LoseAnswersOneIn: 1})
	server := httptest.NewServer(service)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	start := func(name string) (*quarantinesync.Syncer, *quarantine.Table) {
		table := quarantine.NewTable()
		s := quarantinesync.New(name, table, quarantine.NewParts(table), noPeers, kv.NewClient(server.URL))
		go func() { ended <- s.Run(ctx) }()
		return s, table
	}
	first, _ := start("one")
	first.Broadcast(ctx, quarantine.Entry{Fingerprint: "poison", Convicted: true, ExpiresAt: time.Now().Add(time.Hour)})
	time.Sleep(50 * time.Millisecond)
	service.SetFaults(standinkv.Faults{})
	_, table := start("two")
	require.Eventually(t, func() bool {
		return table.Verdict("poison", time.Now()) == quarantine.Quarantined
	}, 20*time.Second, 20*time.Millisecond)
	cancel()
	<-ended
	<-ended
}
