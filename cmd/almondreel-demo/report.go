package main

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/liveload"
)

// result is what a release under live load gave.
type result struct {
	first, next     string  // digests of the two versions
	toAccept        float64 // seconds from the operator's change to its acceptance
	toServing       float64 // seconds from the operator's change until all replicas serve
	originBytesSent int64
	load            []liveload.Answer
}

func (r result) print(w io.Writer, site fleet.Site) error {
	r.printRelease(w, site)
	r.printRequests(w, site)
	return r.check()
}

func (r result) printRelease(w io.Writer, site fleet.Site) {
	next, n := site.Model.Next, site.Engines()
	bound := lowerBound(site)
	fmt.Fprintf(w, "\nrelease of %s %s: %d MiB to %d instances\n", site.Model.Name, next.Version, next.Bytes>>20, n)
	fmt.Fprintf(w, "  accepted after            %6.2f s\n", r.toAccept)
	fmt.Fprintf(w, "  all replicas serve after  %6.2f s\n", r.toServing)
	fmt.Fprintf(w, "  lower bound               %6.2f s\n", bound)
	fmt.Fprintf(w, "  ratio to the lower bound  %6.2f\n", r.toServing/bound)
	fmt.Fprintf(w, "  copies from the origin    %6.2f\n\n", float64(r.originBytesSent)/float64(next.Bytes))
}

// lowerBound is the minimum distribution time in seconds: no scheme beats the
// origin's link, an instance's link, or all links together.
func lowerBound(site fleet.Site) float64 {
	f := float64(site.Model.Next.Bytes)
	n := float64(site.Engines())
	l := site.Links
	up, down := float64(l.InstanceUpBytesPerSecond), float64(l.InstanceDownBytesPerSecond)
	origin := float64(l.OriginBytesPerSecond)
	return max(f/origin, f/down, n*f/(origin+n*up))
}

func (r result) printRequests(w io.Writer, site fleet.Site) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\toutcome\treason\trequests\tp50 first token\tp95 first token")
	for _, c := range site.Classes {
		for _, row := range r.rows(c.Name) {
			fmt.Fprintln(table, row)
		}
	}
	_ = table.Flush()
}

func (r result) rows(class string) []string {
	type kind struct{ outcome, reason string }
	counts := map[kind]int{}
	seconds := map[kind][]float64{}
	for _, a := range r.load {
		if a.Class != class {
			continue
		}
		k := kind{a.Outcome, a.Reason}
		counts[k]++
		if a.FirstToken > 0 {
			seconds[k] = append(seconds[k], a.FirstToken)
		}
	}
	var out []string
	for k, n := range counts {
		p50, p95 := quantile(seconds[k], 0.5), quantile(seconds[k], 0.95)
		out = append(out, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s", class, k.outcome, k.reason, n, p50, p95))
	}
	sort.Strings(out)
	return out
}

func quantile(seconds []float64, q float64) string {
	if len(seconds) == 0 {
		return "-"
	}
	sort.Float64s(seconds)
	i := min(int(q*float64(len(seconds))), len(seconds)-1)
	return fmt.Sprintf("%.0f ms", seconds[i]*1000)
}

// check returns an error that names each answer that is not whole or not from a
// released version. A refusal or a stated failure is an outcome, not an error.
func (r result) check() error {
	var wrong []error
	answered := 0
	for _, a := range r.load {
		if a.Wrong != "" {
			wrong = append(wrong, fmt.Errorf("%s: %s", a.Class, a.Wrong))
		}
		if a.Outcome == "Answered" {
			answered++
		}
		if a.Digest != "" && a.Digest != r.first && a.Digest != r.next {
			wrong = append(wrong, fmt.Errorf("%s: answered by %s, which was not released", a.Class, a.Digest))
		}
	}
	if answered == 0 {
		wrong = append(wrong, errors.New("no request was answered"))
	}
	if len(wrong) == 0 {
		fmt.Printf("\n%d requests, %d answered; every answer was whole and from a released version\n", len(r.load), answered)
	}
	return errors.Join(wrong...)
}
