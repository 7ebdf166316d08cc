package proxier

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// work records the statements that upstreams have begun, by id, and the last process that sent
// one.
type work struct {
	mu    sync.Mutex
	begun map[string]bool
	last  string
}

// watch makes the work of a fleet's upstreams be recorded.
func (f *fleet) watch() *work {
	w := &work{begun: map[string]bool{}}
	f.group.Ran = func(id, who string, _ bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.begun[id], w.last = true, who
	}
	return w
}

func (w *work) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.begun)
}

func (w *work) any() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.begun) > 0
}

func (w *work) sender() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

func (w *work) has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[id]
}

// Guards against connections that end without an answer when a stop lasts to its limit.
func TestStopAtItsLimitAnswersStatementsInFlight(t *testing.T) {
	for _, test := range []struct {
		name, statement, want string
		transaction           bool
	}{
		{"write", "WRITE seat bo", "INDOUBT", false},
		{"read", "READ seat", "FAILED", false},
		{"read in a transaction", "READ seat", "ABORTED", true},
		{"commit", "COMMIT", "INDOUBT", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1)
			w := f.watch()
			m := f.proxies[0]
			c := f.dial(m, "seats")
			if test.transaction {
				is.Equal(c.ask("BEGIN").code, "")
				is.Equal(c.ask("WRITE seat anna").code, "")
			}
			const tooSlow = 2000 // no answer before the limit of the stop
			f.group.Leader().Slow(tooSlow)
			for _, u := range f.group.Replicas() {
				u.Deafen(true) // nobody confirms a commit
			}
			w.clear()
			answered := make(chan answer)
			go func() { answered <- c.ask(test.statement) }()
			if test.statement != "COMMIT" {
				f.waitFor("the upstream works on it", w.any)
			}
			m.stopTimeout.Store(int64(400 * time.Millisecond)) // ends long before the statement's own timeout
			m.cancel()
			a := <-answered
			is.True(!a.ended)
			is.Equal(a.code, test.want)
			f.waitFor("the process has ended", func() bool { return isClosed(m.ended) })
		})
	}
}

// Guards against statements that are cut when callers connect to a process until it ends.
func TestStopUnderNewCallersCutsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	m := f.proxies[0]
	w := f.watch()
	var mu sync.Mutex
	var cut []string
	var calling sync.WaitGroup
	for range 8 {
		calling.Go(func() {
			for {
				c, ok := f.connect(m, "guards")
				if !ok {
					return
				}
				for a := (answer{}); !a.ended; {
					if a = c.ask("READ seat"); a.ended && w.has(c.lastID()) {
						mu.Lock()
						cut = append(cut, c.lastID())
						mu.Unlock()
					}
				}
				_ = c.conn.Close()
			}
		})
	}
	f.waitFor("callers are served", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.begun) > 100 })
	m.cancel()
	f.waitFor("the process has ended", func() bool { return isClosed(m.ended) })
	calling.Wait()
	is.Equal(cut, nil)
}

// Guards against writes in doubt because the process that runs them for a peer has no callers of
// its own and ends.
func TestStopAwaitsStatementsOfPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	w := f.watch()
	m := f.proxies[0]
	f.group.Leader().Cut("proxy-0", true)
	c := f.dial(m, "seats")
	f.waitFor("the leader is out of reach", func() bool { c.ask("READ seat"); return m.overseer.States()["billet"].LeaderFault > 0 })
	f.waitFor("a peer runs statements", func() bool { return c.ask("WRITE seat anna").code == "" })
	const slow = 600 // longer than a stop without callers takes
	f.group.Leader().Slow(slow)
	w.clear()
	answered := make(chan answer)
	go func() { answered <- c.ask("WRITE seat bo") }()
	f.waitFor("the upstream works on it", w.any)
	peer := f.proxies[1]
	if w.sender() == "proxy-2" {
		peer = f.proxies[2]
	}
	peer.cancel()
	is.Equal((<-answered).code, "")
	f.waitFor("the peer has ended", func() bool { return isClosed(peer.ended) })
}
