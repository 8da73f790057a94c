package hosted

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/pkg/quarantine"
)

// convictionsOf returns the requests and prompt parts that are quarantined in a table.
func convictionsOf(t *quarantine.Table, now time.Time) []hostedrpc.QuarantineEntry {
	var out []hostedrpc.QuarantineEntry
	for _, e := range t.Quarantined(now) {
		out = append(out, hostedrpc.QuarantineEntry{
			Fingerprint: e.Fingerprint, Server: e.Server, Convicted: e.Convicted, LeftMilliseconds: e.ExpiresAt.Sub(now).Milliseconds(),
		})
	}
	return out
}

// mergeConvictions adds what is not quarantined in a table yet. Each transfer makes the
// time that is left a little longer, so known entries keep theirs.
func mergeConvictions(t *quarantine.Table, convictions []hostedrpc.QuarantineEntry, now time.Time) {
	var entries []quarantine.Entry
	for _, c := range convictions {
		if t.Verdict(c.Fingerprint, now) == quarantine.Quarantined {
			continue
		}
		entries = append(entries, quarantine.Entry{
			Fingerprint: c.Fingerprint, Server: c.Server, Convicted: c.Convicted,
			ExpiresAt: now.Add(time.Duration(c.LeftMilliseconds) * time.Millisecond),
		})
	}
	t.Merge(entries)
}

// digestOf returns a digest of the fingerprints, whatever their order; 0 if there are
// none.
func digestOf(convictions []hostedrpc.QuarantineEntry) uint64 {
	sum := uint64(0)
	for _, c := range convictions {
		sum += xxhash.Sum64String(c.Fingerprint)
	}
	return sum
}
