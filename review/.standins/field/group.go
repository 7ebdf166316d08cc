package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// promotion is how long a promotion takes, replication how long a commit takes to a
	// replica, and application how much later the replica applies it.
	promotion   = time.Second
	replication = time.Millisecond
	application = 8 * time.Millisecond
	work        = 5 * time.Millisecond
	slots       = 5
	maxConns    = 34
)

// mark is a position in a log.
type mark struct{ term, number uint64 }

func (m mark) less(o mark) bool { return m.term < o.term || m.term == o.term && m.number < o.number }

func (m mark) String() string { return fmt.Sprintf("%d.%d", m.term, m.number) }

// commit is one entry of a log.
type commit struct {
	mark   mark
	id     string // of the request that committed it
	writes map[string]string
	at     time.Time // when this copy received it
}

// group is one database group: a primary and its replicas.
type group struct {
	name  string
	store *store
	rec   *record

	mu       sync.Mutex
	backends []*backend
	primary  *backend
	term     uint64
	token    uint64 // highest fencing token seen
	acked    []commit
	lost     []string // acknowledged commits that a promoted backend lacked
	changed  chan struct{}
}

func newGroup(name string, rec *record) *group {
	return &group{name: name, rec: rec, term: 1, changed: make(chan struct{})}
}

// signal wakes commits that wait for a replica. The caller holds the lock.
func (g *group) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// commit appends a commit at the primary and waits until a replica has received it. It reports
// false if the backend lost the lead before, or its caller has left.
func (g *group) commit(b *backend, id string, writes map[string]string, gone <-chan struct{}) bool {
	g.mu.Lock()
	if g.primary != b || b.down {
		g.mu.Unlock()
		return false
	}
	c := commit{mark{g.term, uint64(len(b.log)) + 1}, id, writes, time.Now()}
	b.log = append(b.log, c)
	g.mu.Unlock()
	time.AfterFunc(replication, g.replicate)
	for {
		g.mu.Lock()
		if g.primary != b || b.down {
			g.mu.Unlock()
			return false
		}
		if r := g.holder(c.mark); r != nil {
			g.acked = append(g.acked, c)
			g.mu.Unlock()
			g.rec.line("commit %s of request %s acknowledged by %s, received by %s", c.mark, id, b.id, r.id)
			return true
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-gone:
			return false
		}
	}
}

// holder returns a replica that has received a position. The caller holds the lock.
func (g *group) holder(m mark) *backend {
	for _, b := range g.backends {
		if b != g.primary && !b.down && !b.end().less(m) {
			return b
		}
	}
	return nil
}

// replicate sends the primary's log to the replicas that receive.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary
	if p == nil || p.down {
		return
	}
	now := time.Now()
	for _, b := range g.backends {
		if b == p || b.down || b.deaf || b.held > 0 {
			continue
		}
		same := 0
		for same < len(b.log) && same < len(p.log) && b.log[same].mark == p.log[same].mark {
			same++
		}
		b.log = b.log[:same]
		for _, c := range p.log[same:] {
			c.at = now
			b.log = append(b.log, c)
		}
	}
	g.signal()
}

// promote takes an order for a promotion, and reports whether it was accepted.
func (g *group) promote(id string, token uint64, holder string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.find(id)
	accepted := b != nil && !b.down && token >= g.token
	g.rec.line("promotion of %s ordered by %s with token %d: accepted %v", id, holder, token, accepted)
	if !accepted {
		return false
	}
	g.token = token
	if b != g.primary {
		time.AfterFunc(promotion, func() { g.lead(b) })
	}
	return true
}

func (g *group) find(id string) *backend {
	for _, b := range g.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// lead makes a backend the primary of the next term with what it has received.
func (g *group) lead(b *backend) {
	g.mu.Lock()
	if b.down || b == g.primary {
		g.mu.Unlock()
		return
	}
	has := map[mark]bool{}
	for _, c := range b.log {
		has[c.mark] = true
	}
	missing := 0
	for _, c := range g.acked {
		if !has[c.mark] {
			g.lost = append(g.lost, c.id)
			missing++
		}
	}
	g.term++
	g.primary = b
	for _, o := range g.backends {
		o.held = 0
	}
	g.signal()
	g.rec.line("%s is promoted in term %d with %d commits; acknowledged commits that it lacks: %d", b.id, g.term, len(b.log), missing)
	g.mu.Unlock()
	g.replicate()
	g.beatAll()
}

// demote makes the primary a replica, if the term is above its own.
func (g *group) demote(b *backend, term uint64) {
	g.mu.Lock()
	if g.primary != b || term <= g.term {
		g.mu.Unlock()
		return
	}
	g.primary = nil
	g.signal()
	g.rec.line("%s is demoted for term %d", b.id, term)
	g.mu.Unlock()
	g.beatAll()
}

// beatAll sends the heartbeats of all backends that run.
func (g *group) beatAll() {
	for _, b := range g.all() {
		b.beat()
	}
}

func (g *group) all() []*backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*backend(nil), g.backends...)
}

// run sends heartbeats and replicates until the command ends.
func (g *group) run() {
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			g.replicate()
		}
	}()
	for range time.Tick(beatInterval) {
		g.beatAll()
	}
}

// lostCommits returns the acknowledged commits that a promoted backend lacked.
func (g *group) lostCommits() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.lost...)
}
