package main

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/loadgen"
)

// result holds the measurements of a release under live load.
type result struct {
	firstDigest, nextDigest string  // digests of the versions before and after the release
	acceptSeconds           float64 // seconds from the operator's change to its acceptance
	servingSeconds          float64 // seconds from the operator's change until all replicas serve
	originBytesSent         int64
	answers                 []loadgen.Answer
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
	fmt.Fprintf(w, "  accepted after            %6.2f s\n", r.acceptSeconds)
	fmt.Fprintf(w, "  all replicas serve after  %6.2f s\n", r.servingSeconds)
	fmt.Fprintf(w, "  lower bound               %6.2f s\n", bound)
	fmt.Fprintf(w, "  ratio to the lower bound  %6.2f\n", r.servingSeconds/bound)
	fmt.Fprintf(w, "  copies from the origin    %6.2f\n\n", float64(r.originBytesSent)/float64(next.Bytes))
}

// lowerBound returns the minimum distribution time in seconds. It is limited by the
// origin's upload rate, an instance's download rate, and the sum of all upload rates.
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
	firstTokens := map[kind][]float64{}
	for _, a := range r.answers {
		if a.Class != class {
			continue
		}
		k := kind{a.Outcome, a.Reason}
		counts[k]++
		if a.FirstToken > 0 {
			firstTokens[k] = append(firstTokens[k], a.FirstToken)
		}
	}
	var out []string
	for k, n := range counts {
		p50, p95 := quantile(firstTokens[k], 0.5), quantile(firstTokens[k], 0.95)
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

// check returns an error that lists each response that is incomplete or not from a
// released version, or an error if no request was answered. A refused or failed request
// is an outcome, not an error.
func (r result) check() error {
	var errs []error
	answered := 0
	for _, a := range r.answers {
		if a.Problem != "" {
			errs = append(errs, fmt.Errorf("%s: %s", a.Class, a.Problem))
		}
		if a.Outcome == "Answered" {
			answered++
		}
		if a.Digest != "" && a.Digest != r.firstDigest && a.Digest != r.nextDigest {
			errs = append(errs, fmt.Errorf("%s: answered by %s, which was not released", a.Class, a.Digest))
		}
	}
	if answered == 0 {
		errs = append(errs, errors.New("no request was answered"))
	}
	if len(errs) == 0 {
		fmt.Printf("\n%d requests, %d answered; every answer was complete and from a released version\n", len(r.answers), answered)
	}
	return errors.Join(errs...)
}
