package replacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

// The world's sizes and times. A step is the period of the control loop.
const (
	step      = 50 * time.Millisecond
	processes = 3
	copies    = 3
	troubled  = 8 * time.Second        // faults come and go in this time
	calm      = 14 * time.Second       // then all is well, and a leader must be there at the end
	soonest   = 300 * time.Millisecond // in which a promotion takes effect
	listed    = time.Second            // after which the store's list shows what has changed
)

// variant breaks one rule of the protocol, or none.
type variant string

const (
	whole       variant = "whole"
	silentHalts variant = "a replica that doesn't answer counts as halted"
	deafHalts   variant = "a halted replica goes on receiving"
	unlisted    variant = "a replica that isn't listed is forgotten"
	sameToken   variant = "a holder takes the token of the one before"
	forgetful   variant = "an order without an answer is given up"
	hasty       variant = "a planned change doesn't wait for the rest of the log"
	clinging    variant = "a leader that has given the lead up leads on"
)

// copyOf is one upstream.
type copyOf struct {
	id     string
	log    []int // commits, each a number that is used once
	held   uint32
	down   time.Time // until when; zero when it is up
	deaf   time.Time
	leaves bool
	was    []string // ids before, and since when the present one is there
	since  time.Time
}

// process is one proxy that may have the duty.
type process struct {
	r     Replacer
	token uint64
	cut   time.Time // from the store, the platform and some upstreams until then
	reach [copies]bool
	heard time.Time // when a holder was last heard
	known string
}

// order is a promotion that is under way.
type order struct {
	Order
	by int
	at time.Time
}

// world is a group of three upstreams, three processes and a platform.
type world struct {
	rng     *rand.Rand
	variant variant
	now     time.Time
	began   time.Time
	copies  [copies]*copyOf
	linked  [copies]bool // an upstream's link to the others
	leader  int          // none: -1
	term    uint32
	procs   [processes]*process
	store   uint64 // highest token that was given out
	seen    uint64 // highest token that the platform has seen, and by whom
	seenBy  int
	orders  []order
	next    int
	ids     int
	waiting []int // commits that the leader has and no replica confirmed
	waited  time.Time
	acked   map[int]bool
	last    time.Time // of an acknowledgement
	broken  string
}

func newWorld(seed uint64, v variant) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 11)), variant: v, now: time.Unix(1000, 0), term: 1, acked: map[int]bool{}}
	w.began = w.now
	for i := range w.copies {
		w.copies[i] = &copyOf{id: w.name()}
		w.linked[i] = true
	}
	for i := range w.procs {
		w.procs[i] = &process{r: Replacer{Group: "g"}, heard: w.now, reach: [copies]bool{true, true, true}, known: w.copies[0].id}
	}
	w.store = 1
	w.procs[0].token = 1
	return w
}

func (w *world) name() string {
	w.ids++
	return fmt.Sprint("u", w.ids)
}

func (w *world) chance(n int) bool { return w.rng.IntN(n) == 0 }

func (w *world) after(least, most time.Duration) time.Time {
	return w.now.Add(least + time.Duration(w.rng.Int64N(int64(most-least))))
}

// play runs the world to its end and returns what broke.
func (w *world) play() string {
	for w.now.Sub(w.began) < troubled+calm && w.broken == "" {
		if w.now.Sub(w.began) < troubled {
			w.harm()
		} else {
			w.heal()
		}
		w.replicate()
		w.promote()
		w.claim()
		for i := range w.procs {
			w.run(i, w.procs[i].r.Handle(Tick{View: w.view(i)}, w.now))
		}
		w.now = w.now.Add(step)
	}
	if w.broken == "" && w.now.Sub(w.last) > 2*time.Second {
		w.broken = "no leader"
	}
	return w.broken
}

// harm lets faults begin. Those of one kind end by themselves.
func (w *world) harm() {
	c := w.copies[w.rng.IntN(copies)]
	switch w.rng.IntN(160) {
	case 0, 1:
		c.down = w.after(2*time.Second, 6*time.Second)
	case 2, 3:
		c.deaf = w.after(time.Second, 6*time.Second)
	case 4:
		w.linked[w.rng.IntN(copies)] = false
	case 5:
		p := w.procs[w.rng.IntN(processes)]
		for i := range p.reach {
			p.reach[i] = w.chance(2)
		}
	case 6:
		w.procs[w.rng.IntN(processes)].cut = w.after(time.Second, 6*time.Second)
	case 7:
		w.heal()
	case 8, 9:
		if w.leader >= 0 {
			w.copies[w.leader].leaves = true
		}
	case 10:
		p := w.procs[w.rng.IntN(processes)] // it starts anew
		*p = process{r: Replacer{Group: "g"}, reach: p.reach, heard: w.now, known: p.known}
	}
}

func (w *world) heal() {
	w.linked = [copies]bool{true, true, true}
	for _, p := range w.procs {
		p.reach = [copies]bool{true, true, true}
	}
}

func (w *world) up(c *copyOf) bool { return !w.now.Before(c.down) }

// replicate lets callers write, and the log reach the replicas.
func (w *world) replicate() {
	for i, c := range w.copies {
		if !c.down.IsZero() && !w.now.Before(c.down) {
			c.down, c.held, c.leaves = time.Time{}, 0, false
			c.was, c.id, c.since = append(c.was, c.id), w.name(), w.now
			if w.leader == i {
				w.waiting = nil // it leads on, and its callers have gone
			}
		}
	}
	if w.leader < 0 || !w.up(w.copies[w.leader]) {
		w.waiting = nil
		return
	}
	from := w.copies[w.leader]
	if w.chance(3) {
		w.next++
		from.log = append(from.log, w.next)
		if len(w.waiting) == 0 {
			w.waited = w.now
		}
		w.waiting = append(w.waiting, w.next)
	}
	for i, c := range w.copies {
		halted := c.held > w.term && w.variant != deafHalts
		if i == w.leader || !w.up(c) || halted || w.now.Before(c.deaf) || !w.linked[i] || !w.linked[w.leader] || w.chance(3) {
			continue
		}
		c.log = append(c.log[:0:0], from.log[:max(len(c.log), len(from.log)-w.rng.IntN(2))]...)
	}
	w.acknowledge()
}

func (w *world) acknowledge() {
	w.waiting = slices.DeleteFunc(w.waiting, func(n int) bool {
		for i, c := range w.copies {
			if i != w.leader && slices.Contains(c.log, n) {
				w.acked[n] = true
				w.last = w.now
				w.waited = w.now
				return true
			}
		}
		return false
	})
}

// promote carries out the orders whose time has come.
func (w *world) promote() {
	due := func(o order) bool { return !w.now.Before(o.at) }
	for _, o := range w.orders {
		if !due(o) {
			continue
		}
		w.lead(o)
	}
	w.orders = slices.DeleteFunc(w.orders, due)
}

// see takes in that the platform was given an order.
func (w *world) see(o Order, by int) {
	if o.Token == w.seen && w.seenBy != by {
		w.broken = "two holders with one token"
	}
	w.seen, w.seenBy = max(w.seen, o.Token), by
}

func (w *world) lead(o order) {
	at := slices.IndexFunc(w.copies[:], func(c *copyOf) bool { return c.id == o.Upstream })
	switch {
	case o.Token < w.seen, at < 0 || !w.up(w.copies[at]):
		return
	}
	w.see(o.Order, o.by)
	if at == w.leader {
		return
	}
	c := w.copies[at]
	for n := range w.acked {
		if !slices.Contains(c.log, n) {
			w.broken = "acknowledged commit lost"
			return
		}
	}
	w.leader, w.waiting = at, nil
	w.term++
	for _, o := range w.copies {
		o.held = 0
		if o != c { // what the others have beyond it is rolled back
			o.log = slices.DeleteFunc(slices.Clone(o.log), func(n int) bool { return !slices.Contains(c.log, n) })
		}
	}
}

// claim lets another process take the duty when its holder isn't heard.
func (w *world) claim() {
	for i, p := range w.procs {
		for j, o := range w.procs {
			if o.token == w.store && (i == j || w.talk(i, j)) {
				p.heard = w.now
				if i != j {
					p.token = 0 // it hears of a higher one
				}
			}
		}
		if w.now.Sub(p.heard) > 1600*time.Millisecond+time.Duration(i)*400*time.Millisecond && !w.now.Before(p.cut) {
			if w.variant != sameToken {
				w.store += TokenBlockSize
			}
			p.token, p.heard = w.store, w.now
		}
	}
}

// talk reports whether two processes hear each other.
func (w *world) talk(i, j int) bool {
	return !w.now.Before(w.procs[i].cut) && !w.now.Before(w.procs[j].cut)
}

// bad reports whether a process finds that the leader does no work.
func (w *world) bad(i int) (reaches, stuck bool) {
	if w.leader < 0 || !w.up(w.copies[w.leader]) || !w.procs[i].reach[w.leader] {
		return false, false
	}
	return true, len(w.waiting) > 0 && w.now.Sub(w.waited) > 700*time.Millisecond
}

func (w *world) view(i int) View {
	p := w.procs[i]
	reaches, stuck := w.bad(i)
	if reaches {
		p.known = w.copies[w.leader].id
	}
	v := View{Leader: p.known, LeaderAnswers: reaches, CommitStalled: stuck, Term: epoch(w.term), Token: p.token}
	votes, against, missed := 1, 0, 0
	v.Partitioned = true
	if !reaches || stuck {
		against++
	}
	for j := range w.procs {
		if j == i || !w.talk(i, j) {
			continue
		}
		votes++
		v.Partitioned = false
		r, s := w.bad(j)
		if !r || s {
			against++
			missed++
		}
		v.ReachedByPeer = v.ReachedByPeer || r && !s
	}
	v.Dead = (!reaches || stuck) && 2*against > votes
	v.LeaderDegraded = reaches && !stuck && 5*missed >= 2*votes
	for _, c := range w.copies {
		fresh := w.now.Sub(c.since) < listed && len(c.was) > 0
		switch {
		case fresh && w.variant == unlisted, !w.up(c) && w.variant == unlisted:
		case fresh:
			v.Upstreams = append(v.Upstreams, Upstream{ID: c.was[len(c.was)-1], Unlisted: true})
		default:
			v.Upstreams = append(v.Upstreams, Upstream{ID: c.id, Leaving: c.leaves, Unlisted: !w.up(c)})
		}
	}
	return v
}

func epoch(n uint32) tracker.Term { return tracker.Term{Epoch: n} }

// run carries out what a process wants.
func (w *world) run(i int, commands []Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case Suspend:
			w.control(i, cmd.ID, func(c *copyOf) { c.held = max(c.held, cmd.Term.Epoch) })
			if w.variant == silentHalts {
				w.run(i, w.procs[i].r.Handle(UpstreamReport{ID: cmd.ID, RequestedAt: w.now, OK: true, Term: epoch(w.term), SuspendedTerm: cmd.Term, Received: w.received(cmd.ID)}, w.now))
			}
		case Resume:
			w.control(i, cmd.ID, func(c *copyOf) { c.held = 0 })
		case Poll:
			w.control(i, cmd.ID, func(*copyOf) {})
		case Demote:
			w.control(i, cmd.ID, func(c *copyOf) {
				if w.leader >= 0 && w.copies[w.leader] == c && cmd.Term.Epoch > w.term && w.variant != clinging {
					w.leader, w.waiting = -1, nil
				}
			})
			if w.variant == clinging {
				w.run(i, w.procs[i].r.Handle(UpstreamReport{ID: cmd.ID, RequestedAt: w.now, OK: true, Term: epoch(w.term), Received: w.received(cmd.ID)}, w.now))
			}
		case ReleaseLease:
			w.procs[i].token = 0
		case Promote:
			w.order(i, cmd.Order)
		}
	}
}

// received is the end of a log that nobody was asked for: a wrong holder's guess.
func (w *world) received(id string) tracker.Mark {
	for _, c := range w.copies {
		if c.id == id && w.up(c) {
			return mark(c)
		}
	}
	return tracker.Mark{}
}

func mark(c *copyOf) tracker.Mark {
	end := 0
	if len(c.log) > 0 {
		end = c.log[len(c.log)-1]
	}
	return tracker.Mark{Term: epoch(1), Pos: tracker.Position(end)}
}

// control asks an upstream; one question or answer of ten is lost.
func (w *world) control(i int, id string, do func(*copyOf)) {
	for n, c := range w.copies {
		if c.id != id || !w.up(c) || !w.procs[i].reach[n] || w.chance(20) {
			continue
		}
		do(c)
		if w.chance(20) {
			return
		}
		end := mark(c)
		if w.variant == hasty && n == w.leader {
			end = tracker.Mark{Term: epoch(1), Pos: 1}
		}
		w.run(i, w.procs[i].r.Handle(UpstreamReport{
			ID: id, RequestedAt: w.now, OK: true, Term: epoch(w.term), Leads: n == w.leader, SuspendedTerm: epoch(c.held), Received: end,
		}, w.now))
		return
	}
}

// order gives an order to the platform. It may be carried out seconds later, and its
// answer may be lost.
func (w *world) order(i int, o Order) {
	p := w.procs[i]
	if w.now.Before(p.cut) {
		return
	}
	running := slices.ContainsFunc(w.copies[:], func(c *copyOf) bool { return c.id == o.Upstream && w.up(c) })
	if o.Token < w.seen || !running {
		p.token = 0
		w.run(i, p.r.Handle(OrderAnswer{Order: o, Outcome: Rejected}, w.now))
		return
	}
	late := w.chance(4)
	at := w.now.Add(soonest)
	if late {
		at = w.after(soonest, 4*time.Second)
	}
	w.orders = append(w.orders, order{Order: o, by: i, at: at})
	if late && w.variant == forgetful {
		p.r = Replacer{Group: "g"}
	}
	if !late {
		w.see(o, i)
		w.run(i, p.r.Handle(OrderAnswer{Order: o, Outcome: Accepted}, w.now))
	}
}
