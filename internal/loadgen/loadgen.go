// Package loadgen sends requests to an example site at its classes' rates and checks
// each answer, for the demo and end-to-end tests.
package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"almondreel.example/almondreel/internal/fleet"
	"almondreel.example/almondreel/internal/manifest"
	standinengine "almondreel.example/almondreel/internal/standin/engine"
	"almondreel.example/almondreel/pkg/client"
)

// Answer is the result of one request of the load.
type Answer struct {
	Class      string
	Outcome    string
	Reason     string
	Digest     string
	FirstToken float64 // seconds to the first token; 0 for a plain call
	Problem    string  // why the answer is incomplete or wrong; empty if it is neither
}

// Generator sends a site's requests at its classes' rates. Start creates it.
type Generator struct {
	cancel    context.CancelFunc
	answers   chan Answer
	senders   sync.WaitGroup
	sent      atomic.Int64
	collected chan []Answer
}

// Start sends requests for the site's classes in the background until ctx ends or Stop is
// called.
func Start(ctx context.Context, f *fleet.Fleet) *Generator {
	ctx, cancel := context.WithCancel(ctx)
	g := &Generator{cancel: cancel, answers: make(chan Answer, 1024), collected: make(chan []Answer, 1)}
	go g.collect()
	for _, c := range f.Site.Classes {
		g.senders.Add(1)
		go g.sendClass(ctx, f, c)
	}
	return g
}

// Stop sends no more requests, waits for those in progress and returns all answers.
func (g *Generator) Stop() []Answer {
	g.cancel()
	g.senders.Wait()
	close(g.answers)
	return <-g.collected
}

func (g *Generator) collect() {
	var all []Answer
	for a := range g.answers {
		all = append(all, a)
	}
	g.collected <- all
}

func (g *Generator) sendClass(ctx context.Context, f *fleet.Fleet, c fleet.Class) {
	defer g.senders.Done()
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
			g.senders.Add(1)
			go func(number int64) {
				defer g.senders.Done()
				g.answers <- send(f, c, number)
			}(g.sent.Add(1))
		}
	}
}

// send sends one request through a random gateway for a random organisation. It does not
// use the generator's context, so that Stop interrupts no request.
func send(f *fleet.Fleet, c fleet.Class, number int64) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	gateways := f.Balanced()
	gateway := gateways[rand.IntN(len(gateways))]
	organisation := f.Site.Organisations[rand.IntN(len(f.Site.Organisations))]
	caller := client.New("http://"+gateway.CallerAddress, organisation.Key, nil)
	text := fmt.Sprintf("%s #%d", c.Prompt, number)
	if c.Kind == "Plain" {
		return sendPlain(ctx, caller, c, text, number)
	}
	sentAt := time.Now()
	response, err := caller.Complete(ctx, client.Completion{Class: c.Name, Prompt: text, MaxTokens: c.MaxTokens})
	out := newAnswer(c, response, err)
	if err == nil && response.Record.Outcome == "Answered" {
		out.FirstToken = response.FirstTokenAt.Sub(sentAt).Seconds()
		out.Problem = CheckCompletion(response, text, c.MaxTokens)
	}
	return out
}

func sendPlain(ctx context.Context, caller *client.Client, c fleet.Class, text string, number int64) Answer {
	body := fmt.Appendf(nil, `{"text":%q}`, text)
	response, err := caller.Call(ctx, c.Name, fmt.Sprintf("demo-%s-%d", c.Name, number), body)
	return newAnswer(c, response, err)
}

func newAnswer(c fleet.Class, response client.Response, err error) Answer {
	if err != nil {
		return Answer{Class: c.Name, Outcome: "none", Reason: err.Error(), Problem: err.Error()}
	}
	return Answer{Class: c.Name, Outcome: response.Record.Outcome, Reason: response.Record.Reason, Digest: response.Record.Digest}
}

// CheckCompletion compares the answer with the text that the stand-in engine generates
// for the prompt with the version in the outcome record. It returns the first difference
// or "".
func CheckCompletion(response client.Response, prompt string, maxTokens int) string {
	if len(response.Tokens) != maxTokens {
		return fmt.Sprintf("got %d tokens of %d", len(response.Tokens), maxTokens)
	}
	for i, t := range response.Tokens {
		if t.Index != i {
			return fmt.Sprintf("token %d has index %d", i, t.Index)
		}
		if t.Digest != response.Record.Digest {
			return fmt.Sprintf("token %d is from version %s, the outcome record says %s", i, t.Digest, response.Record.Digest)
		}
		if want := standinengine.TokenText(manifest.Digest(t.Digest), prompt, i); t.Text != want {
			return fmt.Sprintf("token %d is %q, want %q", i, t.Text, want)
		}
	}
	return ""
}
