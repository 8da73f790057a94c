package suspicion_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/kv"
	kvstandin "almondreel.example/almondreel/internal/standin/kv"
	"almondreel.example/almondreel/internal/suspicion"
	"almondreel.example/almondreel/pkg/quarantine"
)

func none() []gateway.Peer { return nil }

// A gateway that no other reaches learns of a conviction from the key-value
// service, also when it starts later and when answers were lost.
func TestConvictionIsKept(t *testing.T) {
	service := kvstandin.New(kvstandin.Options{})
	service.SetFaults(kvstandin.Faults{LoseAnswersOneIn: 1})
	server := httptest.NewServer(service)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	begin := func(name string) (*suspicion.Share, *quarantine.Table) {
		table := quarantine.NewTable()
		s := suspicion.New(name, table, none, kv.NewClient(server.URL))
		go func() { ended <- s.Run(ctx) }()
		return s, table
	}
	one, _ := begin("one")
	one.Tell(ctx, quarantine.Entry{Fingerprint: "poison", Convicted: true, ExpiresAt: time.Now().Add(time.Hour)})
	time.Sleep(50 * time.Millisecond)
	service.SetFaults(kvstandin.Faults{})
	_, table := begin("two")
	require.Eventually(t, func() bool {
		return table.Judge("poison", time.Now()) == quarantine.Convicted
	}, 20*time.Second, 20*time.Millisecond)
	cancel()
	<-ended
	<-ended
}
