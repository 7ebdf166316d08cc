package proxier

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/platform/faker"
)

func TestStatementsAndTransactions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.askRow("READ seat"), "none")
	is.Equal(c.ask("WRITE seat anna").code, "")
	is.Equal(f.dial(f.proxies[1], "seats").askRow("READ seat"), "anna") // any proxy sees an acknowledged write

	is.Equal(c.ask("BEGIN").state, "T")
	is.Equal(c.ask("WRITE seat bo").state, "T")
	is.Equal(c.askRow("READ seat"), "bo")
	is.Equal(c.ask("ROLLBACK").state, "I")
	is.Equal(c.askRow("READ seat"), "anna")

	is.Equal(c.ask("BEGIN").state, "T")
	is.Equal(c.ask("WRITE seat bo").state, "T")
	is.Equal(c.ask("COMMIT").state, "I")
	is.Equal(c.askRow("READ seat"), "bo")
	is.Equal(c.ask("COMMIT").code, "MALFORMED") // no transaction is open
	is.Equal(f.group.Stats().Acknowledged, 2)
}

func TestPreparedStatementsAndValuesFollowTheSession(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	a, b := f.dial(f.proxies[0], "seats"), f.dial(f.proxies[0], "seats")
	is.Equal(a.ask("SET tz cet").code, "")
	is.Equal(a.ask("PREPARE s WRITE shape").code, "")
	is.Equal(b.ask("PREPARE s READ shape").code, "") // same name, different statement
	is.Equal(a.ask("EXECUTE s seat anna").code, "")
	is.Equal(b.askRow("EXECUTE s seat"), "anna")
	is.Equal(a.ask("DEALLOC s").code, "")
	is.Equal(a.ask("EXECUTE s seat bo").code, "NOSTMT")
	is.Equal(b.askRow("EXECUTE s seat"), "anna")
}

func TestMalformedMessagesAndUnknownDatabases(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("DANCE").code, "MALFORMED")
	is.Equal(c.askRow("READ seat"), "none") // the session continues
	fmt.Fprint(c.conn, "NONSENSE\r\n")
	line, err := faker.ReadLine(c.in)
	is.NoErr(err)
	is.Equal(line, "ERROR MALFORMED not a message")
	_, err = faker.ReadLine(c.in)
	is.True(err != nil) // closed
	session, code, _ := f.proxies[0].openSession("nowhere", cataloger.Fingerprint{})
	is.True(session == nil)
	is.Equal(code.String(), "no database")
}

// Guards against reads that may be stale but are run on the leader: only replicas relieve it.
func TestStaleReadsRunOnReplicas(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	c := f.dial(f.proxies[1], "guards")
	is.Equal(c.ask("WRITE gate open").code, "")
	ran := f.group.Leader().Ran()
	for range 20 {
		is.Equal(c.askRow("READ gate"), "open") // the session's own write
	}
	is.Equal(f.group.Leader().Ran(), ran) // none of them ran on the leader
}

// Guards against acknowledged writes that are lost in a failover, and against writes that
// never resume. The leader crashes while callers write through all proxies. The first happens
// if a replica that lacks a commit is promoted, the second if none is.
func TestLeaderCrashLosesNoCommit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, m := range f.proxies {
		c := f.dial(m, "seats")
		group.Go(func() { c.writeUntil(stop) })
	}
	f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > 50 })
	old := f.group.Leader()
	old.Crash()
	f.waitFor("another leader", func() bool { return f.group.Leader() != old })
	before := f.group.Stats().Acknowledged
	f.waitFor("writes again", func() bool { return f.group.Stats().Acknowledged > before+50 })
	close(stop)
	group.Wait()
	is.Equal(f.group.Stats().Lost, 0)
	is.Equal(f.group.Stats().Doubled, 0)
}

// Guards against acknowledged writes that are lost in a failover: one replica receives nothing
// for a while, then the leader crashes, and the lagging replica is promoted although the other
// one is ahead of it.
func TestLaggingReplicaIsNotPromoted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	lagging := f.group.Replicas()[0]
	lagging.Deafen(true)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("WRITE seat anna").code, "")
	old := f.group.Leader()
	old.Crash()
	f.waitFor("another leader", func() bool { return f.group.Leader() != old })
	is.True(f.group.Leader() != lagging)
	is.Equal(f.group.Stats().Lost, 0)
	f.waitFor("read", func() bool { a := c.ask("READ seat"); return a.code == "" && a.rows[0] == "anna" })
}

// Guards against acknowledged writes that are lost in a failover: one replica receives
// nothing, the other confirms a commit and crashes right afterwards, and then the leader
// crashes. If the only reachable replica is promoted, the commit on the unreachable one is
// lost.
func TestNoPromotionWhileReplicaIsUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	lagging, other := f.group.Replicas()[0], f.group.Replicas()[1]
	lagging.Deafen(true)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("WRITE seat anna").code, "")
	old := f.group.Leader()
	other.Crash()
	old.Crash()
	f.waitFor("the proxies report a fault of the leader", func() bool { return f.proxies[0].overseer.States()["billet"].LeaderFault > 0 })
	time.Sleep(700 * time.Millisecond) // long enough for a wrong promotion; correct code passes whatever the time
	is.Equal(f.group.Leader(), old)
	is.NoErr(other.Return())
	f.waitFor("a leader", func() bool { return f.group.Leader() != old })
	is.Equal(f.group.Leader(), other)
	is.Equal(f.group.Stats().Lost, 0)
}

// Guards against writes that are refused for long, or lost, when a leader leaves under load.
// This happens if it is replaced only after it is gone, or by a replica that lacks a commit.
func TestLeavingLeaderIsReplacedBeforeItIsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	stop := make(chan struct{})
	var group sync.WaitGroup
	c := f.dial(f.proxies[0], "seats")
	group.Go(func() { c.writeUntil(stop) })
	f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > 20 })
	old := f.group.Leader()
	old.Leave()
	f.waitFor("another leader", func() bool { return f.group.Leader() != old })
	close(stop)
	group.Wait()
	is.Equal(f.group.Stats().Lost, 0)
}

// Guards against reads that hang until their deadline when a replica stops answering without
// closing its connections, which therefore look open.
func TestReadsAvoidUnresponsiveReplica(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	c := f.dial(f.proxies[0], "times")
	c.askRow("READ gate")
	for _, u := range f.group.Replicas() {
		u.Silence()
	}
	for range 5 {
		is.Equal(c.ask("READ gate").code, "")
	}
}

// Guards against a proxy that routes by an old configuration after the history of changes was
// dropped while its watch received nothing. This happens if it continues from a version that
// is no longer known, or goes back to one it had before.
func TestConfigurationIsAppliedAfterHistoryIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.platform.Forget()
	f.platform.Route("extra", "billet", "primary", 0)
	for _, m := range f.proxies {
		f.waitFor("the route", func() bool { _, ok := m.View().Route("extra"); return ok })
	}
	f.platform.Forget()
	f.platform.Unroute("extra")
	for _, m := range f.proxies {
		f.waitFor("no route", func() bool { _, ok := m.View().Route("extra"); return !ok })
	}
	is.True(f.proxies[0].View().Config.Version >= 5)
}

// Guards against a process that starts while the store is unavailable and never serves because
// it waits for the store although peers have what it needs.
func TestProcessStartsFromPeersWithoutStore(t *testing.T) {
	f := newFleet(t, 2)
	f.platform.Away(true)
	m := f.start(2)
	m.gossip.AddListed(gossiper.State{Name: "proxy-0", Zone: "zone-0", GossipAddr: f.proxies[0].gossip.LocalAddr()})
	f.waitFor("ready", m.isReady)
	f.platform.Away(false)
}

// Guards against connections that are closed in the middle of a request when a process stops
// gracefully while callers read without a pause. This happens if a session is ended between
// reading a request and answering it. Each statement that an upstream has run must have been
// answered.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	m := f.proxies[0]
	idle := f.dial(m, "seats")
	c := f.dial(m, "seats")
	before := f.statementsRun()
	answered := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !c.ask("READ seat").ended {
			answered++
		}
	}()
	m.cancel()
	f.waitFor("not ready", func() bool { return !m.isReady() })
	resp, err := http.Get("http://" + f.proxies[1].ReadyAddr().String() + "/basildale/readiness")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	f.waitFor("the process has ended", func() bool { return isClosed(m.ended) })
	f.waitFor("its caller has ended", func() bool { return isClosed(done) })
	is.True(answered > 0)
	is.Equal(f.statementsRun()-before, answered)
	_, err = idle.in.ReadByte()
	is.True(err != nil) // the idle session has ended too
}

// statementsRun returns how many statements all upstreams have run.
func (f *fleet) statementsRun() int {
	n := f.group.Leader().Ran()
	for _, u := range f.group.Replicas() {
		n += u.Ran()
	}
	return n
}

// Guards against refusals by a proxy that is partitioned from a healthy leader: peers that
// reach the leader have to run its statements.
func TestPeerRunsForwardedStatements(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	m := f.proxies[0]
	c, g := f.dial(m, "seats"), f.dial(m, "guards")
	is.Equal(c.ask("WRITE seat anna").code, "")
	f.group.Leader().Cut("proxy-0", true)
	f.waitFor("the leader is out of reach", func() bool { c.ask("READ seat"); return m.overseer.States()["billet"].LeaderFault > 0 })
	is.Equal(c.ask("WRITE seat bo").code, "")
	is.Equal(c.askRow("READ seat"), "bo")
	is.Equal(g.ask("WRITE gate open").code, "")
	is.Equal(g.askRow("READ gate"), "open")

	is.Equal(c.ask("BEGIN").state, "T")
	is.Equal(c.ask("WRITE seat carla").state, "T")
	is.Equal(c.askRow("READ seat"), "carla")
	is.Equal(c.ask("COMMIT").code, "")
	is.Equal(c.askRow("READ seat"), "carla")
	is.Equal(c.ask("BEGIN").state, "T")
	is.Equal(c.ask("WRITE seat dora").state, "T")
	is.Equal(c.ask("ROLLBACK").state, "I")
	is.Equal(c.askRow("READ seat"), "carla")
	is.Equal(f.group.Stats().Doubled, 0)
}

// Guards against a transaction that stays open on an upstream's connection after the proxy
// that had a peer run it dies: only the caller's own proxy would end it.
func TestTransactionOfADeadPeerIsRolledBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	m, peer := f.proxies[0], f.proxies[1]
	f.group.Leader().Cut("proxy-0", true)
	c := f.dial(m, "seats")
	f.waitFor("the leader is out of reach", func() bool { c.ask("READ seat"); return m.overseer.States()["billet"].LeaderFault > 0 })
	is.Equal(c.ask("BEGIN").state, "T")
	is.Equal(c.ask("WRITE seat anna").state, "T")
	is.Equal(peer.forward.OpenTransactions(), 1)
	m.messenger.Close() // the peer receives nothing more from this proxy
	f.waitFor("rolled back", func() bool { return peer.forward.OpenTransactions() == 0 })
	is.Equal(f.dial(peer, "seats").askRow("READ seat"), "none")
}

// Guards against acknowledged commits that are rolled back after another upstream is promoted.
// A partition leaves the leader with some proxies and without replicas, and commits wait
// there. If the proxies on that side do not make the leader step down, a replica that joins
// that side confirms those commits while the other side has promoted another leader.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("WRITE seat anna").code, "")
	for _, u := range f.group.Replicas() {
		u.Deafen(true)
		u.Cut("proxy-0", true)
	}
	reader := f.dial(f.proxies[0], "times")
	f.waitFor("the leader steps down", func() bool {
		reader.ask("READ gate") // so that the silence of the replicas is noticed
		c.ask("WRITE seat bo")
		return f.group.Leader() == nil
	})
	is.Equal(f.group.Stats().Acknowledged, 1)
}

// Guards against a group whose writes all fail for seconds because its leader accepts
// connections and answers status requests, but fails every statement of callers. A leader that
// answers has to be replaced as well.
func TestLeaderThatFailsStatementsIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, m := range f.proxies {
		c := f.dial(m, "seats")
		group.Go(func() { c.writeUntil(stop) })
	}
	f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > 50 })
	old := f.group.Leader()
	old.Fail(true)
	f.waitFor("another leader", func() bool { return f.group.Leader() != old })
	before := f.group.Stats().Acknowledged
	f.waitFor("writes again", func() bool { return f.group.Stats().Acknowledged > before+50 })
	close(stop)
	group.Wait()
	is.Equal(f.group.Stats().Lost, 0)
	is.Equal(f.group.Stats().Doubled, 0)
}

// Guards against requests that reach a leaving leader until it is gone. One replica stops
// answering and then the leader announces under load that it leaves; the planned change must
// neither wait for the replica that does not answer nor choose it.
func TestLeavingLeaderIsReplacedDespiteUnresponsiveReplica(t *testing.T) {
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprint("replica ", index), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3)
			stop := make(chan struct{})
			var group sync.WaitGroup
			c := f.dial(f.proxies[0], "seats")
			group.Go(func() { c.writeUntil(stop) })
			f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > 20 })
			old, unresponsive := f.group.Leader(), f.group.Replicas()[index]
			unresponsive.Silence()
			old.Leave()
			f.waitFor("another leader", func() bool { l := f.group.Leader(); return l != nil && l != old })
			is.True(f.group.Leader() != unresponsive)
			before := f.group.Stats().Acknowledged
			f.waitFor("writes again", func() bool { return f.group.Stats().Acknowledged > before+20 })
			close(stop)
			group.Wait()
			is.Equal(f.group.Stats().Lost, 0)
			is.Equal(f.group.Stats().Doubled, 0)
		})
	}
}

// Guards against requests that reach a leaving leader after the time in which it may get any.
// Both replicas have stopped answering, so no change of leader ends its work. Reads that may
// be stale are refused as well, because no other upstream answers.
func TestLeavingLeaderWithoutSuccessorGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	c, g := f.dial(f.proxies[0], "seats"), f.dial(f.proxies[1], "times")
	is.Equal(c.ask("WRITE seat anna").code, "")
	is.Equal(g.ask("READ seat").code, "")
	for _, u := range f.group.Replicas() {
		u.Silence()
	}
	old := f.group.Leader()
	old.Leave()
	is.Equal(c.ask("READ seat").code, "") // it still serves
	f.waitFor("no new work", func() bool { return c.ask("READ seat").code == "CONGESTED" && g.ask("READ seat").code == "CONGESTED" })
	ran := old.Ran()
	for _, m := range f.proxies {
		is.Equal(f.dial(m, "seats").ask("READ seat").code, "CONGESTED")
	}
	is.Equal(old.Ran(), ran)
	for _, u := range f.group.Replicas() {
		u.Speak()
	}
	f.waitFor("another leader", func() bool { l := f.group.Leader(); return l != nil && l != old })
	f.waitFor("work", func() bool { return c.ask("READ seat").code == "" })
	is.Equal(f.group.Stats().Lost, 0)
}
