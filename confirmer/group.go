package confirmer

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

const (
	// pollFor is how long a poll waits in the replica.
	pollFor = 100 * time.Millisecond
	// grace is how much later than that its answer may come before the replica
	// counts as silent.
	grace = 100 * time.Millisecond
	// pause is the time between polls of a replica that answers early without
	// confirming (it isn't at the term yet), or doesn't answer.
	pause = 10 * time.Millisecond
	// longestPause bounds the pause, which doubles with each failure.
	longestPause = 320 * time.Millisecond
	// sampleEvery is the least time between samples.
	sampleEvery = 50 * time.Millisecond
	// samples is over how many answers that confirmed something the lag is taken.
	samples = 4
	// soonest and latest bound the time to come back after a refusal.
	soonest = 100 * time.Millisecond
	latest  = 2 * time.Second
)

// replica is what the group knows of one replica.
type replica struct {
	addr  netip.AddrPort
	state tracker.State
	known bool
	// polling: a poll is out; at answerBy it counts as failed.
	polling  bool
	mark     tracker.Mark
	answerBy time.Time
	// pollAt is the earliest time of the next poll.
	pollAt   time.Time
	failures int
}

// Group is the state machine for one database group in one proxy. The zero value
// works. Its methods belong to one goroutine at a time; the slices they return
// are valid until the next call.
type Group struct {
	term     tracker.Term
	replicas []replica
	waiting  queue
	// confirmed is the furthest mark that a replica holds at term.
	confirmed tracker.Mark
	// delays are the last confirmations' delays, newest at (count-1)%samples.
	delays  [samples]time.Duration
	count   int
	refused bool
	sampled time.Time
	out     []Command
}

// Term returns the current term.
func (g *Group) Term() tracker.Term { return g.term }

// Waiting returns how many writes wait.
func (g *Group) Waiting() int { return len(g.waiting.items) }

// Wrote takes a write that waits for its confirmation.
func (g *Group) Wrote(w Wrote, now time.Time) []Command {
	g.out = g.out[:0]
	if g.term.Less(w.Term) {
		// The primary of that term has answered, so the term has begun, though
		// Change is still on its way here. Taken for replaced, the first writes
		// after a promotion would end as unknown for nothing.
		g.raise(w.Term)
	}
	switch {
	case w.Term != g.term:
		g.end(Unknown, Replaced, w.ID)
	case !g.confirmed.IsZero() && !g.confirmed.Less(w.Mark):
		g.end(Ack, Confirmed, w.ID)
	default:
		g.waiting.push(pending{id: w.ID, mark: w.Mark, since: now, deadline: w.Deadline})
	}
	g.poll(now)
	return g.out
}

// Polled takes a replica's state and acknowledges what it confirms.
func (g *Group) Polled(p Polled, now time.Time) []Command {
	g.out = g.out[:0]
	r := g.replica(p.Upstream)
	if r == nil {
		return g.out
	}
	if p.Solicited {
		r.polling = false
		r.pollAt = now
		if !Confirms(p.State, g.term, r.mark) {
			// Early or empty answer: without a pause this would spin.
			r.pollAt = now.Add(pause)
		}
	}
	r.state = p.State
	r.known = true
	r.failures = 0
	g.advance(r, now)
	g.poll(now)
	return g.out
}

// PollFailed takes a poll that got no answer or an error.
func (g *Group) PollFailed(upstream netip.AddrPort, now time.Time) []Command {
	g.out = g.out[:0]
	if r := g.replica(upstream); r != nil {
		r.fail(now)
	}
	g.poll(now)
	return g.out
}

// Change takes another term or list of replicas. Writes of an earlier term are
// unknown from here on: the new primary may or may not have them.
func (g *Group) Change(c Change, now time.Time) []Command {
	g.out = g.out[:0]
	if c.Term.Less(g.term) {
		return g.out
	}
	if g.term.Less(c.Term) {
		g.raise(c.Term)
	}
	old := g.replicas
	g.replicas = make([]replica, 0, len(c.Replicas))
	for _, addr := range c.Replicas {
		r := replica{addr: addr}
		for _, o := range old {
			if o.addr == addr {
				r = o
			}
		}
		r.pollAt = now
		g.replicas = append(g.replicas, r)
	}
	g.poll(now)
	return g.out
}

// raise begins a later term.
func (g *Group) raise(term tracker.Term) {
	for _, p := range g.waiting.items {
		g.end(Unknown, Replaced, p.id)
	}
	g.waiting.items = g.waiting.items[:0]
	g.confirmed = tracker.Mark{}
	g.count = 0
	g.refused = false
	g.term = term
}

// Tick does what is due: writes past their deadline, polls without an answer, the
// next polls and samples.
func (g *Group) Tick(now time.Time) []Command {
	g.out = g.out[:0]
	if at := g.waiting.earliest(); !at.IsZero() && !now.Before(at) {
		g.expire(now)
	}
	for i := range g.replicas {
		r := &g.replicas[i]
		if r.polling && !now.Before(r.answerBy) {
			r.fail(now)
		}
	}
	g.poll(now)
	return g.out
}

// Next returns when Tick wants to be called at the latest; zero: not before
// another event.
func (g *Group) Next() time.Time {
	next := g.waiting.earliest()
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for i := range g.replicas {
		r := &g.replicas[i]
		switch {
		case r.polling:
			sooner(r.answerBy)
		case g.wants(r):
			sooner(r.pollAt)
		}
	}
	if g.refused && !g.sampling() {
		sooner(g.sampled.Add(sampleEvery))
	}
	return next
}

func (g *Group) replica(addr netip.AddrPort) *replica {
	for i := range g.replicas {
		if g.replicas[i].addr == addr {
			return &g.replicas[i]
		}
	}
	return nil
}

func (g *Group) end(k Kind, why Reason, id uint64) {
	if id != 0 {
		g.out = append(g.out, Command{Kind: k, Reason: why, ID: id})
	}
}

// advance acknowledges what the replica's state confirms. The writes that wait are
// all of the current term: those of others left in Change, so this is the last
// look at the term.
func (g *Group) advance(r *replica, now time.Time) {
	if !Confirms(r.state, g.term, g.confirmed) {
		return
	}
	g.confirmed = r.state.Mark
	before := len(g.waiting.items)
	var longest time.Duration
	for len(g.waiting.items) > 0 && !g.confirmed.Less(g.waiting.items[0].mark) {
		p := g.waiting.pop()
		longest = max(longest, now.Sub(p.since))
		g.end(Ack, Confirmed, p.id)
	}
	if len(g.waiting.items) < before {
		g.sample(longest)
	}
}

func (g *Group) expire(now time.Time) {
	kept := g.waiting.items[:0]
	var longest time.Duration
	for _, p := range g.waiting.items {
		if p.deadline.IsZero() || now.Before(p.deadline) {
			kept = append(kept, p)
			continue
		}
		longest = max(longest, now.Sub(p.since))
		g.end(Unknown, Late, p.id)
	}
	if len(kept) < len(g.waiting.items) {
		g.sample(beyond * longest)
	}
	g.waiting.items = kept
	g.waiting.heapify()
}

// wants reports whether the replica should be polled when its time comes.
func (g *Group) wants(r *replica) bool {
	return len(g.waiting.items) > 0 || !r.known || g.refused && r.failures > 0
}

// poll sends one poll to each replica that has none out, for the lowest mark that
// waits: that one is confirmed first, and the answer confirms all up to it.
func (g *Group) poll(now time.Time) {
	if g.refused && !now.Before(g.sampled.Add(sampleEvery)) && !g.sampling() {
		g.sampled = now
		g.refused = false
		g.out = append(g.out, Command{Kind: Sample, Reason: Lagging})
	}
	for i := range g.replicas {
		r := &g.replicas[i]
		if r.polling || !g.wants(r) || now.Before(r.pollAt) {
			continue
		}
		why := Learning
		r.mark = tracker.Mark{}
		if len(g.waiting.items) > 0 {
			r.mark = g.waiting.items[0].mark
			why = Waiting
		}
		r.polling = true
		until := now.Add(pollFor)
		r.answerBy = until.Add(grace)
		g.out = append(g.out, Command{
			Kind: Poll, Reason: why, Upstream: r.addr, Mark: r.mark, Until: until,
		})
	}
}

// sampling reports whether a sample waits to be confirmed.
func (g *Group) sampling() bool {
	for _, p := range g.waiting.items {
		if p.id == 0 {
			return true
		}
	}
	return false
}

func (r *replica) fail(now time.Time) {
	r.polling = false
	r.pollAt = now.Add(min(pause<<min(r.failures, 8), longestPause))
	r.failures++
}
