// Package crashreport holds the messages in which gateways tell each other which prompt
// parts ran when servers crashed, and which were answered. They carry ages, since the
// gateways' clocks differ.
package crashreport

import (
	"time"

	"almondreel.example/almondreel/internal/ages"
	"almondreel.example/almondreel/pkg/quarantine"
)

// PartCrash is a server's crash while a request with these prompt parts ran whose
// answer had at most just begun.
type PartCrash struct {
	Server          string // one start of it
	Request         string // fingerprint
	Parts           []string
	AgeMilliseconds int64
}

// PartAnswer is how long ago a request with a prompt part was last answered.
type PartAnswer struct {
	Part            string
	AgeMilliseconds int64
}

// Encode returns the messages for crashes and answers.
func Encode(crashes []quarantine.PartCrash, answers []quarantine.PartAnswer, now time.Time) ([]PartCrash, []PartAnswer) {
	var outCrashes []PartCrash
	for _, c := range crashes {
		outCrashes = append(outCrashes, PartCrash{Server: c.Server, Request: c.Request, Parts: c.Parts, AgeMilliseconds: now.Sub(c.At).Milliseconds()})
	}
	var outAnswers []PartAnswer
	for _, a := range answers {
		outAnswers = append(outAnswers, PartAnswer{Part: a.Part, AgeMilliseconds: now.Sub(a.At).Milliseconds()})
	}
	return outCrashes, outAnswers
}

// Merge merges messages that arrived at the time now into p, and returns the parts that
// are quarantined for them.
func Merge(p *quarantine.Parts, crashes []PartCrash, answers []PartAnswer, now time.Time) []string {
	at := func(age int64) time.Time { return ages.At(now, age) }
	var inCrashes []quarantine.PartCrash
	for _, c := range crashes {
		inCrashes = append(inCrashes, quarantine.PartCrash{Server: c.Server, Request: c.Request, Parts: c.Parts, At: at(c.AgeMilliseconds)})
	}
	var inAnswers []quarantine.PartAnswer
	for _, a := range answers {
		inAnswers = append(inAnswers, quarantine.PartAnswer{Part: a.Part, At: at(a.AgeMilliseconds)})
	}
	return p.Merge(inCrashes, inAnswers, now)
}
