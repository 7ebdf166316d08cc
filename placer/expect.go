package placer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Parameters of the expected time of an answer.
const (
	// refusalCost is the cost of a refusal for a missing position: the read goes through a
	// queue and a round trip in vain, and then through those of another upstream.
	refusalCost = 150 * time.Millisecond
	// minChance is the smallest chance of a position with which a read is sent to a replica
	// while another candidate is left. Few reads need a fresh position; with it, refusals
	// stay below three in a thousand of all.
	minChance = 0.95
	// unlikelyCost is the least cost of a replica that has the position with a smaller chance:
	// more than a read usually waits for a slot. Reads that all go to the leader, while the
	// lag of its replicas is unknown after a start, wait several times as long there.
	unlikelyCost = 100 * time.Millisecond
	// waitDivisor sets the longest wait for a position: the time left to the objective
	// divided by it.
	waitDivisor = 4
	// minWait is the shortest time left to wait that is used: shorter ones only cost CPU.
	minWait = 2 * time.Millisecond
	// waitSteps is how many waits are weighed.
	waitSteps = 8
	// leaderOnlyWeight is the cost at the leader of a read that a replica may serve, as a
	// multiple of its service time, when all the leader's slots are used by work that only
	// the leader may do. With this weight the leader runs less than half of the reads that
	// it ran without; with more, reads wait at replicas while the leader has free slots.
	leaderOnlyWeight = 6
	// crowdWeight and crowdLimit set the cost of the use of an upstream's slots, as a part
	// of the service time: little up to half of them, and twice the service time when all
	// are used. Work arrives unevenly, and the use by other gateways is an average.
	crowdWeight = 0.2
	crowdLimit  = 1.1
	// limitedCost is the cost of an upstream that is not to have more reads in flight. It
	// is less than that of a replica that probably refuses: a read that is refused there
	// would come to the slow upstream all the same.
	limitedCost = 500 * time.Millisecond
	// defaultSlots is assumed where an upstream does not state its slots.
	defaultSlots = 4
)

// Option is a candidate with what is needed to estimate the time of an answer. SameZone,
// Lagging and Latency of the candidate are not used.
type Option struct {
	Candidate
	// RoundTrip is the time to the upstream and back.
	RoundTrip time.Duration
	// Service is the expected service time there.
	Service time.Duration
	// Slots is how many statements it runs at a time; zero when unknown.
	Slots int
	// Others is how many statements other gateways have there on average, running and
	// waiting.
	Others float64
	// OthersRunning are those of them that run or have been sent: they are served before what
	// is sent now, while those that wait at other gateways need not be.
	OthersRunning float64
	// OthersWait is true if statements of other gateways wait for the upstream.
	OthersWait bool
	// LeaderOnly is the part of the leader's slots that work uses that only it may do.
	LeaderOnly float64
	// Lag is the estimated lag of a replica.
	Lag Lag
	// Reads is how many reads of this proxy are in flight there that replicas may serve, and
	// Limit how many may be; see [SlowStart.Limit].
	Reads int
	Limit int
}

// Read is what a read requires.
type Read struct {
	// MinMark is the mark that the log must contain, and CommittedAt the earliest known time
	// at which the leader's log contained it.
	MinMark     tracker.Mark
	CommittedAt time.Time
	// MaxWait is how long the read may wait before it is sent; see [MaxWait].
	MaxWait time.Duration
}

// Choice is where a read goes.
type Choice struct {
	Index  int
	Reason Reason
	// Wait is how long the read should wait here before it is placed anew; zero if it
	// should be sent now.
	Wait time.Duration
	// Expected is the expected time of the answer, from now on.
	Expected time.Duration
}

// The reasons of choices by expected time.
const (
	PositionExpected Reason = "a replica will have the position"
	NoAnswerYet      Reason = "no answer in the usual time"
	TooLate          Reason = "the leader can't answer in time"
)

// MaxWait returns how long a read may wait for a position, given the time left until its
// objective.
func MaxWait(left time.Duration) time.Duration { return max(0, left/waitDivisor) }

// ChooseExpected returns where a read that a replica may serve is answered first: at a
// replica now, at one that will have the position soon, or at the leader.
func ChooseExpected(now time.Time, options []Option, read Read) Choice {
	best := Choice{Index: None, Reason: NoneAvailable}
	longest := read.MaxWait
	if longest < minWait {
		longest = 0
	}
	for i := range options {
		o := &options[i]
		if o.Ejected || o.DrainEnded {
			continue
		}
		base := o.expected()
		for step := range waitSteps + 1 {
			wait := longest * time.Duration(step) / waitSteps
			chance := o.chance(now, wait, read)
			cost := wait + base + time.Duration((1-chance)*float64(refusalCost))
			if chance < minChance {
				cost += unlikely(chance)
			}
			if best.Index == None || cost < best.Expected {
				best = Choice{Index: i, Reason: LowestCost, Wait: wait, Expected: cost}
			}
			if chance >= 1 || longest == 0 {
				break
			}
		}
	}
	if best.Wait > 0 {
		best.Reason = PositionExpected
	}
	return best
}

// chance returns the probability that an upstream has what a read requires when the read
// arrives after a wait.
func (o *Option) chance(now time.Time, wait time.Duration, read Read) float64 {
	if o.IsLeader || read.MinMark == (tracker.Mark{}) || !o.Mark.Less(read.MinMark) {
		return 1
	}
	arrival := now.Add(wait + o.RoundTrip/2)
	return o.Lag.Within(now, arrival.Sub(read.CommittedAt))
}

// unlikely returns the cost of a replica that has the position with a chance below minChance:
// little while its lag is unknown, and laggingCost where it certainly refuses.
func unlikely(chance float64) time.Duration {
	missing := 1 - chance/minChance
	return unlikelyCost + time.Duration(missing*missing*float64(laggingCost-unlikelyCost))
}

// expected returns the expected time of an answer without regard to positions.
func (o *Option) expected() time.Duration {
	cost := o.RoundTrip + o.Service + o.SlotWait() + connectDelayWeight*o.ConnectDelay
	slots := float64(o.slots())
	use := min((o.Others+float64(o.InFlight))/slots, 1)
	cost += time.Duration(crowdWeight * use * use / (crowdLimit - use) * float64(o.Service))
	if o.IsLeader {
		cost += leaderCost + time.Duration(leaderOnlyWeight*o.LeaderOnly*float64(o.Service))
	}
	if o.InFlight >= o.MaxConnections {
		cost += connectionWaitCost
	}
	if o.Reads >= o.Limit {
		cost += limitedCost
	}
	if o.Tried {
		cost += lastResortCost / 2
	}
	if o.Leaving {
		cost += lastResortCost
	}
	return cost
}

// SlotWait returns the expected wait for a slot, here and at the upstream.
func (o *Option) SlotWait() time.Duration {
	slots := float64(o.slots())
	ahead := o.Others + float64(o.InFlight) + 1 - slots
	there := time.Duration(max(0, ahead) * float64(o.Service) / slots)
	return max(o.QueueWait, there)
}

// MaxOthers returns how many running and how many waiting statements of one other gateway
// count: its slots' worth of each. A gateway that has more there is overloaded or wrong, and
// one wrong report must not move all work.
func (o *Option) MaxOthers() int { return o.slots() }

func (o *Option) slots() int {
	if o.Slots <= 0 {
		return defaultSlots
	}
	return o.Slots
}

// SentWait returns how long the statements that were sent to the upstream, here and by other
// gateways, keep its slots from what is sent now. Queues are left out: they are not in the
// order of arrival, and refuse by themselves.
func (o *Option) SentWait() time.Duration {
	slots := float64(o.slots())
	return time.Duration(max(0, o.OthersRunning+float64(o.InFlight)+1-slots) * float64(o.Service) / slots)
}

// IsTooLate reports whether a statement that only the leader may run, with the given time
// left until its deadline, cannot be answered there in time. At an idle upstream it never is: a
// round trip that was measured too long would otherwise never be corrected.
func (o *Option) IsTooLate(left time.Duration) bool {
	wait := o.SentWait()
	return wait > 0 && wait+o.RoundTrip > left
}
