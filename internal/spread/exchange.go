package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"almondreel.example/almondreel/internal/control"
	"almondreel.example/almondreel/internal/counter"
	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/gateway"
	"almondreel.example/almondreel/internal/pause"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	fanout           = 3
	maxConvictions   = 256
)

// exchangeEverySecond asks a few gateways each second, in turn through a
// shuffled list of all, and at once one that is known to have something newer.
func (s *Spread) exchangeEverySecond(ctx context.Context) {
	var turn []gateway.Peer
	for ctx.Err() == nil {
		if len(turn) == 0 {
			turn = s.shuffled()
		}
		n := min(fanout, len(turn))
		s.exchangeWith(ctx, turn[:n])
		turn = turn[n:]
		wait, cancel := context.WithTimeout(ctx, exchangeInterval*3/4+pause.Jitter(exchangeInterval/4))
		select {
		case <-wait.Done():
		case p := <-s.pull:
			s.exchangeWith(ctx, []gateway.Peer{p})
		}
		cancel()
	}
}

func (s *Spread) shuffled() []gateway.Peer {
	all := s.table.Gateways(s.self.Name, time.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	s.forgetClients(all)
	return all
}

// exchangeWith asks the gateways at once and waits for all answers.
func (s *Spread) exchangeWith(ctx context.Context, peers []gateway.Peer) {
	done := make(chan struct{}, len(peers))
	for _, p := range peers {
		go func() {
			defer func() { done <- struct{}{} }()
			s.exchange(ctx, p)
		}()
	}
	for range peers {
		<-done
	}
}

func (s *Spread) exchange(ctx context.Context, p gateway.Peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	snapshot, _ := s.desired.Current()
	known := s.view(p.Name)
	request := gateway.ExchangeRequest{
		From:      s.self,
		Revisions: snapshot.Revisions(),
		Run:       known.run,
		Sequence:  known.sequence,
		Convicted: s.convicted(),
	}
	var reply gateway.ExchangeReply
	if err := s.client(p.Address).Call(ctx, gateway.MethodExchange, request, &reply); err != nil {
		counter.Add("ExchangeFailed", 1)
		return
	}
	s.learn(p, known, reply)
}

func (s *Spread) learn(p gateway.Peer, known view, reply gateway.ExchangeReply) {
	now := time.Now()
	s.table.HearGateway(p, now)
	whole := reply.Run != known.run
	s.table.Tell(p.Name, reply.Members, reply.Silent, whole, now)
	s.table.TellLeaving(p.Name, reply.Leaving)
	s.mu.Lock()
	s.views[p.Name] = view{run: reply.Run, sequence: reply.Sequence}
	s.mu.Unlock()
	if err := s.desired.Adopt(reply.Documents, p.Name); err != nil {
		counter.Add("DocumentUndecodable", 1)
		event.Fail(event.DocumentUndecodable, err, "Gateway", p.Name)
	}
	s.takeConvicted(reply.Convicted)
}

// Exchange answers another gateway with what it is behind on. A sender with
// something newer is asked for it at once.
func (s *Spread) Exchange(request gateway.ExchangeRequest, reply *gateway.ExchangeReply) error {
	s.table.HearGateway(request.From, time.Now())
	snapshot, _ := s.desired.Current()
	after := request.Sequence
	if request.Run != s.run {
		after = 0
	}
	reply.Documents = snapshot.Newer(request.Revisions)
	reply.Run = s.run
	reply.Members, reply.Silent, reply.Sequence = s.table.Changes(after)
	reply.Leaving = s.table.ListedLeaving(time.Now())
	reply.Convicted = s.convicted()
	s.takeConvicted(request.Convicted)
	if snapshot.Behind(request.Revisions) {
		s.ask(request.From)
	}
	return nil
}

// ask has p asked soon; when another gateway already waits to be asked, the
// regular turn is soon enough.
func (s *Spread) ask(p gateway.Peer) {
	select {
	case s.pull <- p:
	default:
	}
}

func (s *Spread) convicted() []gateway.Conviction {
	if s.convictions == nil {
		return nil
	}
	all := s.convictions()
	return all[:min(len(all), maxConvictions)]
}

func (s *Spread) takeConvicted(all []gateway.Conviction) {
	if s.adopt != nil && len(all) > 0 {
		s.adopt(all)
	}
}

func (s *Spread) view(name string) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views[name]
}

func (s *Spread) client(address string) *control.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = control.NewClient(address)
		s.clients[address] = c
	}
	return c
}

// forgetClients closes the connections to gateways that are no longer known.
func (s *Spread) forgetClients(keep []gateway.Peer) {
	kept := map[string]bool{}
	for _, p := range keep {
		kept[p.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.clients {
		if !kept[address] {
			c.Close()
			delete(s.clients, address)
		}
	}
}

func (s *Spread) closeClients() {
	s.forgetClients(nil)
}
