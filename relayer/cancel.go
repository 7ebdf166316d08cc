package relayer

import (
	"encoding/binary"

	"basildale.example/basildale/adapter/dialer"
)

// cancelRequest carries out a cancel request or hands it to the proxy whose
// session it names. It is never answered, as the protocol has it.
func (s *Session) cancelRequest(body []byte) {
	if len(body) != 8 {
		return
	}
	key := Key{
		Process: binary.BigEndian.Uint32(body),
		Secret:  binary.BigEndian.Uint32(body[4:]),
	}
	r := s.relay
	if key.Proxy() != r.Index {
		if r.ForwardCancel != nil {
			r.ForwardCancel(key.Proxy(), key)
		}
		return
	}
	r.Cancel(key)
}

// Cancel asks the upstream to cancel the statement of the session that key
// names, if one runs. It reports whether there is such a session and statement.
func (r *Relay) Cancel(key Key) bool {
	s := r.sessions.find(key)
	if s == nil {
		return false
	}
	s.cancelling.Lock()
	defer s.cancelling.Unlock()
	up := s.target.Load()
	if up == nil {
		return false
	}
	// The request can reach the upstream after the statement has ended. The
	// connection is not used again, so that it can't hit another caller's.
	up.spoiled.Store(true)
	return dialer.Cancel(r.ctx, up.Address(), up.Key) == nil
}
