package hosted

import (
	"context"
	"os"
	"runtime/debug"

	"almondreel.example/almondreel/internal/duty"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/settings"
)

const (
	// memoryShare of the process's limit is where the collector works hardest.
	memoryShare = 0.6
	// collectAt grows the heap by this per cent between collections: heaps are
	// small, and memory at its peak is dearer than processor time.
	collectAt = 40
	// answersShare of the process's limit may be taken by answers in progress.
	// Their buffers double as they grow, and the collector comes late.
	answersShare = 0.08
	megabyte     = 1 << 20
)

// answersBytes is the memory for answers of a process with a limit of megabytes.
func answersBytes(megabytes int) int64 {
	return int64(answersShare * float64(megabytes) * megabyte)
}

// limitMemory keeps the process below its limit of megabytes.
func limitMemory(megabytes int) {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * megabyte))
}

// reload returns the duty that reads the settings file again at SIGHUP and
// says whether it could be used. Addresses and identity stay as they were at
// the start: the platform starts a process anew to change them.
func reload(file string, hangups <-chan os.Signal) duty.Func {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-hangups:
			}
			if _, err := settings.Check(file); err != nil {
				event.Fail(event.SettingsReloaded, err)
				continue
			}
			event.Log(event.SettingsReloaded)
		}
	}
}
