package measurer

import (
	"fmt"
	"time"
)

// Way is a way of finding the mark of a read.
type Way uint8

// The ways.
const (
	AlwaysPrimary Way = iota // every read goes to the primary
	SharedCheck              // the primary's position is checked for each read
	Carried                  // the caller hands its mark over
	Home                     // the session's home proxy is asked
	Mix                      // unnamed sessions keep theirs, named ones have a home
)

// String returns the way in lower case.
func (w Way) String() string {
	return [...]string{"always primary", "shared check", "carried mark", "home proxy", "mix"}[w]
}

// Use is how a session uses the proxies.
type Use uint8

// The uses.
const (
	Stay      Use = iota // one proxy
	Move                 // another one from the middle of the run on
	Alternate            // two proxies in turn
	Double               // two proxies at once
	Blend                // half stay, a fifth move, a fifth alternate, a tenth double
)

// String returns the use in lower case.
func (u Use) String() string {
	return [...]string{"stay", "move once", "alternate", "two at once", "blend"}[u]
}

// Trouble is what goes wrong in the middle of the run.
type Trouble uint8

// The troubles.
const (
	NoTrouble   Trouble = iota
	ProxyDies           // with the marks it holds; the list drops it 2 s later
	Promotion           // the primary dies, a replica takes over 1.5 s later
	PeerSilent          // one proxy's messages to and from others are lost for 3 s
	ReplicaSlow         // one replica takes five times as long for each statement
	ReplicaLags         // one replica stops applying for 3 s
)

// String returns the trouble in lower case.
func (t Trouble) String() string {
	return [...]string{"none", "proxy dies", "promotion", "peer silent", "replica slow", "replica lags"}[t]
}

// Pick is how one of several replicas is chosen.
type Pick uint8

// The picks.
const (
	ByRouter Pick = iota // as package router does
	RoundRobin
)

// String returns the pick in lower case.
func (p Pick) String() string { return [...]string{"router", "round robin"}[p] }

// Case is one run.
type Case struct {
	Way      Way
	Use      Use
	Trouble  Trouble
	Pick     Pick
	Patience time.Duration // how long a lookup may wait for a replica
	Sessions int           // default 180
	Sample   time.Duration // time between samples of the upstreams; default 50 ms
	Seed     uint64
}

// Result is what a run came to.
type Result struct {
	Case         Case
	Lookups      int
	Bookings     int
	OnReplicas   int // lookups that ran on a replica
	OnPrimary    int // lookups that ran on the primary
	InZone       int // lookups that ran in the zone of their proxy
	InTime       int // answers in time, a booking counts two
	Weight       int // of all statements, a booking counts two
	Refused      int
	Stale        int           // lookups that missed a write of their session
	Wait         time.Duration // of all lookups, from arrival at the proxy to being sent
	latencies    []time.Duration
	PeerMessages int // but for pings
	Pings        int
	Checks       int // shared checks begun
	Length       time.Duration
}

// percent returns the share of a in b.
func percent(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return 100 * float64(a) / float64(b)
}

// Share returns the percentage of executed lookups that ran on replicas.
func (r *Result) Share() float64 { return percent(r.OnReplicas, r.OnReplicas+r.OnPrimary) }

// Score returns the percentage of answers in time, a booking counting two.
func (r *Result) Score() float64 { return percent(r.InTime, r.Weight) }

// Header names the columns of [Result.String].
func Header() string {
	return fmt.Sprintf("%-14s %-11s %-12s %-11s %8s %6s %8s | %7s %8s %6s %7s %7s %7s %6s | %8s %8s %8s %8s",
		"way", "use", "trouble", "pick", "patience", "sample", "sessions", "lookups", "replica%", "zone%", "score%", "wait ms", "p99 ms",
		"stale", "peer/st", "pings/s", "checks/s", "platf/s")
}

// String returns the result as a line of a table. Platform calls are zero in
// every way: none of them asks the platform anything for a statement.
func (r *Result) String() string {
	seconds := r.Length.Seconds()
	statements := r.Lookups + r.Bookings
	return fmt.Sprintf("%-14s %-11s %-12s %-11s %8s %6s %8d | %7d %8.1f %6.1f %7.1f %7.1f %7.0f %6d | %8.2f %8.0f %8.0f %8d",
		r.Case.Way, r.Case.Use, r.Case.Trouble, r.Case.Pick, r.Case.Patience, r.Case.Sample, r.Case.Sessions,
		r.Lookups, r.Share(), percent(r.InZone, r.OnReplicas+r.OnPrimary), r.Score(), milliseconds(r.Wait)/float64(max(r.Lookups, 1)),
		milliseconds(r.quantile(0.99)), r.Stale,
		float64(r.PeerMessages)/float64(max(statements, 1)), float64(r.Pings)/seconds,
		float64(r.Checks)/seconds, 0)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
