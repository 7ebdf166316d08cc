package server

import "basildale.example/basildale/relayer"

// CloseListener ends the taking of new callers. All that were taken before are
// in the next Load. It may be called once callers can connect.
func (s *Server) CloseListener() {
	s.listener.StopAccepting()
	s.relay.LeaveBusy()
}

// Load counts the sessions.
func (s *Server) Load() relayer.Load {
	s.once.Do(s.prepare)
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
