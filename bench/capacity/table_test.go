package capacity_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

var roleNames = [2]string{"gateway", "agent"}

func printControl(all []controlResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "daemons\trole\tnumber\tload\tcore %\tmax %\tRSS MB\tmax MB\tanon MB\tsent B/s\treceived B/s\tcalls/s\tlist B/s\t")
	for _, c := range all {
		for i, role := range roleNames {
			number := []int{c.gateways, c.agents}[i]
			for j, r := range []rates{c.idle[i], c.changing[i]} {
				load := []string{"idle", fmt.Sprintf("change/%v", changePause)}[j]
				fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t%.0f\t\n",
					c.gateways+c.agents, role, number, load, r.cpuPercent, r.maxCPUPercent, c.residentMB[i], c.maxResidentMB[i], c.anonymousMB[i],
					r.sentBytes, r.receivedBytes, r.calls, r.listBytes)
			}
		}
	}
	_ = w.Flush()
	for _, c := range all {
		fmt.Printf("%d daemons: configuration adopted everywhere after %v; placement after %v\n", c.gateways+c.agents, roundAll(c.configurationTimes), roundAll(c.placementTimes))
		fmt.Printf("%d daemons: calls to the key-value service per second:", c.gateways+c.agents)
		for _, name := range slices.Sorted(maps.Keys(c.kvCallRates)) {
			fmt.Printf(" %s %.2f;", name, c.kvCallRates[name])
		}
		fmt.Println()
	}
}

func roundAll(all []time.Duration) []time.Duration {
	var out []time.Duration
	for _, d := range all {
		out = append(out, d.Round(10*time.Millisecond))
	}
	return out
}
