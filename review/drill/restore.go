//go:build review

package main

import (
	"net/http"
	"time"

	"almondreel.example/almondreel/platform/standin"
)

// restoreCase lets the store come back from a copy some seconds old, and changes the
// configuration once the store has been sound for longer than the stable window.
func restoreCase(r *record, trouble bool) (verdict, error) {
	const (
		copyAge = 6 * time.Second // of the copy, when the store is away
		away    = time.Second
		watched = 25 * time.Second
	)
	s, err := startSite(r, size{3, 3}, standin.NewOrigin())
	if err != nil {
		return verdict{}, err
	}
	defer s.stop()
	var flows []flow
	for n := range s.gateways {
		for _, key := range []string{"kept", "withdrawn", "added"} {
			flows = append(flows, flow{n, standin.StreamPath, key, 200 * time.Millisecond}, flow{n, standin.OncePath, key, 400 * time.Millisecond})
		}
	}
	t := s.startTraffic(flows...)
	time.Sleep(2 * time.Second)
	c := s.store.copy()
	time.Sleep(copyAge)
	if trouble {
		s.store.leave()
		r.say("the store is away")
		time.Sleep(away)
		before, after := s.store.restore(c)
		r.say("the store is back from its copy: revision %d was %d before", after, before)
	}
	time.Sleep(stableWindow + time.Second)
	revision := s.configure("kept", "added")
	confirmedAt := time.Now()
	r.say("configuration %d is confirmed at revision %d: key \"withdrawn\" is removed, key \"added\" is new", s.configVersion, revision)
	time.Sleep(configApply + watched)
	all := t.stop()
	from, until := confirmedAt.Add(configApply), time.Now()
	ran, withdrawn := count(all, from, until, func(o sent) bool { return o.key == "withdrawn" && o.Status == http.StatusOK })
	refused, _ := count(all, from, until, func(o sent) bool { return o.key == "added" && o.Status == http.StatusUnauthorized })
	served, _ := count(all, from, until, func(o sent) bool { return o.key == "kept" && o.Status == http.StatusOK })
	r.say("of %d requests sent over 2 s after the confirmation: %d with the removed key ran, %d with the new key got 401, %d with the other key were served", withdrawn, ran, refused, served)
	if served == 0 {
		return verdict{}, errNotDisrupted
	}
	late := confirmedAt.Add(configApply + 5*time.Second) // with the stretch for an unstable store, which does not apply here
	lateRan, _ := count(all, late, until, func(o sent) bool { return o.key == "withdrawn" && o.Status == http.StatusOK })
	lateRefused, _ := count(all, late, until, func(o sent) bool { return o.key == "added" && o.Status == http.StatusUnauthorized })
	r.say("of those sent over 7 s after it: %d and %d", lateRan, lateRefused)
	if ran+refused > 0 {
		return verdict{true, "CONFIG: requests were handled as only the older version allows"}, nil
	}
	return verdict{false, "no request was handled as only the older version allows"}, nil
}
