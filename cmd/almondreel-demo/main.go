// Command almondreel-demo starts an example site as processes, releases a new version of
// its model under live load and prints the measurements. It exits with 0 only if every
// response was complete and from a released version, and every replica serves the new one.
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
	"almondreel.example/almondreel/internal/loadgen"
)

const (
	startTimeout = 30 * time.Second
	demoTimeout  = 110 * time.Second
	warmUp       = 2 * time.Second
	coolDown     = 2 * time.Second
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
	if err := run(o); err != nil {
		fmt.Fprintf(os.Stderr, "almondreel-demo: %v\n", err)
		os.Exit(1)
	}
}

func run(o options) error {
	site, err := fleet.LoadSite(o.Settings)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "almondreel-demo-")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	ctx, stopSignals := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stopSignals()

	f, err := fleet.New(site, o.Bin, dir)
	if err != nil {
		return err
	}
	r, err := runSite(ctx, f)
	err = errors.Join(err, f.Stop())
	if err == nil {
		err = r.print(os.Stdout, site)
	}
	if err != nil || o.Keep {
		fmt.Fprintf(os.Stderr, "settings and logs are in %s\n", dir)
		return err
	}
	return os.RemoveAll(dir)
}

// runSite starts the site, waits until the first version is served, releases the next
// one under live load and returns the measurements.
func runSite(ctx context.Context, f *fleet.Fleet) (result, error) {
	fmt.Printf("%s: starting %d gateways and %d instances\n", f.Site.Name, len(f.Gateways), len(f.Backends))
	if err := f.Start(ctx); err != nil {
		return result{}, err
	}
	if err := f.CreateClasses(ctx); err != nil {
		return result{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Ready(startCtx); err != nil {
		return result{}, err
	}
	first, err := f.AwaitServing(startCtx, f.Site.Model.First.Version, f.Site.Engines())
	if err != nil {
		return result{}, err
	}
	fmt.Printf("%s: version %s is served by %d instances\n", f.Site.Name, f.Site.Model.First.Version, f.Site.Engines())

	load := loadgen.Start(ctx, f)
	time.Sleep(warmUp)
	r, err := release(ctx, f)
	if err != nil {
		load.Stop()
		return result{}, err
	}
	time.Sleep(coolDown)
	r.answers = load.Stop()
	r.firstDigest = first
	return r, nil
}

// release sets the next version for every class that runs the model and waits until all
// replicas serve it.
func release(ctx context.Context, f *fleet.Fleet) (result, error) {
	model := f.Site.Model
	before, err := f.OriginSent(ctx, model.Name, model.Next.Version)
	if err != nil {
		return result{}, err
	}
	startTime := time.Now()
	if err := f.Release(ctx, model.Next.Version); err != nil {
		return result{}, err
	}
	acceptTime := time.Now()
	next, err := f.AwaitServing(ctx, model.Next.Version, f.Site.Engines())
	if err != nil {
		return result{}, err
	}
	servingTime := time.Now()
	after, err := f.OriginSent(ctx, model.Name, model.Next.Version)
	return result{
		nextDigest:      next,
		acceptSeconds:   acceptTime.Sub(startTime).Seconds(),
		servingSeconds:  servingTime.Sub(startTime).Seconds(),
		originBytesSent: after - before,
	}, err
}
