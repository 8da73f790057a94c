// Command almondreel-demo starts an example site as processes, releases a model
// under live load and prints what it measured. It exits 0 only if every answer
// was whole and from a released version, and every replica serves the new one.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/liveload"
)

const (
	startWithin = 30 * time.Second
	demoWithin  = 110 * time.Second
	warmUp      = 2 * time.Second
	coolDown    = 2 * time.Second
)

type options struct {
	Bin      string `long:"bin" default:"bin" description:"directory that holds the programs"`
	Settings string `long:"settings" required:"true" description:"example site, such as examples/hollister.yaml"`
	Keep     bool   `long:"keep" description:"keep the directory with settings and logs"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := demo(o); err != nil {
		fmt.Fprintf(os.Stderr, "almondreel-demo: %v\n", err)
		os.Exit(1)
	}
}

func demo(o options) error {
	site, err := fleet.LoadSite(o.Settings)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "almondreel-demo-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoWithin)
	defer cancel()
	ctx, stopSignals := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stopSignals()

	f, err := fleet.New(site, o.Bin, dir)
	if err != nil {
		return err
	}
	result, err := play(ctx, f)
	err = errors.Join(err, f.Stop())
	if err == nil {
		err = result.print(os.Stdout, site)
	}
	if err != nil || o.Keep {
		fmt.Fprintf(os.Stderr, "settings and logs are in %s\n", dir)
		return err
	}
	return os.RemoveAll(dir)
}

// play starts the site, brings the first version into service, releases the next
// one under live load and returns what was measured.
func play(ctx context.Context, f *fleet.Fleet) (result, error) {
	fmt.Printf("%s: starting %d gateways and %d instances\n", f.Site.Name, len(f.Gateways), len(f.Backends))
	if err := f.Start(ctx); err != nil {
		return result{}, err
	}
	if err := f.CreateClasses(ctx); err != nil {
		return result{}, err
	}
	starting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := f.Ready(starting); err != nil {
		return result{}, err
	}
	first, err := f.AwaitServing(starting, f.Site.Model.First.Version, f.Site.Engines())
	if err != nil {
		return result{}, err
	}
	fmt.Printf("%s: version %s serves on %d instances\n", f.Site.Name, f.Site.Model.First.Version, f.Site.Engines())

	load := liveload.Start(ctx, f)
	time.Sleep(warmUp)
	r, err := release(ctx, f)
	if err != nil {
		load.Stop()
		return result{}, err
	}
	time.Sleep(coolDown)
	r.load = load.Stop()
	r.first = first
	return r, nil
}

// release gives every class that runs the model the next version and waits
// until all replicas serve it.
func release(ctx context.Context, f *fleet.Fleet) (result, error) {
	model := f.Site.Model
	before, err := f.OriginSent(ctx, model.Name, model.Next.Version)
	if err != nil {
		return result{}, err
	}
	start := time.Now()
	if err := f.Release(ctx, model.Next.Version); err != nil {
		return result{}, err
	}
	accepted := time.Now()
	next, err := f.AwaitServing(ctx, model.Next.Version, f.Site.Engines())
	if err != nil {
		return result{}, err
	}
	serving := time.Now()
	after, err := f.OriginSent(ctx, model.Name, model.Next.Version)
	return result{
		next:            next,
		toAccept:        accepted.Sub(start).Seconds(),
		toServing:       serving.Sub(start).Seconds(),
		originBytesSent: after - before,
	}, err
}
