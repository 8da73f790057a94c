package hosted_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/hostedrpc"
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
