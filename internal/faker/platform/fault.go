package platform

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// faults are the orders of a test. The zero value is a platform without fault.
type faults struct {
	mu    sync.Mutex
	down  chan struct{} // closed while the platform is down
	isOff bool
	slow  time.Duration
	lose  int
	calls map[string]int
}

// Down makes every call fail with 503 without effect, and breaks off the
// watches that wait, until Up.
func (p *Platform) Down() {
	f := &p.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOff {
		f.isOff = true
		close(f.downChan())
	}
}

// Up ends Down.
func (p *Platform) Up() {
	f := &p.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isOff {
		f.isOff = false
		f.down = nil
	}
}

// Slow makes each call take delay longer: half of it before its effect, half
// after. Zero ends it.
func (p *Platform) Slow(delay time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.slow = delay
}

// LoseAnswer lets the next PUT or DELETE take effect and breaks its connection
// in place of an answer. Called twice, it does so to the next two.
func (p *Platform) LoseAnswer() {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.lose++
}

// Calls returns how many calls came in since the start by their name: get,
// list, put, delete, watch, instances. Calls that failed count too.
func (p *Platform) Calls() map[string]int {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return maps.Clone(p.faults.calls)
}

// downChan returns the channel that Down closes. The caller holds the lock.
func (f *faults) downChan() chan struct{} {
	if f.down == nil {
		f.down = make(chan struct{})
	}
	return f.down
}

// begin counts a call and returns what the faults make of it.
func (f *faults) begin(name string) (down <-chan struct{}, isOff bool, slow time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[string]int)
	}
	f.calls[name]++
	return f.downChan(), f.isOff, f.slow
}

// loses reports whether the answer of a change is to be lost.
func (f *faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose == 0 {
		return false
	}
	f.lose--
	return true
}

// call is one handler with the channel that is closed when the platform goes
// down while it waits.
type call func(w http.ResponseWriter, r *http.Request, down <-chan struct{})

// faulty puts the faults around a handler. The answer is written into a buffer
// first, so that the second half of a delay comes after the effect and before
// the answer.
func (p *Platform) faulty(name string, next call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down, isOff, slow := p.faults.begin(name)
		if isOff {
			fail(w, http.StatusServiceUnavailable, "down")
			return
		}
		time.Sleep(slow / 2)
		rec := &recorder{status: http.StatusOK, header: make(http.Header)}
		next(rec, r, down)
		time.Sleep(slow / 2)
		if (name == "put" || name == "delete") && p.faults.loses() {
			panic(http.ErrAbortHandler)
		}
		rec.send(w)
	}
}

// recorder keeps an answer until it is sent.
type recorder struct {
	status int
	header http.Header
	body   []byte
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return len(b), nil
}

func (r *recorder) send(w http.ResponseWriter) {
	maps.Copy(w.Header(), r.header)
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body) // the client has gone: nobody to tell
}
