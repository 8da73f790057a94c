package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/pkg/quarantine"
)

// partTTL is how long a part is quarantined.
const partTTL = 5 * time.Minute

func newParts() *quarantine.Parts { return quarantine.NewParts(quarantine.NewTable()) }

// crash returns the crash of a server while a request ran.
func crash(server, request int, at time.Time, parts ...string) quarantine.PartCrash {
	return quarantine.PartCrash{Server: fmt.Sprint("s", server), Request: fmt.Sprint("r", request), Parts: parts, At: at}
}

func requireQuarantined(t *testing.T, p *quarantine.Parts, now time.Time, want bool, part string) {
	t.Helper()
	_, quarantined := p.Quarantined([]string{part}, now)
	require.Equal(t, want, quarantined, part)
}

// Different requests share a first part, which does no harm, and a second one that
// crashes every server.
func TestCrashingPartIsQuarantinedAndThePartBeforeItIsNot(t *testing.T) {
	p, now := newParts(), time.Now()
	for n := range 3 {
		now = now.Add(300 * time.Millisecond)
		requireQuarantined(t, p, now, false, "bad")
		_, _ = p.RecordCrash(crash(n, n, now, "shared", "bad"), now)
	}
	requireQuarantined(t, p, now, true, "bad")
	// The quarantined part explains further crashes.
	for n := range 6 {
		now = now.Add(2 * time.Second)
		_, _ = p.RecordCrash(crash(10+n, 10+n, now, "shared", "bad"), now)
	}
	requireQuarantined(t, p, now, false, "shared")
}

// The first part crashes servers; the parts after it are blamed first, and wrongly.
func TestCrashingFirstPartIsQuarantined(t *testing.T) {
	p, now := newParts(), time.Now()
	for n := 0; n < 40; n++ {
		parts := []string{"bad", fmt.Sprint("subject", n%4)}
		if _, ok := p.Quarantined(parts, now); !ok {
			_, _ = p.RecordCrash(crash(n, n, now, parts...), now)
		}
		now = now.Add(300 * time.Millisecond)
	}
	requireQuarantined(t, p, now, true, "bad")
}

// A request that crashes servers is repeated by its caller. Its own quarantine covers
// that; its parts are those of other requests, too.
func TestRepeatsOfOneRequestDoNotQuarantineItsParts(t *testing.T) {
	p, now := newParts(), time.Now()
	for n := range 10 {
		_, _ = p.RecordCrash(crash(n, 1, now, "shared", "subject"), now)
		now = now.Add(time.Second)
	}
	requireQuarantined(t, p, now, false, "subject")
	requireQuarantined(t, p, now, false, "shared")
}

// Many servers crash at the same moment while requests with a part run.
func TestOutageDoesNotQuarantineParts(t *testing.T) {
	t.Run("part not answered yet", func(t *testing.T) {
		p, now := newParts(), time.Now()
		for n := range 30 {
			_, _ = p.RecordCrash(crash(n%10, n, now.Add(time.Duration(n)*time.Millisecond), "popular"), now.Add(time.Second))
		}
		requireQuarantined(t, p, now, false, "popular")
	})
	t.Run("answered part, crashes within a second", func(t *testing.T) {
		p, now := newParts(), time.Now()
		p.RecordAnswer([]string{"popular"}, now)
		for n := range 20 {
			_, _ = p.RecordCrash(crash(n, n, now.Add(time.Duration(n)*50*time.Millisecond), "popular"), now.Add(time.Second))
		}
		requireQuarantined(t, p, now, false, "popular")
	})
	t.Run("answers in between", func(t *testing.T) {
		p, now := newParts(), time.Now()
		for n := range 20 {
			now = now.Add(2 * time.Second)
			_, _ = p.RecordCrash(crash(n, n, now, "popular"), now)
			p.RecordAnswer([]string{"popular"}, now.Add(time.Second))
		}
		requireQuarantined(t, p, now, false, "popular")
	})
}

// A part was answered until it began to crash servers, for example with new weights.
func TestPartThatBeginsToCrashServersIsQuarantined(t *testing.T) {
	p, now := newParts(), time.Now()
	p.RecordAnswer([]string{"shared", "bad"}, now)
	for n := range 3 {
		now = now.Add(2 * time.Second)
		_, _ = p.RecordCrash(crash(n, n, now, "shared", "bad"), now)
		p.RecordAnswer([]string{"shared"}, now.Add(time.Second))
	}
	requireQuarantined(t, p, now, true, "bad")
	requireQuarantined(t, p, now, false, "shared")
}

// Each gateway sees some of the crashes.
func TestCrashesInOtherTablesCount(t *testing.T) {
	first, second, now := newParts(), newParts(), time.Now()
	for n := range 3 {
		now = now.Add(300 * time.Millisecond)
		p, other := first, second
		if n == 1 {
			p, other = second, first
		}
		_, _ = p.RecordCrash(crash(n, n, now, "bad"), now)
		crashes, answers := p.Report(now)
		_ = other.Merge(crashes, answers, now)
	}
	requireQuarantined(t, first, now, true, "bad")
	requireQuarantined(t, second, now, true, "bad")
}

// Another gateway has answered requests with the part.
func TestAnswersInOtherTablesCount(t *testing.T) {
	first, second, now := newParts(), newParts(), time.Now()
	for n := range 6 {
		now = now.Add(300 * time.Millisecond)
		_, _ = first.RecordCrash(crash(n, n, now, "popular"), now)
		second.RecordAnswer([]string{"popular"}, now)
		crashes, answers := first.Report(now)
		_ = second.Merge(crashes, answers, now)
		crashes, answers = second.Report(now)
		_ = first.Merge(crashes, answers, now)
	}
	requireQuarantined(t, first, now, false, "popular")
	requireQuarantined(t, second, now, false, "popular")
}

// Crashes are reported for a short time only, so that reports stay small.
func TestCrashIsReportedForAShortTime(t *testing.T) {
	p, now := newParts(), time.Now()
	_, _ = p.RecordCrash(crash(1, 1, now, "a"), now)
	crashes, answers := p.Report(now.Add(500 * time.Millisecond))
	require.Len(t, crashes, 1)
	require.Empty(t, answers)
	crashes, _ = p.Report(now.Add(2 * time.Second))
	require.Empty(t, crashes)
}

// A quarantine expires, since new weights may have ended its cause. If they have not, one
// crash shows it.
func TestExpiredPartIsQuarantinedAgainByOneCrash(t *testing.T) {
	p, now := newParts(), time.Now()
	for n := range 3 {
		now = now.Add(300 * time.Millisecond)
		_, _ = p.RecordCrash(crash(n, n, now, "bad"), now)
	}
	requireQuarantined(t, p, now, true, "bad")
	now = now.Add(partTTL + time.Second)
	requireQuarantined(t, p, now, false, "bad")
	require.True(t, p.Suspected([]string{"bad"}, now))
	_, _ = p.RecordCrash(crash(9, 9, now, "bad"), now)
	requireQuarantined(t, p, now, true, "bad")
	now = now.Add(partTTL + time.Second)
	p.RecordAnswer([]string{"bad"}, now)
	_, _ = p.RecordCrash(crash(10, 10, now.Add(time.Second), "bad"), now.Add(time.Second))
	requireQuarantined(t, p, now.Add(time.Second), false, "bad")
}
