package relayer

import (
	"time"

	"basildale.example/basildale/framer"
)

// releaseUpstream gives the connection back after a transaction.
func (s *Session) releaseUpstream() {
	up, to := s.up, s.to
	if up == nil {
		return
	}
	s.detach()
	healthy := !up.spoiled.Load() && up.Buffered() == 0
	if !healthy {
		up.Close()
	}
	up.Rest()
	s.relay.Release(to, up, healthy)
}

// yieldUpstream gives the connection up before a unit is sent once more. One on
// which the unit has left a transaction, or whose upstream skips messages up to a
// Sync, is of no use to another session.
func (s *Session) yieldUpstream(u *unit) {
	if s.up == nil || u.began {
		return // an open transaction keeps its connection
	}
	if u.sync && s.tx == txIdle {
		s.releaseUpstream()
		return
	}
	s.discardUpstream()
	s.tx = txIdle
}

// discardUpstream closes the connection: what may still arrive on it belongs
// to nobody.
func (s *Session) discardUpstream() {
	up, to := s.up, s.to
	if up == nil {
		return
	}
	s.detach()
	up.Close()
	s.relay.Release(to, up, false)
}

// detach takes the connection away from cancel requests first. One that is
// under way is waited for: it would else hit the next owner's statement.
func (s *Session) detach() {
	s.cancelling.Lock()
	s.target.Store(nil)
	s.up, s.answering = nil, false
	s.scope = scope{}
	s.cancelling.Unlock()
}

// abandonUpstream gives up the connection of a session that ends. An open
// transaction is rolled back so that the connection stays warm; when that
// doesn't work at once it is closed.
func (s *Session) abandonUpstream() {
	if s.up == nil {
		return
	}
	if s.answering || s.batch || s.tx == txIdle || !s.up.rollback() {
		s.discardUpstream()
		return
	}
	s.releaseUpstream()
}

// rollbackTime bounds the rollback of a transaction whose caller has gone.
const rollbackTime = time.Second

func (u *Upstream) rollback() bool {
	u.bound(time.Now().Add(rollbackTime), 0)
	u.unnamed = body{} // a simple query drops the unnamed statement
	if _, err := u.Send([]byte("Q\x00\x00\x00\x0dROLLBACK\x00")); err != nil {
		return false
	}
	for {
		f, err := u.next()
		if err != nil {
			return false
		}
		if f.Type == 'Z' {
			return len(f.Body()) == 1 && f.Body()[0] == txIdle
		}
	}
}

func (u *Upstream) next() (framer.Frame, error) {
	h, err := u.Head()
	if err != nil {
		return framer.Frame{}, err
	}
	return u.Frame(h)
}
