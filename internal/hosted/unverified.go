package hosted

import (
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/platform"
)

// applyUnverifiedLoad applies an agent's record of a load that it has not verified. One that
// cannot be read changes nothing. Callers hold mu.
func (sv *siteView) applyUnverifiedLoad(i mirror.Item) {
	engine := platform.UnverifiedEngine(i.Key)
	if i.Deleted {
		delete(sv.recordedLoads, engine)
		return
	}
	load, err := platform.UnverifiedLoad(i.Key, i.Value)
	if err != nil {
		event.Fail(event.EntryInvalid, err, "Key", i.Key, "Revision", i.Revision)
		return
	}
	sv.recordedLoads[engine] = load
	if load.Version == 0 {
		delete(sv.recordedLoads, engine)
	}
}

// recordedLoad returns the unverified load of an engine by its record in the store, and the
// zero value if there is none.
func (sv *siteView) recordedLoad(engine string) hostedrpc.UnverifiedLoad {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.recordedLoads[engine]
}

// unverifiedLoad returns a load of an engine that its agent had not verified when it last
// reported. Gateways that started after that know it from the record in the store, which
// agents remove after their report.
func (t *serverTable) unverifiedLoad(engine string) hostedrpc.UnverifiedLoad {
	recorded := t.recordedLoad(engine)
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.agents.Unverified(engine)
	if load.Version == 0 && !t.agents.HasVerified(engine, recorded) {
		return recorded
	}
	return load
}
