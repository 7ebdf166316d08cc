package sharer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/limiter"
)

// work is the calls under way: at most one message to each peer and one change
// of each group at a time.
type work struct {
	running sync.WaitGroup
	mu      sync.Mutex
	sending map[limiter.Member]bool
}

// change is a record to be written.
type change struct {
	group string
	next  limiter.Record
	match uint64
}

// round looks at everything once.
func (s *Sharer) round(ctx context.Context, w *work) {
	groups, fleet, now := s.Groups(), s.Fleet(), time.Now()
	messages := make(map[limiter.Member]Message)
	var changes []change
	s.mu.Lock()
	s.proofs.look(s.all(groups), fleet, now)
	for _, conf := range groups {
		g := s.group(conf.Name)
		s.prove(g)
		g.keep(s)
		s.unsaid(g, messages)
		if c, ok := s.next(g, conf, fleet, now); ok {
			changes = append(changes, c)
		}
	}
	s.mu.Unlock()
	for _, c := range changes {
		w.running.Go(func() { s.put(ctx, c) })
	}
	for to, m := range messages {
		if w.begin(to) {
			w.running.Go(func() {
				defer w.end(to)
				s.tell(ctx, to, m)
			})
		}
	}
}

func (w *work) begin(to limiter.Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sending == nil {
		w.sending = make(map[limiter.Member]bool)
	}
	if w.sending[to] {
		return false
	}
	w.sending[to] = true
	return true
}

func (w *work) end(to limiter.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sending, to)
}

// prove hands the shares the members that have ended.
func (s *Sharer) prove(g *group) {
	for _, m := range g.others(s.Self) {
		if s.proofs.has(m) {
			g.shares.MarkEnded(m)
		}
	}
}

// unsaid collects what peers haven't taken yet.
func (s *Sharer) unsaid(g *group, messages map[limiter.Member]Message) {
	for _, m := range g.others(s.Self) {
		if g.told[m] < g.seq && !s.proofs.has(m) {
			one := messages[m]
			one.Seen = append(one.Seen, Seen{g.name, g.seq})
			messages[m] = one
		}
	}
}

// next returns the change of the members that this process is to make now.
func (s *Sharer) next(g *group, conf Group, f Fleet, now time.Time) (change, bool) {
	members := g.wanted(f.Live, s.proofs.has)
	r, changed, room := g.propose(conf, members)
	if !room {
		s.refuse(g, conf, members)
		return change{}, false
	}
	g.refused = 0
	if !changed {
		r, changed = g.trimmed()
	}
	if !changed {
		g.since = time.Time{}
		return change{}, false
	}
	if g.since.IsZero() {
		g.since = now
	}
	rank := s.Rank(g.name)
	if g.putting || rank < 0 || now.Sub(g.since) < time.Duration(rank)*turn {
		return change{}, false
	}
	g.putting = true
	return change{g.name, r, g.version}, true
}

// refuse logs once that there are more proxies than connections.
func (s *Sharer) refuse(g *group, conf Group, members []limiter.Member) {
	if g.refused == len(members) {
		return
	}
	g.refused = len(members)
	s.Log.Error("sharer: more proxies than connections; those that share go on, the others get none",
		zap.String("group", g.name), zap.Int("connections", conf.Connections), zap.Strings("proxies", names(members)))
}

// put writes a record. Whether it was written when no answer came, the watch
// tells.
func (s *Sharer) put(ctx context.Context, c change) {
	version, err := s.Put(ctx, c.group, c.next, c.match)
	s.mu.Lock()
	g := s.group(c.group)
	g.putting = false
	if err == nil {
		g.see(Object{Group: c.group, Version: version, Record: c.next})
	}
	s.mu.Unlock()
	if err != nil {
		s.Log.Debug("sharer: record not written", zap.String("group", c.group), zap.Error(err))
		return
	}
	s.wake()
}

// tell sends a peer what it hasn't taken yet.
func (s *Sharer) tell(ctx context.Context, to limiter.Member, m Message) {
	ctx, cancel := context.WithTimeout(ctx, sendWithin)
	defer cancel()
	if err := s.Send(ctx, to, m); err != nil {
		s.Log.Debug("sharer: message lost", zap.String("peer", to.Name), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seen := range m.Seen {
		g := s.group(seen.Group)
		g.told[to] = max(g.told[to], seen.Seq)
	}
}
