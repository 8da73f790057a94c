package main

import (
	"fmt"
	"strconv"
	"strings"

	"almondreel.example/almondreel/internal/standin"
	standinsource "almondreel.example/almondreel/internal/standin/source"
)

// sourceFlags are the flags of the commands origin and store.
type sourceFlags struct {
	Listen    string        `long:"listen" required:"true" description:"address to listen on, IP:port"`
	RateBytes int64         `long:"rate-bytes" description:"bytes sent each second over all connections; 0: no limit"`
	Publish   []publishFlag `long:"publish" value-name:"MODEL:VERSION:BYTES:SEED:CHUNKBYTES" description:"version to publish at the start; repeatable"`
}

// publishFlag is one value of --publish.
type publishFlag struct {
	model, version string
	weights        standinsource.Version
}

// UnmarshalFlag parses MODEL:VERSION:BYTES:SEED:CHUNKBYTES.
func (f *publishFlag) UnmarshalFlag(value string) error {
	fields := strings.Split(value, ":")
	if len(fields) != 5 || fields[0] == "" || fields[1] == "" {
		return fmt.Errorf("invalid value %q, want MODEL:VERSION:BYTES:SEED:CHUNKBYTES", value)
	}
	bytes, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return fmt.Errorf("parse bytes of %q: %w", value, err)
	}
	seed, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return fmt.Errorf("parse seed of %q: %w", value, err)
	}
	chunkBytes, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return fmt.Errorf("parse chunk bytes of %q: %w", value, err)
	}
	f.model, f.version = fields[0], fields[1]
	f.weights = standinsource.Version{Bytes: bytes, Seed: seed, ChunkBytes: chunkBytes}
	return nil
}

func (f sourceFlags) serve(name string) error {
	server := standinsource.New(standinsource.Options{RateBytes: f.RateBytes})
	for _, p := range f.Publish {
		if _, err := server.Publish(p.model, p.version, p.weights); err != nil {
			return fmt.Errorf("publish %s %s: %w", p.model, p.version, err)
		}
	}
	return standin.Serve(name, f.Listen, server)
}

type originCommand struct{ sourceFlags }

// Execute runs the stand-in origin until a signal.
func (c *originCommand) Execute([]string) error { return c.serve("origin") }

type storeCommand struct{ sourceFlags }

// Execute runs the stand-in weight store until a signal.
func (c *storeCommand) Execute([]string) error { return c.serve("store") }
