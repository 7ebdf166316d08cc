package replacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

// Sizes and times of the simulation. One step is the tick interval of the control loop.
const (
	tickInterval      = 50 * time.Millisecond
	numProcesses      = 3
	numUpstreams      = 3                      // at the start
	maxUpstreams      = 4                      // with the one that may join
	joinListDelay     = 100 * time.Millisecond // until the store's list shows an upstream that joins
	fenceHold         = 2500 * time.Millisecond
	faultDuration     = 8 * time.Second        // faults begin and end in this time
	recoveryDuration  = 14 * time.Second       // then there are no faults, and the group must have a leader at the end
	minPromotionDelay = 300 * time.Millisecond // minimum time until a promotion takes effect
	listDelay         = time.Second            // until the store's list shows a change
)

// variant names the rule of the protocol that a simulation breaks, if any.
type variant string

const (
	correct         variant = "correct"
	assumeSuspended variant = "a replica that does not answer counts as suspended"
	ignoreSuspend   variant = "a suspended replica continues receiving"
	forgetUnlisted  variant = "an unlisted replica is forgotten"
	reuseToken      variant = "a holder reuses the token of the previous one"
	forgetOrder     variant = "an unanswered order is forgotten"
	skipCatchUp     variant = "a planned change does not wait for the rest of the log"
	ignoreStepDown  variant = "a demoted leader continues to lead"
	ignoreFence     variant = "callers use any leader while an order is out"
)

// simUpstream is one simulated upstream.
type simUpstream struct {
	id            string
	log           []int // commits, each a number that is used once
	suspendedTerm uint32
	downUntil     time.Time // zero when it is up
	stalledUntil  time.Time
	leaving       bool
	notJoined     bool // it does not run yet
	formerIDs     []string
	idSince       time.Time // since when it has its present id
}

// simProcess is one proxy that may hold the lease.
type simProcess struct {
	r                Replacer
	token            uint64
	partitionedUntil time.Time // from the store, the platform and the other processes
	reaches          [maxUpstreams]bool
	holderSeenAt     time.Time // when a holder was last seen
	knownLeader      string
	fence            simFence
}

// simOrder is a promotion in flight.
type simOrder struct {
	Order
	by int       // index of the process that sent it
	at time.Time // when it takes effect
}

// simulation is a group of three upstreams, three processes and a platform.
type simulation struct {
	rng              *rand.Rand
	variant          variant
	now              time.Time
	startedAt        time.Time
	joins            bool // upstreams join, leaders restart within an order's time, and callers know of fences
	upstreams        [maxUpstreams]*simUpstream
	linked           [maxUpstreams]bool // whether an upstream is connected to the others
	leader           int                // -1 when there is none
	term             uint32
	procs            [numProcesses]*simProcess
	issuedToken      uint64 // first token of the highest block that was claimed
	platformToken    uint64 // highest token that the platform has seen
	platformTokenBy  int    // index of the process that sent platformToken
	orders           []simOrder
	lastCommit       int
	idCount          int
	unconfirmed      []int // commits that the leader has and no replica has confirmed
	unconfirmedSince time.Time
	acked            map[int]bool
	lastAck          time.Time // when a commit was last acknowledged
	violation        string
}

func newSimulation(seed uint64, v variant) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 11)), variant: v, now: time.Unix(1000, 0), term: 1, acked: map[int]bool{}}
	sim.startedAt = sim.now
	for i := range sim.upstreams {
		sim.upstreams[i] = &simUpstream{notJoined: i >= numUpstreams}
		if i < numUpstreams {
			sim.upstreams[i].id = sim.newID()
		}
		sim.linked[i] = true
	}
	for i := range sim.procs {
		sim.procs[i] = &simProcess{r: Replacer{Group: "g"}, holderSeenAt: sim.now, reaches: allReached(), knownLeader: sim.upstreams[0].id}
	}
	sim.issuedToken = 1
	sim.procs[0].token = 1
	return sim
}

func allReached() [maxUpstreams]bool { return [maxUpstreams]bool{true, true, true, true} }

func (sim *simulation) newID() string {
	sim.idCount++
	return fmt.Sprint("u", sim.idCount)
}

func (sim *simulation) chance(n int) bool { return sim.rng.IntN(n) == 0 }

func (sim *simulation) randomTime(minDelay, maxDelay time.Duration) time.Time {
	return sim.now.Add(minDelay + time.Duration(sim.rng.Int64N(int64(maxDelay-minDelay))))
}

// run runs the simulation to its end and returns the violation, if any.
func (sim *simulation) run() string {
	for sim.now.Sub(sim.startedAt) < faultDuration+recoveryDuration && sim.violation == "" {
		if sim.now.Sub(sim.startedAt) < faultDuration {
			sim.injectFaults()
		} else {
			sim.heal()
		}
		sim.replicate()
		sim.applyOrders()
		sim.claimLease()
		for i := range sim.procs {
			sim.execute(i, sim.procs[i].r.Handle(Tick{View: sim.view(i)}, sim.now))
		}
		sim.learnFences()
		sim.now = sim.now.Add(tickInterval)
	}
	if sim.violation == "" && sim.now.Sub(sim.lastAck) > 2*time.Second {
		sim.violation = "no leader"
	}
	return sim.violation
}

// injectFaults starts faults at random. Some kinds end by themselves.
func (sim *simulation) injectFaults() {
	if sim.joins {
		sim.injectJoins()
	}
	u := sim.upstreams[sim.rng.IntN(numUpstreams)]
	switch sim.rng.IntN(160) {
	case 0, 1:
		u.downUntil = sim.randomTime(2*time.Second, 6*time.Second)
	case 2, 3:
		u.stalledUntil = sim.randomTime(time.Second, 6*time.Second)
	case 4:
		sim.linked[sim.rng.IntN(numUpstreams)] = false
	case 5:
		p := sim.procs[sim.rng.IntN(numProcesses)]
		for i := range numUpstreams {
			p.reaches[i] = sim.chance(2)
		}
	case 6:
		if sim.joins {
			return // what a process does that hears of no holder is not covered
		}
		sim.procs[sim.rng.IntN(numProcesses)].partitionedUntil = sim.randomTime(time.Second, 6*time.Second)
	case 7:
		sim.heal()
	case 8, 9:
		if sim.leader >= 0 {
			sim.upstreams[sim.leader].leaving = true
		}
	case 10:
		p := sim.procs[sim.rng.IntN(numProcesses)] // it restarts
		*p = simProcess{r: Replacer{Group: "g"}, reaches: p.reaches, holderSeenAt: sim.now, knownLeader: p.knownLeader}
	}
}

func (sim *simulation) heal() {
	sim.linked = allReached()
	for _, p := range sim.procs {
		p.reaches = allReached()
	}
}

func (sim *simulation) isUp(u *simUpstream) bool { return !u.notJoined && !sim.now.Before(u.downUntil) }

// replicate lets callers write, and replicas receive the log.
func (sim *simulation) replicate() {
	for i, u := range sim.upstreams {
		if !u.downUntil.IsZero() && !sim.now.Before(u.downUntil) {
			u.downUntil, u.suspendedTerm, u.leaving = time.Time{}, 0, false
			u.formerIDs, u.id, u.idSince = append(u.formerIDs, u.id), sim.newID(), sim.now
			if sim.leader == i {
				sim.unconfirmed = nil // it still leads, but its callers are gone
			}
		}
	}
	if sim.leader < 0 || !sim.isUp(sim.upstreams[sim.leader]) {
		sim.unconfirmed = nil
		return
	}
	from := sim.upstreams[sim.leader]
	if sim.chance(3) {
		sim.lastCommit++
		if owner := sim.lastCommit % numProcesses; sim.joins && !sim.sends(owner) {
			return
		}
		from.log = append(from.log, sim.lastCommit)
		if len(sim.unconfirmed) == 0 {
			sim.unconfirmedSince = sim.now
		}
		sim.unconfirmed = append(sim.unconfirmed, sim.lastCommit)
	}
	for i, u := range sim.upstreams {
		suspended := u.suspendedTerm > sim.term && sim.variant != ignoreSuspend
		if i == sim.leader || !sim.isUp(u) || suspended || sim.now.Before(u.stalledUntil) || !sim.linked[i] || !sim.linked[sim.leader] || sim.chance(3) {
			continue
		}
		u.log = append(u.log[:0:0], from.log[:max(len(u.log), len(from.log)-sim.rng.IntN(2))]...)
	}
	sim.acknowledge()
}

func (sim *simulation) acknowledge() {
	sim.unconfirmed = slices.DeleteFunc(sim.unconfirmed, func(n int) bool {
		if sim.joins && !sim.sends(n%numProcesses) {
			return true // its caller is told that it is in doubt
		}
		if sim.joins && !sim.successorHas(n%numProcesses, n) {
			return false
		}
		for i, u := range sim.upstreams {
			if i != sim.leader && slices.Contains(u.log, n) {
				sim.acked[n] = true
				sim.lastAck = sim.now
				sim.unconfirmedSince = sim.now
				return true
			}
		}
		return false
	})
}

// applyOrders carries out the orders that are due.
func (sim *simulation) applyOrders() {
	due := func(o simOrder) bool { return !sim.now.Before(o.at) }
	for _, o := range sim.orders {
		if !due(o) {
			continue
		}
		sim.applyOrder(o)
	}
	sim.orders = slices.DeleteFunc(sim.orders, due)
}

// recordToken records that the platform has seen an order.
func (sim *simulation) recordToken(o Order, by int) {
	if o.Token == sim.platformToken && sim.platformTokenBy != by {
		sim.violation = "two holders with one token"
	}
	sim.platformToken, sim.platformTokenBy = max(sim.platformToken, o.Token), by
}

func (sim *simulation) applyOrder(o simOrder) {
	at := slices.IndexFunc(sim.upstreams[:], func(u *simUpstream) bool { return u.id == o.Upstream })
	switch {
	case o.Token < sim.platformToken, at < 0 || !sim.isUp(sim.upstreams[at]):
		return
	}
	sim.recordToken(o.Order, o.by)
	if at == sim.leader {
		return
	}
	u := sim.upstreams[at]
	for n := range sim.acked {
		if !slices.Contains(u.log, n) {
			sim.violation = "acknowledged commit lost"
			return
		}
	}
	sim.leader, sim.unconfirmed = at, nil
	sim.term++
	for _, o := range sim.upstreams {
		o.suspendedTerm = 0
		if o != u { // commits that the new leader lacks are rolled back
			o.log = slices.DeleteFunc(slices.Clone(o.log), func(n int) bool { return !slices.Contains(u.log, n) })
		}
	}
}

// claimLease lets another process claim the lease when its holder is not seen.
func (sim *simulation) claimLease() {
	for i, p := range sim.procs {
		for j, o := range sim.procs {
			if o.token == sim.issuedToken && (i == j || sim.canCommunicate(i, j)) {
				p.holderSeenAt = sim.now
				if i != j {
					p.token = 0 // it learns of a higher token
				}
			}
		}
		if sim.now.Sub(p.holderSeenAt) > 1600*time.Millisecond+time.Duration(i)*400*time.Millisecond && !sim.now.Before(p.partitionedUntil) {
			if sim.variant != reuseToken {
				sim.issuedToken += TokenBlockSize
			}
			p.token, p.holderSeenAt = sim.issuedToken, sim.now
		}
	}
}

// canCommunicate reports whether two processes receive from each other.
func (sim *simulation) canCommunicate(i, j int) bool {
	return !sim.now.Before(sim.procs[i].partitionedUntil) && !sim.now.Before(sim.procs[j].partitionedUntil)
}

// observeLeader reports whether a process reaches the leader, and whether the leader is
// commit-stalled.
func (sim *simulation) observeLeader(i int) (reaches, stalled bool) {
	if sim.leader < 0 || !sim.isUp(sim.upstreams[sim.leader]) || !sim.procs[i].reaches[sim.leader] {
		return false, false
	}
	return true, len(sim.unconfirmed) > 0 && sim.now.Sub(sim.unconfirmedSince) > 700*time.Millisecond
}

func (sim *simulation) view(i int) View {
	p := sim.procs[i]
	reaches, stalled := sim.observeLeader(i)
	if reaches && sim.joins {
		reaches = sim.sends(i)
	}
	if reaches {
		p.knownLeader = sim.upstreams[sim.leader].id
	}
	v := View{Leader: p.knownLeader, LeaderAnswers: reaches, CommitStalled: stalled, Term: epoch(sim.term), Token: p.token}
	votes, against, unreached := 1, 0, 0
	v.Partitioned = true
	if !reaches || stalled {
		against++
	}
	for j := range sim.procs {
		if j == i || !sim.canCommunicate(i, j) {
			continue
		}
		votes++
		v.Partitioned = false
		r, s := sim.observeLeader(j)
		if !r || s {
			against++
			unreached++
		}
		v.ReachedByPeer = v.ReachedByPeer || r && !s
	}
	v.Dead = (!reaches || stalled) && 2*against > votes
	v.LeaderDegraded = reaches && !stalled && 5*unreached >= 2*votes
	for _, u := range sim.upstreams {
		fresh := sim.now.Sub(u.idSince) < listDelay && len(u.formerIDs) > 0
		switch {
		case u.notJoined, len(u.formerIDs) == 0 && sim.now.Sub(u.idSince) < joinListDelay && !u.idSince.IsZero():
		case fresh && sim.variant == forgetUnlisted, !sim.isUp(u) && sim.variant == forgetUnlisted:
		case fresh:
			v.Upstreams = append(v.Upstreams, Upstream{ID: u.formerIDs[len(u.formerIDs)-1], Unlisted: true})
		default:
			v.Upstreams = append(v.Upstreams, Upstream{ID: u.id, Leaving: u.leaving, Unlisted: !sim.isUp(u)})
		}
	}
	return v
}

func epoch(n uint32) tracker.Term { return tracker.Term{Epoch: n} }

// execute runs the commands of a process.
func (sim *simulation) execute(i int, commands []Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case Suspend:
			sim.control(i, cmd.ID, func(u *simUpstream) { u.suspendedTerm = max(u.suspendedTerm, cmd.Term.Epoch) })
			if sim.variant == assumeSuspended {
				sim.execute(i, sim.procs[i].r.Handle(UpstreamReport{ID: cmd.ID, RequestedAt: sim.now, OK: true, Term: epoch(sim.term), SuspendedTerm: cmd.Term, Received: sim.received(cmd.ID)}, sim.now))
			}
		case Resume:
			sim.control(i, cmd.ID, func(u *simUpstream) { u.suspendedTerm = 0 })
		case Poll:
			sim.control(i, cmd.ID, func(*simUpstream) {})
		case Demote:
			sim.control(i, cmd.ID, func(u *simUpstream) {
				if sim.leader >= 0 && sim.upstreams[sim.leader] == u && cmd.Term.Epoch > sim.term && sim.variant != ignoreStepDown {
					sim.leader, sim.unconfirmed = -1, nil
				}
			})
			if sim.variant == ignoreStepDown {
				sim.execute(i, sim.procs[i].r.Handle(UpstreamReport{ID: cmd.ID, RequestedAt: sim.now, OK: true, Term: epoch(sim.term), Received: sim.received(cmd.ID)}, sim.now))
			}
		case ReleaseLease:
			sim.procs[i].token = 0
		case Promote:
			sim.receiveOrder(i, cmd.Order)
		}
	}
}

// received returns the end of a log without a request: the guess of a holder that breaks a
// rule.
func (sim *simulation) received(id string) tracker.Mark {
	for _, u := range sim.upstreams {
		if u.id == id && sim.isUp(u) {
			return mark(u)
		}
	}
	return tracker.Mark{}
}

func mark(u *simUpstream) tracker.Mark {
	end := 0
	if len(u.log) > 0 {
		end = u.log[len(u.log)-1]
	}
	return tracker.Mark{Term: epoch(1), Pos: tracker.Position(end)}
}

// control sends a command to an upstream. One request or answer of ten is lost.
func (sim *simulation) control(i int, id string, do func(*simUpstream)) {
	for n, u := range sim.upstreams {
		if u.id != id || !sim.isUp(u) || !sim.procs[i].reaches[n] || sim.chance(20) {
			continue
		}
		do(u)
		if sim.chance(20) {
			return
		}
		end := mark(u)
		if sim.variant == skipCatchUp && n == sim.leader {
			end = tracker.Mark{Term: epoch(1), Pos: 1}
		}
		sim.execute(i, sim.procs[i].r.Handle(UpstreamReport{
			ID: id, RequestedAt: sim.now, OK: true, Term: epoch(sim.term), Leads: n == sim.leader, SuspendedTerm: epoch(u.suspendedTerm), Received: end,
		}, sim.now))
		return
	}
}

// receiveOrder sends an order to the platform. It may be carried out seconds later, and its
// answer may be lost.
func (sim *simulation) receiveOrder(i int, o Order) {
	p := sim.procs[i]
	if sim.now.Before(p.partitionedUntil) {
		return
	}
	running := slices.ContainsFunc(sim.upstreams[:], func(u *simUpstream) bool { return u.id == o.Upstream && sim.isUp(u) })
	if o.Token < sim.platformToken || !running {
		p.token = 0
		sim.execute(i, p.r.Handle(OrderAnswer{Order: o, Outcome: Rejected}, sim.now))
		return
	}
	late := sim.chance(4)
	at := sim.now.Add(minPromotionDelay)
	if late {
		at = sim.randomTime(minPromotionDelay, 4*time.Second)
	}
	sim.orders = append(sim.orders, simOrder{Order: o, by: i, at: at})
	if late && sim.variant == forgetOrder {
		p.r = Replacer{Group: "g"}
	}
	if !late {
		sim.recordToken(o, i)
		sim.execute(i, p.r.Handle(OrderAnswer{Order: o, Outcome: Accepted}, sim.now))
	}
}
