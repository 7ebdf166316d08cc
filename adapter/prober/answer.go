package prober

import (
	"context"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/membership"
)

// errImpostor refuses a statement about the sender that names another address
// than the one for which its connection was authenticated.
var errImpostor = errors.New("prober: sender speaks for another address")

// Answer sets the functions of h that concern membership.
func (p *Prober) Answer(h *messenger.Handler) {
	h.Ping = p.answerPing
	h.Probe = p.answerProbe
	h.Sync = p.answerSync
	h.Leave = p.answerLeave
}

// ask gives the view an event made with a new ticket and waits for the answer.
func (p *Prober) ask(ctx context.Context, event func(ticket uint64) membership.Event) (membership.Command, error) {
	p.init()
	ticket, answer := p.tickets.issue()
	defer p.tickets.redeem(ticket)
	select {
	case p.events <- event(ticket):
	default:
		return nil, messenger.ErrBusy
	}
	select {
	case c := <-answer:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *Prober) answerPing(ctx context.Context, from messenger.Peer, q messenger.Ping) (messenger.Ack, error) {
	if q.From.Addr != from.Addr {
		return messenger.Ack{}, errImpostor
	}
	c, err := p.ask(ctx, func(ticket uint64) membership.Event {
		return membership.Pinged{Ticket: ticket, From: q.From, Digest: q.Digest, Updates: q.Updates}
	})
	a, ok := c.(membership.AnswerPing)
	if !ok {
		return messenger.Ack{}, err
	}
	return messenger.Ack{From: a.From, Digest: a.Digest, Updates: a.Updates}, nil
}

func (p *Prober) answerProbe(ctx context.Context, from messenger.Peer, q messenger.Probe) (messenger.Probed, error) {
	if q.From.Addr != from.Addr {
		return messenger.Probed{}, errImpostor
	}
	c, err := p.ask(ctx, func(ticket uint64) membership.Event {
		return membership.Asked{Ticket: ticket, From: q.From, Target: q.Target}
	})
	a, ok := c.(membership.AnswerProbe)
	if !ok {
		return messenger.Probed{}, err
	}
	return messenger.Probed{OK: a.OK, Target: a.Target}, nil
}

func (p *Prober) answerSync(ctx context.Context, _ messenger.Peer, q messenger.Sync) (messenger.Synced, error) {
	c, err := p.ask(ctx, func(ticket uint64) membership.Event {
		return membership.SyncAsked{Ticket: ticket, Bucket: q.Bucket, Buckets: q.Buckets, Digest: q.Digest}
	})
	a, ok := c.(membership.AnswerSync)
	switch {
	case !ok:
		return messenger.Synced{}, err
	case a.Busy:
		return messenger.Synced{}, messenger.ErrBusy
	}
	return messenger.Synced{Members: a.Members}, nil
}

func (p *Prober) answerLeave(_ context.Context, from messenger.Peer, q messenger.Leave) (messenger.Empty, error) {
	if q.From.Addr != from.Addr {
		return messenger.Empty{}, errImpostor
	}
	p.post(membership.Announced{From: q.From})
	return messenger.Empty{}, nil
}
