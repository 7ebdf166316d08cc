package generator

import "sync"

// queue holds the requests of a session that have not been sent yet.
type queue struct {
	mu     sync.Mutex
	list   []request
	closed bool
	wake   chan struct{}
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

func (q *queue) put(r request) {
	q.mu.Lock()
	q.list = append(q.list, r)
	q.mu.Unlock()
	q.signal()
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take waits for the next request; false when there will be none.
func (q *queue) take() (request, bool) {
	for {
		q.mu.Lock()
		if len(q.list) > 0 {
			r := q.list[0]
			q.list = q.list[1:]
			q.mu.Unlock()
			return r, true
		}
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return request{}, false
		}
		<-q.wake
	}
}
