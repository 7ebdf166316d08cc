package carrier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// place finds a member for a job, and the mark that its log must contain. It
// waits for a leader or a sample as long as that can help.
func (g *Group) place(j *Job) (*member, tracker.Mark, Answer) {
	for {
		since, waiting, ok := g.floor(j)
		if !ok {
			if g.unsampled(j) {
				return nil, since, refusal(Unavailable, "no sample of the leader's log")
			}
			if g.vain(j) || !wait(j, waiting) {
				return nil, since, g.unplaced(j, placer.NoLeader)
			}
			continue
		}
		m, reason, changed := g.choose(placer.Need{LeaderOnly: j.RequiresLeader(), MinMark: since}, j.Workspace, j.tried)
		if m != nil && g.starves(j) {
			m, reason = nil, placer.CommitStalled
		}
		if m != nil {
			return m, since, Answer{}
		}
		if j.CanForward != nil && j.CanForward() {
			return nil, since, refusal(Unavailable, string(reason))
		}
		if reason == placer.LeaderDrained || g.vain(j) || !wait(j, changed) {
			return nil, since, g.unplaced(j, reason)
		}
	}
}

// unsampled reports whether a job that lacks a sample is better carried elsewhere:
// there is no leader here to ask for one.
func (g *Group) unsampled(j *Job) bool {
	return g.leads() == nil && j.CanForward != nil && j.CanForward()
}

// floor returns the mark that a read needs. When no sample is fresh enough, it
// returns a channel to wait on for a newer one.
func (g *Group) floor(j *Job) (tracker.Mark, <-chan struct{}, bool) {
	if j.RequiresLeader() {
		return tracker.Mark{}, nil, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ages.add(j.MaxAge)
	mark, ok := g.samples.since(j.Arrived.Add(margin - j.MaxAge))
	newest, _ := g.samples.last()
	var waiting <-chan struct{}
	g.samples.spacing = g.ages.spacing()
	if !ok || g.carrier.Now().Sub(newest.asked) > j.MaxAge/ageing {
		waiting = g.refresh()
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

// wait waits for a change, and reports whether there is time left after it.
func wait(j *Job, changed <-chan struct{}) bool {
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

// pause lets some time pass, and reports whether there is time left after it.
func pause(j *Job, d time.Duration) bool {
	passed := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	return wait(j, passed)
}

// starves reports whether a job would be sent to a leader that can't do it.
func (g *Group) starves(j *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.futile(j, g.carrier.Now())
}

// vain reports whether a job can't be served here, however long it waits.
func (g *Group) vain(j *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	return g.hopeless(now) || g.futile(j, now)
}

func (g *Group) unplaced(j *Job, reason placer.Reason) Answer {
	g.log().Info("carrier: statement refused", zap.String("request", j.Request), zap.String("group", g.name),
		zap.String("reason", string(reason)), zap.Bool("latest", j.RequiresLeader()))
	return refusal(Busy, string(reason)+"; come back in "+comeBack.String())
}
