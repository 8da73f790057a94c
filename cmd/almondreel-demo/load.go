package main

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

// answer is one finished request of the live load.
type answer struct {
	class       string
	outcome     string
	reason      string
	digest      string
	firstTokens float64 // seconds to the first token; 0 for a plain call
	wrong       string  // why the answer is not whole or correct; empty: it is
}

// load sends the site's live requests at their classes' rates.
type load struct {
	cancel  context.CancelFunc
	answers chan answer
	senders sync.WaitGroup
	sent    atomic.Int64
	result  chan []answer
}

func startLoad(ctx context.Context, f *fleet.Fleet) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel, answers: make(chan answer, 1024), result: make(chan []answer, 1)}
	go l.collect()
	for _, c := range f.Site.Classes {
		l.senders.Add(1)
		go l.sendClass(ctx, f, c)
	}
	return l
}

// stop ends new requests, waits for those in progress and returns all answers.
func (l *load) stop() []answer {
	l.cancel()
	l.senders.Wait()
	close(l.answers)
	return <-l.result
}

func (l *load) collect() {
	var all []answer
	for a := range l.answers {
		all = append(all, a)
	}
	l.result <- all
}

func (l *load) sendClass(ctx context.Context, f *fleet.Fleet, c fleet.Class) {
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
func send(f *fleet.Fleet, c fleet.Class, number int64) answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gateway := f.Gateways[rand.IntN(len(f.Gateways))]
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
		out.firstTokens = a.FirstTokenAt.Sub(sentAt).Seconds()
		out.wrong = checkCompletion(a, text, c.MaxTokens)
	}
	return out
}

func plainCall(ctx context.Context, caller *client.Client, c fleet.Class, text string, number int64) answer {
	body := fmt.Appendf(nil, `{"text":%q}`, text)
	a, err := caller.Call(ctx, c.Name, fmt.Sprintf("demo-%s-%d", c.Name, number), body)
	return finished(c, a, err)
}

func finished(c fleet.Class, a client.Answer, err error) answer {
	if err != nil {
		return answer{class: c.Name, outcome: "none", reason: err.Error(), wrong: err.Error()}
	}
	return answer{class: c.Name, outcome: a.Record.Outcome, reason: a.Record.Reason, digest: a.Record.Digest}
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
