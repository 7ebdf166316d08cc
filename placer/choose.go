package placer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// None is the index returned when no candidate is chosen.
const None = -1

// Weights of a candidate's cost.
const (
	// inFlightWeight is what each statement that this proxy already has at a candidate adds
	// to the cost, as a part of its expected latency. Other proxies use the same few slots
	// of an upstream, so each of this proxy's statements stands for several. Only half of
	// what those would add counts, which keeps a single proxy's burst from moving all work
	// at once.
	inFlightWeight = 0.5
	// otherZoneCost is the cost of another availability zone: 1 ms in each direction, and
	// traffic that is paid for. Measured latencies of healthy upstreams differ by less than
	// this, so work stays in its zone.
	otherZoneCost = 6 * time.Millisecond
	// laggingCost is the cost of a candidate that probably lacks what the read needs. It
	// most likely refuses, which costs a round trip, a place in its queue, and the same
	// again elsewhere. An upstream that is as slow as that is still the better choice.
	laggingCost = time.Second
	// connectionWaitCost is the cost of a candidate without a free connection: about the
	// time until one of this proxy's connections there becomes free.
	connectionWaitCost = 30 * time.Millisecond
	// leaderCost is the cost of the leader for work that a replica could do, since only the
	// leader can do the rest.
	leaderCost = 4 * time.Millisecond
	// connectDelayWeight multiplies the time to open a connection: the statement waits for
	// it, and others wait for the slot that it takes meanwhile.
	connectDelayWeight = 2
)

// Candidate is one upstream as this proxy sees it.
type Candidate struct {
	IsLeader bool
	Leaving  bool
	// DrainEnded means that a leaving upstream gets no more work.
	DrainEnded bool
	// Ejected means that it does not answer.
	Ejected  bool
	SameZone bool
	// Lagging means that its log probably lacks what the work needs.
	Lagging bool
	// Tried means that this statement has already failed there.
	Tried bool
	// Mark is a position that its log has certainly reached.
	Mark tracker.Mark
	// InFlight is how many statements and transactions of this proxy are running there.
	InFlight int
	// QueueWait is how long this proxy would queue the work before it sends it there.
	QueueWait time.Duration
	// MaxConnections is how many connections this proxy may have there.
	MaxConnections int
	// Latency is the expected time of an answer.
	Latency time.Duration
	// ConnectDelay is the expected time to open a connection there; zero where a suitable
	// one is idle.
	ConnectDelay time.Duration
}

// Need is what the work requires.
type Need struct {
	// LeaderOnly is true if only the leader may do the work.
	LeaderOnly bool
	// MinMark is the mark that the log must contain.
	MinMark tracker.Mark
}

// Reason is why a choice was made.
type Reason string

// The reasons.
const (
	LeaderRequired     Reason = "only the leader may"
	LowestCost         Reason = "least expected time"
	NoLeader           Reason = "no leader is known"
	LeaderUnresponsive Reason = "the leader doesn't answer"
	LeaderDrained      Reason = "the leader leaves and gets no more work"
	CommitStalled      Reason = "the leader's commits aren't acknowledged"
	NoneAvailable      Reason = "no upstream answers"
)

// Choose returns the index of the best candidate, or None.
func Choose(candidates []Candidate, need Need) (int, Reason) {
	if need.LeaderOnly {
		return chooseLeader(candidates)
	}
	best, lowest := None, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Ejected || c.DrainEnded {
			continue
		}
		cost := cost(c, need)
		if best == None || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best == None {
		return None, NoneAvailable
	}
	return best, LowestCost
}

func chooseLeader(candidates []Candidate) (int, Reason) {
	for i := range candidates {
		switch c := &candidates[i]; {
		case !c.IsLeader:
		case c.Ejected:
			return None, LeaderUnresponsive
		case c.DrainEnded:
			return None, LeaderDrained
		default:
			return i, LeaderRequired
		}
	}
	return None, NoLeader
}

// lastResortCost is more than any sum of the other costs: a candidate that is leaving is
// chosen only when no other is left.
const lastResortCost = time.Minute

// cost returns the cost of choosing a candidate, as a time.
func cost(c *Candidate, need Need) time.Duration {
	cost := c.QueueWait + c.Latency + connectDelayWeight*c.ConnectDelay + time.Duration(inFlightWeight*float64(c.InFlight)*float64(c.Latency))
	if !c.SameZone {
		cost += otherZoneCost
	}
	if c.IsLeader {
		cost += leaderCost
	}
	if c.Lagging && c.Mark.Less(need.MinMark) {
		cost += laggingCost
	}
	if c.InFlight >= c.MaxConnections {
		cost += connectionWaitCost
	}
	if c.Tried {
		cost += lastResortCost / 2
	}
	if c.Leaving {
		cost += lastResortCost
	}
	return cost
}
