package hosted

import (
	"slices"
	"time"

	"almondreel.example/almondreel/internal/coldstart"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/site"
)

// coldDeadlines holds until when the listed servers are cold, by store key. An entry states
// the remaining time, which counts from when this process first read that entry.
type coldDeadlines map[string]coldDeadline

type coldDeadline struct {
	entry      site.Server // as it was read; zero after its deletion
	until      time.Time
	repeatedBy time.Time // until then the same entry, read again, is a repetition
}

// record applies an entry. One that is written again unchanged, within the remaining time
// that it states, is a repetition and does not start that time again.
func (d coldDeadlines) record(key string, entry site.Server, now time.Time) {
	if entry.ColdRemainingMS <= 0 {
		delete(d, key)
		return
	}
	end := now.Add(time.Duration(entry.ColdRemainingMS * float64(time.Millisecond)))
	known, ok := d[key]
	if ok && known.entry == entry && now.Before(known.repeatedBy) {
		known.repeatedBy = end
		d[key] = known
		return
	}
	d[key] = coldDeadline{entry: entry, until: end, repeatedBy: end}
}

// remove applies the deletion of an entry. The server may still be used for a time.
func (d coldDeadlines) remove(key string) {
	if known, ok := d[key]; ok {
		d[key] = coldDeadline{until: known.until}
	}
}

// prune removes deadlines of deleted entries that have passed.
func (d coldDeadlines) prune(now time.Time) {
	for key, known := range d {
		if known.entry.ID == "" && !now.Before(known.until) {
			delete(d, key)
		}
	}
}

// coldUntil returns the time until which a listed server is cold; zero: it is not.
func (sv *siteView) coldUntil(key string) time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.cold[key].until
}

// logImplausible logs fields with implausible values, once until they change, and reports
// whether it did. Callers hold mu.
func (sv *siteView) logImplausible(key, fields string) bool {
	if sv.implausible[key] == fields {
		return false
	}
	if fields == "" {
		delete(sv.implausible, key)
		return false
	}
	sv.implausible[key] = fields
	event.Log(event.FieldImplausible, "Key", key, "Fields", fields)
	return true
}

// logCold logs the servers that became cold, or are no longer cold, since the last call, and
// updates the metrics.
func (t *serverTable) logCold(now time.Time) {
	if !t.limitsCold {
		return
	}
	services, counts := t.pools.ColdServers(now)
	cold := map[string]coldstart.ColdEngine{}
	for service, servers := range services {
		for _, s := range servers {
			cold[s.ID] = s
			if _, known := t.cold[s.ID]; !known {
				event.Log(event.ServerCold, "Server", s.ID, "Service", service, "PerSecond", s.PerSecond, "MS", s.Until.Sub(now).Milliseconds())
			}
		}
	}
	for id := range t.cold {
		if _, known := cold[id]; !known {
			event.Log(event.ServerNotCold, "Server", id)
		}
	}
	t.cold = cold
	counter.Set("ColdEngines", int64(len(cold)))
	counter.Add("ColdSends", counts.Sends)
	counter.Add("ColdDeferred", counts.Deferred)
}

// coldGateways returns the gateways that share the rates of cold engines. Callers hold mu.
func (gs *gossiper) coldGateways(now time.Time) coldstart.Gateways {
	g := coldstart.Gateways{Own: gs.own.Address}
	for _, alive := range gs.table.Alive(now) {
		g.Alive = append(g.Alive, alive.Address)
	}
	slices.Sort(g.Alive)
	gs.startup = gs.startup.Contact(now, len(g.Alive))
	g.Known, g.Count = gs.table.Known(), gs.table.PeakAlive()
	expectsOthers := slices.ContainsFunc(g.Known, func(address string) bool { return address != gs.own.Address })
	g.Settled, g.SendFrom = gs.startup.Settled(now, expectsOthers), gs.startup.SendFrom()
	return g
}
