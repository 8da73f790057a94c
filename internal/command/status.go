package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/errs"
	"almondreel.example/almondreel/internal/operator"
	"almondreel.example/almondreel/internal/peerconn"
	"almondreel.example/almondreel/internal/settings"
	"almondreel.example/almondreel/internal/status"
)

const (
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 16 << 20
)

// fetchStatus reads the status from the first gateway that answers.
func fetchStatus(o settings.Operator) (status.Status, error) {
	var lastErr error
	for _, base := range o.Gateways {
		s, err := fetchFrom(base)
		if err == nil {
			return s, nil
		}
		lastErr = err
	}
	return status.Status{}, fmt.Errorf("no gateway answered: %w", lastErr)
}

func fetchFrom(base string) (status.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var s status.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+status.Path, nil)
	if err != nil {
		return s, err
	}
	response, err := peerconn.DefaultClient.Do(request)
	if err != nil {
		return s, errs.Wrap(err, "read status", base)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, errs.New("read status", base, "status %d", response.StatusCode)
	}
	err = json.NewDecoder(bounded.Reader(response.Body, maxStatusBytes)).Decode(&s)
	return s, errs.Wrap(err, "decode status", base)
}

// checkReplicas rejects a class whose service has fewer instances than the class has
// replicas. If no gateway has a settled status, it accepts the class unchecked.
func (inv *invocation) checkReplicas(o settings.Operator, c operator.Class) error {
	s, err := fetchStatus(o)
	if err != nil || !s.Settled {
		fmt.Fprintf(inv.errors, "%s: replicas not checked against the service's instances: no gateway reports a settled status\n", programName)
		return nil
	}
	kinds := map[operator.Kind]string{operator.Model: settings.KindEngine, operator.Plain: settings.KindPlain}
	available := 0
	for _, v := range s.Services {
		if v.Name == c.Service && v.Kind == kinds[c.Kind] {
			available = v.Instances
		}
	}
	if available < c.Target.Replicas {
		return &operator.InputError{Reason: fmt.Sprintf(
			"replicas %d: expected at most %d, the instances of service %q with %s backend servers",
			c.Target.Replicas, available, c.Service, kinds[c.Kind])}
	}
	return nil
}

type showStatus struct {
	Output     string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the answer"`
	invocation *invocation
}

// Execute prints the status.
func (c *showStatus) Execute([]string) error {
	o, err := c.invocation.load()
	if err != nil {
		return err
	}
	s, err := fetchStatus(o)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		encoder := json.NewEncoder(c.invocation.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	return printStatus(c.invocation.out, s)
}

func printStatus(out io.Writer, s status.Status) error {
	fmt.Fprintf(out, "configuration %d, placement %d (of configuration %d, by %s)\n\n",
		s.Configuration, s.Placement, s.PlannedFrom, s.Planner)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tVERSION\tSERVING\tREPLICAS\tPREVIOUS\tCHUNKS\tFINISH\tTARGET\tPROBLEM")
	for _, c := range s.Classes {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", c.Name, c.Version, c.Serving,
			c.Target.Replicas, c.ServingPrevious, formatChunks(c), formatTime(c.ProjectedFinish), formatTime(c.Target.ReadyBy), c.Problem)
	}
	fmt.Fprintln(table, "\nSERVICE\tKIND\tINSTANCES")
	for _, v := range s.Services {
		fmt.Fprintf(table, "%s\t%s\t%d\n", v.Name, v.Kind, v.Instances)
	}
	return table.Flush()
}

func formatChunks(c status.Class) string {
	if c.ChunksWanted == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d", c.ChunksHave, c.ChunksWanted)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.TimeOnly)
}
