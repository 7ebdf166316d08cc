package proxier

import "sync"

// signal wakes all who wait for something that one of them has noticed. Its zero
// value is ready for use; a nil signal wakes nobody.
//
// Each kind of the store's objects is followed by itself and waits up to a second
// between calls that fail. Without a word between them a process that had its
// configuration again had no upstreams for another half second.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

// sent returns a channel that is closed at the next send.
func (s *signal) sent() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// send wakes all who wait.
func (s *signal) send() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
