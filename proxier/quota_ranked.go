package proxier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/throttler"
)

const (
	// maxVerdictTime is the time from the arrival of an operation to its verdict: the
	// objective of the most urgent operations.
	maxVerdictTime = 150 * time.Millisecond
	// minVerdictTime is the least time for a verdict, of an operation that has waited before:
	// a round trip to an owner.
	minVerdictTime = 30 * time.Millisecond
	// minWait bounds how often an operation that waits is looked at.
	minWait = time.Millisecond
)

// inquiry is a ranked operation that waits for its verdict.
type inquiry struct {
	throttler.Inquiry
	replied chan struct{}
}

func (q *quotaLimiter) isRanked() bool { return q.ranked != nil && q.ranked() }

// admitRanked takes a token for one operation by the rank of its priority, or returns the
// refusal if it gets none.
func (q *quotaLimiter) admitRanked(job *carrier.Job, quota cataloger.Quota) carrier.Answer {
	left := time.Until(job.Deadline)
	v := q.inquire(throttler.Ask{Workspace: job.Workspace, Quota: quota, Rank: carrier.ClampPriority(job.Priority) + 1, Left: left}, job)
	if q.count(v); v.Granted {
		return carrier.Answer{}
	}
	return q.refuseRanked(job, quota, v, left)
}

// refuseRanked refuses an operation. The delay is never after the caller's deadline.
func (q *quotaLimiter) refuseRanked(job *carrier.Job, quota cataloger.Quota, v throttler.Verdict, left time.Duration) carrier.Answer {
	left = max(left, time.Millisecond)
	hasTurn := v.RetryAfter < left
	v.RetryAfter = min(max(v.RetryAfter, minRetryAfter), left).Round(time.Millisecond)
	q.logRefusal(job.Workspace, quota, v, zap.Int("priority", job.Priority), zap.Bool("turn", hasTurn))
	text := quotaCause(v)
	if !hasTurn {
		text += ", and there is no turn before the deadline"
	}
	return carrier.Answer{Code: carrier.Busy, Text: text + "; come back in " + v.RetryAfter.String()}
}

// verdictDue returns when the verdict on an operation is due, by the limiter's clock.
func (q *quotaLimiter) verdictDue(job *carrier.Job, left time.Duration) time.Time {
	now := q.now()
	due := now.Add(maxVerdictTime)
	if !job.Arrived.IsZero() {
		due = job.Arrived.Add(maxVerdictTime)
	}
	if earliest := now.Add(minVerdictTime); due.Before(earliest) {
		due = earliest
	}
	if deadline := now.Add(left); deadline.Before(due) {
		due = deadline
	}
	return due
}

// inquire collects the verdict on an operation.
func (q *quotaLimiter) inquire(a throttler.Ask, job *carrier.Job) throttler.Verdict {
	i := &inquiry{replied: make(chan struct{}, 1)}
	var ids []uint64
	i.Inquiry = throttler.Inquiry{Ask: a, Until: q.verdictDue(job, a.Left), NewID: func() uint64 {
		q.lastRequestID++
		ids = append(ids, q.lastRequestID)
		q.inquiries[q.lastRequestID] = i
		return q.lastRequestID
	}}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		q.mu.Lock()
		q.node.Ranked = q.isRanked()
		now := q.now()
		v, done, out := i.Step(&q.node, now)
		if gone := isClosed(job.CallerGone); done || gone {
			v.Undecided = v.Undecided || !done // a caller that has left was not refused by the quota
			for _, id := range ids {
				delete(q.inquiries, id)
			}
			q.mu.Unlock()
			q.send(out)
			return v
		}
		wait := i.Wake().Sub(now)
		q.mu.Unlock()
		q.send(out)
		timer.Reset(max(wait, minWait))
		select {
		case <-timer.C:
		case <-i.replied:
		case <-job.CallerGone:
		}
	}
}

// isClosed reports whether a channel, which may be nil, is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// replyToInquiry passes a reply to the operation that waits for it. The caller must hold q.mu.
func (q *quotaLimiter) replyToInquiry(m *throttler.Message) {
	if m.To != throttler.NewID(q.node.Self) {
		return
	}
	q.node.Heard(m.From)
	i := q.inquiries[m.ID]
	if i == nil {
		return
	}
	i.Reply(m, q.now())
	select {
	case i.replied <- struct{}{}:
	default:
	}
}

// tick sends the credits that are due, and settles the claims of shards whose owner does not
// answer.
func (q *quotaLimiter) tick() {
	q.mu.Lock()
	out := q.node.Tick(q.now())
	excluded := q.node.Excluded()
	q.mu.Unlock()
	q.send(out)
	for _, name := range excluded {
		q.log.Info("proxier: shard owner of workspaces' quotas does not answer", zap.String("holder", name))
	}
}
