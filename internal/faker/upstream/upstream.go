package upstream

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// Options says how the upstreams of a group behave. The zero value is one
// upstream without delays or limits.
type Options struct {
	// Size is the number of upstreams, at least 1.
	Size int
	// Term is the first primary's; zero means 1.1.
	Term tracker.Term
	// Lag is the age at which a replica applies an entry.
	Lag time.Duration
	// Connect is the time that setting up a connection takes.
	Connect time.Duration
	// Service is the time that each statement takes in its slot.
	Service time.Duration
	// Network is the one-way delay of requests and of answers.
	Network time.Duration
	// Connections is the greatest number of connections; 0 means no limit.
	Connections int
	// Slots is the number of statements run at a time; 0 means 5.
	Slots int
	// Password, when set, is asked for in clear text.
	Password string
	// Setup is a query whose effects all upstreams hold from the start.
	Setup string
}

const defaultSlots = 5

// Counts are what an upstream has done since its start. Open is the number of
// connections now, Most the greatest number there was.
type Counts struct {
	Open       int64
	Most       int64
	Opened     int64
	Refused    int64
	Statements int64 // on tables, and SELECT without a table
	Writes     int64
	Commits    int64 // entries of its own in the log
	Control    int64 // basildale_* functions
	Cancels    int64
}

// Upstream is one database process. Make it with NewGroup.
type Upstream struct {
	// Observe, when set before the first connection, is called for each statement
	// text with the connection's process ID.
	Observe func(pid uint32, sql string)

	options  Options
	store    *store
	listener net.Listener
	addr     netip.AddrPort
	peer     func(netip.AddrPort) *Upstream
	slots    chan struct{}
	faults   faults
	lagged   atomic.Int64
	counts   counters
	pulling  sync.Mutex
	running  sync.WaitGroup
	done     chan struct{}

	mu       sync.Mutex
	conns    map[*session]struct{} // also those that are not past startup
	sessions map[uint32]*session
	nextPID  uint32
	most     int // sessions at a time
}

type counters struct {
	opened, refused, statements, writes, commits, control, cancels atomic.Int64
}

func newUpstream(o Options, peer func(netip.AddrPort) *Upstream) (*Upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "upstream: listen")
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "upstream: own address")
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	u := &Upstream{
		options:  o,
		store:    newStore(),
		listener: listener,
		addr:     addr,
		peer:     peer,
		slots:    make(chan struct{}, o.Slots),
		conns:    make(map[*session]struct{}),
		sessions: make(map[uint32]*session),
		done:     make(chan struct{}),
	}
	u.faults.init()
	u.lagged.Store(int64(o.Lag))
	return u, nil
}

func (u *Upstream) start() {
	u.running.Add(2)
	go u.accept()
	go u.replicate()
}

// Addr is where the upstream listens.
func (u *Upstream) Addr() netip.AddrPort { return u.addr }

// State returns role, term and mark without a connection, also during a fault.
func (u *Upstream) State() tracker.State { return u.store.status().state }

// Primary returns whom the upstream follows; the zero address for nobody.
func (u *Upstream) Primary() netip.AddrPort { return u.store.status().primary }

// SetLag changes the age at which this upstream applies an entry as a replica.
func (u *Upstream) SetLag(lag time.Duration) {
	u.lagged.Store(int64(lag))
	u.poke()
}

func (u *Upstream) lag() time.Duration { return time.Duration(u.lagged.Load()) }

// poke makes the replication loop look again.
func (u *Upstream) poke() {
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	u.store.signal()
}

// Counts returns what the upstream has done so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	open, most := len(u.sessions), u.most
	u.mu.Unlock()
	return Counts{
		Open:       int64(open),
		Most:       int64(most),
		Opened:     u.counts.opened.Load(),
		Refused:    u.counts.refused.Load(),
		Statements: u.counts.statements.Load(),
		Writes:     u.counts.writes.Load(),
		Commits:    u.counts.commits.Load(),
		Control:    u.counts.control.Load(),
		Cancels:    u.counts.cancels.Load(),
	}
}

// Rows returns the rows of a table as texts in the order of their first column,
// without a connection, also during a fault. NULL is the empty text.
func (u *Upstream) Rows(name string) [][]string {
	c := call{store: u.store, tx: newTx()}
	res, err := c.data(selectStmt{table: name})
	if err != nil {
		return nil
	}
	list := make([][]string, len(res.rows))
	for i, r := range res.rows {
		for _, v := range r {
			list[i] = append(list[i], v.text)
		}
	}
	return list
}

func (u *Upstream) accept() {
	defer u.running.Done()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.running.Add(1)
		go func() {
			defer u.running.Done()
			u.serve(conn)
		}()
	}
}

// register gives the session its process ID; false when there are too many.
func (u *Upstream) register(s *session) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if limit := u.options.Connections; limit > 0 && len(u.sessions) >= limit {
		u.counts.refused.Add(1)
		return false
	}
	u.nextPID++
	s.pid = u.nextPID
	u.sessions[s.pid] = s
	u.most = max(u.most, len(u.sessions))
	u.counts.opened.Add(1)
	return true
}

func (u *Upstream) remember(s *session) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns[s] = struct{}{}
}

func (u *Upstream) forget(s *session) {
	s.hangup()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, s)
	delete(u.sessions, s.pid)
}

// cancelStatement stops the statement that the session with this ID runs now.
func (u *Upstream) cancelStatement(pid uint32, secret []byte) {
	u.mu.Lock()
	s := u.sessions[pid]
	u.mu.Unlock()
	if s != nil && string(s.secret) == string(secret) {
		u.counts.cancels.Add(1)
		s.interrupt()
	}
}

func (u *Upstream) close() {
	close(u.done)
	u.listener.Close()
	u.faults.set(func(f *faultState) { *f = faultState{crashed: true} })
	u.drop(func(netip.Addr) bool { return true })
	u.running.Wait()
}

// drop closes the connections from the addresses that match.
func (u *Upstream) drop(match func(netip.Addr) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for s := range u.conns {
		if match(s.from) {
			s.hangup()
		}
	}
}
