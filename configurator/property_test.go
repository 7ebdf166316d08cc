package configurator

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// letter is a message on its way.
type letter struct {
	from, to netip.AddrPort
	message  Message
}

// call is a watch on its way, of one life of a member.
type call struct {
	self  Member
	relay *Relay
	cmd   Watch
}

// world is a few relays whose messages and watches are answered in any order,
// twice, late or never.
type world struct {
	t       *rapid.T
	now     time.Time
	relays  map[netip.AddrPort]*Relay
	members []Member
	mail    []letter
	watches []call
	history Store
	log     []Object // every change ever
}

func (w *world) member(t *rapid.T) Member {
	return w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
}

func (w *world) handle(m Member, ev Event) {
	r := w.relays[m.Address]
	before := r.Version()
	for _, c := range r.Handle(ev, w.now) {
		switch c := c.(type) {
		case Watch:
			w.watches = append(w.watches, call{m, r, c})
		case TellPeer:
			w.mail = append(w.mail, letter{m.Address, c.Peer, c.Message()})
		case SendPeer:
			w.mail = append(w.mail, letter{m.Address, c.Peer, c.Message()})
		}
	}
	if r.Version() < before {
		w.t.Fatalf("%s: version fell from %d to %d by %#v", m.Address, before, r.Version(), ev)
	}
}

// put stores the next version of an object.
func (w *world) put(o Object) {
	o.Version = w.history.Version() + 1
	w.history.take(o)
	w.log = append(w.log, o)
}

func (w *world) start(m Member) {
	w.relays[m.Address] = &Relay{Self: m}
	w.handle(m, MembersChanged{Members: w.members})
}

// deliver takes a message off the pile, or leaves it there to come again.
func (w *world) deliver(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "letter")
	l := w.mail[i]
	if !rapid.Bool().Draw(t, "again") {
		w.mail = slices.Delete(w.mail, i, i+1)
	}
	for _, m := range w.members {
		if m.Address == l.to {
			w.handle(m, l.message.Event(l.from))
		}
	}
}

func (w *world) answerWatch(t *rapid.T) {
	if len(w.watches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.watches)-1).Draw(t, "watch")
	c := w.watches[i]
	w.watches = slices.Delete(w.watches, i, i+1)
	if w.relays[c.self.Address] != c.relay {
		return // who asked is gone
	}
	if rapid.Bool().Draw(t, "fails") {
		w.handle(c.self, WatchFailed{Seq: c.cmd.Seq})
		return
	}
	limit := rapid.SampledFrom([]int{1, 1 << 20}).Draw(t, "limit") // the page may be cut
	d := w.history.Since(c.cmd.After, limit)
	w.handle(c.self, WatchAnswered{Seq: c.cmd.Seq, After: c.cmd.After, Items: d.Items, More: !d.whole()})
}

// lie sends a delta that no honest peer would: it starts too late, goes
// backwards, or claims a head that it doesn't have.
func (w *world) lie(t *rapid.T) {
	to := w.member(t)
	d := w.history.Since(uint64(rapid.IntRange(0, int(w.history.Version())).Draw(t, "from")), 1<<20)
	d.Head += 10
	if rapid.Bool().Draw(t, "backwards") {
		d.Items = slices.Clone(d.Items)
		slices.Reverse(d.Items)
	}
	w.handle(to, PeerSent{Peer: w.member(t).Address, Delta: d})
	w.handle(to, PeerTold{Peer: w.member(t).Address, Tell: Tell{Version: d.Head}})
}

// check compares a relay's store with the history: every object must be as it
// was at the store's version.
func (w *world) check(r *Relay) {
	want := make(map[string]uint64)
	for _, o := range w.log {
		if o.Version <= r.Version() {
			want[o.Name] = o.Version
		}
	}
	for name, v := range want {
		if have, _ := r.store.Get(name); have.Version != v {
			w.t.Fatalf("at version %d %s is at %d and should be at %d", r.Version(), name, have.Version, v)
		}
	}
	if !r.Serving() || r.Version() == 0 {
		return
	}
	if got := len(r.Config().Workspaces); got != 1 {
		w.t.Fatalf("serving at version %d with %d presets in force", r.Version(), got)
	}
}

// Versions never fall, nothing within a version is missing, and exactly one
// preset is in force at every serving member, in any interleaving; and when the
// faults end, all come to the last version.
func TestAnyInterleaving(t *testing.T) {
	objects := exampleObjects(t)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), relays: make(map[netip.AddrPort]*Relay)}
		for _, o := range objects {
			w.put(o)
		}
		for i := range 5 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
			w.members = append(w.members, Member{Address: addr, Zone: fmt.Sprint("zone-", i%2)})
		}
		for _, m := range w.members {
			w.start(m)
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver": w.deliver,
			"watch":   w.answerWatch,
			"lie":     w.lie,
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				w.handle(w.member(t), Ticked{})
			},
			"restart": func(t *rapid.T) { w.start(w.member(t)) },
			"change": func(t *rapid.T) {
				w.put(objects[rapid.IntRange(0, len(objects)-1).Draw(t, "object")])
			},
			"": func(*rapid.T) {
				for _, r := range w.relays {
					w.check(r)
				}
			},
		})
		w.settle()
	})
}

// settle lets everything arrive in order until all have the last version.
func (w *world) settle() {
	for range 400 {
		w.now = w.now.Add(tickEvery)
		for _, m := range w.members {
			w.handle(m, Ticked{})
		}
		watches := w.watches
		w.watches = nil
		for _, c := range watches {
			if w.relays[c.self.Address] != c.relay {
				continue
			}
			d := w.history.Since(c.cmd.After, 1<<20)
			if len(d.Items) == 0 && c.cmd.Until.After(w.now) {
				w.watches = append(w.watches, c)
				continue
			}
			w.handle(c.self, WatchAnswered{Seq: c.cmd.Seq, After: c.cmd.After, Items: d.Items, More: !d.whole()})
		}
		for delivered := 0; len(w.mail) > 0; delivered++ {
			if delivered > 10_000 {
				w.t.Fatalf("messages beget messages without end, the next is %+v", w.mail[0])
			}
			l := w.mail[0]
			w.mail = w.mail[1:]
			w.handle(w.members[slices.IndexFunc(w.members, func(m Member) bool { return m.Address == l.to })], l.message.Event(l.from))
		}
	}
	for _, m := range w.members {
		if r := w.relays[m.Address]; r.Version() != w.history.Version() || !r.Serving() {
			w.t.Fatalf("%s is at version %d of %d, serving %t", m.Address, r.Version(), w.history.Version(), r.Serving())
		}
	}
}
