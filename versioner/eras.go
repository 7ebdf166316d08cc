package versioner

import "strconv"

// MaxEra is the highest era that counts: a store that is restored each day gets there
// after 22 years. What states a higher one is taken for broken, since it would keep all
// later answers out.
const MaxEra = 1<<13 - 1

// Verdict says whether an answer counts.
type Verdict uint8

// The verdicts.
const (
	Current    Verdict = iota // of the era that is known
	Later                     // of a later one: what was known is of an earlier era
	Earlier                   // of an earlier era than is known
	Missing                   // without an era, of a store that has them
	Unreadable                // what it states is no era
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"current", "later", "past", "missing", "unreadable"}[v]
}

// IsAccepted reports whether the answer is to be believed.
func (v Verdict) IsAccepted() bool { return v <= Later }

// EraTracker is what one process knows of a store's eras. Its zero value knows nothing. It
// isn't safe for use by several goroutines.
type EraTracker struct {
	current uint64
	stated  bool // some answer has stated an era
	used    bool // some answer has counted
}

// Current returns the era that is known.
func (e *EraTracker) Current() uint64 { return e.current }

// Check takes in the era that an answer states, empty if it states none.
func (e *EraTracker) Check(stated string) Verdict {
	if stated == "" {
		if e.stated {
			return Missing
		}
		e.used = true
		return Current
	}
	era, err := strconv.ParseUint(stated, 10, 64)
	if err != nil || era > MaxEra {
		return Unreadable
	}
	e.stated = true
	return e.raise(era)
}

// raise takes in an era that is stated.
func (e *EraTracker) raise(era uint64) Verdict {
	if era < e.current {
		return Earlier
	}
	first := !e.used
	e.used = true
	if era == e.current || first {
		e.current = era
		return Current
	}
	e.current = era
	return Later
}
