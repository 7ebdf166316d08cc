package coordinator

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

const (
	// recordKind is the platform's kind of the groups' records.
	recordKind = "group"
	// stepWithin bounds one order to an upstream. The promoter repeats it sooner
	// than that where it needs to.
	stepWithin = time.Second
	// platformWithin bounds a call about a group's record.
	platformWithin = 3 * time.Second
)

// promote carries out a command of a group's promoter.
func (c *Coordinator) promote(group string, cmd promoter.Command) {
	switch cmd := cmd.(type) {
	case promoter.Probe:
		c.within(time.Now().Add(stepWithin), func(ctx context.Context) { c.state(ctx, group, cmd.Upstream, false) })
	case promoter.Fence:
		c.step(group, promoter.Fencing, cmd.Upstream, cmd.Term, netip.AddrPort{}, cmd.Reason)
	case promoter.Promote:
		c.step(group, promoter.Promoting, cmd.Upstream, cmd.Term, netip.AddrPort{}, cmd.Reason)
	case promoter.Follow:
		c.step(group, promoter.Following, cmd.Upstream, cmd.Term, cmd.Primary, cmd.Reason)
	case promoter.Report:
		c.report(group, cmd)
	case promoter.Announce:
		c.announce(group, cmd)
	case promoter.Load:
		c.within(time.Now().Add(platformWithin), func(ctx context.Context) { c.load(ctx, group) })
	case promoter.Save:
		c.within(time.Now().Add(platformWithin), func(ctx context.Context) { c.save(ctx, group, cmd) })
	case promoter.Moved:
		c.Log.Info("coordinator: planned change of the primary ended", zap.String("group", group),
			zap.Stringer("outcome", cmd.Outcome), zap.String("reason", cmd.Reason))
	}
}

// step carries out an order to an upstream.
func (c *Coordinator) step(group string, step promoter.Step, to netip.AddrPort, term tracker.Term, primary netip.AddrPort, reason string) {
	c.Log.Info("coordinator: order to an upstream", zap.String("group", group), zap.Stringer("step", step),
		zap.Stringer("upstream", to), zap.Stringer("term", term), zap.String("reason", reason))
	c.within(time.Now().Add(stepWithin), func(ctx context.Context) {
		sent := time.Now()
		answer, err := c.order(ctx, step, to, term, primary)
		outcome := outcomeOf(err)
		c.Tell(controller.Promotion{Group: group, Event: promoter.Stepped{
			Step: step, Upstream: to, Term: term, Outcome: outcome, State: answer.State,
		}})
		if outcome == promoter.Done {
			c.stated(group, to, answer, sent)
		}
	})
}

func (c *Coordinator) order(ctx context.Context, step promoter.Step, to netip.AddrPort, term tracker.Term, primary netip.AddrPort) (commander.Answer, error) {
	switch step {
	case promoter.Fencing:
		return c.Upstreams.Fence(ctx, to, term)
	case promoter.Promoting:
		return c.Upstreams.Promote(ctx, to, term)
	default:
		return c.Upstreams.Follow(ctx, to, term, primary)
	}
}

// outcomeOf sorts an error of a command: only a refusal proves that nothing has
// changed. An order that was never sent counts as lost all the same, since the
// same order may have been sent before.
func outcomeOf(err error) promoter.Outcome {
	switch {
	case err == nil:
		return promoter.Done
	case errors.Is(err, commander.ErrStale):
		return promoter.Rejected
	default:
		return promoter.Lost
	}
}

// state asks an upstream for its state. Sampling tells the promoter of silence,
// a probe doesn't: it has its own timer.
func (c *Coordinator) state(ctx context.Context, group string, upstream netip.AddrPort, sampling bool) {
	sent := time.Now()
	answer, err := c.Upstreams.State(ctx, upstream)
	if err == nil {
		c.stated(group, upstream, answer, sent)
		return
	}
	trouble := troubleOf(err)
	if ctx.Err() != nil {
		if !sampling || c.ctx.Err() != nil {
			return
		}
		trouble = promoter.Quiet
	}
	c.Tell(controller.Failed{Group: group, Upstream: upstream, Trouble: trouble})
	if alive(err) {
		c.Tell(controller.Promotion{Group: group, Event: promoter.Answered{Upstream: upstream}})
	}
}

// troubleOf tells a process that isn't there from all other trouble. Two refusals
// make the promoter replace a primary, so nothing else may count as one.
func troubleOf(err error) promoter.Trouble {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return promoter.Refused
	}
	return promoter.Broken
}

// operatorClass begins the SQLSTATEs of an upstream that starts or stops.
const operatorClass = "57"

// alive reports whether the error is an upstream's own word. One that has run out
// of connections (53300) turns the probes of all proxies away while it works at
// its best: taken for silence, that would replace it. One that starts or stops
// answers too, but it doesn't serve.
func alive(err error) bool {
	var said *pgconn.PgError
	return errors.As(err, &said) && !strings.HasPrefix(said.Code, operatorClass)
}

func (c *Coordinator) stated(group string, upstream netip.AddrPort, answer commander.Answer, sent time.Time) {
	c.Tell(controller.Stated{
		Group: group, Upstream: upstream, State: answer.State, Following: answer.Primary,
		Sent: sent, Received: time.Now(),
	})
}

func (c *Coordinator) report(group string, cmd promoter.Report) {
	for _, id := range cmd.To {
		to, ok := controller.MemberAddress(id)
		if !ok {
			continue
		}
		c.send(to, func(ctx context.Context, m *messenger.Messenger) error {
			_, err := m.Suspect(ctx, to, messenger.SuspectReport{
				Group: group, From: c.self(), Zone: c.Control.Self.Zone, Upstream: cmd.Upstream,
				Term: cmd.Term, Suspect: cmd.Suspect, Claim: cmd.Claim,
			})
			return err
		})
	}
}

func (c *Coordinator) self() string {
	return controller.MemberID(c.Control.Self.Addr, c.Control.Self.Start)
}

func (c *Coordinator) announce(group string, cmd promoter.Announce) {
	a := messenger.PrimaryAnnounce{
		Group: group, From: c.self(), Primary: cmd.Primary, Term: cmd.Term, Version: cmd.Version,
	}
	if cmd.Version > 0 {
		record, err := json.Marshal(cmd.Record)
		if err != nil {
			panic(errors.Wrap(err, "coordinator: a record can't be encoded"))
		}
		a.Record = record
	}
	if !cmd.Hold.IsZero() {
		a.Hold = max(1, time.Until(cmd.Hold).Milliseconds())
	}
	for _, to := range c.recipients(cmd.To) {
		c.send(to, func(ctx context.Context, m *messenger.Messenger) error {
			_, err := m.Primary(ctx, to, a)
			return err
		})
	}
}

// recipients returns the addresses of the named proxies, or of all others.
func (c *Coordinator) recipients(ids []string) []netip.AddrPort {
	var list []netip.AddrPort
	if ids == nil {
		for _, m := range c.Control.Members() {
			if m.Addr != c.Control.Self.Addr {
				list = append(list, m.Addr)
			}
		}
		return list
	}
	for _, id := range ids {
		if to, ok := controller.MemberAddress(id); ok {
			list = append(list, to)
		}
	}
	return list
}

func (c *Coordinator) load(ctx context.Context, group string) {
	ev := promoter.Loaded{Outcome: promoter.Lost}
	if c.Platform != nil {
		ev = loaded(c.Platform.Get(ctx, recordKind, group))
	}
	c.Tell(controller.Promotion{Group: group, Event: ev})
}

func loaded(o keeper.Object, err error) promoter.Loaded {
	if errors.Is(err, keeper.ErrMissing) {
		return promoter.Loaded{Outcome: promoter.Done}
	}
	record, ok := recordOf(o, err)
	if !ok {
		return promoter.Loaded{Outcome: promoter.Lost}
	}
	return promoter.Loaded{Outcome: promoter.Done, Record: record, Version: o.Version}
}

func recordOf(o keeper.Object, err error) (promoter.Record, bool) {
	var record promoter.Record
	if err != nil || o.Decode(&record) != nil {
		return promoter.Record{}, false
	}
	return record, true
}

func (c *Coordinator) save(ctx context.Context, group string, cmd promoter.Save) {
	ev := promoter.Saved{Outcome: promoter.Lost, Nonce: cmd.Record.Nonce}
	if c.Platform != nil {
		o, err := c.Platform.Put(ctx, recordKind, group, cmd.Version, cmd.Record)
		ev = saved(cmd, o, err)
	}
	c.Tell(controller.Promotion{Group: group, Event: ev})
}

func saved(cmd promoter.Save, o keeper.Object, err error) promoter.Saved {
	ev := promoter.Saved{Outcome: promoter.Lost, Nonce: cmd.Record.Nonce}
	var conflict *keeper.ConflictError
	switch {
	case err == nil:
		ev.Outcome, ev.Record, ev.Version = promoter.Done, cmd.Record, o.Version
	case errors.As(err, &conflict):
		record, ok := recordOf(conflict.Current, nil)
		if ok || conflict.Current.Version == 0 {
			ev.Outcome, ev.Record, ev.Version = promoter.Rejected, record, conflict.Current.Version
		}
	}
	return ev
}
