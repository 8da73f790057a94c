package silence_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/silence"
)

// A stopped timer must not report a silence, and a started one must until it is stopped.
func TestTimerReportsSilenceUntilItIsStopped(t *testing.T) {
	var calls atomic.Int64
	var since atomic.Pointer[time.Time]
	timer := &silence.Timer{OnSilence: func(at time.Time) { since.Store(&at); calls.Add(1) }}
	began := time.Now()
	timer.Start(began.Add(50*time.Millisecond), silence.Always)
	require.Eventually(t, func() bool { return calls.Load() >= 2 }, 3*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond+silence.CheckInterval)
	require.WithinDuration(t, began, *since.Load(), 50*time.Millisecond)
	timer.Stop()
	stopped := calls.Load()
	time.Sleep(3 * silence.CheckInterval)
	require.Equal(t, stopped, calls.Load())
}

// A peer that sends in time is not silent, however often the timer starts again.
func TestTimerThatIsStartedAgainReportsNoSilence(t *testing.T) {
	var calls atomic.Int64
	timer := &silence.Timer{OnSilence: func(time.Time) { calls.Add(1) }}
	for range 20 {
		timer.Start(time.Now().Add(2*time.Second), silence.Always)
		time.Sleep(10 * time.Millisecond)
	}
	timer.Stop()
	require.Zero(t, calls.Load())
}

// The delay between successors doubles and is bounded.
func TestSuccessorsOfOneSilenceComeLessAndLessOften(t *testing.T) {
	now := time.Now()
	require.Equal(t, 100*time.Millisecond, silence.SuccessorAfter(now, 0).Sub(now))
	require.Equal(t, 400*time.Millisecond, silence.SuccessorAfter(now, 2).Sub(now))
	require.Equal(t, 3200*time.Millisecond, silence.SuccessorAfter(now, 50).Sub(now))
}
