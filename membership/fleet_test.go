package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"basildale.example/basildale/internal/modeler"
)

// Bytes of a message beside the statements in it, as adapter/messenger sends
// them (its TestBytes holds these figures), and of the TCP/IP headers: one
// segment for each message and one bare acknowledgement for each exchange.
const (
	pingBytes   = 158
	ackBytes    = 120
	probeBytes  = 182
	probedBytes = 103
	syncBytes   = 137
	syncedBytes = 44
	quoteBytes  = 3 // two quotes and a comma around each statement
	frameBytes  = 66
)

// fleet is an event queue with one View for each process: messages take a
// latency, can be lost or cut off, and processes can stop, restart and pause.
type fleet struct {
	modeler.Clock
	rng   *rand.Rand
	procs []*proc
	at    map[netip.AddrPort]*proc

	loss float64
	cut  func(from, to *proc) bool

	messages int
	changes  []change
	wrong    string // the first thing that mustn't have happened
}

// proc is one process and the host it runs on.
type proc struct {
	view    *View
	zone    string
	up      bool // false: nobody listens, connections are refused
	gone    bool // the host has vanished: no answer at all
	paused  time.Time
	timer   time.Time // of the event that is queued
	bytes   int       // sent and received
	tickets map[uint64]func(Command)
	ticket  uint64
}

type change struct {
	at time.Time
	by *proc
	Changed
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(seed, 1)),
		at: make(map[netip.AddrPort]*proc),
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 7600)
		p := &proc{zone: fmt.Sprintf("zone-%d", i%3)}
		f.procs = append(f.procs, p)
		f.at[addr] = p
		p.view = &View{Self: Member{Addr: addr, Zone: p.zone}}
	}
	return f
}

// boot starts a process, as a new one if there was one before. It knows only the
// platform's list.
func (f *fleet) boot(p *proc, start uint64) {
	f.load(p, start)
	f.give(p, Listed{Instances: f.list()})
}

func (f *fleet) load(p *proc, start uint64) {
	p.view = &View{Self: Member{Addr: p.view.Self.Addr, Start: start, Zone: p.zone}, Seed: f.rng.Uint64()}
	p.up, p.tickets = true, make(map[uint64]func(Command))
	p.timer = time.Time{}
}

func (f *fleet) list() []Instance {
	var out []Instance
	for _, p := range f.procs {
		if !p.gone {
			out = append(out, Instance{Addr: p.view.Self.Addr, Zone: p.zone})
		}
	}
	return out
}

// warm starts all processes with full views.
func (f *fleet) warm() {
	for _, p := range f.procs {
		f.load(p, 1000)
	}
	var group sync.WaitGroup // each view is its own until the first event
	for _, p := range f.procs {
		group.Go(func() {
			p.view.start(f.Now)
			for _, q := range f.procs {
				p.view.merge(q.view.Self, f.Now, false)
			}
			p.view.out = nil
		})
	}
	group.Wait()
	list := Listed{Instances: f.list()}
	for _, p := range f.procs {
		f.give(p, list)
	}
}

// give hands an event to a process, once it isn't paused, and carries out what
// it wants.
func (f *fleet) give(p *proc, ev Event) {
	view := p.view
	if p.paused.After(f.Now) {
		f.After(p.paused.Sub(f.Now), func() {
			if p.view == view {
				f.give(p, ev)
			}
		})
		return
	}
	if !p.up {
		return
	}
	for _, c := range view.Handle(ev, f.Now) {
		f.carry(p, c)
	}
	if next := view.Next(); p.timer.IsZero() || next.Before(p.timer) {
		p.timer = next
		f.After(next.Sub(f.Now), func() { f.fire(p, view, next) })
	}
}

func (f *fleet) fire(p *proc, view *View, at time.Time) {
	if p.view != view {
		return
	}
	if p.timer.Equal(at) {
		p.timer = time.Time{}
	}
	f.give(p, Tick{})
}

func (f *fleet) carry(p *proc, c Command) {
	switch c := c.(type) {
	case SendPing:
		f.exchange(p, c.To, c.Nonce, pingBytes, c.Updates, func(ticket uint64) Event {
			return Pinged{Ticket: ticket, From: c.From, Digest: c.Digest, Updates: c.Updates}
		})
	case SendProbe:
		f.exchange(p, c.To, c.Nonce, probeBytes, nil, func(ticket uint64) Event {
			return Asked{Ticket: ticket, From: c.From, Target: c.Target}
		})
	case SendSync:
		f.exchange(p, c.To, c.Nonce, syncBytes, nil, func(ticket uint64) Event {
			return SyncAsked{Ticket: ticket, Bucket: c.Bucket, Buckets: c.Buckets, Digest: c.Digest}
		})
	case SendAnnounce:
		f.exchange(p, c.To, 0, probeBytes, nil, func(uint64) Event { return Announced{From: c.From} })
	case AnswerPing:
		f.reply(p, c.Ticket, c)
	case AnswerProbe:
		f.reply(p, c.Ticket, c)
	case AnswerSync:
		f.reply(p, c.Ticket, c)
	case Changed:
		f.changes = append(f.changes, change{at: f.Now, by: p, Changed: c})
	}
}

func size(base int, ms []Member) int {
	n := base + frameBytes
	for _, m := range ms {
		n += len(m.append(nil)) + quoteBytes
	}
	return n
}

// send delivers bytes from one process to another, unless they are lost.
func (f *fleet) send(from, to *proc, bytes int, run func()) {
	f.messages++
	from.bytes += bytes
	if to == nil || to.gone || from.gone || (f.cut != nil && f.cut(from, to)) || f.rng.Float64() < f.loss {
		return
	}
	latency := time.Millisecond + time.Duration(f.rng.Int64N(int64(time.Millisecond)))
	f.After(latency, func() {
		to.bytes += bytes
		run()
	})
}

// exchange sends a question and routes its answer back.
func (f *fleet) exchange(p *proc, addr netip.AddrPort, nonce uint64, base int, ms []Member, ask func(uint64) Event) {
	to, view := f.at[addr], p.view
	back := func(ev Event) {
		if p.view == view {
			f.give(p, ev)
		}
	}
	f.send(p, to, size(base, ms), func() {
		if !to.up {
			f.send(to, p, frameBytes, func() { back(Failed{Nonce: nonce}) })
			return
		}
		to.ticket++
		to.tickets[to.ticket] = func(c Command) {
			ev, bytes := answer(c, nonce)
			f.send(to, p, bytes+frameBytes, func() { back(ev) })
		}
		f.give(to, ask(to.ticket))
	})
}

// answer turns an answering command into the asking side's event. Its bytes are
// without the frame of the bare acknowledgement.
func answer(c Command, nonce uint64) (Event, int) {
	switch c := c.(type) {
	case AnswerPing:
		return Acked{Nonce: nonce, From: c.From, Digest: c.Digest, Updates: c.Updates}, size(ackBytes, c.Updates)
	case AnswerProbe:
		return Relayed{Nonce: nonce, OK: c.OK, Target: c.Target}, size(probedBytes, nil)
	case AnswerSync:
		if c.Busy {
			return Failed{Nonce: nonce}, size(syncedBytes, nil)
		}
		return Synced{Nonce: nonce, Members: c.Members}, size(syncedBytes, c.Members)
	default:
		panic("not an answer")
	}
}

func (f *fleet) reply(p *proc, ticket uint64, c Command) {
	send := p.tickets[ticket]
	delete(p.tickets, ticket)
	send(c)
}

// stop ends a process at once, vanish its host.
func (f *fleet) stop(p *proc) { p.up = false }

func (f *fleet) vanish(p *proc) { p.up, p.gone = false, true }

// deaths counts the reports that a process which runs is dead.
func (f *fleet) deaths() int {
	n := 0
	for _, c := range f.changes {
		target := f.at[c.Member.Addr]
		if c.Reason == Expired && target.up && target.view.Self.Start == c.Member.Start {
			n++
		}
	}
	return n
}

// reasons counts the changes of one reason.
func (f *fleet) reasons(r Reason) int {
	n := 0
	for _, c := range f.changes {
		if c.Reason == r {
			n++
		}
	}
	return n
}

// agree returns "" if each process that runs sees exactly the processes of its
// part that run, and otherwise the first difference. Same says who is of the
// same part. Both the views and the processes are sorted by address.
func (f *fleet) agree(same func(a, b *proc) bool) string {
	for _, p := range f.procs {
		if !p.up {
			continue
		}
		live := p.view.Live()
		for _, q := range f.procs {
			if !q.up || !same(p, q) {
				continue
			}
			if len(live) == 0 {
				return fmt.Sprintf("%s doesn't see %s", p.view.Self.Addr, q.view.Self.Addr)
			}
			if m := live[0]; m.Addr != q.view.Self.Addr || m.Start != q.view.Self.Start {
				return fmt.Sprintf("%s sees %s, start %d, want %s, start %d",
					p.view.Self.Addr, m.Addr, m.Start, q.view.Self.Addr, q.view.Self.Start)
			}
			live = live[1:]
		}
		if len(live) > 0 {
			return fmt.Sprintf("%s sees %s, which isn't there", p.view.Self.Addr, live[0].Addr)
		}
	}
	return ""
}

func all(_, _ *proc) bool { return true }
