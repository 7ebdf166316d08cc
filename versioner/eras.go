package versioner

import "strconv"

// MaxEra is the highest valid era: a store that is restored every day reaches it after 22
// years. An answer with a higher era is treated as corrupt, because accepting it would reject
// all later answers.
const MaxEra = 1<<13 - 1

// Verdict says whether an answer is accepted.
type Verdict uint8

// The verdicts.
const (
	Current    Verdict = iota // of the known era
	Later                     // of a later era: what was known is of an earlier one
	Earlier                   // of an earlier era than the known one
	Missing                   // without an era, from a store that has eras
	Unreadable                // the stated era is invalid
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"current", "later", "past", "missing", "unreadable"}[v]
}

// IsAccepted reports whether the answer may be used.
func (v Verdict) IsAccepted() bool { return v <= Later }

// EraTracker tracks a store's era as one process knows it. Its zero value knows no era. It is
// not safe for concurrent use.
type EraTracker struct {
	current   uint64
	hasEras   bool // some answer has stated an era
	hasAnswer bool // some answer has been accepted
}

// Current returns the known era.
func (e *EraTracker) Current() uint64 { return e.current }

// Check checks and records the era that an answer states. An empty string means that the answer
// states none.
func (e *EraTracker) Check(stated string) Verdict {
	if stated == "" {
		if e.hasEras {
			return Missing
		}
		e.hasAnswer = true
		return Current
	}
	era, err := strconv.ParseUint(stated, 10, 64)
	if err != nil || era > MaxEra {
		return Unreadable
	}
	e.hasEras = true
	return e.advance(era)
}

// advance records a stated era, unless it is an earlier one. The first accepted answer is
// Current whatever its era, because nothing is known from an earlier one.
func (e *EraTracker) advance(era uint64) Verdict {
	if era < e.current {
		return Earlier
	}
	first := !e.hasAnswer
	e.hasAnswer = true
	if era == e.current || first {
		e.current = era
		return Current
	}
	e.current = era
	return Later
}
