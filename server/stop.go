package server

import "basildale.example/basildale/relayer"

// CloseListener ends the taking of new callers. All that were taken before are
// in the next Load. It may be called once callers can connect.
func (s *Server) CloseListener() {
	s.listener.StopAccepting()
	s.closed.Store(true)
}

// Load counts the sessions.
//
// Once the listener is closed, those found busy are told to leave after their
// request: one that was between two requests when it closed may be busy at each
// later look.
func (s *Server) Load() relayer.Load {
	s.once.Do(s.prepare)
	if s.closed.Load() {
		s.relay.LeaveBusy()
	}
	return s.relay.Load()
}

// EndIdle ends up to limit sessions between two requests.
func (s *Server) EndIdle(limit int) {
	s.once.Do(s.prepare)
	s.relay.EndIdle(limit)
}

// Cut ends what sessions wait for, so that Run waits for none of them once its
// context has ended.
func (s *Server) Cut() {
	s.once.Do(s.prepare)
	s.relay.Stop()
}
