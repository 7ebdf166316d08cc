package carrier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// zoneModel plays the load of one group in virtual time: an upstream of six slots in each of
// three zones, and two gateways in each, whose decisions are those of Group. Connections and
// admission queues are left out.
type zoneModel struct {
	clock   *modeler.Clock
	rng     *rand.Rand
	end     uint64
	newTerm uint64 // the last position of the first term; zero while it lasts
	leader  string
	applied map[string][]time.Time // by upstream, when each commit is visible there
	servers map[string]*modeler.Server
	groups  []*Group
	marks   [120]tracker.Mark // by session
	lost    bool              // reports of peers are lost
	wrong   bool              // peers report what cannot be
	lagEnd  time.Time         // until when b lags 80 times the usual
	reloads bool              // the setting is switched each second
	slowEnd time.Time         // until when c takes 7.5 times as long
	classes [3]zoneResult
	// counts of reads that replicas may serve; slowed is those that a slow c ran
	reads, missing, led, slowed int
}

// zoneResult is what callers of one class got.
type zoneResult struct {
	inTime, late, refused int
	took                  []time.Duration
}

// zoneClasses are the classes of Torgvakt. A transaction's share of writes is not stated
// there; half of the bookings and an eighth of the checks write.
var zoneClasses = [3]struct {
	name           string
	freshness      cataloger.Freshness
	age, objective time.Duration
	share, writes  float64
	millis         float64
}{
	{"bookings", cataloger.Latest, 0, 250 * time.Millisecond, 0.15, 0.5, 9.3},
	{"maps", cataloger.BoundedStaleness, 1500 * time.Millisecond, 800 * time.Millisecond, 0.15, 0, 47},
	{"checks", cataloger.ReadYourWrites, 2500 * time.Millisecond, 400 * time.Millisecond, 0.70, 0.125, 28},
}

func newZoneModel(features func() Features) *zoneModel {
	m := &zoneModel{
		clock: &modeler.Clock{Now: time.Unix(1000, 0)}, rng: rand.New(rand.NewPCG(5, 6)), leader: "a",
		applied: map[string][]time.Time{}, servers: map[string]*modeler.Server{},
	}
	var list []cataloger.Upstream
	for i, id := range []string{"a", "b", "c"} {
		m.servers[id] = &modeler.Server{Clock: m.clock, Slots: 6}
		list = append(list, cataloger.Upstream{ID: id, Group: "g", Zone: fmt.Sprint("z", i), Slots: 6, Leads: id == "a"})
	}
	m.servers["c"].Fault = func(now time.Time) modeler.Effect {
		if now.Before(m.slowEnd) {
			return modeler.Effect{Slower: 7.5}
		}
		return modeler.Effect{}
	}
	for i := range 6 {
		c := &Registry{Zone: fmt.Sprint("z", i/2), Now: func() time.Time { return m.clock.Now }, Features: features, Log: zap.NewNop()}
		c.DivideConnections(6, []cataloger.GroupSettings{{Name: "g", MaxConnections: 58}})
		c.SetUpstreams(list)
		g, _ := c.Group("g")
		for _, u := range g.upstreams {
			u.checkingLeader = true // tick asks for positions
		}
		m.groups = append(m.groups, g)
	}
	return m
}

// oneWay returns the time one way between a gateway and an upstream.
func (m *zoneModel) oneWay(g *Group, u *upstream) time.Duration {
	millis := 0.25
	if u.entry.Zone != g.registry.Zone {
		millis = 3.5
	}
	return time.Duration(millis * (0.7 + 0.6*m.rng.Float64()) * float64(time.Millisecond))
}

// commit extends the leader's log. Replicas apply commits in order, each some time later.
func (m *zoneModel) commit() {
	now := m.clock.Now
	m.end++
	for _, id := range []string{"a", "b", "c"} {
		seconds := min(0.15*math.Exp(0.6*m.rng.NormFloat64()-0.18), 0.9)
		at := now.Add(time.Duration(seconds * float64(time.Second)))
		if id == "b" && now.Before(m.lagEnd) {
			at = now.Add(time.Duration(80 * seconds * float64(time.Second)))
			if at.After(m.lagEnd) {
				at = m.lagEnd
			}
		}
		if n := len(m.applied[id]); n > 0 && at.Before(m.applied[id][n-1]) {
			at = m.applied[id][n-1]
		}
		m.applied[id] = append(m.applied[id], at)
	}
}

func (m *zoneModel) mark(id string) tracker.Mark {
	pos := m.end
	if id != m.leader {
		n, _ := slices.BinarySearchFunc(m.applied[id], m.clock.Now, time.Time.Compare)
		pos = uint64(n)
	}
	if m.newTerm > 0 && pos > m.newTerm {
		return mark(2, pos)
	}
	return mark(1, pos)
}

// promote makes c the leader.
func (m *zoneModel) promote() {
	m.newTerm, m.leader = m.end, "c"
	m.commit()
}

// play plays the load for 30 s. disturb, when set, is called after 10 s.
func (m *zoneModel) play(disturb func()) {
	const perSecond, length = 1715.0 / 8, 30 * time.Second
	began := m.clock.Now
	for at := time.Duration(0); at < length+time.Second; at += 100 * time.Millisecond {
		m.clock.At(began.Add(at), func() { m.tick(at) })
	}
	for at := time.Duration(0); at < length; at += time.Duration(m.rng.ExpFloat64() / perSecond / 1.55 * float64(time.Second)) {
		zone := m.rng.IntN(3)
		swing := 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+[]float64{0.1, 0.18, 0.26}[zone]))
		if m.rng.Float64()*1.55 < swing {
			m.clock.At(began.Add(at), func() { m.arrive(zone) })
		}
	}
	if disturb != nil {
		m.clock.At(began.Add(10*time.Second), disturb)
	}
	m.clock.RunUntil(began.Add(length + 5*time.Second))
}

// tick does what gateways do beside placing statements: they sample the leader's log, open
// connections, ask replicas for their positions and exchange loads.
func (m *zoneModel) tick(at time.Duration) {
	for i, g := range m.groups {
		g.recordLeader(g.findUpstream(m.leader), m.clock.Now, m.mark(m.leader))
		for _, u := range g.upstreams {
			if at%time.Second == 0 {
				g.addRoundTrip(u, m.oneWay(g, u)+m.oneWay(g, u))
			}
			if g.needsPosition(u, m.clock.Now) {
				g.recordAnswer(u, m.mark(u.id))
			}
		}
		if at%(500*time.Millisecond) != 0 || m.lost {
			continue
		}
		loads := g.Loads(m.clock.Now)
		for k := range loads {
			if m.wrong && i == 0 {
				loads[k].Running, loads[k].Lag = 1<<40, 1<<40
			}
		}
		for _, to := range m.groups {
			if to != g {
				to.registry.SetPeerLoads(fmt.Sprint("p", i), "g", loads, m.clock.Now)
			}
		}
	}
}

func (m *zoneModel) arrive(zone int) {
	class, x := 2, m.rng.Float64()
	if x < 0.30 {
		class = int(x / 0.15)
	}
	c, session := &zoneClasses[class], zone*40+m.rng.IntN(40)
	job := &Job{
		Freshness: c.freshness, MaxStaleness: c.age, Writes: m.rng.Float64() < c.writes,
		Arrived: m.clock.Now, ObjectiveAt: m.clock.Now.Add(c.objective),
	}
	if c.freshness == cataloger.ReadYourWrites {
		job.LastWrite = m.marks[session]
	}
	if !job.RequiresLeader() {
		m.reads++
	}
	service := time.Duration(c.millis * (0.3 + 1.4*m.rng.Float64()) * float64(time.Millisecond))
	m.place(m.groups[2*zone+m.rng.IntN(2)], job, service, func(at tracker.Mark) {
		if job.Writes {
			m.marks[session] = at
		}
		took, r := m.clock.Now.Sub(job.Arrived), &m.classes[class]
		r.took = append(r.took, took)
		if took <= c.objective {
			r.inTime++
		} else {
			r.late++
		}
	})
}

func (m *zoneModel) place(g *Group, j *Job, service time.Duration, done func(tracker.Mark)) {
	since, _, _ := g.requiredMark(j)
	u, wait := g.chooseExpected(j, since)
	if wait > 0 {
		m.clock.After(wait, func() { m.place(g, j, service, done) })
		return
	}
	if u == nil {
		u, _, _ = g.choose(placer.Need{LeaderOnly: j.RequiresLeader(), MinMark: since}, "", j.tried)
	}
	sent, r := m.clock.Now, &run{exchangeStartedAt: m.clock.Now, replicasMayServe: !j.RequiresLeader()}
	g.addRun(u, r)
	m.clock.After(m.oneWay(g, u), func() {
		if !j.RequiresLeader() && m.mark(u.id).Less(since) {
			m.missing++
			m.answer(g, u, r, func() {
				g.recordLag(u)
				j.markTried(u)
				m.place(g, j, service, done)
			})
			return
		}
		m.servers[u.id].Serve(service, func() {
			if j.Writes {
				m.commit()
			}
			m.answer(g, u, r, func() {
				m.count(u, j)
				g.recordAnswerTime(u, m.clock.Now.Sub(sent))
				g.recordService(u, j, m.clock.Now.Sub(sent))
				if !j.RequiresLeader() {
					g.recordReadServed(u, since)
				}
				done(m.mark(u.id))
			})
		})
	})
}

// answer lets an answer travel back.
func (m *zoneModel) answer(g *Group, u *upstream, r *run, then func()) {
	at := m.mark(u.id)
	m.clock.After(m.oneWay(g, u), func() {
		g.removeRun(u, r)
		g.recordAnswer(u, at)
		then()
	})
}

func (m *zoneModel) count(u *upstream, j *Job) {
	if j.RequiresLeader() {
		return
	}
	if u.id == m.leader {
		m.led++
	}
	if u.id == "c" && m.clock.Now.Before(m.slowEnd) {
		m.slowed++
	}
}

func (m *zoneModel) String() string {
	out := ""
	for i := range zoneClasses {
		r := &m.classes[i]
		slices.Sort(r.took)
		at := func(p float64) int64 { return r.took[int(p*float64(len(r.took)-1))].Milliseconds() }
		out += fmt.Sprintf("  %-8s  in time %4d  late %3d  refused %3d  p50 %3d ms  p99 %3d ms\n", zoneClasses[i].name, r.inTime, r.late, r.refused, at(0.5), at(0.99))
	}
	return out + fmt.Sprintf("  reads that replicas may serve %d: refused for a position %.2f %%, run by the leader %.1f %%, by a slow upstream %d\n",
		m.reads, 100*float64(m.missing)/float64(m.reads), 100*float64(m.led)/float64(m.reads), m.slowed)
}

// Guards against reads that replicas refuse for a missing position or that take the leader's
// slots, in calm, with peers' reports lost or wrong, while the leader changes, while a replica lags 80 times the usual, and while one is 7.5 times as
// slow.
func TestLoadPeaksOverZones(t *testing.T) {
	is := is.New(t)
	report := ""
	for _, d := range []struct {
		name    string
		disturb func(m *zoneModel)
	}{
		{"calm", func(*zoneModel) {}},
		{"a replica lags 80 times the usual for 6 s", func(m *zoneModel) { m.lagEnd = m.clock.Now.Add(6 * time.Second) }},
		{"a replica is 7.5 times as slow for 6 s", func(m *zoneModel) { m.slowEnd = m.clock.Now.Add(6 * time.Second) }},
		{"reports of peers are lost", func(m *zoneModel) { m.lost = true }},
		{"reports of one peer are wrong", func(m *zoneModel) { m.wrong = true }},
		{"the leader changes", (*zoneModel).promote},
		{"switched each second by a reload", func(m *zoneModel) { m.reloads = true }},
	} {
		var before, after *zoneModel
		for _, f := range []Features{{}, {AdaptivePlacement: true}} {
			before = after
			after = newZoneModel(func() Features {
				if after != nil && after.reloads && after.clock.Now.Second()%2 == 0 {
					return Features{}
				}
				return f
			})
			after.play(func() { d.disturb(after) })
			report += fmt.Sprintf("%s, adaptive %t\n%s", d.name, f.AdaptivePlacement, after)
		}
		if d.name == "calm" {
			is.True(2*after.led <= before.led)           // the leader's share falls by half
			is.True(1000*after.missing <= 3*after.reads) // fewer than 0.3 % lack the position
		}
	}
	matcher.Golden(t, "testdata/expected.golden", report)
}

// Guards against choices by what was learned of an upstream before it restarted, and by
// reports that are older than what this process has seen itself.
func TestExpectationsStartAnew(t *testing.T) {
	is := is.New(t)
	m := newZoneModel(withExpected)
	g := m.groups[0]
	now := m.clock.Now
	g.recordLeader(g.upstreams[0], now, mark(1, 5))
	g.upstreams[1].expected.lag.Observe(now, 9*time.Second, 10*time.Second)
	g.upstreams[1].expected.start.Lose(now)
	is.Equal(g.Loads(now)[0].Lag/1000, 9)
	g.upstreams[1].expected.lag.Report(now, time.Millisecond)
	is.True(g.upstreams[1].expected.lag.Median() > 9*time.Second)
	is.Equal(len(g.Loads(now.Add(peerLoadTTL))), 0) // what is old is not reported
	list := slices.Clone(g.listed)
	list[1].Born = now
	g.apply(list)
	list = slices.Clone(list)
	list[1].Born = now.Add(time.Second)
	g.apply(list)
	is.Equal(g.upstreams[1].expected, replicaState{})
}

func withExpected() Features { return Features{ExpectedPlacement: true} }

// Guards against a read after a session's own write that is refused by a replica or takes the
// leader's slots, though the replica has the write some ms later.
func TestReadWaitsForPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		c := &Registry{Dial: s.dial, Now: time.Now, Features: withExpected, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 3, Leads: true}, {ID: "b", Group: "g", Slots: 3}})
		defer c.Stop()
		g, _ := c.Group("g")
		now := time.Now()
		g.recordLeader(g.upstreams[0], now, mark(1, 101))
		g.expected.leaderOnly.Add(now, 6*time.Second) // the leader is busy with other work
		for range 30 {
			g.upstreams[1].expected.lag.Observe(now, 30*time.Millisecond, 32*time.Millisecond)
		}
		s.end = 101
		time.AfterFunc(30*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stoppedAt["b"] = 101
		})
		job := &Job{Freshness: cataloger.ReadYourWrites, MaxStaleness: time.Second, LastWrite: mark(1, 101), Arrived: now}
		job.ObjectiveAt, job.Deadline = now.Add(400*time.Millisecond), now.Add(time.Second)
		a := g.Run(job, Command{Verb: Read, ID: "r"})
		is.Equal(a.Code, OK)
		is.Equal(a.Upstream, "b")
		is.True(len(job.tried) == 0) // it was not refused before
		is.True(a.Waited >= 30*time.Millisecond && a.Waited <= 100*time.Millisecond)
	})
}

// Guards against a statement that only the leader may run and that waits until its deadline
// behind the work of other gateways.
func TestLeaderOnlyWorkIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := Features{}
		s := newLaggingGroup()
		c := &Registry{Dial: s.dial, Now: time.Now, Features: func() Features { return f }, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 3, Leads: true}})
		defer c.Stop()
		g, _ := c.Group("g")
		run := func() (Answer, time.Duration) {
			began := time.Now()
			a := g.Run(&Job{Arrived: began, ObjectiveAt: began.Add(250 * time.Millisecond), Deadline: began.Add(time.Second)}, Command{Verb: Read, ID: "r"})
			return a, time.Since(began)
		}
		for i := range 40 {
			c.SetPeerLoads(fmt.Sprint("p", i), "g", []gossiper.UpstreamLoad{{ID: "a", Running: 3, Waiting: 3}}, time.Now())
		}
		a, _ := run()
		is.Equal(a.Code, OK) // the setting is off
		f = withExpected()
		a, took := run()
		is.Equal(a.Code, Busy)
		is.Equal(took, time.Duration(0))
		f.ShortRetries = true
		a, _ = run()
		is.Equal(a.Text, "the leader can't answer in time; come back in 500ms") // not after the deadline
		time.Sleep(2 * peerLoadTTL)                                             // reports that are old don't count
		a, _ = run()
		is.Equal(a.Code, OK)
	})
}

// Guards against reads that go on to an upstream that fails a part of them, sheds load, or
// answers nothing any more.
func TestBadUpstreamLosesReads(t *testing.T) {
	is := is.New(t)
	for _, bad := range []func(g *Group, u *upstream){
		func(g *Group, u *upstream) { g.recordFailure(u, true); g.recordFailure(u, true) },
		(*Group).recordShed,
		func(_ *Group, u *upstream) { u.running[&run{exchangeStartedAt: time.Unix(999, 0)}] = struct{}{} },
	} {
		m := newZoneModel(withExpected)
		g := m.groups[0]
		u, j := g.upstreams[1], &Job{Freshness: cataloger.BoundedStaleness}
		u.answeredAt = time.Unix(999, 0)
		is.True(g.option(u, j, m.clock.Now).Limit > 0)
		bad(g, u)
		is.Equal(g.option(u, j, m.clock.Now).Limit, 0)
	}
}

// Guards against a leader that never regains its reads, because a write is always in flight.
func TestWritesDontKeepReadsFromLeader(t *testing.T) {
	is := is.New(t)
	m := newZoneModel(withExpected)
	g, now := m.groups[0], m.clock.Now
	g.recordLeader(g.upstreams[0], now, mark(1, 5))
	g.upstreams[0].running[&run{}] = struct{}{}
	g.upstreams[0].expected.start.Lose(now)
	now = now.Add(time.Second) // the pause is over
	for _, u := range g.upstreams[1:] {
		u.ejected = true
	}
	m.clock.Now = now
	is.True(g.chooseSecond(g.upstreams[1], &Job{Freshness: cataloger.BoundedStaleness}, mark(1, 5)) == nil) // no second attempts yet
	for range 100 {
		g.expected.hedge.Record(0, time.Millisecond)
	}
	is.Equal(g.chooseSecond(g.upstreams[1], &Job{Freshness: cataloger.BoundedStaleness}, mark(1, 5)), g.upstreams[0])
	g.upstreams[0].running[&run{replicasMayServe: true}] = struct{}{}
	is.True(g.chooseSecond(g.upstreams[1], &Job{Freshness: cataloger.BoundedStaleness}, mark(1, 5)) == nil)
}
