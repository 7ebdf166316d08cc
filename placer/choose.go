package placer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// None is the index that stands for no candidate.
const None = -1

// Weights of a candidate's cost.
const (
	// perRunning is what each statement that this proxy already has at a
	// candidate adds, as a part of its expected latency. Others share an upstream's
	// few slots, so each of ours stands for several; half of what they add
	// keeps a single proxy's burst from moving all work at once.
	perRunning = 0.5
	// remote is what another availability zone adds: two ways of 1 ms, and
	// bytes that are paid for. Measured latencies differ by less than this
	// while upstreams are healthy, so work stays in its zone.
	remote = 6 * time.Millisecond
	// behind is what a candidate adds that probably lacks what the read needs: most
	// likely it refuses, which costs a round trip, a place in its queue, and the same
	// again elsewhere. An upstream that is as slow as that is still the better choice.
	behind = time.Second
	// full is what a candidate adds without a free connection: about the time
	// until one of ours comes back there.
	full = 30 * time.Millisecond
	// leading is what the leader adds for work that a replica could do, since
	// only it can do the rest.
	leading = 4 * time.Millisecond
	// opening is how often the time of opening a connection counts: the statement waits
	// for it, and so do others for the slot that it takes meanwhile.
	opening = 2
)

// Candidate is one upstream as this proxy sees it.
type Candidate struct {
	IsLeader bool
	Leaving  bool
	// DrainEnded says that it gets no more work.
	DrainEnded bool
	// Ejected says that it doesn't answer.
	Ejected  bool
	SameZone bool
	// Lagging says that its log probably lacks what the work needs.
	Lagging bool
	// Tried says that this very statement has failed there.
	Tried bool
	// Mark is how far its log surely has come.
	Mark tracker.Mark
	// InFlight is how many statements and transactions of this proxy are there.
	InFlight int
	// QueueWait is how long this proxy would hold the work back before it is sent there.
	QueueWait time.Duration
	// MaxConnections is how many connections this proxy may have there.
	MaxConnections int
	// Latency is the expected time of an answer.
	Latency time.Duration
	// ConnectDelay is the expected time until a connection is open there; zero where one
	// that will do is idle.
	ConnectDelay time.Duration
}

// Need is what the work asks for.
type Need struct {
	// LeaderOnly says that only the leader will do.
	LeaderOnly bool
	// MinMark is the mark that the log must contain.
	MinMark tracker.Mark
}

// Reason says why a choice was made.
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
		return leader(candidates)
	}
	best, least := None, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Ejected || c.DrainEnded {
			continue
		}
		cost := cost(c, need)
		if best == None || cost < least {
			best, least = i, cost
		}
	}
	if best == None {
		return None, NoneAvailable
	}
	return best, LowestCost
}

func leader(candidates []Candidate) (int, Reason) {
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

// last is more than any sum of the other parts: such a candidate is taken only
// when nothing else is there.
const last = time.Minute

func cost(c *Candidate, need Need) time.Duration {
	cost := c.QueueWait + c.Latency + opening*c.ConnectDelay + time.Duration(perRunning*float64(c.InFlight)*float64(c.Latency))
	if !c.SameZone {
		cost += remote
	}
	if c.IsLeader {
		cost += leading
	}
	if c.Lagging && c.Mark.Less(need.MinMark) {
		cost += behind
	}
	if c.InFlight >= c.MaxConnections {
		cost += full
	}
	if c.Tried {
		cost += last / 2
	}
	if c.Leaving {
		cost += last
	}
	return cost
}
