package relayer

import (
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

// adapt makes the settings of the connection equal to the session's, in an
// exchange of its own: a unit in the same write would run although one of them
// was refused. It reports false when the unit is not to be sent; refused and
// broken say why.
func (s *Session) adapt(u *unit) bool {
	u.broken = nil
	if s.tx != txIdle || s.batch || s.up.settings.equal(&s.settings) {
		return true
	}
	var queries int
	var reset bool
	u.flight, queries, reset = appendChanges(u.flight[:0], &s.up.settings, &s.settings)
	if _, err := s.up.Ask(u.flight); err != nil {
		return s.notAdapted(u, nil)
	}
	for {
		f, err := s.up.next()
		if err != nil {
			return s.notAdapted(u, nil)
		}
		switch f.Type {
		case 'S':
			if isMark(f) {
				continue
			}
			if u.broken = s.gather(f); u.broken != nil {
				return false
			}
		case 'E':
			return s.notAdapted(u, &f)
		case 'Z':
			if queries--; queries > 0 {
				continue
			}
			if !s.up.Alive() {
				return s.notAdapted(u, nil) // a second answer
			}
			s.up.settings.copyOf(&s.settings)
			s.up.unnamed = body{} // a simple query drops the unnamed statement
			if reset {
				s.up.term = tracker.Term{}
			}
			return true
		}
	}
}

// notAdapted gives up a connection whose settings are not known. The unit has not
// been sent. It may try another connection unless the error is that of a setting.
func (s *Session) notAdapted(u *unit, f *framer.Frame) bool {
	u.refused = retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.NeverSent}
	if f != nil {
		code := errorField(f.Body(), 'C')
		if _, known := retrier.FromSQLState(code); !known {
			u.broken = &protocolError{code, "setting up the connection failed: " + errorField(f.Body(), 'M')}
			s.clearOut()
		}
	}
	s.discardUpstream()
	return false
}
