//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["drill"] = drill }

const (
	northKey = "jnbanfqasnmgkcuyj8pj"
	southKey = "w3kd0aq8s7plmz61hvte"
)

// drill checks the rule CONFIG after a drill of the store: the operator has changed the
// configuration three times, a second apart, when the store is away for a second and comes
// back from a copy that is some seconds old. The operator writes its newest configuration
// again; its next one takes a key away and moves a route.
func drill(s *site) bool {
	routes := []route{
		{"post", "/post/", "non_idempotent", "ledger"},
		{"lookup", "/lookup/", "idempotent", "ledger"},
	}
	keys := map[string]string{"north": northKey, "south": southKey}
	s.startStore()
	for _, id := range []string{"i-7f3a91c2", "i-04be77d1"} {
		s.addServer(id, "ledger")
	}
	s.addServer("i-9ab2c0f4", "archive")
	routes = append(routes, route{"archive", "/archive/", "idempotent", "archive"})
	s.configure(routes, keys)
	s.startGateways(2)
	s.record.note("gateways are ready; store revision %d", s.store.currentRevision())

	stop := make(chan struct{})
	var all []sent
	var mu sync.Mutex
	for _, g := range s.gateways {
		for tenant, key := range keys {
			s.traffic.Add(1)
			go func() {
				defer s.traffic.Done()
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					method, path := http.MethodPost, "/post/2f"
					if n%2 == 1 {
						method, path = http.MethodGet, "/lookup/2f"
					}
					out := s.send(client, g, tenant, key, method, path)
					mu.Lock()
					all = append(all, out)
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)

	copyOf := time.Now()
	time.Sleep(300 * time.Millisecond)
	for n := range 3 {
		routes = append(routes, route{"more" + string(rune('a'+n)), "/more" + string(rune('a'+n)) + "/", "idempotent", "ledger"})
		version, _, revision := s.configure(routes, keys)
		s.record.note("configuration %d confirmed at revision %d", version, revision)
		time.Sleep(time.Second)
	}
	if s.trouble {
		s.store.goAway()
		s.record.note("the store is away")
		time.Sleep(time.Second)
		s.store.comeBack(copyOf)
		s.record.note("the store is back from a copy %.1f s old at revision %d, in a new era", time.Since(copyOf).Seconds(), s.store.currentRevision())
		revision := s.store.put("op/config", s.configuration(routes, keys))
		s.record.note("the operator writes configuration %d again: revision %d", s.version, revision)
	} else {
		time.Sleep(time.Second)
	}
	backAt := time.Now()
	time.Sleep(stableWindow + time.Second)

	delete(keys, "south")
	routes[1].service = "archive"
	version, confirmedAt, revision := s.configure(routes, keys)
	s.record.note("configuration %d takes the key of south away and moves /lookup/ to archive: confirmed at revision %d", version, revision)
	from := confirmedAt.Add(configApply + outerBound)
	if settled := backAt.Add(2 * stableWindow); settled.After(from) {
		from = settled
	}
	time.Sleep(time.Until(from) + 8*time.Second)
	close(stop)
	s.traffic.Wait()

	ran := map[string]run{}
	for _, b := range s.servers {
		for _, r := range b.allRuns() {
			ran[r.attempt] = r
		}
	}
	judged, keyBroken, routeBroken, refused := 0, 0, 0, 0
	for _, request := range all {
		if request.at.Before(from) {
			continue
		}
		judged++
		r, hasRun := ran[request.attempt]
		switch {
		case hasRun && request.tenant == "south":
			keyBroken++
		case hasRun && request.path == "/lookup/2f" && r.service != "archive":
			routeBroken++
		case !hasRun:
			refused++
		}
	}
	s.record.note("%d requests were sent over %.0f s after the confirmation: %d ran with the key that was taken away, %d ran at the service that the route had left, %d did not run",
		judged, (configApply + outerBound).Seconds(), keyBroken, routeBroken, refused)
	return keyBroken+routeBroken > 0
}
