package finder

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/marker"
	"basildale.example/basildale/tracker"
)

// ErrUnknown reports that a session's mark can't be found at present: no primary
// is borne out by a majority of its group. The read has not run.
var ErrUnknown = errors.New("finder: no primary is borne out")

// ErrStopped reports that the finder has stopped.
var ErrStopped = errors.New("finder: stopped")

// backlog bounds the events that wait for the goroutine; a sender waits beyond.
const backlog = 1024

// Answer takes the state of one upstream. size is the number of upstreams of the
// group.
type Answer func(upstream, size int, s tracker.State)

// Found is what was found for a read.
type Found struct {
	// Mark is what the read must see: no write acknowledged before the read came
	// in is past it.
	Mark   tracker.Mark
	Source marker.Source
	// Retry is when it may be worth coming back, with [ErrUnknown].
	Retry time.Time
}

// Finder finds marks. Set the exported fields before Run.
type Finder struct {
	Settings marker.Settings
	// Send sends a payload to the proxy of that name, whose Receive takes it. It
	// must not wait; payloads may be lost.
	Send func(to string, payload json.RawMessage)
	// Ask asks each upstream of the group for its state, from now on, and calls
	// answer for each that comes. It must not wait.
	Ask func(group string, answer Answer)

	once    sync.Once
	events  chan marker.Event
	stopped chan struct{}
	machine marker.Marker
	ready   chan chan bool

	mu     sync.Mutex
	serial uint64
	reads  map[uint64]chan result
	writes map[uint64]chan struct{}
}

// result ends a read's wait.
type result struct {
	found Found
	err   error
}

func (f *Finder) prepare() {
	f.events = make(chan marker.Event, backlog)
	f.stopped = make(chan struct{})
	f.ready = make(chan chan bool)
	f.reads = make(map[uint64]chan result)
	f.writes = make(map[uint64]chan struct{})
	f.machine.Settings = f.Settings
}

// Run hands events to the machine until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	f.once.Do(f.prepare)
	defer close(f.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := f.machine.Next(); !next.IsZero() {
			timer.Reset(time.Until(next))
		} else {
			timer.Stop()
		}
		var out outbox
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			f.step(e, &out)
			f.drain(&out)
		case c := <-f.ready:
			c <- f.machine.Ready(time.Now())
		case <-timer.C:
			f.step(marker.Tick{}, &out)
		}
		f.flush(&out)
	}
}

// drain takes in the events that wait already, so that their messages travel
// together.
func (f *Finder) drain(out *outbox) {
	for range backlog {
		select {
		case e := <-f.events:
			f.step(e, out)
		default:
			return
		}
	}
}

// step hands one event in. The time is read after the event has come, as the
// machine asks for.
func (f *Finder) step(e marker.Event, out *outbox) {
	for _, c := range f.machine.Step(e, time.Now()) {
		switch c := c.(type) {
		case marker.Send:
			out.add(c.To, c.Message)
		case marker.Check:
			f.check(c)
		case marker.Release:
			f.resolve(c.ID, result{found: Found{Mark: c.Mark, Source: c.Source}})
		case marker.Fail:
			f.resolve(c.ID, result{found: Found{Retry: c.Retry}, err: ErrUnknown})
		case marker.Acknowledge:
			f.acknowledge(c.ID)
		}
	}
}

func (f *Finder) check(c marker.Check) {
	f.Ask(c.Group, func(upstream, size int, s tracker.State) {
		f.tell(marker.Stated{Group: c.Group, Batch: c.Batch, Upstream: upstream, Size: size, State: s})
	})
}

func (f *Finder) resolve(id uint64, r result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.reads[id]; ok {
		delete(f.reads, id)
		c <- r
	}
}

func (f *Finder) acknowledge(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.writes[id]; ok {
		delete(f.writes, id)
		close(c)
	}
}

// tell hands an event to the goroutine. It reports false once that has stopped.
func (f *Finder) tell(e marker.Event) bool {
	f.once.Do(f.prepare)
	select {
	case f.events <- e:
		return true
	case <-f.stopped:
		return false
	}
}

// Find finds the mark that a read of a session must see. A key without a session
// stands for a fresh connection of a caller that names none.
func (f *Finder) Find(ctx context.Context, key tracker.Key, deadline time.Time) (Found, error) {
	f.once.Do(f.prepare)
	c := make(chan result, 1)
	f.mu.Lock()
	f.serial++
	id := f.serial
	f.reads[id] = c
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.reads, id)
	}()
	if !f.tell(marker.Read{ID: id, Key: key, Deadline: deadline}) {
		return Found{}, ErrStopped
	}
	select {
	case r := <-c:
		return r.found, r.err
	case <-ctx.Done():
		return Found{}, errors.Wrap(ctx.Err(), "finder: find")
	case <-f.stopped:
		return Found{}, ErrStopped
	}
}

// Wrote returns when a write that has run may be acknowledged, so far as marks
// go. On an error it may not: its session might not see it elsewhere.
func (f *Finder) Wrote(ctx context.Context, key tracker.Key, mark tracker.Mark) error {
	f.once.Do(f.prepare)
	c := make(chan struct{})
	f.mu.Lock()
	f.serial++
	id := f.serial
	f.writes[id] = c
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.writes, id)
	}()
	if !f.tell(marker.Wrote{ID: id, Key: key, Mark: mark}) {
		return ErrStopped
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "finder: wrote")
	case <-f.stopped:
		return ErrStopped
	}
}

// View gives a new version of the roster.
func (f *Finder) View(version uint64, members []string) {
	f.tell(marker.Viewed{Version: version, Members: members})
}

// Receive takes a payload that the proxy of that name has sent.
func (f *Finder) Receive(from string, payload json.RawMessage) error {
	list, err := marker.Decode(payload)
	if err != nil {
		return err
	}
	for _, msg := range list {
		if !f.tell(marker.Received{From: from, Message: msg}) {
			return ErrStopped
		}
	}
	return nil
}

// Ready reports whether writes of named sessions can be acknowledged at present.
// While it is false they are to be refused before they run.
func (f *Finder) Ready() bool {
	f.once.Do(f.prepare)
	c := make(chan bool, 1)
	select {
	case f.ready <- c:
		return <-c
	case <-f.stopped:
		return false
	}
}
