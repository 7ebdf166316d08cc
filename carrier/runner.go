package carrier

import "basildale.example/basildale/tracker"

// Runner runs the statements of one group: a Group does, and so does whatever
// has them run by another process.
type Runner interface {
	// Run carries one statement outside of a transaction.
	Run(j *Job, cmd Command) Answer
	// Start begins a transaction with its first statement. The transaction is nil
	// unless the answer is OK.
	Start(j *Job, readOnly bool, cmd Command) (Transaction, Answer)
	// CommitEmpty commits a transaction without statements.
	CommitEmpty(j *Job, readOnly bool, cmd Command) Answer
}

// Transaction is an open transaction. It belongs to one goroutine.
type Transaction interface {
	Do(j *Job, cmd Command) Answer
	Commit(j *Job, cmd Command) Answer
	Rollback()
}

// HasUpstreams reports whether any upstream of the group is known.
func (g *Group) HasUpstreams() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) > 0
}

// IsGateway reports whether this process has connections to the group's upstreams.
func (g *Group) IsGateway() bool { return g.carrier.share(g.name) > 0 }

// CanServe reports whether this process can carry a job at once, as far as it
// knows: what must see everything needs a leader that answers and acknowledges
// writes, the rest an upstream and a sample that is young enough or can be had.
func (g *Group) CanServe(j *Job) bool {
	if !g.IsGateway() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	leads := g.present() != nil
	if j.RequiresLeader() {
		return leads && !g.leader.closed(now) && !g.leader.full() && (!j.Writes || !g.stuck(g.leader, now))
	}
	_, fresh := g.samples.since(j.Arrived.Add(margin - j.MaxAge))
	if !fresh && !leads {
		return false
	}
	for _, m := range g.members {
		if !m.barred && !m.closed(now) && !m.full() {
			return true
		}
	}
	return false
}

// SampleLeader returns a position of the leader's log that is asked for now.
func (g *Group) SampleLeader() (tracker.Mark, bool) {
	g.mu.Lock()
	leader := g.leader
	g.mu.Unlock()
	if leader == nil || !g.ask(leader) {
		return tracker.Mark{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return leader.mark, true
}
