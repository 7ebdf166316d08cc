package router

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basildale.example/basildale/tracker"
)

// TestMain fixes the seed and the size of the property test, so that each run
// tries the same cases. The flags of rapid try others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "5000", "rapid.steps": "120"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// record is an entry of a log.
type record struct {
	id   int
	term tracker.Term
}

// member is an upstream as it truly is.
type member struct {
	role tracker.Role
	term tracker.Term
	log  []record
}

func (m *member) state() tracker.State {
	s := tracker.State{Role: m.role, Term: m.term}
	if n := len(m.log); n > 0 {
		s.Mark = tracker.Mark{Term: m.log[n-1].term, Pos: tracker.Position(n)}
	}
	return s
}

// done is an acknowledged write.
type done struct {
	id   int
	mark tracker.Mark
	at   time.Time
}

// truth is a group as it truly is, and what a proxy has heard of it.
type truth struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	members [3]member
	lead    int // the true primary
	cut     int // a former primary that is cut off, or -1
	deaf    int // an upstream that the proxy doesn't hear, or -1
	ids     int
	acked   []done
	group   tracker.Group
	snaps   []*tracker.Snapshot
	asked   []tracker.Sample // questions under way, with the answer if Received is set
	replica int              // decisions for a replica so far
}

// draw returns a number in a range, all equally likely. Those that rapid draws
// itself are mostly small, and in a world where little time passes little goes
// wrong.
func (w *truth) draw(from, to int) int { return from + w.random.IntN(to-from+1) }

// write adds an entry to a primary's log. The one that is cut off writes too.
func (w *truth) write() {
	i := w.lead
	if w.cut >= 0 && w.draw(0, 3) == 0 {
		i = w.cut
	}
	w.ids++
	m := &w.members[i]
	m.log = append(m.log, record{id: w.ids, term: m.term})
}

// replicate lets a replica take some entries over. What two have is acknowledged.
func (w *truth) replicate() {
	i := w.draw(0, 2)
	m, lead := &w.members[i], &w.members[w.lead]
	if i == w.cut || i == w.lead || m.role != tracker.Replica || m.term != lead.term {
		return
	}
	for range w.draw(1, 5) {
		n := len(m.log)
		if n >= len(lead.log) {
			return
		}
		r := lead.log[n]
		m.log = append(m.log, r)
		mark := tracker.Mark{Term: r.term, Pos: tracker.Position(n + 1)}
		if r.term == lead.term && !slices.ContainsFunc(w.acked, func(d done) bool { return d.id == r.id }) {
			w.acked = append(w.acked, done{id: r.id, mark: mark, at: w.now})
		}
	}
}

// promote cuts the primary off and lets the one that is furthest of the others
// take over.
func (w *truth) promote() {
	if w.cut >= 0 {
		w.heal()
		return
	}
	w.cut = w.lead
	w.deaf = w.draw(-1, 2)
	a, b := (w.cut+1)%3, (w.cut+2)%3
	if w.members[a].state().Mark.Less(w.members[b].state().Mark) {
		a, b = b, a
	}
	term := tracker.Term{Epoch: w.members[w.cut].term.Epoch + 1}
	w.members[a].role, w.members[a].term = tracker.Primary, term
	w.lead = a
	w.follow(b)
}

// heal lets the one that was cut off follow the primary.
func (w *truth) heal() {
	w.follow(w.cut)
	w.cut, w.deaf = -1, -1
}

// follow lets a member follow the primary: what that one lacks is dropped.
func (w *truth) follow(i int) {
	m, lead := &w.members[i], &w.members[w.lead]
	m.role, m.term = tracker.Replica, lead.term
	n := 0
	for n < len(m.log) && n < len(lead.log) && m.log[n] == lead.log[n] {
		n++
	}
	m.log = m.log[:n]
}

// sample asks an upstream, lets one answer, or takes an answer in.
func (w *truth) sample() {
	if len(w.asked) < 6 {
		for i := range w.members {
			if i != w.deaf {
				w.asked = append(w.asked, tracker.Sample{Upstream: i, Sent: w.now})
			}
		}
	}
	i := w.draw(0, len(w.asked)-1)
	q := &w.asked[i]
	if q.Received.IsZero() {
		q.State, q.Received = w.members[q.Upstream].state(), w.now
		return
	}
	q.Received = w.now
	w.group.Observe(*q)
	w.asked = slices.Delete(w.asked, i, i+1)
	w.snaps = append(w.snaps, w.group.Snapshot())
}

// poll asks all upstreams and has their answers at once, but for one maybe.
func (w *truth) poll() {
	sent := w.now
	for i := range w.members {
		if i == w.deaf || w.draw(0, 5) == 0 {
			continue
		}
		s := w.members[i].state()
		w.now = w.now.Add(time.Duration(w.draw(0, 3)) * time.Millisecond)
		w.group.Observe(tracker.Sample{Upstream: i, State: s, Sent: sent, Received: w.now})
	}
	w.snaps = append(w.snaps, w.group.Snapshot())
}

// decide routes a read and holds the decision against the truth.
func (w *truth) decide() {
	if len(w.snaps) == 0 {
		return
	}
	r := Request{Known: true, Random: uint64(w.draw(0, 1000))}
	need := -1
	if n := len(w.acked); n > 0 {
		need = w.draw(max(0, n-4), n-1)
		r.Mark = w.acked[need].mark
	}
	if w.draw(0, 2) > 0 {
		r.Age = time.Duration(1<<w.draw(0, 7)) * time.Millisecond
	}
	snap := w.snaps[len(w.snaps)-1-max(0, w.draw(-4, min(2, len(w.snaps)-1)))]
	d := Decide(&r, snap, NewLoad(3, 1, epoch), w.now)
	if d.Action != Go {
		return
	}
	if d.Target != snap.Primary {
		w.replica++
		if _, ok := snap.Age(d.Target, w.now); !ok {
			w.t.Fatalf("replica %d of unknown age", d.Target)
		}
	}
	log := w.members[d.Target].log
	for i, a := range w.acked {
		must := i == need || r.Age > 0 && !a.at.After(w.now.Add(-r.Age))
		if must && !slices.ContainsFunc(log, func(r record) bool { return r.id == a.id }) {
			w.t.Fatalf("%v to %d at %v: write %d (%v, acknowledged %v ago, age %v, mark %v) is not there",
				d.Reason, d.Target, w.now.Sub(epoch), a.id, a.mark, w.now.Sub(a.at), r.Age, r.Mark)
		}
	}
}

// Symptom: a read misses a write of its session, or one older than it allows.
//
// Sequence: any order of writes, replication, samples that are late or come out
// of order, primaries that are replaced and go on, views that are not the latest.
//
// Cause: a position taken for newer than it was.
func TestNoReadBelowItsMarkOrAboveItsAge(t *testing.T) {
	replicas := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := &truth{t: t, random: random, now: epoch, cut: -1, deaf: -1, group: tracker.Group{Local: make([]bool, 3), History: 8}}
		for i := range w.members {
			w.members[i] = member{role: tracker.Replica, term: tracker.Term{Epoch: 1}}
		}
		w.members[0].role = tracker.Primary
		step := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) {
				w.t = t
				w.now = w.now.Add(time.Duration(w.draw(0, 8)) * time.Millisecond)
				f()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": step(w.write), "replicate": step(w.replicate), "replicate more": step(w.replicate),
			"sample": step(w.sample), "sample more": step(w.sample), "poll": step(w.poll),
			"decide": step(w.decide), "decide more": step(w.decide), "decide most": step(w.decide),
			"promote": step(func() {
				if w.draw(0, 2) == 0 {
					w.promote()
				}
			}),
		})
		replicas += w.replica
	})
	t.Log(replicas)
	is.New(t).True(replicas > 1000) // or the test shows little
}

// Symptom: a step of the wall clock makes replicas look younger than they are.
//
// Sequence: the clock is set back between a sample and a decision.
//
// Cause: a time that has lost its monotonic reading on its way, by which Go
// takes differences as long as it is there.
func TestTimesKeepTheirMonotonicReading(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(strings.Contains(now.String(), "m="))
	g := tracker.Group{Local: make([]bool, 3)}
	for i, role := range []tracker.Role{tracker.Primary, tracker.Replica, tracker.Replica} {
		s := tracker.State{Role: role, Term: tracker.Term{Epoch: 1}, Mark: mark(1)}
		g.Observe(tracker.Sample{Upstream: i, State: s, Sent: now, Received: now})
	}
	for _, v := range g.Snapshot().Upstreams {
		is.True(strings.Contains(v.Fresh.String(), "m="))
	}
}
