package router

import "time"

// Reason says why a decision was made. Reasons are counted and explained to
// operators, so their texts are stable.
type Reason uint8

// The reasons. The word before the colon in a reason's text is where the
// statement went or what happened to it.
const (
	PrimaryWrite Reason = iota
	PrimaryAsked
	PrimaryTransaction
	PrimaryMark
	PrimaryAge
	PrimaryAgeUnknown
	PrimaryNoReplica
	PrimaryReplicasBusy
	ReplicaInZone
	ReplicaElsewhere
	ReplicaFaster
	WaitReplica
	WaitPrimary
	AskMark
	AskPrimary
	RefuseLate

	reasons // the number of reasons
)

// Reasons is the number of reasons: they are 0 to Reasons-1.
const Reasons = int(reasons)

// String returns the reason's text.
func (r Reason) String() string {
	names := [Reasons]string{
		PrimaryWrite:        "primary: write",
		PrimaryAsked:        "primary: asked for",
		PrimaryTransaction:  "primary: in a transaction",
		PrimaryMark:         "primary: mark ahead of replicas",
		PrimaryAge:          "primary: replicas too old",
		PrimaryAgeUnknown:   "primary: age of replicas unknown",
		PrimaryNoReplica:    "primary: no replica usable",
		PrimaryReplicasBusy: "primary: replicas too busy",
		ReplicaInZone:       "replica: in zone",
		ReplicaElsewhere:    "replica: none in zone",
		ReplicaFaster:       "replica: faster than the one in zone",
		WaitReplica:         "wait: replica will pass the mark",
		WaitPrimary:         "wait: no primary known",
		AskMark:             "ask: mark unknown",
		AskPrimary:          "ask: primary not confirmed within the age",
		RefuseLate:          "refuse: can't be in time",
	}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Action is what to do with a statement.
type Action uint8

// The actions.
const (
	// Refuse it: it has not run.
	Refuse Action = iota
	// Go to the target.
	Go
	// Wait and decide again.
	Wait
	// Ask for the session's mark and the primary's standing, then decide again.
	Ask
)

// String returns the action in lower case.
func (a Action) String() string {
	switch a {
	case Go:
		return "go"
	case Wait:
		return "wait"
	case Ask:
		return "ask"
	default:
		return "refuse"
	}
}

// Decision is what to do with a statement and why.
type Decision struct {
	Action Action
	Reason Reason
	// Target is the upstream to go to, or the replica waited for. It is
	// tracker.None where there is none.
	Target int
	// Until is when to decide again at the latest, if Action is Wait.
	Until time.Time
}
