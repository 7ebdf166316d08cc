package relayer

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// registry knows all sessions of a relay.
type registry struct {
	mu        sync.Mutex
	all       map[*Session]struct{}
	ready     map[uint32]*Session
	strangers int
	next      uint32
	leaving   bool
	empty     chan struct{}
}

// add takes a new session in its startup, unless the limits say that there are
// enough of those or of all.
func (r *registry) add(s *Session, l *Limits) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.strangers >= l.Strangers {
		return false
	}
	if l.Callers > 0 && len(r.all) >= l.Callers {
		return false
	}
	if r.all == nil {
		r.all = map[*Session]struct{}{}
		r.ready = map[uint32]*Session{}
	}
	r.all[s] = struct{}{}
	r.strangers++
	s.stranger = true
	return true
}

// admit numbers a session that is authenticated.
func (r *registry) admit(s *Session, index uint16) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(s)
	for {
		r.next = (r.next + 1) & sessionMask
		process := uint32(index)<<sessionBits | r.next
		if _, taken := r.ready[process]; !taken {
			r.ready[process] = s
			return process
		}
	}
}

// vacate lets another session have the place in the startup that s had.
func (r *registry) vacate(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(s)
}

func (r *registry) forget(s *Session) {
	if s.stranger {
		s.stranger = false
		r.strangers--
	}
}

// remove drops an ended session.
func (r *registry) remove(s *Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(s)
	delete(r.all, s)
	if r.ready[s.key.Process] == s {
		delete(r.ready, s.key.Process)
	}
	if r.empty != nil && len(r.all) == 0 {
		close(r.empty)
		r.empty = nil
	}
}

// find returns the session that a cancel key names, or nil.
func (r *registry) find(k Key) *Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.ready[k.Process]
	if s == nil || s.key.Secret != k.Secret {
		return nil
	}
	return s
}

// dismiss takes no more sessions and returns all there are, and a channel that
// is closed when the last has ended.
func (r *registry) dismiss() ([]*Session, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	empty := make(chan struct{})
	if len(r.all) == 0 {
		close(empty)
		return nil, empty
	}
	r.empty = empty
	return r.listed(), empty
}

// list returns all sessions.
func (r *registry) list() []*Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed()
}

func (r *registry) listed() []*Session {
	list := make([]*Session, 0, len(r.all))
	for s := range r.all {
		list = append(list, s)
	}
	return list
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// identities makes request IDs that no proxy and no other run of this one uses:
// a random part for the process and a number.
type identities struct {
	prefix string
	next   atomic.Uint64
}

func (i *identities) start() {
	var b [12]byte
	binary.BigEndian.PutUint32(b[:], uint32(time.Now().Unix()))
	_, _ = rand.Read(b[4:])
	i.prefix = hex.EncodeToString(b[:]) + "-"
}

func (i *identities) take() string {
	return i.prefix + strconv.FormatUint(i.next.Add(1), 36)
}
