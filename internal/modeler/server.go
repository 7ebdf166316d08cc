package modeler

import "time"

// Effect is what is wrong with a server at a moment. The zero Effect is none.
type Effect struct {
	Slower float64 // factor on service times above one
	Lose   bool    // requests that arrive get no answer
	Refuse bool    // requests are refused on arrival
}

// Server is one upstream: Slots requests run at a time, the others wait in the
// order of arrival. Network is the time one way. Fault, if set, says what is
// wrong at the arrival of a request.
type Server struct {
	Clock   *Clock
	Slots   int
	Network time.Duration
	Fault   func(now time.Time) Effect

	busy int
	line []func()
}

// Serve runs a request; done is called when its answer has come back.
func (s *Server) Serve(service time.Duration, done func()) {
	s.Try(service, func(bool) { done() })
}

// Try runs a request; done is called when its answer or refusal has come back,
// and never if it is lost.
func (s *Server) Try(service time.Duration, done func(ran bool)) {
	s.Clock.After(s.Network, func() {
		var e Effect
		if s.Fault != nil {
			e = s.Fault(s.Clock.Now)
		}
		switch {
		case e.Lose:
			return
		case e.Refuse:
			s.Clock.After(s.Network, func() { done(false) })
			return
		case e.Slower > 1:
			service = time.Duration(float64(service) * e.Slower)
		}
		s.line = append(s.line, func() { s.run(service, done) })
		s.next()
	})
}

func (s *Server) run(service time.Duration, done func(bool)) {
	s.Clock.After(service, func() {
		s.Clock.After(s.Network, func() { done(true) })
		s.busy--
		s.next()
	})
}

func (s *Server) next() {
	for s.busy < s.Slots && len(s.line) > 0 {
		s.busy++
		start := s.line[0]
		s.line = s.line[1:]
		start()
	}
}
