package proxier

import "sync"

// signal wakes all goroutines that wait for an event that one of them has noticed. Its zero
// value is ready for use; a nil signal wakes nobody.
//
// Each kind of the store's objects is watched on its own, with a back-off of up to a second
// between failed calls. Without a signal between the watchers a process that had its
// configuration again lacked upstreams for another half second.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next notify.
func (s *signal) wait() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// notify wakes all who wait.
func (s *signal) notify() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
