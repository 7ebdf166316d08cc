package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Timeouts and intervals of a replacement.
const (
	// requestRetryInterval is the time after which an upstream that has not answered is sent
	// the command again. An answer takes 1 to 2 ms.
	requestRetryInterval = 100 * time.Millisecond
	// orderRetryInterval is the time after which an unanswered order is repeated.
	orderRetryInterval = 300 * time.Millisecond
	// promoteTimeout is how long an accepted order may take until the upstream is seen as
	// leader: promoting takes 300 to 1,000 ms.
	promoteTimeout = 2500 * time.Millisecond
	// probeTimeout is how long a planned change waits for a replica that has what the leader
	// had a moment before. No replica is suspended in that time.
	probeTimeout = 2 * time.Second
	// suspendTimeout is how long the other replicas of a planned change have to confirm that
	// they are suspended, before the change goes on without those that do not answer: an
	// answer takes 1 to 2 ms, and one whose packet is lost arrives after 200 ms.
	suspendTimeout = 300 * time.Millisecond
	// catchUpTimeout is how long the chosen replica may take to receive the rest of the log
	// while the others are suspended. A replica that receives lags by a few ms; one that no
	// longer receives delays every commit of the group for this time.
	catchUpTimeout = 500 * time.Millisecond
	// stepDownTimeout is how long a leader may take to be demoted, and the chosen replica to
	// receive what was in flight then. The group has no leader in that time.
	stepDownTimeout = 300 * time.Millisecond
	// verifyTimeout is how long a leader that seems dead has to answer before any replica is
	// suspended. What this process and its peers assume may be outdated: a process that was
	// partitioned or has just claimed the lease would suspend the replicas of a group that
	// works.
	verifyTimeout = 100 * time.Millisecond
	// maxOrderEffectDelay is the longest time from the acceptance of an order to its effect:
	// promoting takes 300 to 1,000 ms. An order for the present leader changes nothing, unless
	// the leader has been demoted in the meantime.
	maxOrderEffectDelay = 1200 * time.Millisecond
	// demoteInterval is the time between two attempts to demote a former leader that does not
	// answer.
	demoteInterval = 300 * time.Millisecond
	// announceTime is how long the peers have to learn of the successor in a planned change
	// before the order: they vouch for its log before they acknowledge commits.
	announceTime = 100 * time.Millisecond
	// fenceTimeout is how long peers that reach the leader have to demote it: a round of
	// gossip there, and one back.
	fenceTimeout = 1200 * time.Millisecond
	// joinGracePeriod is how long, after a peer that reaches the leader was last seen, the list
	// of upstreams is checked for a replica that has just joined on the leader's side.
	joinGracePeriod = 300 * time.Millisecond
	// handOverTimeout is how long a lease holder tries to suspend all replicas before it
	// leaves the lease to another process.
	handOverTimeout = 2500 * time.Millisecond
	// cleanupDelay is how long after claiming the lease a holder resumes replicas that are
	// suspended without need. An unanswered order may be carried out some seconds late.
	cleanupDelay = 6 * time.Second
	// attemptInterval is the time between two attempts.
	attemptInterval = 500 * time.Millisecond
)

// phase is the phase of a replacement.
type phase uint8

const (
	idle             phase = iota
	verifying              // the leader that seems dead is polled once more
	registeringToken       // planned: the platform is made to reject the orders of earlier holders
	probing                // planned: waiting for a replica that has received what the leader had
	suspending             // replication is being suspended at the replicas
	fencing                // peers that reach the leader demote it
	awaitingOrders         // planned, not all suspended: waiting until no earlier order can take effect any more
	catchingUp             // planned: the chosen replica receives the rest of the log
	steppingDown           // planned, not all suspended: the leader is demoted first
	promoting              // the order was sent
	awaitingLeader         // the order was accepted; the target is not seen as leader yet
)

// Replacer is the state machine for one group. Its zero value with the group's name is ready
// for use.
type Replacer struct {
	Group string

	phase           phase
	planned         bool
	mandatory       bool // planned: the leader is leaving or degraded and must be replaced
	partial         bool // planned: some replicas that should be suspended do not answer
	view            View
	token           uint64 // first of the holder's block
	usedTokens      uint64 // tokens of this block that were used, one for each order sent
	term            tracker.Term
	target          string
	oldLeader       string       // the leader that is being replaced
	requiredMark    tracker.Mark // planned: the log position that the target must have reached; zero while unknown
	states          map[string]*upstreamState
	reportsSince    time.Time // reports on earlier requests do not count
	phaseStart      time.Time // when the phase began
	earliestChoice  time.Time // failover: no replica is chosen before this time
	chosenAt        time.Time // planned: when the target was chosen
	lastOrder       Order     // the last copy sent
	firstToken      uint64    // token of the first copy of lastOrder
	ordersDoneAt    time.Time // from when no order can take effect any more; zero while unknown
	lastSent        time.Time // when lastOrder was sent
	nextAttempt     time.Time // earliest time of the next attempt
	leaseSince      time.Time // when this block of tokens was first seen
	cleanedUp       bool      // replicas that an earlier holder left suspended were resumed
	tokenRegistered bool      // the platform has seen a token of this block
}

// Busy reports whether a replacement is under way.
func (r *Replacer) Busy() bool { return r.phase != idle }

// Handle processes an event and returns the commands to execute.
func (r *Replacer) Handle(ev Event, now time.Time) []Command {
	switch ev := ev.(type) {
	case Tick:
		r.forgetRestarted(ev.View.Upstreams)
		r.view = ev.View
	case UpstreamReport:
		r.onReport(ev)
	case OrderAnswer:
		return r.onOrderAnswer(ev, now)
	}
	return r.step(now)
}

// forgetRestarted drops the reports of upstreams that have restarted. A restart ends a
// suspension and may lose the log: with its old report a replica that counts as suspended could
// confirm commits, or be chosen by a log position that it no longer has.
func (r *Replacer) forgetRestarted(upstreams []Upstream) {
	for _, u := range upstreams {
		for _, before := range r.view.Upstreams {
			if before.ID == u.ID && !before.StartedAt.Equal(u.StartedAt) {
				delete(r.states, u.ID)
			}
		}
	}
}

func (r *Replacer) step(now time.Time) []Command {
	switch r.phase {
	case idle:
		return r.start(now)
	case verifying:
		return r.verify(now)
	case registeringToken:
		return r.registerToken(now)
	case probing:
		return r.probe(now)
	case suspending:
		return r.suspendReplicas(now)
	case fencing:
		return r.awaitFence(now)
	case awaitingOrders:
		return r.awaitOrders(now)
	case catchingUp:
		return r.catchUp(now)
	case steppingDown:
		return r.stepDown(now)
	case promoting:
		return append(r.suspendJoined(now), r.retryOrder(now)...)
	case awaitingLeader:
		return append(r.suspendJoined(now), r.awaitLeader(now)...)
	default:
		return nil
	}
}

// start starts a replacement when there is a reason and this process holds the lease. A holder
// without a reason cleans up after earlier holders, and one without tokens releases the lease.
func (r *Replacer) start(now time.Time) []Command {
	if r.view.Token == 0 || now.Before(r.nextAttempt) || len(r.view.Upstreams) < 2 {
		return nil
	}
	if r.view.Token != r.token {
		r.token, r.usedTokens = r.view.Token, 0
		r.leaseSince, r.cleanedUp, r.tokenRegistered = now, false, false
		r.ordersDoneAt = time.Time{}
	}
	if r.usedTokens >= TokenBlockSize-reservedTokens {
		return []Command{LogStep{"resign", "", "the tokens of the block are used up"}, ReleaseLease{}}
	}
	r.mandatory = r.isLeaving(r.view.Leader) || r.view.LeaderDegraded
	switch {
	case r.view.Dead:
		return r.failover(now)
	case r.view.LeaderAnswers && (r.mandatory || r.view.LeaderOverloaded) && len(r.successors(r.view.Leader)) > 0:
		return r.startPlanned(now)
	case r.view.LeaderAnswers && (r.mandatory || r.view.LeaderOverloaded):
		return nil
	default:
		return r.cleanUp(now)
	}
}

// begin starts an attempt to replace the present leader.
func (r *Replacer) begin(planned bool, now time.Time) {
	r.planned, r.partial = planned, false
	r.oldLeader, r.target = r.view.Leader, ""
	r.requiredMark = tracker.Mark{}
	r.term = tracker.Term{Epoch: r.view.Term.Epoch + 1}
	r.resetReports(now)
}

// resetReports discards all reports; only answers to later requests count.
func (r *Replacer) resetReports(now time.Time) {
	r.states, r.reportsSince = map[string]*upstreamState{}, now
}

// failover starts replacing a leader that is dead.
func (r *Replacer) failover(now time.Time) []Command {
	const cause = "leader is dead"
	r.begin(false, now)
	if r.oldLeader == "" {
		r.enterPhase(suspending, now)
		return append([]Command{LogStep{"halt", "", cause}}, r.suspendReplicas(now)...)
	}
	r.enterPhase(verifying, now)
	return append([]Command{LogStep{"verify", r.oldLeader, cause}}, r.verify(now)...)
}

func (r *Replacer) enterPhase(p phase, now time.Time) {
	r.phase = p
	r.phaseStart = now
}

func (r *Replacer) isLeaving(id string) bool {
	for _, u := range r.view.Upstreams {
		if u.ID == id {
			return u.Leaving
		}
	}
	return false
}
