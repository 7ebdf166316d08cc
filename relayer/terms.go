package relayer

import "time"

// Terms are what holds for a statement: what its session has said, and where it
// is silent, what the configuration in force says of its account.
type Terms struct {
	Class Class
	// Budget is the time from arrival to answer; 0 means Limits.Unit.
	Budget time.Duration
	// Age is the greatest age of the data that a read may show, if AnyAge is set.
	Age    time.Duration
	AnyAge bool
	// Repeat says that a write may run more than once.
	Repeat bool
	// Frozen says that writes are refused.
	Frozen bool
}

// terms puts together what holds for the session's next statement. The
// configuration is asked each time: another preset is in force for the next
// statement of a session that lives for days.
func (s *Session) terms() Terms {
	var t Terms
	if s.relay.Terms != nil {
		t = s.relay.Terms(&s.account)
	}
	n := &s.notes
	if n.Class != Unclassed {
		t.Class = n.Class
	}
	if n.Budget > 0 {
		t.Budget = n.Budget
	}
	if n.AnyAge {
		t.Age, t.AnyAge = n.Age, true
	}
	t.Repeat = t.Repeat || n.Repeat
	if t.Budget == 0 {
		t.Budget = s.relay.Limits.Unit
	}
	return t
}
