package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxCrashes and maxAnswers bound what Parts keeps.
	maxCrashes = 512
	maxAnswers = 8192
	// crashTTL is how long a crash counts against the parts of the requests that were
	// running.
	crashTTL = 30 * time.Second
	// partQuarantineTTL is how long a part is quarantined. New weights may end the cause.
	partQuarantineTTL = 5 * time.Minute
	// minPartRequests is the number of different requests that must have run when servers
	// crashed. A single request is quarantined by its own fingerprint.
	minPartRequests = 2
	// partEvidence is the number of servers that crashed plus the number of different
	// requests that quarantine a part: 3 and 3, or 4 and 2.
	partEvidence = 6
	// unansweredGap is the least time between crashes that count separately. Servers that
	// crash at the same moment may have another cause.
	unansweredGap = 50 * time.Millisecond
	// answeredGap is the same for a part that was answered within completionTTL. It
	// exceeds the time in which answers to other requests with the part show that the part
	// does no harm.
	answeredGap = 1500 * time.Millisecond
	// reportTTL is how long a crash is reported to other tables after it became known,
	// and suspectTTL how long answers to its parts are.
	reportTTL  = time.Second
	suspectTTL = 10 * time.Second
)

// PartCrash is a crash of a server while it ran a request whose answer had not begun or
// had just begun.
type PartCrash struct {
	Server  string // one start of a server; another start has another name
	Request string // fingerprint of the request
	Parts   []string
	At      time.Time
}

// PartAnswer is the last time at which a request with the part was answered.
type PartAnswer struct {
	Part string
	At   time.Time
}

// Parts detects parts of requests, such as prompt prefixes that many requests share,
// that crash the servers that run them. It quarantines a part if several servers crash
// while different requests with it run, and none is answered in between. It is safe for
// concurrent use.
//
// Requests that share a crashing part also share harmless ones. Of several parts
// that fit, the last one is quarantined, since the fewest requests have it. If that is
// wrong, crashes go on without it and count against the parts before it.
type Parts struct {
	table *Table

	mu         sync.Mutex
	crashes    []knownCrash
	answeredAt map[string]time.Time
	suspended  map[string]bool // parts that were quarantined: one more crash does it again
}

type knownCrash struct {
	PartCrash
	learnedAt time.Time
}

// NewParts returns an empty Parts that adds quarantined parts to table.
func NewParts(table *Table) *Parts {
	return &Parts{table: table, answeredAt: map[string]time.Time{}, suspended: map[string]bool{}}
}

// PartFingerprint returns the fingerprint of a part in a Table.
func PartFingerprint(part string) string { return "part/" + part }

// Quarantined returns the first quarantined part, or false if there is none.
func (p *Parts) Quarantined(parts []string, now time.Time) (string, bool) {
	for _, part := range parts {
		if p.table.Verdict(PartFingerprint(part), now) == Quarantined {
			return part, true
		}
	}
	return "", false
}

// Suspected reports whether one more crash may quarantine one of the parts.
func (p *Parts) Suspected(parts []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		return p.suspended[part] || p.evidence(part, now).withCrash().sufficient()
	})
}

// RecordAnswer records that a request with the parts was answered. Its server did not
// crash, so earlier crashes no longer count against the parts.
func (p *Parts) RecordAnswer(parts []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		p.putAnswer(PartAnswer{part, now}, now)
	}
}

// RecordCrash records a crash and returns the part that it quarantines, or false.
func (p *Parts) RecordCrash(c PartCrash, now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.addCrash(c, now) {
		return "", false
	}
	return p.judge(c.Parts, now)
}

// Merge merges what another Parts reports and returns the parts that are quarantined
// for it.
func (p *Parts) Merge(crashes []PartCrash, answers []PartAnswer, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range answers {
		p.putAnswer(a, now)
	}
	var quarantined []string
	for _, c := range crashes {
		if !p.addCrash(c, now) {
			continue
		}
		if part, ok := p.judge(c.Parts, now); ok {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// Report returns what other tables should merge: the crashes that became known within
// reportTTL, and answers to parts that ran when two servers or more crashed.
func (p *Parts) Report(now time.Time) ([]PartCrash, []PartAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var crashes []PartCrash
	servers := map[string]string{} // by part: a server that crashed
	suspects := map[string]bool{}
	for _, c := range p.crashes {
		if now.Sub(c.learnedAt) < reportTTL {
			crashes = append(crashes, c.PartCrash)
		}
		if now.Sub(c.learnedAt) >= suspectTTL {
			continue
		}
		for _, part := range c.Parts {
			if first, ok := servers[part]; ok && first != c.Server {
				suspects[part] = true
			}
			servers[part] = c.Server
		}
	}
	return crashes, p.answersTo(suspects)
}

// AnswersTo returns when requests with the parts were last answered.
func (p *Parts) AnswersTo(parts []string) []PartAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := map[string]bool{}
	for _, part := range parts {
		asked[part] = true
	}
	return p.answersTo(asked)
}

func (p *Parts) answersTo(parts map[string]bool) []PartAnswer {
	var answers []PartAnswer
	for part := range parts {
		if at, ok := p.answeredAt[part]; ok {
			answers = append(answers, PartAnswer{part, at})
		}
	}
	return answers
}

// addCrash adds a crash unless it is known or too old. Callers hold mu.
func (p *Parts) addCrash(c PartCrash, now time.Time) bool {
	p.crashes = slices.DeleteFunc(p.crashes, func(k knownCrash) bool { return now.Sub(k.At) >= crashTTL })
	known := slices.ContainsFunc(p.crashes, func(k knownCrash) bool { return k.Server == c.Server && k.Request == c.Request })
	if known || now.Sub(c.At) >= crashTTL || len(c.Parts) == 0 {
		return false
	}
	if len(p.crashes) >= maxCrashes {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(p.crashes, c.At, func(k knownCrash, at time.Time) int { return k.At.Compare(at) })
	p.crashes = slices.Insert(p.crashes, at, knownCrash{c, now})
	return true
}

// putAnswer stores the time of an answer unless a later one is known. Callers hold mu.
func (p *Parts) putAnswer(a PartAnswer, now time.Time) {
	if a.At.After(p.answeredAt[a.Part]) {
		p.answeredAt[a.Part] = a.At
		delete(p.suspended, a.Part)
	}
	if len(p.answeredAt) <= maxAnswers {
		return
	}
	for part, at := range p.answeredAt {
		if now.Sub(at) >= completionTTL || len(p.answeredAt) > maxAnswers {
			delete(p.answeredAt, part)
		}
	}
}

// judge quarantines the last of the parts for which there are enough crashes. Callers
// hold mu.
func (p *Parts) judge(parts []string, now time.Time) (string, bool) {
	if _, ok := p.Quarantined(parts, now); ok {
		return "", false // that part explains the crash
	}
	for _, part := range slices.Backward(parts) {
		if !p.suspended[part] && !p.evidence(part, now).sufficient() {
			continue
		}
		if len(p.suspended) >= maxEntries {
			clear(p.suspended)
		}
		p.suspended[part] = true
		p.table.Merge([]Entry{{Fingerprint: PartFingerprint(part), Convicted: true, ExpiresAt: now.Add(partQuarantineTTL)}})
		return part, true
	}
	return "", false
}

// evidence counts the servers that crashed while a request with a part ran, and those
// requests.
type evidence struct{ servers, requests int }

// withCrash returns the evidence after one more crash, with another request.
func (e evidence) withCrash() evidence { return evidence{e.servers + 1, e.requests + 1} }

func (e evidence) sufficient() bool {
	return e.requests >= minPartRequests && e.servers+e.requests >= partEvidence
}

// evidence returns the evidence against a part since it was last answered. Crashes
// count if they are some time apart. Callers hold mu.
func (p *Parts) evidence(part string, now time.Time) evidence {
	answeredAt := p.answeredAt[part]
	gap := unansweredGap
	if now.Sub(answeredAt) < completionTTL {
		gap = answeredGap
	}
	explained := p.explainedServers(now)
	servers, requests := map[string]bool{}, map[string]bool{}
	var last time.Time
	for _, c := range p.crashes {
		if !c.At.After(answeredAt) || !slices.Contains(c.Parts, part) || explained[c.Server] {
			continue
		}
		if servers[c.Server] || c.At.Sub(last) < gap {
			continue
		}
		servers[c.Server], requests[c.Request], last = true, true, c.At
	}
	return evidence{len(servers), len(requests)}
}

// explainedServers returns the servers that crashed while they ran a request with a
// quarantined part. Callers hold mu.
func (p *Parts) explainedServers(now time.Time) map[string]bool {
	servers := map[string]bool{}
	for _, c := range p.crashes {
		if _, ok := p.Quarantined(c.Parts, now); ok {
			servers[c.Server] = true
		}
	}
	return servers
}
