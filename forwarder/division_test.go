package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
)

// division returns the other gateways, as package proxier does.
func (n *node) division(string) (others []delegator.Peer, gateways uint64, ok bool) {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	for i, o := range n.r.nodes {
		if o.gateway {
			gateways |= 1 << i
			if o != n && !o.dead {
				others = append(others, delegator.Peer{Name: o.name(), Address: o.address})
			}
		}
	}
	return others, gateways, n.gateway
}

// report sends what the process has at the upstreams to all others.
func (n *node) report() {
	g, _ := n.reg.Group("g")
	loads := g.Loads(time.Now())
	for _, o := range n.r.nodes {
		if o != n && !o.isPausedLocked() {
			o.reg.SetPeerLoads(n.name(), "g", loads, time.Now())
		}
	}
}

func (n *node) isPausedLocked() bool {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	return n.isPaused()
}

// hold has callers of a process hold connections to the leader for some time, each for 150 ms
// at a time.
func (n *node) hold(callers int, d time.Duration) {
	for i := range callers {
		n.r.running.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end) && n.await(); time.Sleep(time.Millisecond) {
				g, _ := n.reg.Group("g")
				job := &carrier.Job{Request: fmt.Sprint(i), Freshness: cataloger.Latest, Arrived: time.Now(), Deadline: time.Now().Add(800 * time.Millisecond)}
				if tx, _ := g.Start(job, false, carrier.Command{Verb: carrier.Begin, ID: "b"}); tx != nil {
					time.Sleep(150 * time.Millisecond)
					tx.Rollback()
				}
			}
		})
	}
}

// held returns the connections of a process to the leader.
func (n *node) held() int {
	g, _ := n.reg.Group("g")
	return g.LeaderContact().Open
}

// lent returns how many connections other gateways have lent.
func (r *reachFleet) lent() int {
	n := 0
	for _, o := range r.nodes {
		if o.get(&o.dead) || o.old {
			continue
		}
		o.f.Loans.mu.Lock()
		for _, s := range o.f.Loans.spares {
			n += s.lender.Lent()
		}
		o.f.Loans.mu.Unlock()
	}
	return n
}

func (r *reachFleet) most() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxOpen
}

// Guards against connections beyond the shares, and loans that don't end, when something else
// happens while a gateway with many callers has borrowed connections.
func TestDivisionSurvivesFailures(t *testing.T) {
	endsAll := map[string]bool{"leader changes": true, "leader drains": true, "gateways change": true, "switched off": true, "leader not reached": true}
	for _, c := range append(scenarios(), scenario{"nothing", func(*reachFleet, *node) {}},
		// A substitute must not get what is lent to a gateway.
		scenario{"leader not reached", func(r *reachFleet, _ *node) { r.setCut(cutNodes()...) }},
		scenario{"switched off", func(r *reachFleet, _ *node) { r.nodes[0].set(&r.divides, false) }}) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newReachFleet(true)
			r.nodes[0].set(&r.divides, true)
			hot := r.nodes[0]
			hot.hold(14, 20*time.Second)
			time.Sleep(9 * time.Second)
			before := r.lent()
			is.True(before > 0) // the scenario has loans
			is.True(hot.held() > nodeShare)
			c.happen(r, hot)
			for _, n := range r.nodes[1:gatewayCount] {
				n.hold(8, 5*time.Second) // the lenders need all that they have
			}
			time.Sleep(3 * time.Second)
			t.Logf("%s: lent %d, 3 s later %d; at most %d connections", c.name, before, r.lent(), r.most())
			if endsAll[c.name] {
				is.Equal(r.lent(), 0)
			}
			is.True(r.most() <= gatewayCount*nodeShare)
			time.Sleep(16 * time.Second) // the callers are gone, and the loans with them
			is.Equal(r.lent(), 0)
			is.True(r.most() <= gatewayCount*nodeShare)
			r.stop()
		})
	}
}

// Guards against a rolling restart that fails: a gateway of an earlier build refuses what it
// does not know, and costs the others no connection.
func TestOldGatewayGetsNoLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReachFleet(true)
		old := r.nodes[0]
		old.old, old.f.Loans, old.f.Substitutes = true, nil, nil
		r.nodes[1].set(&r.divides, true)
		old.hold(14, 10*time.Second)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(r.lent(), 0)
		}
		refused := r.logs.FilterMessage("forwarder: gateway refused connections").All()
		is.True(len(refused) > 0)
		for _, line := range refused {
			is.Equal(line.ContextMap()["cause"], "not supported")
		}
		r.stop()
	})
}

// Guards against a process that becomes a substitute while its loans as a gateway haven't
// ended: their end would close the connections that it got as a substitute.
func TestFormerGatewayEndsItsLoansFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReachFleet(true)
		r.nodes[0].set(&r.divides, true)
		r.nodes[0].hold(14, 12*time.Second)
		time.Sleep(9 * time.Second)
		is.True(r.lent() > 0)
		for _, n := range r.nodes[:gatewayCount] {
			n.set(&n.gateway, false)
			r.divide(n.index)
			lent := delegator.Lend{Lender: "p8/1", Seq: 1, Upstream: "a", Count: 1, Duration: delegator.Duration}
			reply := n.f.Loans.serve(&request{Action: lend, Group: "g", Lend: &lent})
			n.f.Loans.mu.Lock()
			moves := n.f.Loans.movesSpares("g")
			n.f.Loans.mu.Unlock()
			is.Equal(reply.Refused != "", moves)
		}
		is.True(r.lent() > 0)
		time.Sleep(6 * time.Second)
		is.Equal(r.lent(), 0)
		is.Equal(r.nodes[0].f.Loans.serve(&request{Action: lend, Group: "g", Lend: &delegator.Lend{Lender: "p8/1", Seq: 2, Upstream: "a", Count: 1}}).Refused, "")
		r.stop()
	})
}

// Guards against a process that keeps something for each upstream that ever was.
func TestUnlistedUpstreamsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReachFleet(true)
		r.nodes[0].set(&r.divides, true)
		n := r.nodes[0]
		for i := range 100 {
			n.reg.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 4}, {ID: fmt.Sprint("b", i), Group: "g", Slots: 4}})
			time.Sleep(2 * time.Second)
		}
		n.f.Loans.mu.Lock()
		kept := len(n.f.Loans.spares)
		n.f.Loans.mu.Unlock()
		is.True(kept < 40)
		r.stop()
	})
}
