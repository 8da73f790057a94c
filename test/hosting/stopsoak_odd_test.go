package hosting_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/pause"
	"almondreel.example/almondreel/platform/standin"
)

// writeOddEntries puts odd values into the store and takes them out, some of which name the
// address of one of the engines or of the plain service. It also turns the last engine's
// own entry odd and sound again. It leaves odd values behind.
func (s *plannedSoak) writeOddEntries(ctx context.Context, engines []*engine, r *rand.Rand) {
	unused := s.ports.Next()
	last := engines[len(engines)-1]
	keys := standin.OddKeys()
	odd := func(address string) string {
		all := standin.OddEntries(address)
		return all[r.IntN(len(all))]
	}
	for ctx.Err() == nil {
		addresses := []string{unused, engines[r.IntN(len(engines))].route.Address(), s.ledger.Address()}
		key := keys[r.IntN(len(keys))]
		switch r.IntN(8) {
		case 0:
			s.store.Remove(key)
		case 1:
			s.store.PutText(last.Key(), odd(last.route.Address()))
			pause.For(ctx, time.Duration(r.IntN(600))*time.Millisecond)
			last.Register(s.store, false)
		default:
			s.store.PutText(key, odd(addresses[r.IntN(len(addresses))]))
		}
		pause.For(ctx, time.Duration(r.IntN(200))*time.Millisecond)
	}
	last.Register(s.store, false)
}

// checkServingBesideOddEntries requires that all gateways serve while entries of another
// writer name the address of each engine, as if it had started much later.
func (s *plannedSoak) checkServingBesideOddEntries() {
	s.t.Helper()
	for n, e := range s.engines {
		e.RegisterLater(s.store, fmt.Sprint("later-", n))
	}
	time.Sleep(exchangeTime)
	for n := range s.gateways {
		s.waitForStatus(n, http.StatusOK, startTimeout)
	}
	for _, e := range s.engines {
		require.Empty(s.t, e.WrongPieceLoads())
	}
}
