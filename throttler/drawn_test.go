package throttler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
)

// variant breaks a part of the window rule, to show that the drawn histories find it.
type variant struct {
	// limit changes the limit of the owners.
	limit func(*tokenLimit)
	// forgetful has an owner that no longer gets credits forget its grants.
	forgetful bool
}

// drawnOwners is a history of owners that divide the time of producers among them, under a
// demand that takes all that they grant.
type drawnOwners struct {
	rng       *rand.Rand
	limit     tokenLimit
	owners    [3]ledger
	plain     [3]bool
	producers []drawnProducer
	// slow is whether messages take as long as they may, and owner who gets credits.
	slow  bool
	owner int
	// executed is the number of operations of each millisecond.
	executed []int
}

type drawnProducer struct{ creditedUntil, nextCredit int }

// at returns a time of the history.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// credit has the producers send their time to an owner, which gets it now. The acks and the
// credits took up to maxTransit together.
func (d *drawnOwners) credit(now int) {
	for i := range d.producers {
		p := &d.producers[i]
		if now < p.nextCredit {
			continue
		}
		transit, ack := 0, 0
		if d.slow {
			transit = d.rng.IntN(int(maxTransit.Milliseconds()))
			ack = d.rng.IntN(int(maxTransit.Milliseconds()) - transit)
		}
		sent, owner := now-transit, &d.owners[d.owner]
		if sent > p.creditedUntil {
			span := time.Duration(sent-p.creditedUntil) * time.Millisecond
			owner.add(0, span, len(d.producers), at(now))
			owner.history[0].add(span, len(d.producers), at(sent-ack), at(now), d.limit.window)
			p.creditedUntil = sent
		}
		p.nextCredit = now + 1 + d.rng.IntN(int(CreditInterval.Milliseconds()))
	}
}

// take takes what an owner grants, up to a number.
func (d *drawnOwners) take(owner, most, now int) {
	l, a := &d.owners[owner], Ask{Workspace: drawnWorkspace, Rank: 1, Left: time.Second}
	l.fleet, l.alive = len(d.producers), len(d.producers)
	for range most {
		var verdict Verdict
		if d.plain[owner] {
			verdict = l.take(a.Workspace, d.limit, at(now))
		} else {
			verdict = l.takeRanked(&a, d.limit, at(now))
		}
		if !verdict.Granted {
			return
		}
		delay := 0
		if d.slow && d.plain == [3]bool{} {
			delay = d.rng.IntN(int(maxReplyDelay.Milliseconds()))
		}
		if now+delay < len(d.executed) {
			d.executed[now+delay]++
		}
	}
}

// drawnWorkspace is a workspace of the first shard.
const drawnWorkspace = "w5"

// play plays a history and returns how many operations ran, and how many in the fullest window.
func (d *drawnOwners) play(v variant) (total, most int) {
	const length = 11_000
	d.executed = make([]int, length)
	pace, change := 5, 0
	window, inWindow := int(d.limit.window.Milliseconds()), 0
	for now := range length {
		if now >= change {
			change = now + 20 + d.rng.IntN(1500)
			old := d.owner
			d.slow, d.owner = d.rng.IntN(2) == 0, d.rng.IntN(len(d.owners))
			pace = []int{0, 5, 5, 1000}[d.rng.IntN(4)]
			if v.forgetful && old != d.owner {
				d.owners[old].spent = nil
			}
		}
		d.credit(now)
		for owner := range d.owners {
			if now%5 == 0 {
				d.take(owner, pace, now)
			}
		}
	}
	for now, n := range d.executed {
		total, inWindow = total+n, inWindow+n
		if now >= window {
			inWindow -= d.executed[now-window]
		}
		most = max(most, inWindow)
	}
	return total, most
}

// drawOwners plays histories until one breaks the bound. In a third of them some owners have the
// plain rule, and verdicts come at once.
func drawOwners(n int, v variant) (total int, fullest float64, violation string) {
	for seed := range uint64(n) {
		rng := rand.New(rand.NewPCG(seed, 4))
		quota := cataloger.Quota{Rate: float64(1 + rng.IntN(150))}
		quota.Burst = quota.Rate * (0.2 + 2*rng.Float64())
		d := drawnOwners{rng: rng, limit: tolerance.tokenLimit(quota), producers: make([]drawnProducer, 1+rng.IntN(6))}
		if seed%3 == 0 {
			d.plain = [3]bool{rng.IntN(2) == 0, true, false}
		}
		allowed := d.limit.allowed
		if v.limit != nil {
			v.limit(&d.limit)
		}
		ran, most := d.play(v)
		part := float64(most) / allowed
		total, fullest = total+ran, max(fullest, part)
		if part > 1 {
			return total, fullest, fmt.Sprintf("history %d: quota %+v: %.3f of what a window allows", seed, quota, part)
		}
	}
	return total, fullest, ""
}

// Guards against more operations in a window than the tolerance allows: while owners change,
// messages are slow or not, and demand comes at once.
func TestDrawnOwnersHoldEveryWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	total, fullest, violation := drawOwners(max(1, *histories/5), variant{})
	is.Equal(violation, "")
	t.Logf("%d operations, fullest window %.3f", total, fullest)
	is.True(fullest > 0.9)
}

// Guards against histories that would not notice a broken rule.
func TestDrawnOwnersFindBrokenRules(t *testing.T) {
	t.Parallel()
	for name, v := range map[string]variant{
		"interval longer by a tenth":              {limit: func(l *tokenLimit) { l.allowed *= 1.1 }},
		"grants forgotten when the owner changes": {forgetful: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, violation := drawOwners(100, v)
			is.True(violation != "") // the bound is broken
			t.Log(violation)
		})
	}
}

// Guards against a window of operations that has two bursts: the verdicts of the first one come
// late, those of the next one, a Window later, at once.
func TestLateVerdictsCountInTheirWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, counted := range []bool{true, false} {
		limit := tolerance.tokenLimit(large)
		if !counted {
			limit.replyDelay = 0
		}
		var l ledger
		f := fleet{tolerance: tolerance, quota: large}
		for ms := 10; ms < 14_000; ms += 10 {
			l.history[0].add(10*time.Millisecond, 1, at(ms), at(ms), limit.window)
			for ms >= 8000 && l.takeRanked(&Ask{Workspace: drawnWorkspace, Rank: 1}, limit, at(ms)).Granted {
				if ms < 8000+140 {
					f.granted = append(f.granted, at(8149))
				} else {
					f.granted = append(f.granted, at(max(ms, 8149)))
				}
			}
		}
		is.Equal(float64(f.maxGranted(tolerance.Window)) <= f.allowed(), counted)
	}
}

// Guards against a verdict that is used after the window in which its owner counted it.
func TestLateVerdictIsNotUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := rankedNode(now)
	q := Inquiry{Until: now.Add(maxReplyDelay), NewID: func() uint64 { return 1 }}
	q.Reply(&Message{Verdict: Verdict{Granted: true}}, now.Add(maxReplyDelay))
	v, done, _ := q.Step(n, now.Add(maxReplyDelay))
	is.True(done && !v.Granted)
}

// Guards against credits that count for a window in which they may not have been produced.
func TestUncertainCreditsCountInside(t *testing.T) {
	is := is.New(t)
	var h history
	h.add(100*time.Millisecond, 1, at(850), at(1000), tolerance.Window) // produced until 850 ms or up to 1 s
	now := at(1000).UnixNano() / int64(minWindowBucket)
	sum := func(reach int64) float64 {
		s := intervalSum{reach: reach, end: 31, from: now + 1, to: now + 1, early: (now + 1) % int64(len(h.early))}
		return s.sum(&h, now-30)
	}
	is.True(sum(1) > 0.099)  // since 700 ms
	is.True(sum(-11) < 0.05) // since 820 ms
}
