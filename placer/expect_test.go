package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

const ms = time.Millisecond

// Guards against reads that go to a replica for seconds after it began to lag, or that avoid
// it for seconds after it has caught up.
func TestLagFollowsBothWays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l Lag
	is.True(l.Within(now, 5*time.Second) > 0.99) // nothing is known, and that is old
	is.True(l.Within(now, 50*ms) < 0.5)
	for i := range 60 {
		now = now.Add(50 * ms)
		l.Observe(now, time.Duration(60+i%5*30)*ms, time.Duration(120+i%5*30)*ms)
	}
	is.True(l.Within(now, 500*ms) > 0.95)
	is.True(l.Within(now, 60*ms) < 0.2)
	for range 100 {
		l.Observe(now, 0, time.Hour) // a quiet log shows nothing
	}
	is.True(l.Median() > 80*ms && l.Median() < 250*ms)
	l.Observe(now, 3*time.Second, 4*time.Second)
	is.True(l.Within(now, 2*time.Second) < 0.2) // one observation is enough
	l.Observe(now, 0, 100*ms)
	is.True(l.Within(now, time.Second) > 0.95) // also the other way
	l.Report(now, time.Minute)
	is.True(l.Within(now, time.Second) > 0.95) // what was seen here counts
	l.Report(now.Add(ownLagTTL), time.Minute)
	is.True(l.Median() > 30*time.Second)
}

// Guards against work that stays at a slow upstream, comes back at once, or never.
func TestSlowUpstreamLosesAndRegainsWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var ref Reference
	var p Pace
	var s SlowStart
	for i := range 40 {
		is.True(!p.Record(now, &ref, 0, time.Duration(10+i%30)*ms)) // spread is no slowness
	}
	is.Equal(s.Limit(now), NoLimit)
	is.True(!p.Record(now, &ref, 0, 180*ms)) // one long statement
	is.True(p.Record(now, &ref, 0, 180*ms))
	s.Lose(now)
	is.Equal(s.Limit(now), 0)
	now = now.Add(minPause)
	for _, want := range []int{1, 2, 2, 4, 4, 4, 4, NoLimit} {
		is.Equal(s.Limit(now), want)
		is.True(!p.Record(now, &ref, 0, 20*ms))
		s.Gain(now)
	}
	s.Lose(now)
	is.Equal(s.Limit(now.Add(minPause)), 0) // one that flaps pauses for longer
	is.Equal(s.Limit(now.Add(2*minPause)), 1)
}

// Guards against a choice that changes to and fro with a round trip around the threshold, or
// that a single lost packet makes.
func TestDistanceHasHysteresis(t *testing.T) {
	is := is.New(t)
	var d Distance
	r := make([]RoundTrip, 2)
	is.True(!d.Update(r)) // unknown at the start
	r[0].Record(time.Second)
	is.True(!d.Update(r))
	for _, step := range []struct {
		millis float64
		far    bool
	}{{1.2, false}, {4.9, false}, {5.1, true}, {4.8, true}, {5.2, true}, {4.1, true}, {3.9, false}, {4.5, false}} {
		for range keptRoundTrips - 1 {
			r[0].Record(time.Duration(step.millis * float64(ms)))
		}
		r[0].Record(time.Second) // a packet is lost
		is.Equal(d.Update(r), step.far)
	}
}

// Guards against reads that go to a replica which does not have the position, to the leader
// whose slots are needed, or that wait beyond their share of the time.
func TestChooseExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	needed := tracker.Mark{Pos: 9}
	for _, test := range []struct {
		name   string
		change func(o []Option, r *Read)
		want   int
		wait   bool
	}{
		{"the replica that has it", func(o []Option, _ *Read) { o[2].Mark = needed }, 2, false},
		{"a replica in some ms", func(o []Option, r *Read) {
			o[2].Ejected, r.CommittedAt, r.MaxWait = true, now.Add(-185*ms), 100*ms
		}, 1, true},
		{"the leader where the wait is too long", func(_ []Option, r *Read) { r.CommittedAt, r.MaxWait = now.Add(-150*ms), 10*ms }, 0, false},
		{"a replica for what is old", func(_ []Option, r *Read) { r.CommittedAt = now.Add(-2 * time.Second) }, 1, false},
		{"the leader where nothing is known", func(o []Option, _ *Read) { o[1].Lag, o[2].Lag = Lag{}, Lag{} }, 0, false},
		{"a replica of unknown lag where the leader has a queue", func(o []Option, r *Read) {
			o[0].QueueWait, o[1].Lag, o[2].Lag, r.CommittedAt = 200*ms, Lag{}, Lag{}, now.Add(-300*ms)
		}, 1, false},
		{"a slow leader where the replicas certainly refuse", func(o []Option, r *Read) {
			o[0].Limit, o[1].Limit, r.CommittedAt = 0, 0, now.Add(-10*ms)
		}, 0, false},
		{"the other replica where others have the first", func(o []Option, r *Read) { o[1].Others = 9; r.MinMark = tracker.Mark{} }, 2, false},
		{"the leader where replicas are slow", func(o []Option, r *Read) { o[1].Limit, o[2].Limit, r.MinMark = 0, 0, tracker.Mark{} }, 0, false},
		{"none that answers", func(o []Option, _ *Read) { o[0].Ejected, o[1].Ejected, o[2].DrainEnded = true, true, true }, None, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			options := make([]Option, 3)
			for i := range options {
				options[i] = Option{Candidate: Candidate{IsLeader: i == 0, MaxConnections: 9}, RoundTrip: 7 * ms, Service: 28 * ms, Slots: 6, Limit: NoLimit}
				for range 30 {
					options[i].Lag.Observe(now, 100*ms, 110*ms)
				}
			}
			options[0].LeaderOnly, options[1].RoundTrip = 0.3, ms
			read := Read{MinMark: needed, CommittedAt: now}
			test.change(options, &read)
			c := ChooseExpected(now, options, read)
			is.Equal(c.Index, test.want)
			is.Equal(c.Wait > 0, test.wait)
			is.True(c.Wait <= read.MaxWait)
		})
	}
}

// Guards against second attempts that take more than 3 % of the reads when an upstream makes
// all answers late, or that begin before an answer is late.
func TestSecondAttemptsAreFew(t *testing.T) {
	is := is.New(t)
	var h Hedge
	_, ok := h.Delay(0)
	is.True(!ok) // nothing is known yet
	taken, late := 0, 0
	for i := range 20_000 {
		took := time.Duration(10+i*7%100) * ms
		if i > 10_000 {
			took *= 8 // all answers become slow
		}
		delay, ok := h.Delay(0)
		if i == 10_000 {
			is.True(delay > 119*ms && delay < 144*ms) // 95 of 100 answers take at most 104 ms
		}
		if ok && took > delay {
			late++
			is.True(h.Take())
			taken++
		}
		h.Record(0, took)
	}
	is.True(late > 0 && taken <= 20_000*3/100)
}

// Guards against second attempts that delay others' work, or that come where the read was.
func TestSecondAttemptNeedsFreeSlot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	for i, change := range []func(o *Option){
		func(*Option) {},
		func(o *Option) { o.Tried = true },
		func(o *Option) { o.OthersWait = true },
		func(o *Option) { o.QueueWait = ms },
		func(o *Option) { o.Others = 5.5 },
		func(o *Option) { o.InFlight = 2 },
		func(o *Option) { o.Limit = 0 },
		func(o *Option) { o.Mark = tracker.Mark{}; o.Lag.Observe(now, time.Minute, time.Minute) },
	} {
		o := Option{Candidate: Candidate{MaxConnections: 2, Mark: tracker.Mark{Pos: 9}}, Slots: 6, Limit: NoLimit}
		change(&o)
		is.Equal(ChooseSecond(now, []Option{o}, Read{MinMark: tracker.Mark{Pos: 9}, CommittedAt: now}) == 0, i == 0)
	}
}
