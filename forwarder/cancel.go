package forwarder

import (
	"context"
	"encoding/json"
	"sync"

	"basildale.example/basildale/carrier"
)

// servedTable holds the statements that run here for peers and that a peer may cancel while
// they wait.
type servedTable struct {
	mu   sync.Mutex
	open map[transactionKey]func()
}

// track returns a channel that is closed when the context ends or the peer cancels, and a
// function that must be called when the statement has ended.
func (s *servedTable) track(ctx context.Context, k transactionKey) (gone <-chan struct{}, end func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[transactionKey]func(){}
	}
	s.open[k] = cancel
	return ctx.Done(), func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, k)
	}
}

// cancel cancels a statement, and reports whether it is still served.
func (s *servedTable) cancel(k transactionKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel, ok := s.open[k]
	if ok {
		cancel()
	}
	return ok
}

func (f *Forwarder) cancelsWaiting() bool { return f.CancelsWaiting != nil && f.CancelsWaiting() }

// watchCaller lets a request be canceled when the statement's caller disconnects, where the
// setting asks for it. The returned function ends the watch.
func (s *search) watchCaller(peer Candidate, r *request) (end func()) {
	if s.job.CallerGone == nil || !s.runner.f.cancelsWaiting() {
		return func() {}
	}
	if r.Stream == 0 {
		r.Stream = s.runner.f.streams.Add(1)
	}
	return s.cancelWhenGone(peer, *r)
}

// cancelWhenGone cancels a statement at a peer when its caller disconnects, so that it no
// longer takes a place in the peer's queue. The answer to the statement is still awaited: a
// statement that was sent to the upstream goes on. The returned function ends the watch. A
// peer that doesn't know the request refuses it.
func (s *search) cancelWhenGone(peer Candidate, r request) (end func()) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-ended:
			return
		case <-s.job.CallerGone:
		}
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		payload, err := json.Marshal(request{Action: cancelOne, Group: r.Group, Stream: r.Stream})
		if err == nil {
			// Without an answer the statement leaves the queue at its deadline.
			_, _ = s.runner.f.Send(ctx, peer.Address, payload)
		}
	}()
	return sync.OnceFunc(func() { close(ended) })
}

// watchCaller sets a served job's CallerGone. The returned function must be called when the
// statement has ended.
func (f *Forwarder) watchCaller(ctx context.Context, k transactionKey, j *carrier.Job) (end func()) {
	if k.stream == 0 || !f.cancelsWaiting() {
		return func() {}
	}
	gone, end := f.served.track(ctx, k)
	j.CallerGone = gone
	return end
}
