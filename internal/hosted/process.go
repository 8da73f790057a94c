package hosted

import (
	"context"
	"os"
	"runtime/debug"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/supervisor"
)

const (
	// softLimitShare is the garbage collector's memory limit as a share of the
	// process's memory limit.
	softLimitShare = 0.6
	// gcPercent is the heap growth between collections in per cent. Heaps are small,
	// and peak memory costs more than processor time.
	gcPercent = 40
	megabyte  = 1 << 20
)

// limitMemory tunes the garbage collector to keep the process below megabytes.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softLimitShare * float64(megabytes) * megabyte))
}

// reload returns a task that checks the settings file on each SIGHUP and logs whether
// it is valid. Addresses and identity stay as they were at the start: the platform
// restarts a process to change them.
func reload(file string, hangups <-chan os.Signal) supervisor.Task {
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
