package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/membership"
)

// queueLength bounds the events that wait for the view. Requests of peers beyond
// it are refused as busy, so that a slow process doesn't pile them up.
const queueLength = 1024

// announceTimeout bounds the telling of one peer that this process leaves.
const announceTimeout = time.Second

// Prober owns a View. Set the exported fields before Answer and Run.
type Prober struct {
	Self      membership.Member
	Settings  membership.Settings
	Messenger *messenger.Messenger
	// Changed, if set, is told each change of belief, from the one goroutine
	// that owns the view; it must not block.
	Changed func(membership.Changed)

	once    sync.Once
	events  chan membership.Event
	stopped chan struct{}
	fleet   atomic.Pointer[membership.Fleet]
	tickets tickets
	tells   sync.WaitGroup // announcements under way
}

// tickets are the requests of peers that wait for the view's answer.
type tickets struct {
	mu   sync.Mutex
	last uint64
	open map[uint64]chan membership.Command
}

func (t *tickets) issue() (uint64, chan membership.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[uint64]chan membership.Command)
	}
	t.last++
	c := make(chan membership.Command, 1)
	t.open[t.last] = c
	return t.last, c
}

// redeem takes a ticket out; it returns nil if the peer no longer waits.
func (t *tickets) redeem(n uint64) chan membership.Command {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.open[n]
	delete(t.open, n)
	return c
}

func (p *Prober) init() {
	p.once.Do(func() {
		p.events = make(chan membership.Event, queueLength)
		p.stopped = make(chan struct{})
		p.fleet.Store(&membership.Fleet{})
	})
}

// Fleet returns what is believed now. It is empty until Run has begun.
func (p *Prober) Fleet() *membership.Fleet {
	p.init()
	return p.fleet.Load()
}

// List hands over the platform's list as it was just read.
func (p *Prober) List(instances []membership.Instance) {
	p.post(membership.Listed{Instances: instances})
}

// Leave tells the fleet that this process begins to stop.
func (p *Prober) Leave() { p.post(membership.Leave{}) }

// Stop tells the fleet that this process ends now, and waits until its
// neighbours know or announceTimeout is over.
func (p *Prober) Stop() {
	done := make(chan struct{})
	p.post(stop{done: done})
	select {
	case <-done:
		p.tells.Wait()
	case <-p.stopped:
	}
}

// stop is membership.Stop with word back that it was carried out.
type stop struct {
	membership.Stop
	done chan struct{}
}

// post gives the view an event, unless Run has ended.
func (p *Prober) post(ev membership.Event) {
	p.init()
	select {
	case p.events <- ev:
	case <-p.stopped:
	}
}

// Run owns the view until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.init()
	defer close(p.stopped)
	view := &membership.View{Self: p.Self, Settings: p.Settings, Seed: rand.Uint64()}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev membership.Event
		select {
		case ev = <-p.events:
		case <-timer.C:
			ev = membership.Tick{}
		case <-ctx.Done():
			return
		}
		p.handle(ctx, view, ev)
		timer.Reset(time.Until(view.Next()))
	}
}

func (p *Prober) handle(ctx context.Context, view *membership.View, ev membership.Event) {
	last, ends := ev.(stop)
	if ends {
		ev = last.Stop
	}
	for _, c := range view.Handle(ev, time.Now()) {
		p.carry(ctx, c)
	}
	p.fleet.Store(view.Fleet())
	if ends {
		close(last.done)
	}
}

// carry starts one command. What waits for a peer does so in its own goroutine.
func (p *Prober) carry(ctx context.Context, c membership.Command) {
	switch c := c.(type) {
	case membership.SendPing:
		go p.ping(ctx, c)
	case membership.SendProbe:
		go p.probe(ctx, c)
	case membership.SendSync:
		go p.sync(ctx, c)
	case membership.SendAnnounce:
		p.tells.Go(func() { p.announce(ctx, c) })
	case membership.AnswerPing:
		p.answer(c.Ticket, c)
	case membership.AnswerProbe:
		p.answer(c.Ticket, c)
	case membership.AnswerSync:
		p.answer(c.Ticket, c)
	case membership.Changed:
		if p.Changed != nil {
			p.Changed(c)
		}
	}
}

func (p *Prober) answer(ticket uint64, c membership.Command) {
	if waiting := p.tickets.redeem(ticket); waiting != nil {
		waiting <- c
	}
}

// fail reports a question without an answer. One that ran into its deadline is
// left to the view, which has the same deadline.
func (p *Prober) fail(nonce uint64, err error) {
	if !errors.Is(err, messenger.ErrDeadline) {
		p.post(membership.Failed{Nonce: nonce})
	}
}

func (p *Prober) ping(ctx context.Context, c membership.SendPing) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ack, err := p.Messenger.Ping(ctx, c.To, messenger.Ping{From: c.From, Digest: c.Digest, Updates: c.Updates})
	if err != nil {
		p.fail(c.Nonce, err)
		return
	}
	p.post(membership.Acked{Nonce: c.Nonce, From: ack.From, Digest: ack.Digest, Updates: ack.Updates})
}

func (p *Prober) probe(ctx context.Context, c membership.SendProbe) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r, err := p.Messenger.Probe(ctx, c.To, messenger.Probe{From: c.From, Target: c.Target})
	if err != nil {
		p.fail(c.Nonce, err)
		return
	}
	p.post(membership.Relayed{Nonce: c.Nonce, OK: r.OK, Target: r.Target})
}

func (p *Prober) sync(ctx context.Context, c membership.SendSync) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r, err := p.Messenger.Sync(ctx, c.To, messenger.Sync{Bucket: c.Bucket, Buckets: c.Buckets, Digest: c.Digest})
	if err != nil {
		p.fail(c.Nonce, err)
		return
	}
	p.post(membership.Synced{Nonce: c.Nonce, Members: r.Members})
}

func (p *Prober) announce(ctx context.Context, c membership.SendAnnounce) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, _ = p.Messenger.Leave(ctx, c.To, messenger.Leave{From: c.From}) // those that miss it find out by pings
}
