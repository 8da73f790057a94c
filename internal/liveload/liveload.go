// Package liveload sends an example site's requests at their classes' rates and
// checks each answer, for the demo and for end-to-end tests.
package liveload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/manifest"
	"almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

// Answer is one finished request of the live load.
type Answer struct {
	Class      string
	Outcome    string
	Reason     string
	Digest     string
	FirstToken float64 // seconds to the first token; 0 for a plain call
	Wrong      string  // why the answer is not whole or correct; empty: it is
}

// Load sends the site's live requests at their classes' rates.
type Load struct {
	cancel  context.CancelFunc
	answers chan Answer
	senders sync.WaitGroup
	sent    atomic.Int64
	result  chan []Answer
}

// Start sends requests until ctx ends or the load is stopped.
func Start(ctx context.Context, f *fleet.Fleet) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel, answers: make(chan Answer, 1024), result: make(chan []Answer, 1)}
	go l.collect()
	for _, c := range f.Site.Classes {
		l.senders.Add(1)
		go l.sendClass(ctx, f, c)
	}
	return l
}

// Stop ends new requests, waits for those in progress and returns all answers.
func (l *Load) Stop() []Answer {
	l.cancel()
	l.senders.Wait()
	close(l.answers)
	return <-l.result
}

func (l *Load) collect() {
	var all []Answer
	for a := range l.answers {
		all = append(all, a)
	}
	l.result <- all
}

func (l *Load) sendClass(ctx context.Context, f *fleet.Fleet, c fleet.Class) {
	defer l.senders.Done()
	if c.RequestsPerSecond <= 0 {
		return
	}
	tick := time.NewTicker(time.Second / time.Duration(c.RequestsPerSecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.senders.Add(1)
			go func(number int64) {
				defer l.senders.Done()
				l.answers <- send(f, c, number)
			}(l.sent.Add(1))
		}
	}
}

// send sends one request through a random gateway for a random organisation.
// It outlives the load's context, so that stopping the load cuts no request.
func send(f *fleet.Fleet, c fleet.Class, number int64) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gateways := f.Balanced()
	gateway := gateways[rand.IntN(len(gateways))]
	organisation := f.Site.Organisations[rand.IntN(len(f.Site.Organisations))]
	caller := client.New("http://"+gateway.Caller, organisation.Key, nil)
	text := fmt.Sprintf("%s #%d", c.Prompt, number)
	if c.Kind == "Plain" {
		return plainCall(ctx, caller, c, text, number)
	}
	sentAt := time.Now()
	a, err := caller.Complete(ctx, client.Completion{Class: c.Name, Prompt: text, MaxTokens: c.MaxTokens})
	out := finished(c, a, err)
	if err == nil && a.Record.Outcome == "Answered" {
		out.FirstToken = a.FirstTokenAt.Sub(sentAt).Seconds()
		out.Wrong = checkCompletion(a, text, c.MaxTokens)
	}
	return out
}

func plainCall(ctx context.Context, caller *client.Client, c fleet.Class, text string, number int64) Answer {
	body := fmt.Appendf(nil, `{"text":%q}`, text)
	a, err := caller.Call(ctx, c.Name, fmt.Sprintf("demo-%s-%d", c.Name, number), body)
	return finished(c, a, err)
}

func finished(c fleet.Class, a client.Answer, err error) Answer {
	if err != nil {
		return Answer{Class: c.Name, Outcome: "none", Reason: err.Error(), Wrong: err.Error()}
	}
	return Answer{Class: c.Name, Outcome: a.Record.Outcome, Reason: a.Record.Reason, Digest: a.Record.Digest}
}

// checkCompletion compares the answer with what the version in its outcome
// generates for the prompt.
func checkCompletion(a client.Answer, prompt string, maxTokens int) string {
	if len(a.Tokens) != maxTokens {
		return fmt.Sprintf("%d tokens of %d", len(a.Tokens), maxTokens)
	}
	for i, t := range a.Tokens {
		if t.Index != i {
			return fmt.Sprintf("token %d has index %d", i, t.Index)
		}
		if t.Digest != a.Record.Digest {
			return fmt.Sprintf("token %d is from %s, the outcome says %s", i, t.Digest, a.Record.Digest)
		}
		if want := engine.Text(manifest.Digest(t.Digest), prompt, i); t.Text != want {
			return fmt.Sprintf("token %d is %q, not %q", i, t.Text, want)
		}
	}
	return ""
}
