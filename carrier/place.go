package carrier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// place finds an upstream for a job, and the mark that its log must contain. It waits for a
// leader or a sample as long as that can help.
func (g *Group) place(j *Job) (*upstream, tracker.Mark, Answer) {
	for {
		since, waiting, ok := g.requiredMark(j)
		if !ok {
			if g.shouldSampleElsewhere(j) {
				return nil, since, refusal(Unavailable, "no sample of the leader's log")
			}
			if g.isUnservable(j) || !waitForChange(j, waiting) {
				return nil, since, g.refuse(j, placer.NoLeader)
			}
			continue
		}
		if wait, late := g.refusesEarly(j); late {
			return nil, since, g.refuseLate(j, wait)
		}
		if u, wait := g.chooseExpected(j, since); u != nil {
			if wait <= 0 || !pause(j, wait) {
				return u, since, Answer{}
			}
			continue
		}
		u, reason, changed := g.choose(placer.Need{LeaderOnly: j.RequiresLeader(), MinMark: since}, j.Workspace, j.tried)
		if u != nil && g.wouldStall(j) {
			u, reason = nil, placer.CommitStalled
		}
		if u != nil {
			return u, since, Answer{}
		}
		if j.CanForward != nil && j.CanForward() {
			return nil, since, refusal(Unavailable, string(reason))
		}
		if reason == placer.LeaderDrained || g.isUnservable(j) || !waitForChange(j, changed) {
			return nil, since, g.refuse(j, reason)
		}
	}
}

// shouldSampleElsewhere reports whether a job that lacks a sample should run on another
// process: this one has no leader to request a sample from.
func (g *Group) shouldSampleElsewhere(j *Job) bool {
	return g.reachableLeader() == nil && j.CanForward != nil && j.CanForward()
}

// requiredMark returns the mark that a read needs. When no sample is fresh enough, it
// returns a channel that is closed when there may be a newer one.
func (g *Group) requiredMark(j *Job) (tracker.Mark, <-chan struct{}, bool) {
	if j.RequiresLeader() {
		return tracker.Mark{}, nil, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ages.add(j.MaxStaleness)
	mark, ok := g.samples.oldestSince(j.Arrived.Add(clockErrorMargin - j.MaxStaleness))
	newest, _ := g.samples.last()
	var waiting <-chan struct{}
	g.samples.interval = g.ages.interval()
	if !ok || g.registry.Now().Sub(newest.requestedAt) > j.MaxStaleness/resampleDivisor {
		waiting = g.refreshSample()
	}
	if !ok {
		if waiting == nil {
			waiting = g.changed
		}
		return mark, waiting, false
	}
	if mark.Less(j.LastWrite) {
		mark = j.LastWrite
	}
	return mark, nil, true
}

// waitForChange waits for a change. It reports false if the time is over, or the caller
// gone, before it.
func waitForChange(j *Job, changed <-chan struct{}) bool {
	left := time.Until(j.Deadline)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-j.CallerGone:
		return false
	}
}

// pause waits for a duration. It reports false if the time is over, or the caller gone,
// before its end.
func pause(j *Job, d time.Duration) bool {
	passed := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	return waitForChange(j, passed)
}

// wouldStall does the same as wouldStallLocked and takes the lock.
func (g *Group) wouldStall(j *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wouldStallLocked(j, g.registry.Now())
}

// isUnservable reports whether a job cannot be served here, however long it waits.
func (g *Group) isUnservable(j *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	return g.isLeaderUnlikely(now) || g.wouldStallLocked(j, now)
}

// refuse logs that a job cannot be placed and returns the refusal.
func (g *Group) refuse(j *Job, reason placer.Reason) Answer {
	g.log().Info("carrier: statement refused", zap.String("request", j.Request), zap.String("group", g.name),
		zap.String("reason", string(reason)), zap.Bool("latest", j.RequiresLeader()))
	return refusal(Busy, string(reason)+"; come back in "+g.retryDelay(j).String())
}
