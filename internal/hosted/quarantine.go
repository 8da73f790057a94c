package hosted

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/hostedrpc"
	"almondreel.example/almondreel/internal/proxy"
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

// partReports returns recent crashes with the prompt parts that ran, and answers to
// parts that are suspected.
func (gs *gossiper) partReports(now time.Time) ([]hostedrpc.PartCrash, []hostedrpc.PartAnswer) {
	crashes, answers := gs.crashes.Parts.Report(now)
	var outCrashes []hostedrpc.PartCrash
	for _, c := range crashes {
		outCrashes = append(outCrashes, hostedrpc.PartCrash{Server: c.Server, Request: c.Request, Parts: c.Parts, AgeMilliseconds: now.Sub(c.At).Milliseconds()})
	}
	var outAnswers []hostedrpc.PartAnswer
	for _, a := range answers {
		outAnswers = append(outAnswers, hostedrpc.PartAnswer{Part: a.Part, AgeMilliseconds: now.Sub(a.At).Milliseconds()})
	}
	return outCrashes, outAnswers
}

func (gs *gossiper) applyPartReports(request hostedrpc.ExchangeRequest, now time.Time) {
	var crashes []quarantine.PartCrash
	for _, c := range request.PartCrashes {
		at := now.Add(-time.Duration(c.AgeMilliseconds) * time.Millisecond)
		crashes = append(crashes, quarantine.PartCrash{Server: c.Server, Request: c.Request, Parts: c.Parts, At: at})
	}
	var answers []quarantine.PartAnswer
	for _, a := range request.PartAnswers {
		answers = append(answers, quarantine.PartAnswer{Part: a.Part, At: now.Add(-time.Duration(a.AgeMilliseconds) * time.Millisecond)})
	}
	proxy.LogQuarantinedParts(gs.crashes.Parts.Merge(crashes, answers, now), request.Gateway.Name)
}
