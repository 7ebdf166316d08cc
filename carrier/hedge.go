package carrier

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// attempted is the outcome of one of two attempts.
type attempted struct {
	job      *Job
	upstream *upstream
	answer   Answer
	again    bool
}

// attemptRead does the same as attempt. A read without an answer in the usual time is sent
// once more, to another upstream, where placement by expected time allows that. The first
// answer counts. The other attempt goes on and its answer is dropped: its slot is used
// anyhow, and a connection that is not closed need not be opened anew. An attempt at an
// upstream that hangs ends as lost reads do.
func (g *Group) attemptRead(u *upstream, j *Job, cmd Command, since tracker.Mark) (*upstream, Answer, bool) {
	delay, ok := g.hedgeDelay(j, cmd)
	if !ok {
		began := g.registry.Now()
		answer, again := g.attempt(u, j, cmd, since)
		g.recordAttempt(j, cmd, answer, began)
		return u, answer, again
	}
	c := &contest{over: make(chan struct{}), results: make(chan attempted, 2)}
	defer func() {
		c.answered.Store(true)
		c.end()
	}()
	g.startAttempt(c, u, j, cmd, since)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	callerGone := j.CallerGone
	for running := 1; ; {
		select {
		case r := <-c.results:
			running--
			for tried := range r.job.tried {
				j.markTried(tried)
			}
			if r.answer.Code == OK || running == 0 {
				return r.upstream, r.answer, r.again
			}
		case <-callerGone:
			c.end() // what is not sent yet need not be sent
			callerGone = nil
			timer.Stop()
		case <-timer.C:
			second := g.chooseSecond(u, j, since)
			if second == nil {
				continue
			}
			g.log().Info("carrier: read sent once more", zap.String("request", j.Request), zap.String("group", g.name),
				zap.String("upstream", second.id), zap.String("slow", u.id), zap.Duration("after", delay))
			g.startAttempt(c, second, j, cmd, since)
			running++
		}
	}
}

// contest is what two attempts of one read share.
type contest struct {
	results chan attempted // has room for both, so that the attempt that loses ends
	over    chan struct{}  // closed when no further attempt counts

	answered atomic.Bool // the caller has its answer

	mu    sync.Mutex
	ended bool
}

// end ends the contest: an attempt that has not been sent is not sent any more, and no
// function of the job is called from then on.
func (c *contest) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		close(c.over)
	}
}

// guard returns a function of the job that is false once the contest has ended.
func (c *contest) guard(f func() bool) func() bool {
	if f == nil {
		return nil
	}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.ended && f()
	}
}

// startAttempt begins one attempt. It has a job of its own: attempts mark what they tried, and
// the one that loses may last longer than the caller's job.
func (g *Group) startAttempt(c *contest, u *upstream, j *Job, cmd Command, since tracker.Mark) {
	own := *j
	own.tried = maps.Clone(j.tried)
	own.CanForward, own.CallerGone, own.over = c.guard(j.CanForward), c.over, c.over
	began := g.registry.Now()
	go func() {
		answer, again := g.attempt(u, &own, cmd, since)
		g.recordAttempt(&own, cmd, answer, began)
		if c.answered.Load() && answer.Connection != 0 {
			g.log().Info("carrier: answer dropped, the read has been answered", zap.String("request", j.Request), zap.String("group", g.name), zap.String("upstream", u.id),
				zap.Uint64("connection", answer.Connection), zap.Stringer("code", answer.Code), zap.Duration("took", g.registry.Now().Sub(began)))
		}
		c.results <- attempted{&own, u, answer, again}
	}()
}

// isOver reports whether another attempt of the job has been answered.
func (j *Job) isOver() bool {
	select {
	case <-j.over:
		return true
	default:
		return false // also where there is no other attempt
	}
}

// mayHedge reports whether a statement is a read that replicas may serve. Writes and reads
// that only the leader may run have nowhere else to go.
func mayHedge(j *Job, cmd Command) bool {
	return !j.RequiresLeader() && cmd.Verb != Write && !cmd.Writes
}

// hedgeDelay returns after which time a statement may be sent once more, and whether it may.
func (g *Group) hedgeDelay(j *Job, cmd Command) (time.Duration, bool) {
	if !mayHedge(j, cmd) {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.expects() {
		return 0, false
	}
	return g.expected.hedge.Delay(int(j.admissionClass()))
}

// recordAttempt records how long an attempt took that was answered.
func (g *Group) recordAttempt(j *Job, cmd Command, answer Answer, began time.Time) {
	if answer.Code != OK || !mayHedge(j, cmd) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expects() {
		g.expected.hedge.Record(int(j.admissionClass()), g.registry.Now().Sub(began))
	}
}

// chooseSecond returns the upstream to which a read that an upstream has not answered is sent
// once more; nil if there is none.
func (g *Group) chooseSecond(first *upstream, j *Job, since tracker.Mark) *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.expects() {
		return nil
	}
	now := g.registry.Now()
	options := make([]placer.Option, len(g.upstreams))
	for i, u := range g.upstreams {
		options[i] = g.option(u, j, now)
		options[i].Tried = options[i].Tried || u == first
	}
	i := placer.ChooseSecond(now, options, placer.Read{MinMark: since, CommittedAt: g.committedAt(j, since, now)})
	if i == placer.None || !g.expected.hedge.Take() {
		return nil
	}
	g.countPlacement(placer.NoAnswerYet)
	return g.upstreams[i]
}
