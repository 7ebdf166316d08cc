package throttler

import (
	"time"

	"basildale.example/basildale/cataloger"
)

const (
	// hedgeDelay is how long a process waits for the first verdict before it asks the next
	// owner as well, and nextHedgeDelay how long for each further one. Four owners are asked
	// within 90 ms, which leaves the last one 60 ms of the most urgent objective, 150 ms.
	hedgeDelay     = 40 * time.Millisecond
	nextHedgeDelay = 25 * time.Millisecond
	// maxAsked is the number of owners that are asked for one verdict. While half of the
	// processes are gone, one in sixteen verdicts finds none of four.
	maxAsked = 4
	// recheckDelay is the time after which an owner that could not decide is asked again: the
	// credits that its claim asks for take a round trip.
	recheckDelay = 20 * time.Millisecond
	// undecidedRetryAfter is the delay of a refusal when no owner has decided and the caller's
	// deadline is unknown. By then the processes have chosen another owner.
	undecidedRetryAfter = 200 * time.Millisecond
)

// Ask is an operation that needs a token.
type Ask struct {
	Workspace string
	Quota     cataloger.Quota
	// Rank is the operation's priority plus one; 0 if it is unknown.
	Rank int
	// Left is the time left until the caller's deadline; 0 if it is unknown.
	Left time.Duration
}

// Inquiry collects the verdict on one operation. It asks the owner, and the next processes in
// rendezvous order while none answers. The first verdict counts; a token that another owner
// grants for the same operation is lost. Set all fields before the first Step.
type Inquiry struct {
	Ask Ask
	// Until is when the verdict is due, by the clock of the Node.
	Until time.Time
	// NewID returns an ID for a request, so that the caller can pass its reply to Reply.
	NewID func() uint64

	deadline    time.Time // of the caller; zero if it is unknown
	asked       []askedOwner
	nextHedgeAt time.Time
	verdict     Verdict
	hasVerdict  bool
	lastID      uint64
}

// askedOwner is a process that an Inquiry has asked.
type askedOwner struct {
	member     Member
	id         uint64
	askAt      time.Time // when it is asked again
	answeredAt time.Time // when it last answered that it cannot decide
}

// Step advances the inquiry. It returns the verdict once there is one, and otherwise the
// messages to send; call it again at Wake and after each Reply.
func (q *Inquiry) Step(n *Node, now time.Time) (v Verdict, done bool, out []Envelope) {
	n.expireSilent(now)
	if q.deadline.IsZero() && q.Ask.Left > 0 {
		q.deadline = now.Add(q.Ask.Left)
	}
	for i := range q.asked {
		if !q.hasVerdict && !now.Before(q.asked[i].askAt) {
			out = append(out, q.ask(n, &q.asked[i], now)...)
		}
	}
	if !q.hasVerdict && !now.Before(q.nextHedgeAt) && now.Before(q.Until) {
		if q.isAnswering(now) {
			q.nextHedgeAt = now.Add(recheckDelay)
		} else {
			out = append(out, q.askNext(n, now)...)
		}
	}
	if !q.hasVerdict && !now.Before(q.Until) {
		q.hasVerdict = true
		q.verdict = Verdict{Undecided: true, RetryAfter: q.undecidedDelay(now)}
	}
	return q.verdict, q.hasVerdict, out
}

// undecidedDelay returns the delay of a refusal when no owner has decided: half of the time
// that is left, so that a caller that comes back twice does so over all of its time, and no
// longer than a CreditInterval, after which there are credits again.
func (q *Inquiry) undecidedDelay(now time.Time) time.Duration {
	if q.deadline.IsZero() {
		return max(q.verdict.RetryAfter, undecidedRetryAfter)
	}
	return min(max(q.deadline.Sub(now)/2, minRetryAfter), CreditInterval)
}

// Wake returns when Step is due without a reply.
func (q *Inquiry) Wake() time.Time {
	wake := q.Until
	if len(q.asked) < maxAsked && q.nextHedgeAt.Before(wake) {
		wake = q.nextHedgeAt
	}
	for i := range q.asked {
		if q.asked[i].askAt.Before(wake) {
			wake = q.asked[i].askAt
		}
	}
	return wake
}

// Reply handles the verdict of an owner.
func (q *Inquiry) Reply(m *Message, now time.Time) {
	if q.hasVerdict {
		return
	}
	q.verdict = m.Verdict
	q.hasVerdict = !m.Verdict.Undecided
	for i := range q.asked {
		if a := &q.asked[i]; a.member.id == m.From && a.id == m.ID {
			a.postpone(q, now)
		}
	}
}

// postpone has an owner that cannot decide asked again. That request has an ID of its own:
// an owner with the plain rule repeats its verdict on an ID for a second.
func (a *askedOwner) postpone(q *Inquiry, now time.Time) {
	a.answeredAt, a.askAt, a.id = now, now.Add(recheckDelay), q.NewID()
}

// isAnswering reports whether an owner is answering that cannot decide yet. It is about to
// get credits, which another owner would not get.
func (q *Inquiry) isAnswering(now time.Time) bool {
	for i := range q.asked {
		if a := &q.asked[i]; !a.answeredAt.IsZero() && now.Sub(a.answeredAt) < hedgeDelay {
			return true
		}
	}
	return false
}

// askNext asks the first process in rendezvous order that has not been asked.
func (q *Inquiry) askNext(n *Node, now time.Time) []Envelope {
	if !n.joined {
		q.nextHedgeAt = now.Add(recheckDelay)
		return nil
	}
	q.nextHedgeAt = now.Add(nextHedgeDelay)
	if len(q.asked) == 0 {
		q.nextHedgeAt = now.Add(hedgeDelay)
		q.lastID = q.NewID()
	}
	if len(q.asked) >= maxAsked {
		return nil
	}
	best := n.nextOwner(Shard(q.Ask.Workspace), q.asked, now)
	if best == nil {
		return nil
	}
	q.asked = append(q.asked, askedOwner{member: *best, id: q.lastID})
	return q.ask(n, &q.asked[len(q.asked)-1], now)
}

// ask asks an owner, which may be this process.
func (q *Inquiry) ask(n *Node, a *askedOwner, now time.Time) []Envelope {
	if a.member.id == n.self.id {
		v, out := n.TakeRanked(q.Ask, now)
		q.verdict, q.hasVerdict = v, !v.Undecided
		a.postpone(q, now)
		return out
	}
	a.askAt = now.Add(hedgeDelay)
	n.expectAnswer(a.member.id, now)
	return []Envelope{{a.member.Address, Message{
		Kind: Request, From: NewID(n.Self), To: a.member.id, ID: a.id, Workspace: q.Ask.Workspace, Fleet: q.Ask.Rank, Span: q.Ask.Left,
	}}}
}

// nextOwner returns the process with the highest score for a shard that is neither excluded
// nor among those asked.
func (n *Node) nextOwner(shard int, asked []askedOwner, now time.Time) *Member {
	var best *Member
	consider := func(m *Member) {
		for i := range asked {
			if asked[i].member.Name == m.Name {
				return
			}
		}
		if best == nil || m.scores[shard] > best.scores[shard] {
			best = m
		}
	}
	consider(&n.self)
	for i := range n.others {
		if m := &n.others[i]; !now.Before(n.excludedUntil[m.id]) {
			consider(m)
		}
	}
	return best
}
