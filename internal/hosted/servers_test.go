package hosted_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/mirror"
	"almondreel.example/almondreel/internal/site"
)

// Guards against an engine that is used by its entry alone although its agent ended with a
// load order on its way: the entry names the version, not what the engine took.
func TestEntryDoesNotVouchForLoadThatAgentHadNotVerified(t *testing.T) {
	now := time.Now()
	service := site.Service{Engine: site.Engine{Slots: 4, Model: "m", Layers: 4}}
	entry := site.Server{ID: "i-1", Address: "10.0.0.1:80", State: site.EngineState{Born: 5, Model: "m", Loaded: site.LayerRange{To: 4, Version: 1}}}
	agent := hostedrpc.Agent{Name: "side-1", EngineAddress: entry.Address, Born: 5, Holding: site.ServedWeights{Model: "m", Version: 1, Whole: true}}

	s := hosted.NewServers(hosted.NewView(8000))
	s.Report(agent, now)
	require.True(t, s.Serves(entry, service, now))
	s.Expire(now.Add(time.Minute))
	require.True(t, s.Serves(entry, service, now.Add(time.Minute)), "an agent that ends takes no engine out of use")

	ordered := agent
	ordered.Holding, ordered.Unverified, ordered.UnverifiedBorn = site.ServedWeights{}, 1, agent.Born
	s.Report(ordered, now.Add(2*time.Minute))
	s.Expire(now.Add(3 * time.Minute))
	require.False(t, s.Serves(entry, service, now.Add(3*time.Minute)))
	restarted := entry
	restarted.State.Born = 6
	require.True(t, s.Serves(restarted, service, now.Add(3*time.Minute)), "it is another start of the engine")

	s.Report(agent, now.Add(4*time.Minute))
	require.True(t, s.Serves(entry, service, now.Add(5*time.Minute)), "the next agent has verified the load")
}

// Guards against an engine that is used by its entry although its agent reports now that it
// has not verified the load: a gateway that has just started hears it first while the engine
// does not answer its agent.
func TestEntryDoesNotVouchWhileAgentReportsDoubt(t *testing.T) {
	now := time.Now()
	service := site.Service{Engine: site.Engine{Slots: 4, Model: "m", Layers: 4}}
	entry := site.Server{ID: "i-1", Address: "10.0.0.1:80", State: site.EngineState{Born: 5, Model: "m", Loaded: site.LayerRange{To: 4, Version: 1}}}
	s := hosted.NewServers(hosted.NewView(8000))
	s.Report(hostedrpc.Agent{Name: "side-1", EngineAddress: entry.Address, Unverified: 1, UnverifiedBorn: 5}, now)
	require.False(t, s.Serves(entry, service, now))
}

// Guards against an announced end that is long past while the report itself says that the
// load has not been verified.
func TestAnnouncementThatIsPastDoesNotVouch(t *testing.T) {
	now := time.Now()
	service := site.Service{Engine: site.Engine{Slots: 4, Model: "m", Layers: 4}}
	entry := site.Server{ID: "i-1", Address: "10.0.0.1:80", State: site.EngineState{Born: 5, Model: "m"}}
	s := hosted.NewServers(hosted.NewView(8000))
	s.Report(hostedrpc.Agent{
		Name: "side-1", EngineAddress: entry.Address, Born: 5, Unverified: 1, Switching: true,
		Change: hostedrpc.Switchover{Version: 1, StartMilliseconds: -4000, EndMilliseconds: -3600},
	}, now)
	require.False(t, s.Serves(entry, service, now))
}

// Guards against an engine that is used by its entry alone although its agent ended with a
// load order on its way, if all gateways have started since: only the store has kept the
// doubt. Engines without a record must be served from at once.
func TestEntryDoesNotVouchForLoadThatStoreRecordsAsUnverified(t *testing.T) {
	now := time.Now()
	service := site.Service{Engine: site.Engine{Slots: 4, Model: "m", Layers: 4}}
	entry := site.Server{ID: "i-1", Address: "10.0.0.1:80", State: site.EngineState{Born: 5, Model: "m", Loaded: site.LayerRange{To: 4, Version: 1}}}
	agent := hostedrpc.Agent{Name: "side-1", EngineAddress: entry.Address, Born: 5, Holding: site.ServedWeights{Model: "m", Version: 1, Whole: true}}
	found := agent
	found.Found = true
	record := func(v hosted.View, revision int64, value string) {
		v.Apply(v.Mirror.Apply(mirror.Changes{Revision: revision, Items: []mirror.Item{{Key: "unverified-loads/" + entry.Address, Value: []byte(value), Revision: revision}}}))
	}
	v := hosted.NewView(8000)
	s := hosted.NewServers(v)
	require.True(t, s.Serves(entry, service, now), "the store has no record")
	record(v, 2, `{"Born":5,"Version":1}`)
	require.False(t, s.Serves(entry, service, now))
	record(v, 3, `odd`)
	require.False(t, s.Serves(entry, service, now), "a record that cannot be read changes nothing")
	other, restarted, older := entry, entry, entry
	other.Address, restarted.State.Born, older.State.Loaded.Version = "10.0.0.2:80", 6, 0
	require.True(t, s.Serves(other, service, now))
	require.True(t, s.Serves(restarted, service, now), "it is another start of the engine")
	require.True(t, s.Serves(older, service, now), "the engine holds an older version than the one that was ordered")

	s.Report(found, now)
	require.False(t, s.Serves(entry, service, now), "the next agent has verified nothing yet")
	s.Report(agent, now.Add(time.Second))
	require.True(t, s.Serves(entry, service, now.Add(time.Second)), "the next agent has verified the load")
	s.Expire(now.Add(time.Minute))
	require.True(t, s.Serves(entry, service, now.Add(time.Minute)), "the record was not removed yet when that agent ended")

	v = hosted.NewView(8000)
	s = hosted.NewServers(v)
	record(v, 2, `{"Born":5,"Version":1}`)
	record(v, 3, `{"Born":0,"Version":0}`)
	require.True(t, s.Serves(entry, service, now), "the record names no load")
	record(v, 4, `{"Born":5,"Version":1}`)
	require.False(t, s.Serves(entry, service, now))
	v.Apply(v.Mirror.Apply(mirror.Changes{Revision: 5, Items: []mirror.Item{{Key: "unverified-loads/" + entry.Address, Revision: 5, Deleted: true}}}))
	require.True(t, s.Serves(entry, service, now), "the record was deleted")
	record(v, 6, `{"Born":5,"Version":1}`)
	require.False(t, s.Serves(entry, service, now))
	v.Apply(v.Mirror.Replace(mirror.Snapshot{Revision: 7}))
	require.True(t, s.Serves(entry, service, now), "the record was deleted while the watch was down")
}
