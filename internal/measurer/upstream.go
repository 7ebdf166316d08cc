package measurer

import (
	"math"
	"time"

	"basildale.example/basildale/tracker"
)

// The model of an upstream.
const (
	slots     = 5                      // statements it runs at once
	lookup    = 4 * time.Millisecond   // mean time of a lookup
	booking   = 6 * time.Millisecond   // mean time of a booking
	medianLag = 50 * time.Millisecond  // of a replica
	lagSpread = 0.5                    // standard deviation of the lag's logarithm
	lagTime   = 200 * time.Millisecond // after which the lag is drawn anew
	replicate = time.Millisecond       // step of the model of replication
)

// entry is an entry of the group's log.
type entry struct {
	at   time.Time
	term tracker.Term
}

// upstream is one copy of the group.
type upstream struct {
	w       *world
	index   int
	role    tracker.Role
	term    tracker.Term
	dead    bool
	slow    int // factor on service times
	stuck   bool
	running int
	queue   []*job
	applied int // entries of the log that it has
	lag     time.Duration
	waits   []wait
}

// job is a statement at an upstream.
type job struct {
	write bool
	start func(u *upstream)
	done  func(u *upstream, m tracker.Mark, ok bool)
}

// wait is a question that is answered when a replica is at a position.
type wait struct {
	pos  int
	done func(s tracker.State)
}

// state returns what the upstream says of itself.
func (u *upstream) state() tracker.State {
	return tracker.State{Role: u.role, Term: u.term, Mark: u.mark()}
}

// mark returns the end of its log.
func (u *upstream) mark() tracker.Mark {
	if u.applied == 0 {
		return tracker.Mark{}
	}
	return tracker.Mark{Term: u.w.log[u.applied-1].term, Pos: tracker.Position(u.applied)}
}

// add lets a job run when a slot is free.
func (u *upstream) add(j *job) {
	u.queue = append(u.queue, j)
	u.next()
}

func (u *upstream) next() {
	for u.running < slots && len(u.queue) > 0 && !u.dead {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		j.start(u)
		mean := lookup
		if j.write {
			mean = booking
		}
		d := time.Duration(float64(mean) * u.w.random.ExpFloat64() * float64(u.slow))
		u.w.clock.After(d, func() { u.finish(j) })
	}
}

func (u *upstream) finish(j *job) {
	u.running--
	if u.dead {
		j.done(u, tracker.Mark{}, false)
		return
	}
	var m tracker.Mark
	ok := true
	if j.write {
		m, ok = u.commit()
	}
	j.done(u, m, ok)
	u.next()
}

// commit adds an entry to the log, if the upstream is the primary.
func (u *upstream) commit() (tracker.Mark, bool) {
	if u.role != tracker.Primary {
		return tracker.Mark{}, false
	}
	u.w.log = append(u.w.log, entry{at: u.w.clock.Now, term: u.term})
	u.applied = len(u.w.log)
	return u.mark(), true
}

// apply lets a replica take over what is older than its lag, and answers the
// questions that waited for it.
func (u *upstream) apply() {
	if u.role != tracker.Replica || u.dead || u.stuck {
		return
	}
	horizon := u.w.clock.Now.Add(-u.lag)
	for u.applied < len(u.w.log) && !u.w.log[u.applied].at.After(horizon) {
		u.applied++
	}
	left := u.waits[:0]
	for _, x := range u.waits {
		if u.applied < x.pos {
			left = append(left, x)
			continue
		}
		x.done(u.state())
	}
	u.waits = left
}

// redraw draws the replica's lag.
func (u *upstream) redraw() {
	u.lag = time.Duration(float64(medianLag) * math.Exp(lagSpread*u.w.random.NormFloat64()))
}

// promote makes the replica that is furthest the primary of the next term. What
// no replica had is lost; none of it was acknowledged.
func (w *world) promote() {
	best := -1
	for i, u := range w.upstreams {
		if !u.dead && (best < 0 || u.applied > w.upstreams[best].applied) {
			best = i
		}
	}
	lead := w.upstreams[best]
	term := tracker.Term{Epoch: lead.term.Epoch + 1}
	w.log = w.log[:lead.applied]
	for _, u := range w.upstreams {
		u.term = term
		u.applied = min(u.applied, len(w.log))
		u.waits = nil
	}
	lead.role = tracker.Primary
}
