package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/confirmer"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

const (
	// pollGrace is what a poll may take beyond the time the replica waits.
	pollGrace = time.Second
	// sampleWithin bounds an entry without effect in the primary's log.
	sampleWithin = time.Second
	// askWithin bounds one question about a state.
	askWithin = 200 * time.Millisecond
)

// Confirm holds a write's answer back until a replica has the write, and keeps
// the session's mark. Only Done lets the caller know of the write.
func (d *Dispatcher) Confirm(ctx context.Context, t relayer.Target, mark tracker.Mark, r *relayer.Request) retrier.Outcome {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := d.group(t.Group)
	kept := d.keep(ctx, mark, r)
	end := g.confirm.Wait(t.Term, mark, r.Deadline)
	if end.Kind != confirmer.Ack || kept() != nil {
		return retrier.Outcome{Kind: retrier.Unknown, Cause: retrier.Unconfirmed}
	}
	if r.Notes.Mark.Less(mark) {
		r.Notes.Mark = mark
	}
	return retrier.Outcome{Kind: retrier.Done}
}

// keep hands the mark of a named session's write to the session's home, while a
// replica confirms the write, so that it seldom costs time of its own. The
// function returned waits for the end.
func (d *Dispatcher) keep(ctx context.Context, mark tracker.Mark, r *relayer.Request) func() error {
	if r.Notes.Session == "" {
		return func() error { return nil }
	}
	key := keyOf(r)
	done := make(chan error, 1)
	go func() { done <- d.Marks.Wrote(ctx, key, mark) }()
	return func() error { return <-done }
}

// order carries out a command of a group's confirmer.
func (d *Dispatcher) order(g *group, cmd confirmer.Command) {
	switch cmd.Kind {
	case confirmer.Poll:
		go d.poll(g, cmd)
	case confirmer.Sample:
		go d.sample(g)
	}
}

// poll waits for a replica to reach a mark. Its answer is a state like any
// other, so the tracker gets it too.
func (d *Dispatcher) poll(g *group, cmd confirmer.Command) {
	ctx, cancel := context.WithDeadline(context.Background(), cmd.Until.Add(pollGrace))
	defer cancel()
	sent := time.Now()
	answer, err := d.Upstreams.Wait(ctx, cmd.Upstream, cmd.Mark, cmd.Until)
	if err != nil {
		g.confirm.PollFailed(cmd.Upstream)
		return
	}
	g.confirm.Polled(confirmer.Polled{Upstream: cmd.Upstream, State: answer.State, Solicited: true})
	d.stated(g, cmd.Upstream, answer, sent)
}

// stated gives an upstream's answer to the control side: every answer about a
// state is a sample and a sign of life, whoever asked.
func (d *Dispatcher) stated(g *group, upstream netip.AddrPort, answer commander.Answer, sent time.Time) {
	d.Control.Offer(controller.Stated{
		Group: g.name, Upstream: upstream, State: answer.State, Following: answer.Primary,
		Sent: sent, Received: time.Now(),
	})
}

// Ask asks every upstream of a group for its state, for package finder.
func (d *Dispatcher) Ask(name string, answer finder.Answer) {
	g := d.group(name)
	v := g.view.Load()
	if v == nil {
		return
	}
	for i, u := range v.Upstreams {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askWithin)
			defer cancel()
			sent := time.Now()
			state, err := d.Upstreams.State(ctx, u.Address)
			if err != nil {
				return
			}
			answer(i, len(v.Upstreams), state.State)
			d.stated(g, u.Address, state, sent)
		}()
	}
}

// sample puts an entry without effect into the primary's log, by settling an ID
// that no request has.
func (d *Dispatcher) sample(g *group) {
	v := g.view.Load()
	if v == nil || v.Snapshot.Primary == tracker.None {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleWithin)
	defer cancel()
	s, err := d.Upstreams.Settle(ctx, v.Upstreams[v.Snapshot.Primary].Address, "sample-"+time.Now().Format(time.RFC3339Nano))
	if err == nil {
		g.confirm.Sampled(v.Snapshot.Term, s.Mark)
	}
}

// Decide says what follows on an attempt that brought no answer.
func (d *Dispatcher) Decide(group string, r *retrier.Request, o retrier.Outcome) retrier.Decision {
	return d.Policy.Decide(r, d.group(group).budget, o, time.Now())
}

// Settled says what follows on a settling step.
func (d *Dispatcher) Settled(group string, r *retrier.Request, s retrier.Settlement) retrier.Decision {
	return d.Policy.Settled(r, d.group(group).budget, s, time.Now())
}

// settleWithin bounds one settling step. The retrier repeats it while there is
// time.
const settleWithin = 300 * time.Millisecond

// Settle asks the primary what became of a request. Done is only said once a
// replica has the mark that the primary names: before that, the primary's word
// could still be lost with it.
func (d *Dispatcher) Settle(ctx context.Context, name, id string, r *relayer.Request) retrier.Settlement {
	g := d.group(name)
	v := g.view.Load()
	if v == nil || v.Snapshot.Primary == tracker.None {
		return retrier.SettleFailed
	}
	deadline := time.Now().Add(settleWithin)
	if r.Deadline.Before(deadline) {
		deadline = r.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	primary := v.Upstreams[v.Snapshot.Primary].Address
	s, err := d.Upstreams.Settle(ctx, primary, id)
	if err != nil {
		return retrier.SettleFailed
	}
	if !d.confirmed(g, v, s.Mark, r.Deadline) {
		return retrier.SettleFailed
	}
	if s.Done {
		if d.keep(ctx, s.Mark, r)() != nil {
			return retrier.SettleFailed
		}
		if r.Notes.Mark.Less(s.Mark) {
			r.Notes.Mark = s.Mark
		}
		return retrier.SettledDone
	}
	return retrier.SettledNotRun
}

// confirmed waits until a replica holds what a settling step has found or
// recorded. "not run" needs it as much as "done": a replaced primary's refusal
// of the ID is worth nothing while another log may hold the write.
func (d *Dispatcher) confirmed(g *group, v *view, mark tracker.Mark, deadline time.Time) bool {
	return g.confirm.Wait(v.Snapshot.Term, mark, deadline).Kind == confirmer.Ack
}

// troubleOf sorts an outcome for the promoter; ok is false where it says nothing
// about the upstream's health.
func troubleOf(o retrier.Outcome) (t promoter.Trouble, ok bool) {
	switch o.Cause {
	case retrier.Lost:
		return promoter.Broken, true
	case retrier.NeverSent:
		return promoter.Broken, true
	case retrier.Fenced:
		return promoter.Stale, true
	default:
		return 0, false
	}
}
