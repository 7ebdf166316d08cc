package carrier

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// Parameters of placement by expected time.
const (
	// sameZoneRoundTrip and otherZoneRoundTrip are assumed until a round trip is measured.
	sameZoneRoundTrip  = time.Millisecond
	otherZoneRoundTrip = 6 * time.Millisecond
	// positionProbeInterval is how long a replica's position may be unknown while reads are
	// placed, and slowProbeInterval the same for a replica whose lag is small, since most
	// reads are served by it whatever its exact lag. A probe takes no slot.
	positionProbeInterval = 100 * time.Millisecond
	slowProbeInterval     = 400 * time.Millisecond
	// longLag is the lag from which a replica is probed more often.
	longLag = 500 * time.Millisecond
	// maxPartialFailureRate is the rate of failures from which an upstream loses its work:
	// two failures among a few answers.
	maxPartialFailureRate = 0.2
	// hungFactor is how many expected service times an upstream may answer nothing, and
	// minHungTime the least such time: no answer may simply be due.
	hungFactor  = 4
	minHungTime = 60 * time.Millisecond
	// unknownLag is the upper bound of the lag of a replica that lacks all samples.
	unknownLag = time.Hour
)

// expectation is what a group's placement by expected time has learned. Its zero value is
// ready for use.
type expectation struct {
	distance  placer.Distance
	reference placer.Reference
	positions placer.Positions
	// leaderOnly is the use of the leader's slots by this process's work that only the
	// leader may do.
	leaderOnly placer.Use
	hedge      placer.Hedge
	active     bool // as last logged
}

// replicaState is what is learned of one upstream, from one start of it to the next.
type replicaState struct {
	roundTrip placer.RoundTrip
	lag       placer.Lag
	pace      placer.Pace
	start     placer.SlowStart
	running   placer.Average // by other gateways
	waiting   placer.Average // at other gateways
}

// placesByExpectation reports whether upstreams are chosen by when they are expected to
// answer. The caller must hold g.mu.
func (g *Group) placesByExpectation(f Features) bool {
	on := f.ExpectedPlacement || f.AdaptivePlacement && g.expected.distance.IsFar()
	if on != g.expected.active {
		g.expected.active = on
		g.logChange("carrier: placement by expected time changed", zap.String("group", g.name), zap.Bool("on", on))
	}
	return on
}

// expects reports whether upstreams are chosen by when they are expected to answer. The
// caller must hold g.mu.
func (g *Group) expects() bool { return g.placesByExpectation(g.registry.features()) }

// recordRoundTrip records the time of opening a network connection to an upstream, where
// the link states it.
func (g *Group) recordRoundTrip(u *upstream, l Link) {
	timed, ok := l.(interface{ RoundTrip() time.Duration })
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addRoundTrip(u, timed.RoundTrip())
}

// addRoundTrip adds a measured round trip, which may show that another zone is far. The
// caller must hold g.mu.
func (g *Group) addRoundTrip(u *upstream, d time.Duration) {
	u.expected.roundTrip.Record(d)
	g.updateDistance()
}

// boundRoundTrip takes how long an exchange with an upstream took. The caller must hold g.mu.
func (g *Group) boundRoundTrip(u *upstream, took time.Duration) {
	if u.expected.roundTrip.Bound(took) {
		g.updateDistance()
	}
}

// updateDistance updates whether another zone is far. The caller must hold g.mu.
func (g *Group) updateDistance() {
	var others []placer.RoundTrip
	for _, u := range g.upstreams {
		if u.entry.Zone != g.registry.Zone {
			others = append(others, u.expected.roundTrip)
		}
	}
	g.expected.distance.Update(others)
}

// roundTrip returns the expected round trip. A single measurement counts for no more than
// what is assumed without one: it may contain the delays of a process that starts.
func (g *Group) roundTrip(u *upstream) time.Duration {
	assumed := otherZoneRoundTrip
	if u.entry.Zone == g.registry.Zone {
		assumed = sameZoneRoundTrip
	}
	switch d, n := u.expected.roundTrip.Min(); n {
	case 0:
		return assumed
	case 1:
		return min(d, assumed)
	default:
		return d
	}
}

// learnPosition learns from a position that an upstream has stated. The lag is the time from
// a commit until a replica has it. The replica has the last commit up to its position, which
// was made after the newest sample that lacks it, and does not have the next one. While the
// log is quiet the replica's position does not move, and shows little. The caller must hold
// g.mu.
func (g *Group) learnPosition(u *upstream, now time.Time, mark tracker.Mark) {
	if mark.IsZero() || !g.expects() {
		return
	}
	g.expected.positions.Add(now, mark)
	if u == g.leader || len(g.samples.ring) == 0 {
		return
	}
	atLeast, atMost := time.Duration(0), unknownLag
	for _, e := range g.samples.ring {
		if e.mark.Less(mark) {
			atMost = now.Sub(e.requestedAt)
		}
	}
	if at, ok := g.expected.positions.FirstBeyond(mark); ok {
		atLeast = min(now.Sub(at), atMost)
	}
	u.expected.lag.Observe(now, atLeast, atMost)
}

// recordService records that an upstream has answered a statement well. The time of a write
// shows nothing about reads: it contains the wait for replicas to confirm the commit.
func (g *Group) recordService(u *upstream, j *Job, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.expects() {
		return
	}
	now := g.registry.Now()
	if u == g.leader && j.RequiresLeader() {
		g.expected.leaderOnly.Add(now, took)
	}
	if j.Writes {
		return
	}
	if u.expected.pace.Record(now, &g.expected.reference, int(j.admissionClass()), took-g.roundTrip(u)) {
		g.loseWork(u, now, "slow")
		return
	}
	u.expected.start.Gain(now)
}

// loseWork takes the reads from an upstream, which regains them by slow start. The caller
// must hold g.mu.
func (g *Group) loseWork(u *upstream, now time.Time, cause string) {
	if !g.expects() {
		return
	}
	before := u.expected.start.Limit(now)
	u.expected.start.Lose(now)
	if before == placer.NoLimit {
		g.log().Info("carrier: upstream gets fewer reads", zap.String("group", g.name), zap.String("upstream", u.id), zap.String("cause", cause))
	}
}

// option returns an upstream as a candidate. The caller must hold g.mu.
func (g *Group) option(u *upstream, j *Job, now time.Time) placer.Option {
	class := int(j.admissionClass())
	o := placer.Option{
		Candidate: u.candidate(now, now, u == g.leader, u.entry.Zone == g.registry.Zone, j.tried[u], g.shareOf(u.id)),
		RoundTrip: g.roundTrip(u),
		Service:   time.Duration(u.expected.pace.Factor(now) * float64(g.expected.reference.Mean(class))),
		Slots:     u.slots,
		Lag:       u.expected.lag,
		Reads:     u.readsInFlight(),
		Limit:     u.expected.start.Limit(now),
	}
	if u.seemsHung(now, o.Service) {
		o.Limit = 0
	}
	o.ConnectDelay = u.connectDelay(j.Workspace, u == g.leader, u == g.homeReplica(j.Workspace))
	gateways, running, waiting := 1, 0, 0
	var lags []int
	g.loadsOfPeers(now, u.id, func(l *gossiper.UpstreamLoad) {
		gateways++
		running += min(l.Running, o.MaxOthers())
		waiting += min(l.Waiting, o.MaxOthers())
		o.OthersWait = o.OthersWait || l.Waiting > 0
		if l.Lag > 0 {
			lags = append(lags, l.Lag)
		}
	})
	o.OthersRunning = u.expected.running.Update(now, float64(running))
	o.Others = o.OthersRunning + u.expected.waiting.Update(now, float64(waiting))
	if u == g.leader && u.slots > 0 {
		o.LeaderOnly = min(1, float64(gateways)*g.expected.leaderOnly.Slots(now)/float64(u.slots))
	}
	if u != g.leader && len(lags) > 0 {
		slices.Sort(lags)
		u.expected.lag.Report(now, time.Duration(min(lags[len(lags)/2], maxReportedLag))*time.Millisecond)
		o.Lag = u.expected.lag
	}
	return o
}

// readsInFlight returns how many statements and transactions are running that replicas may
// serve. Others don't keep an upstream from regaining its reads: the leader always has some.
func (u *upstream) readsInFlight() int {
	n := 0
	for r := range u.running {
		if r.replicasMayServe {
			n++
		}
	}
	return n
}

// seemsHung reports whether an upstream answers nothing for several service times while an
// exchange runs there that long. It gets no more reads until it answers, before it is
// checked as silent.
func (u *upstream) seemsHung(now time.Time, service time.Duration) bool {
	threshold := max(hungFactor*service, minHungTime)
	if now.Sub(u.answeredAt) < threshold {
		return false
	}
	for r := range u.running {
		if !r.exchangeStartedAt.IsZero() && now.Sub(r.exchangeStartedAt) >= threshold {
			return true
		}
	}
	return false
}

// chooseExpected chooses an upstream by when it is expected to answer. With a wait, the job
// should wait that long and be placed anew. The upstream is nil if there is none, or if
// placement by expectation is not in force or does not concern the job.
func (g *Group) chooseExpected(j *Job, since tracker.Mark) (*upstream, time.Duration) {
	if j.RequiresLeader() {
		return nil, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.expects() {
		return nil, 0
	}
	now := g.registry.Now()
	options := make([]placer.Option, len(g.upstreams))
	for i, u := range g.upstreams {
		options[i] = g.option(u, j, now)
		g.probePosition(u, now)
	}
	c := placer.ChooseExpected(now, options, placer.Read{MinMark: since, CommittedAt: g.committedAt(j, since, now), MaxWait: j.markWait(now)})
	if c.Index == placer.None {
		return nil, 0
	}
	g.countPlacement(c.Reason)
	return g.upstreams[c.Index], c.Wait
}

func (g *Group) countPlacement(reason placer.Reason) {
	if g.registry.CountPlacement != nil {
		g.registry.CountPlacement(string(reason))
	}
}

// markWait returns how long the job may still wait for a position.
func (j *Job) markWait(now time.Time) time.Duration {
	if j.markWaitUntil.IsZero() {
		left := j.ObjectiveAt.Sub(now)
		if j.ObjectiveAt.IsZero() {
			left = time.Until(j.Deadline)
		}
		j.markWaitUntil = now.Add(placer.MaxWait(left))
	}
	return j.markWaitUntil.Sub(now)
}

// committedAt returns the earliest known time at which the leader's log contained what a
// read needs. The caller must hold g.mu.
func (g *Group) committedAt(j *Job, since tracker.Mark, now time.Time) time.Time {
	at := g.samples.firstContaining(since, now)
	if seen, ok := g.expected.positions.FirstSeen(since); ok && seen.Before(at) {
		at = seen
	}
	if since == j.LastWrite && j.Arrived.Before(at) {
		at = j.Arrived // the session wrote before it read
	}
	return at
}

// needsPosition reports whether a replica should be asked for its position, because none of
// its answers has shown that for a while. The caller must hold g.mu.
func (g *Group) needsPosition(u *upstream, now time.Time) bool {
	interval := slowProbeInterval
	if lag := u.expected.lag.Median(); lag == 0 || lag > longLag {
		interval = positionProbeInterval
	}
	return u != g.leader && !u.ejected && now.Sub(u.expected.lag.SeenAt()) >= interval
}

// probePosition asks a replica for its position, if that is needed and a connection is idle.
// Where none is open yet it opens one: a replica of which nothing is known would get few
// reads, and so no connection. The caller must hold g.mu.
func (g *Group) probePosition(u *upstream, now time.Time) {
	if u.checkingLeader || !g.needsPosition(u, now) {
		return
	}
	if s := u.pool.Stats(); s.Idle == 0 && s.Open > 0 {
		return
	}
	u.checkingLeader = true
	go func() {
		g.checkLeader(u) // a replica refuses, with its position
		g.mu.Lock()
		defer g.mu.Unlock()
		u.checkingLeader = false
	}()
}

// refusesEarly reports whether only the leader may run a job and cannot do it in time, and
// how long the wait there is.
func (g *Group) refusesEarly(j *Job) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !j.RequiresLeader() || g.leader == nil || !g.expects() {
		return 0, false
	}
	o := g.option(g.leader, j, g.registry.Now())
	late := o.IsTooLate(time.Until(j.Deadline))
	if late {
		g.countPlacement(placer.TooLate)
	}
	return o.SentWait(), late
}

// refuseLate logs that the leader cannot answer a job in time and returns the refusal.
func (g *Group) refuseLate(j *Job, wait time.Duration) Answer {
	wait = max(wait, busyRetryDelay).Round(time.Millisecond)
	if g.registry.features().ShortRetries {
		wait = min(wait, g.retryDelay(j)) // the wait ends after the deadline
	}
	g.log().Info("carrier: statement refused", zap.String("request", j.Request), zap.String("group", g.name),
		zap.String("reason", string(placer.TooLate)), zap.Duration("wait", wait), zap.Bool("latest", true))
	return refusal(Busy, string(placer.TooLate)+"; come back in "+wait.String())
}

// recordShed records that an upstream refused a statement because it has too many.
func (g *Group) recordShed(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loseWork(u, g.registry.Now(), "busy")
}

// reportedLag returns the lag in milliseconds that peers are told: only what this process
// has observed itself a moment ago, so that no report goes around among peers.
func (u *upstream) reportedLag(now time.Time) int {
	if now.Sub(u.expected.lag.SeenAt()) >= peerLoadTTL {
		return 0
	}
	return int(min(u.expected.lag.Median().Milliseconds(), maxReportedLag))
}

// maxReportedLag bounds the lag that peers report, in milliseconds.
const maxReportedLag = 60_000
