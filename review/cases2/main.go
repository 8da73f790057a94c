//go:build review

// Command cases2 runs the scripts of the second review: each starts the gateways of the
// deploy file as processes on loopback, plays the clients, servers and the store of the
// platform around them, and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

var cases = map[string]func(*site) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case, writes FOLDER/record.txt and ends all processes that were started.
func play(run func(*site) bool, folder string) (code int) {
	s, err := newSite(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stops
		s.interrupt()
		os.Exit(failed)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			s.record.note("the case could not run: %v", cause)
			fmt.Fprintf(os.Stderr, "%v\n%s", cause, debug.Stack())
			code = failed
		}
		s.close()
		running, started := s.running()
		s.record.note("%d of the %d processes that were started are still running", running, started)
		if running > 0 {
			code = failed
		}
		if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = failed
		}
	}()
	if run(s) {
		return broken
	}
	return held
}

// must panics if the case cannot go on.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
