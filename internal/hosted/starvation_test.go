package hosted_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/hosted"
	"almondreel.example/almondreel/internal/schedule"
)

// Guards against a log that is filled by organisations that are starved again and again, and
// against a beginning without an end.
func TestStarvationIsLoggedOnceASecond(t *testing.T) {
	rates := func(starved ...string) map[string][]schedule.ServedRate {
		var list []schedule.ServedRate
		for _, name := range []string{"a", "b", "c"} {
			rate := schedule.ServedRate{Organisation: name, AskedPerSecond: 8}
			for _, s := range starved {
				rate.Starved = rate.Starved || s == name
			}
			list = append(list, rate)
		}
		return map[string][]schedule.ServedRate{"service": list}
	}
	var log hosted.StarvationLog
	start := time.Unix(1000, 0)
	for _, step := range []struct {
		milliseconds int
		rates        map[string][]schedule.ServedRate
		number       event.Number
		organisation string
		others       int
	}{
		{0, rates(), 0, "", 0},
		{100, rates("a", "b"), event.StarvationBegan, "a", 1},
		{200, rates("a", "b", "c"), 0, "", 0},
		{1099, rates("c"), 0, "", 0},
		{1100, rates("c"), event.StarvationBegan, "c", 0},
		{2100, rates("c"), event.StarvationEnded, "a", 1},
		{3100, rates("c"), 0, "", 0},
		{3200, nil, event.StarvationEnded, "c", 0}, // it was dropped
		{4300, nil, 0, "", 0},
	} {
		number, rate, others := log.Next(start.Add(time.Duration(step.milliseconds)*time.Millisecond), step.rates)
		require.Equal(t, step.number, number, "at %d ms", step.milliseconds)
		require.Equal(t, step.organisation, rate.Organisation, "at %d ms", step.milliseconds)
		require.Equal(t, step.others, others, "at %d ms", step.milliseconds)
	}
}
