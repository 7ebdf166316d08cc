package forwarder

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/internal/matcher"
)

// outcome is what callers got in one part of a run.
type outcome struct {
	asked, served, refused, inDoubt int
	firstServed                     time.Duration // from the begin of the part
	promisedLate                    int           // refusals that name a time after the deadline
}

// call sends statements from several processes for some time, half of them writes.
func (r *reachFleet) call(d time.Duration) outcome {
	var mu sync.Mutex
	var out outcome
	var calls sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		n := r.nodes[[]int{0, 6, 13, 3}[i%4]]
		if !n.get(&n.dead) {
			calls.Go(func() {
				job := &carrier.Job{Request: fmt.Sprint(i), Writes: i%2 == 0, Freshness: cataloger.Latest, Workspace: fmt.Sprint("w", i%5), Arrived: time.Now(), Deadline: time.Now().Add(800 * time.Millisecond)}
				text := "read"
				if job.Writes {
					text = "write"
				}
				runner, _ := n.f.Group("g")
				a := runner.Run(job, carrier.Command{Verb: carrier.Read, ID: fmt.Sprint(began.UnixNano(), i), Text: text})
				mu.Lock()
				defer mu.Unlock()
				out.add(a, time.Since(began), time.Until(job.Deadline))
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	return out
}

func (o *outcome) add(a carrier.Answer, at, left time.Duration) {
	o.asked++
	switch a.Code {
	case carrier.OK:
		if o.served == 0 {
			o.firstServed = at
		}
		o.served++
	case carrier.InDoubt, carrier.Timeout:
		o.inDoubt++
	default:
		o.refused++
		if cause, text, ok := strings.Cut(a.Text, "; come back in "); ok && cause != "upstream is overloaded" { // that delay is of admission
			if delay, err := time.ParseDuration(text); err != nil || delay > max(left, 50*time.Millisecond) {
				o.promisedLate++
			}
		}
	}
}

func (r *reachFleet) setCut(nodes ...int) {
	for _, i := range nodes {
		r.nodes[i].set(&r.nodes[i].cut, true)
	}
}

// borrowers returns the processes that stand in for gateways.
func (r *reachFleet) borrowers() []*node {
	var out []*node
	for _, n := range r.nodes {
		if g, _ := n.reg.Group("g"); g.IsSubstitute() && !n.get(&n.dead) {
			out = append(out, n)
		}
	}
	return out
}

func (r *reachFleet) stop() {
	for _, n := range r.nodes {
		n.resume()
	}
	close(r.stopped)
	r.running.Wait()
	for _, n := range r.nodes {
		n.reg.Stop()
	}
	time.Sleep(5 * time.Second) // messages on their way
}

func (n *node) pause() {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	n.resumed = make(chan struct{})
}

func (n *node) resume() {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	if n.isPaused() {
		close(n.resumed)
	}
}

func (n *node) kill() {
	n.set(&n.dead, true)
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	for l := range n.r.open {
		if l.n == n {
			delete(n.r.open, l)
		}
	}
}

// scenario is something that happens while loans are in use, and what it guards against.
type scenario struct {
	name   string
	happen func(r *reachFleet, borrower *node)
}

func scenarios() []scenario {
	return []scenario{
		// A substitute that is gone must not be named until its loan ends.
		{"borrower dies", func(_ *reachFleet, b *node) { b.kill() }},
		// Its loans must end although nobody recalls them.
		{"lender dies", func(r *reachFleet, _ *node) { r.nodes[1].kill() }},
		// Both sides must end the loan by their own clocks.
		{"link between them cut", func(r *reachFleet, b *node) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for i := range gatewayCount {
				r.cutLinks[[2]int{i, b.index}] = true
			}
		}},
		// It must not renew a loan that has ended.
		{"lender paused", func(r *reachFleet, _ *node) {
			r.nodes[1].pause()
			time.AfterFunc(3*time.Second, r.nodes[1].resume)
		}},
		// It must close its connections before it serves again.
		{"borrower paused", func(_ *reachFleet, b *node) {
			b.pause()
			time.AfterFunc(3*time.Second, b.resume)
		}},
		// A process that is stopped must return its loans, or recall them.
		{"borrower leaves", func(_ *reachFleet, b *node) { b.set(&b.leaving, true) }},
		{"lender leaves", func(r *reachFleet, _ *node) { r.nodes[1].set(&r.nodes[1].leaving, true) }},
		// Loans of the old leader must end.
		{"leader changes", func(r *reachFleet, _ *node) { r.lead("b") }},
		// Connections to a leader that is leaving must not be lent.
		{"leader drains", func(r *reachFleet, _ *node) {
			for _, n := range r.nodes {
				n.reg.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Leaving: true, Slots: 4}, {ID: "b", Group: "g", Slots: 4}})
			}
		}},
		// A borrower that becomes a gateway must not use its loan and its share together.
		{"gateways change", func(r *reachFleet, b *node) {
			r.nodes[1].set(&r.nodes[1].gateway, false)
			r.divide(1)
			b.set(&b.gateway, true)
			r.divide(b.index)
		}},
		// Loans must be returned, and statements be refused as without them.
		{"switched off", func(r *reachFleet, _ *node) {
			for _, n := range r.nodes {
				n.set(&n.isOn, false)
			}
		}},
		// Both sides must use the connections again one after the other.
		{"leader reached again", func(r *reachFleet, _ *node) {
			for _, n := range r.nodes {
				n.set(&n.cut, false)
			}
		}},
	}
}

// lead makes another upstream the leader.
func (r *reachFleet) lead(id string) {
	r.mu.Lock()
	r.leader = id
	r.mu.Unlock()
	for _, n := range r.nodes {
		n.list()
	}
}

func (r *reachFleet) divide(i int) {
	r.nodes[i].reg.DivideConnections(nodeCount, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
}

// doubled returns how many writes took effect more than once.
func (r *reachFleet) doubled() int {
	n := 0
	for _, times := range r.applied {
		if times > 1 {
			n++
		}
	}
	return n
}

func (r *reachFleet) lines(message string) int {
	return r.logs.FilterMessage("forwarder: " + message).Len()
}

// words returns the outcome in words, which do not depend on the order of goroutines.
func (o *outcome) words() string {
	share := func(n int) string {
		for _, w := range []struct {
			percent int
			word    string
		}{{90, "nearly all"}, {50, "most"}, {30, "some"}} {
			if 100*n >= w.percent*o.asked {
				return w.word
			}
		}
		return "few or none"
	}
	return fmt.Sprintf("served %s, refused %s, in doubt or timed out %s, told to come back after the deadline %s", share(o.served), share(o.refused), share(o.inDoubt), share(o.promisedLate))
}

func (o *outcome) String() string {
	return fmt.Sprintf("asked %d, served %d, refused %d, in doubt or timed out %d, told too late %d, first served after %v", o.asked, o.served, o.refused, o.inDoubt, o.promisedLate, o.firstServed)
}

// reachingNodes are cut nowhere: four of the eight processes that are no gateways.
func cutNodes() []int { return []int{0, 1, 2, 3, 4, 5, 6, 8, 10, 12} }

// What callers get while no gateway reaches the leader and four other processes do.
func TestGroupIsServedThroughSubstitutes(t *testing.T) {
	var golden strings.Builder
	for _, on := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newReachFleet(on)
			r.call(time.Second)
			r.setCut(cutNodes()...)
			first := r.call(time.Second)
			rest := r.call(4 * time.Second)
			t.Logf("substitutes %t: %s; then %s", on, &first, &rest)
			fmt.Fprintf(&golden, "substitutes %t, first second: %s\n", on, first.words())
			fmt.Fprintf(&golden, "substitutes %t, 4 s more:     %s\n", on, rest.words())
			is.Equal(r.doubled(), 0)
			is.True(r.maxOpen <= gatewayCount*nodeShare)
			is.True(r.maxLoan <= nodeShare-delegator.Kept)
			if on {
				is.True(first.served > 0) // within a second of the cut
				is.True(len(r.borrowers()) > 0)
				is.Equal(rest.promisedLate, 0)
				samples := 0 // for the replica reads of a gateway without the leader
				for range 20 {
					if _, ok := r.nodes[0].f.Sample("g"); ok {
						samples++
					}
				}
				is.True(samples >= 10) // some are asked of gateways without a substitute
			} else {
				is.Equal(r.logs.Len(), 0)
			}
			r.stop()
		})
	}
	matcher.Golden(t, "testdata/reach.golden", golden.String())
}

// Guards against connections beyond the shares, writes that take effect twice, and groups
// that are not served any more, when something else happens while loans are in use.
func TestLoansSurviveFailures(t *testing.T) {
	var golden strings.Builder
	for _, c := range scenarios() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newReachFleet(true)
			r.call(time.Second)
			r.setCut(cutNodes()...)
			r.call(3 * time.Second)
			is.True(len(r.borrowers()) > 0) // the scenario has loans
			c.happen(r, r.borrowers()[0])
			first := r.call(3 * time.Second)
			rest := r.call(2 * time.Second)
			t.Logf("%s: %s; then %s; at most %d connections", c.name, &first, &rest, r.maxOpen)
			fmt.Fprintf(&golden, "%s, 2 s later: %s\n", c.name, rest.words())
			is.Equal(r.doubled(), 0)
			is.True(r.maxOpen <= gatewayCount*nodeShare)
			is.True(r.maxLoan <= nodeShare-delegator.Kept)
			if c.name == "leader changes" || c.name == "leader drains" || c.name == "switched off" || c.name == "leader reached again" {
				is.Equal(len(r.borrowers()), 0) // all loans have ended
			}
			r.stop()
		})
	}
	matcher.Golden(t, "testdata/failures.golden", golden.String())
}

// Guards against a storm of messages, and loans that bind connections for nothing, while a
// leader is down that nobody reaches.
func TestNobodyReachesLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReachFleet(true)
		r.call(time.Second)
		for i := range r.nodes {
			r.setCut(i)
		}
		got := r.call(6 * time.Second)
		is.Equal(r.lines("loan accepted, substitute in use"), 0)
		is.Equal(len(r.borrowers()), 0)
		is.True(got.promisedLate == 0)
		for gateway, times := range r.asks {
			is.True(gateway < gatewayCount)
			for i := delegatorAsks; i < len(times); i++ {
				is.True(times[i].Sub(times[i-delegatorAsks]) >= time.Second-messageDelay)
			}
		}
		r.stop()
	})
}

// delegatorAsks is how many processes a gateway may ask in a second.
const delegatorAsks = 4

// Guards against a rolling restart that fails: processes that do not know loans refuse them,
// and go on with their own callers.
func TestOldProcessesBesideNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReachFleet(true)
		for _, i := range []int{2, 7, 9} { // a gateway, and two that reach the leader
			n := r.nodes[i]
			n.old, n.f.Loans, n.f.Substitutes = true, nil, nil
		}
		r.call(time.Second)
		r.setCut(cutNodes()...)
		r.call(3 * time.Second)
		got := r.call(2 * time.Second)
		is.True(got.served > 0)
		for _, b := range r.borrowers() {
			is.True(!b.old)
		}
		is.True(r.lines("loan refused") > 0)
		is.Equal(r.doubled(), 0)
		r.stop()
	})
}
