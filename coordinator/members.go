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
	c.Tell(controller.Membership{Event: ev(ticket)})
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
		c.within(cmd.Deadline, func(ctx context.Context) { c.ping(ctx, cmd) })
	case membership.SendProbe:
		c.within(cmd.Deadline, func(ctx context.Context) { c.probe(ctx, cmd) })
	case membership.SendSync:
		c.within(cmd.Deadline, func(ctx context.Context) { c.sync(ctx, cmd) })
	case membership.SendAnnounce:
		c.send(cmd.To, func(ctx context.Context, m *messenger.Messenger) error {
			_, err := m.Leave(ctx, cmd.To, messenger.Leave{From: cmd.From})
			return err
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

// reply gives the membership the answer to a question, or its failure: a probe
// without either would stay open until its own deadline.
func (c *Coordinator) reply(nonce uint64, err error, ev membership.Event) {
	if err != nil {
		ev = membership.Failed{Nonce: nonce}
	}
	c.Tell(controller.Membership{Event: ev})
}

func (c *Coordinator) ping(ctx context.Context, cmd membership.SendPing) {
	if c.Peers == nil {
		c.reply(cmd.Nonce, errStopped, nil)
		return
	}
	a, err := c.Peers.Ping(ctx, cmd.To, messenger.Ping{From: cmd.From, Digest: cmd.Digest, Updates: cmd.Updates})
	c.reply(cmd.Nonce, err, membership.Acked{Nonce: cmd.Nonce, From: a.From, Digest: a.Digest, Updates: a.Updates})
}

func (c *Coordinator) probe(ctx context.Context, cmd membership.SendProbe) {
	a, err := c.Peers.Probe(ctx, cmd.To, messenger.Probe{From: cmd.From, Target: cmd.Target})
	c.reply(cmd.Nonce, err, membership.Relayed{Nonce: cmd.Nonce, OK: a.OK, Target: a.Target})
}

func (c *Coordinator) sync(ctx context.Context, cmd membership.SendSync) {
	a, err := c.Peers.Sync(ctx, cmd.To, messenger.Sync{Bucket: cmd.Bucket, Buckets: cmd.Buckets, Digest: cmd.Digest})
	c.reply(cmd.Nonce, err, membership.Synced{Nonce: cmd.Nonce, Members: a.Members})
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
