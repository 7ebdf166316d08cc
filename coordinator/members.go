package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
)

// errStopped ends a peer's request that this process no longer answers.
var errStopped = errors.New("coordinator: stopped")

// tickets connect a peer's request with the command that answers it.
type tickets struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan membership.Command
}

func (t *tickets) take() (uint64, chan membership.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[uint64]chan membership.Command)
	}
	t.last++
	ch := make(chan membership.Command, 1)
	t.open[t.last] = ch
	return t.last, ch
}

func (t *tickets) answer(ticket uint64, cmd membership.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, ok := t.open[ticket]; ok {
		delete(t.open, ticket)
		ch <- cmd
	}
}

func (t *tickets) drop(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, ticket)
}

// request hands a peer's request to the membership and waits for its answer.
func request[A membership.Command](ctx context.Context, c *Coordinator, ev func(ticket uint64) membership.Event) (A, error) {
	var none A
	ticket, ch := c.tickets.take()
	defer c.tickets.drop(ticket)
	if !c.Offer(controller.Membership{Event: ev(ticket)}) {
		return none, messenger.ErrBusy // so that peers' requests don't pile up behind a slow process
	}
	select {
	case cmd := <-ch:
		if answer, ok := cmd.(A); ok {
			return answer, nil
		}
		return none, errStopped
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.done:
		return none, errStopped
	}
}

// member carries out a command of the membership.
func (c *Coordinator) member(cmd membership.Command) {
	switch cmd := cmd.(type) {
	case membership.SendPing:
		c.question(cmd.Nonce, cmd.Deadline, func(ctx context.Context) (membership.Event, error) {
			a, err := c.Peers.Ping(ctx, cmd.To, messenger.Ping{From: cmd.From, Digest: cmd.Digest, Updates: cmd.Updates})
			return membership.Acked{Nonce: cmd.Nonce, From: a.From, Digest: a.Digest, Updates: a.Updates}, err
		})
	case membership.SendProbe:
		c.question(cmd.Nonce, cmd.Deadline, func(ctx context.Context) (membership.Event, error) {
			a, err := c.Peers.Probe(ctx, cmd.To, messenger.Probe{From: cmd.From, Target: cmd.Target})
			return membership.Relayed{Nonce: cmd.Nonce, OK: a.OK, Target: a.Target}, err
		})
	case membership.SendSync:
		c.question(cmd.Nonce, cmd.Deadline, func(ctx context.Context) (membership.Event, error) {
			a, err := c.Peers.Sync(ctx, cmd.To, messenger.Sync{Bucket: cmd.Bucket, Buckets: cmd.Buckets, Digest: cmd.Digest})
			return membership.Synced{Nonce: cmd.Nonce, Members: a.Members}, err
		})
	case membership.SendAnnounce:
		c.tells.Add(1)
		c.spawn(func(ctx context.Context) {
			defer c.tells.Done()
			c.tellLeaving(ctx, cmd)
		})
	case membership.AnswerPing:
		c.tickets.answer(cmd.Ticket, cmd)
	case membership.AnswerProbe:
		c.tickets.answer(cmd.Ticket, cmd)
	case membership.AnswerSync:
		c.tickets.answer(cmd.Ticket, cmd)
	case membership.Changed:
		members := c.Control.Members()
		c.members.Store(&members)
		if c.OnMembers != nil {
			c.OnMembers(members)
		}
		c.Log.Info("coordinator: member changed", zap.Stringer("address", cmd.Member.Addr),
			zap.String("zone", cmd.Member.Zone), zap.Stringer("health", cmd.Member.Health), zap.String("reason", string(cmd.Reason)))
	}
}

// question asks a peer and gives the membership the answer, or the failure as
// soon as it is known. A question that ran into its deadline is left to the
// membership, which ends it at the same moment by its own clock.
func (c *Coordinator) question(nonce uint64, deadline time.Time, ask func(context.Context) (membership.Event, error)) {
	c.within(deadline, func(ctx context.Context) {
		ev, err := membership.Event(nil), errStopped
		if c.Peers != nil {
			ev, err = ask(ctx)
		}
		switch {
		case errors.Is(err, messenger.ErrDeadline):
			return
		case err != nil:
			ev = membership.Failed{Nonce: nonce}
		}
		c.Tell(controller.Membership{Event: ev})
	})
}

// tellLeaving tells one peer that this process leaves. Those that miss it find out
// by their pings.
func (c *Coordinator) tellLeaving(ctx context.Context, cmd membership.SendAnnounce) {
	if c.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceWithin)
	defer cancel()
	if _, err := c.Peers.Leave(ctx, cmd.To, messenger.Leave{From: cmd.From}); err != nil {
		c.Log.Debug("coordinator: leaving not told", zap.Stringer("peer", cmd.To), zap.Error(err))
	}
}

// Leave tells the fleet that this process begins to stop: it is given no new
// work, but isn't taken for dead.
func (c *Coordinator) Leave() { c.Tell(controller.Membership{Event: membership.Leave{}}) }

// Stop tells the fleet that this process ends now, and returns when its
// neighbours know it, or after a second. Without it they would find out by pings
// that fail, and suspect it for some seconds first. Run goes on until its context
// ends.
func (c *Coordinator) Stop() {
	ctx, cancel := context.WithTimeout(c.ctx, sendWithin)
	defer cancel()
	err := c.Ask(ctx, func(ctl *controller.Controller) {
		c.run(ctl.Handle(controller.Membership{Event: membership.Stop{}}, time.Now()))
	})
	if err != nil {
		return // the others find out by pings
	}
	c.tells.Wait()
}

// send sends a message that nobody waits for. A lost one is the business of the
// state machine that asked for it.
func (c *Coordinator) send(to netip.AddrPort, f func(ctx context.Context, m *messenger.Messenger) error) {
	if c.Peers == nil {
		return
	}
	c.within(time.Now().Add(sendWithin), func(ctx context.Context) {
		if err := f(ctx, c.Peers); err != nil {
			c.Log.Debug("coordinator: message lost", zap.Stringer("peer", to), zap.Error(err))
		}
	})
}
