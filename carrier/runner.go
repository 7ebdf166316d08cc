package carrier

import "basildale.example/basildale/tracker"

// Runner runs the statements of one group. A Group implements it, and so does a type of
// package forwarder that may have them run by another process.
type Runner interface {
	// Run runs one statement outside of a transaction.
	Run(j *Job, cmd Command) Answer
	// Start begins a transaction with its first statement. The transaction is nil unless
	// the answer is OK.
	Start(j *Job, readOnly bool, cmd Command) (Transaction, Answer)
	// CommitEmpty commits a transaction without statements.
	CommitEmpty(j *Job, readOnly bool, cmd Command) Answer
}

// Transaction is an open transaction. It must be used by one goroutine.
type Transaction interface {
	// Do runs a statement inside the transaction.
	Do(j *Job, cmd Command) Answer
	// Commit commits the transaction.
	Commit(j *Job, cmd Command) Answer
	// Rollback ends the transaction and discards what it wrote.
	Rollback()
}

// HasUpstreams reports whether any upstream of the group is known.
func (g *Group) HasUpstreams() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.upstreams) > 0
}

// IsGateway reports whether this process may have connections to the group's upstreams.
func (g *Group) IsGateway() bool { return g.registry.share(g.name) > 0 }

// CanServe reports whether this process can run a job at once, as far as it knows. A job
// that requires the leader needs one that answers and, for writes, acknowledges them; other
// jobs need an upstream, and a sample that is fresh enough or can be requested.
func (g *Group) CanServe(j *Job) bool {
	isGateway := g.IsGateway()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isGateway && (!j.RequiresLeader() || !g.isSubstituteLocked()) {
		return false
	}
	now := g.registry.Now()
	leads := g.reachableLeaderLocked() != nil
	if j.RequiresLeader() {
		return leads && !g.leader.drained(now) && !g.leader.isFull() && (!j.Writes || !g.isCommitStalled(g.leader, now))
	}
	_, fresh := g.samples.oldestSince(j.Arrived.Add(clockErrorMargin - j.MaxStaleness))
	if !fresh && !leads {
		return false
	}
	for _, u := range g.upstreams {
		if !u.ejected && !u.drained(now) && !u.isFull() {
			return true
		}
	}
	return false
}

// SampleLeader returns a position of the leader's log that is requested now.
func (g *Group) SampleLeader() (tracker.Mark, bool) {
	g.mu.Lock()
	leader := g.leader
	g.mu.Unlock()
	if leader == nil || !g.checkLeader(leader) {
		return tracker.Mark{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return leader.mark, true
}
