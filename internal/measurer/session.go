package measurer

import (
	"fmt"
	"time"

	"basildale.example/basildale/tracker"
)

// The model of the callers.
const (
	think         = 100 * time.Millisecond // mean time between statements
	writeEvery    = 10                     // one statement in so many is a booking
	client        = 1500 * time.Microsecond
	lookupLimit   = 250 * time.Millisecond
	bookingLimit  = time.Second
	reconnectTime = 20 * time.Millisecond
)

// session is a caller's session.
type session struct {
	key    tracker.Key
	use    Use
	a, b   int          // the proxies it uses
	acked  tracker.Mark // of its latest acknowledged write
	marked map[int]conn // by proxy: what its connection there knows
}

// conn is what a proxy keeps of an unnamed session, that is of a connection.
type conn struct {
	mark  tracker.Mark
	known bool
}

// stream is one sequence of statements of a session.
type stream struct {
	w     *world
	s     *session
	first bool
	turn  int
}

// statement is one statement on its way.
type statement struct {
	id       uint64
	t        *stream
	proxy    int
	write    bool
	need     tracker.Mark // what it must see
	deadline time.Time
	issued   time.Time
	arrived  time.Time
	patience time.Time
	mark     tracker.Mark
	ready    int // what a write's acknowledgement has of the two things it needs
	over     bool
	asked    bool
}

// newSession makes the ith session and lets its streams begin.
func (w *world) newSession(i int) {
	use := w.c.Use
	if use == Blend {
		use = [...]Use{Stay, Stay, Stay, Stay, Stay, Move, Move, Alternate, Alternate, Double}[i%10]
	}
	s := &session{
		key:    tracker.Key{Tenant: "t", Session: fmt.Sprint("s", i), Group: "g"},
		use:    use,
		a:      i % proxies,
		b:      (i + 1 + i/proxies%(proxies-1)) % proxies,
		marked: make(map[int]conn),
	}
	streams := 1
	if use == Double {
		streams = 2
	}
	for n := range streams {
		t := &stream{w: w, s: s, first: n == 0}
		w.clock.After(warmUp+w.exp(think), t.issue)
	}
}

// proxy returns the proxy for the next statement.
func (t *stream) proxy() int {
	p := t.s.a
	switch t.s.use {
	case Move:
		if t.w.clock.Now.After(t.w.half) {
			p = t.s.b
		}
	case Alternate:
		if t.turn%2 == 1 {
			p = t.s.b
		}
	case Double:
		if !t.first {
			p = t.s.b
		}
	}
	for t.w.proxies[p].dead {
		p = (p + 1) % proxies
	}
	return p
}

// issue sends the next statement.
func (t *stream) issue() {
	w := t.w
	if w.clock.Now.After(w.end) {
		return
	}
	w.ids++
	st := &statement{id: w.ids, t: t, proxy: t.proxy(), need: t.s.acked, issued: w.clock.Now}
	t.turn++
	limit := lookupLimit
	if st.write = w.random.IntN(writeEvery) == 0; st.write {
		limit = bookingLimit
		w.result.Bookings++
		w.result.Weight += 2
	} else {
		w.result.Lookups++
		w.result.Weight++
	}
	st.deadline = w.clock.Now.Add(limit)
	w.clock.After(client, func() { w.proxies[st.proxy].arrive(st) })
	w.clock.At(st.deadline, func() { st.end(false) })
}

// end ends a statement for its caller, who goes on after a while.
func (st *statement) end(ok bool) {
	if st.over {
		return
	}
	st.over = true
	w := st.t.w
	if ok {
		w.result.InTime++
		if st.write {
			w.result.InTime++
		} else {
			w.result.latencies = append(w.result.latencies, w.clock.Now.Sub(st.issued))
		}
	}
	w.clock.After(w.exp(think), st.t.issue)
}

// reply brings the answer to the caller.
func (st *statement) reply() {
	w := st.t.w
	w.clock.After(client, func() {
		if st.write && !st.over && st.t.s.acked.Less(st.mark) {
			st.t.s.acked = st.mark
		}
		st.end(true)
	})
}

// refuse gives the statement up at once.
func (st *statement) refuse() {
	if !st.over {
		st.t.w.result.Refused++
	}
	st.t.w.clock.After(client, func() { st.end(false) })
}
