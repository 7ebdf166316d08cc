package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
)

// Handler returns what answers peers. The methods that concern traffic (marks,
// cancel requests) are the caller's to add.
func (c *Coordinator) Handler() messenger.Handler {
	c.once.Do(c.prepare)
	return messenger.Handler{
		Ping:    c.pinged,
		Probe:   c.asked,
		Sync:    c.syncAsked,
		Leave:   c.left,
		Have:    c.have,
		Suspect: c.suspected,
		Primary: c.announced,
		Explain: c.explained,
	}
}

// errImpostor refuses a statement that a sender makes of itself under another
// address than the one for which its connection was authenticated. Otherwise any
// peer with a fault could declare any member dead, and the member's own
// contradiction would be the only remedy.
var errImpostor = errors.New("coordinator: sender speaks for another address")

func (c *Coordinator) pinged(ctx context.Context, from messenger.Peer, req messenger.Ping) (messenger.Ack, error) {
	if req.From.Addr != from.Addr {
		return messenger.Ack{}, errImpostor
	}
	a, err := request[membership.AnswerPing](ctx, c, func(ticket uint64) membership.Event {
		return membership.Pinged{Ticket: ticket, From: req.From, Digest: req.Digest, Updates: req.Updates}
	})
	return messenger.Ack{From: a.From, Digest: a.Digest, Updates: a.Updates}, err
}

func (c *Coordinator) asked(ctx context.Context, from messenger.Peer, req messenger.Probe) (messenger.Probed, error) {
	if req.From.Addr != from.Addr {
		return messenger.Probed{}, errImpostor
	}
	a, err := request[membership.AnswerProbe](ctx, c, func(ticket uint64) membership.Event {
		return membership.Asked{Ticket: ticket, From: req.From, Target: req.Target}
	})
	return messenger.Probed{OK: a.OK, Target: a.Target}, err
}

func (c *Coordinator) syncAsked(ctx context.Context, _ messenger.Peer, req messenger.Sync) (messenger.Synced, error) {
	a, err := request[membership.AnswerSync](ctx, c, func(ticket uint64) membership.Event {
		return membership.SyncAsked{Ticket: ticket, Bucket: req.Bucket, Buckets: req.Buckets, Digest: req.Digest}
	})
	if a.Busy {
		return messenger.Synced{}, messenger.ErrBusy // an empty answer would mean that the views are equal
	}
	return messenger.Synced{Members: a.Members}, err
}

func (c *Coordinator) left(_ context.Context, from messenger.Peer, req messenger.Leave) (messenger.Empty, error) {
	if req.From.Addr != from.Addr {
		return messenger.Empty{}, errImpostor
	}
	c.Tell(controller.Membership{Event: membership.Announced{From: req.From}})
	return messenger.Empty{}, nil
}

func (c *Coordinator) suspected(_ context.Context, _ messenger.Peer, req messenger.SuspectReport) (messenger.Empty, error) {
	c.Tell(controller.Promotion{Group: req.Group, Event: promoter.Reported{
		From: req.From, Zone: req.Zone, Upstream: req.Upstream, Term: req.Term, Suspect: req.Suspect, Claim: req.Claim,
	}})
	return messenger.Empty{}, nil
}

func (c *Coordinator) announced(_ context.Context, _ messenger.Peer, req messenger.PrimaryAnnounce) (messenger.Empty, error) {
	ev := promoter.Announced{From: req.From, Primary: req.Primary, Term: req.Term, Version: req.Version}
	if req.Version > 0 {
		if err := json.Unmarshal(req.Record, &ev.Record); err != nil {
			return messenger.Empty{}, errors.Wrap(err, "coordinator: record")
		}
	}
	if req.Hold > 0 {
		ev.Hold = time.Now().Add(time.Duration(req.Hold) * time.Millisecond)
	}
	c.Tell(controller.Promotion{Group: req.Group, Event: ev})
	return messenger.Empty{}, nil
}

// explained answers a peer that collects the fleet's decisions.
func (c *Coordinator) explained(ctx context.Context, _ messenger.Peer, req messenger.ExplainQuery) (messenger.Explanation, error) {
	list, err := c.Explain(ctx, req.Subject, req.Limit)
	if err != nil {
		return messenger.Explanation{}, err
	}
	payload, err := json.Marshal(list)
	return messenger.Explanation{Payload: payload}, errors.Wrap(err, "coordinator: encode")
}

// Explain returns the last decisions about a subject, the newest last.
func (c *Coordinator) Explain(ctx context.Context, subject string, limit int) ([]controller.Decision, error) {
	var list []controller.Decision
	err := c.Ask(ctx, func(ctl *controller.Controller) { list = ctl.Ring.Last(subject, limit) })
	return list, err
}
