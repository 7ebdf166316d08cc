package finder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/marker"
	"basildale.example/basildale/tracker"
)

// fleet is some finders and one group, in virtual time.
type fleet struct {
	mu      sync.Mutex
	finders map[string]*Finder
	names   []string
	pos     tracker.Position
	lost    bool // the upstreams don't answer
}

func newFleet(ctx context.Context, n int) *fleet {
	fl := &fleet{finders: map[string]*Finder{}}
	for i := range n {
		name := fmt.Sprint("p", i)
		fl.names = append(fl.names, name)
		f := &Finder{Settings: marker.Settings{Self: name, Seed: uint64(i+1) << 40}}
		f.Send = func(to string, payload json.RawMessage) {
			go func() {
				time.Sleep(time.Millisecond)
				if err := fl.finders[to].Receive(name, payload); err != nil && !errors.Is(err, ErrStopped) {
					panic(err)
				}
			}()
		}
		f.Ask = func(_ string, answer Answer) { go fl.answer(answer) }
		fl.finders[name] = f
	}
	for _, name := range fl.names {
		go fl.finders[name].Run(ctx)
		fl.finders[name].View(1, fl.names)
	}
	return fl
}

// stop ends the finders and lets what is on its way arrive.
func stop(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
	synctest.Wait()
}

func (fl *fleet) mark() tracker.Mark {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: fl.pos}
}

// write moves the primary on.
func (fl *fleet) write() tracker.Mark {
	fl.mu.Lock()
	fl.pos++
	fl.mu.Unlock()
	return fl.mark()
}

func (fl *fleet) answer(answer Answer) {
	time.Sleep(time.Millisecond)
	fl.mu.Lock()
	lost := fl.lost
	fl.mu.Unlock()
	if lost {
		return
	}
	answer(0, 3, tracker.State{Role: tracker.Primary, Term: tracker.Term{Epoch: 1}, Mark: fl.mark()})
	answer(1, 3, tracker.State{Role: tracker.Replica, Term: tracker.Term{Epoch: 1}})
}

func TestSessionsSeeTheirWritesThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer stop(cancel)
		fl := newFleet(ctx, 3)
		time.Sleep(3 * time.Second)
		home := 0
		for i := range 30 {
			key := tracker.Key{Tenant: "t", Session: fmt.Sprint(i % 5), Group: "g"}
			writer, reader := fl.finders[fl.names[i%3]], fl.finders[fl.names[(i+1)%3]]
			is.True(writer.Ready())
			m := fl.write()
			is.NoErr(writer.Wrote(ctx, key, m))
			fl.write() // of others
			found, err := reader.Find(ctx, key, time.Time{})
			is.NoErr(err)
			is.True(!found.Mark.Less(m))
			if found.Source == marker.FromHome {
				is.Equal(found.Mark, m) // and not what others wrote
				home++
			}
		}
		is.Equal(home, 25) // but for the first read of each session
	})
}

func TestMessagesToOneProxyTravelTogether(t *testing.T) {
	is := is.New(t)
	sent := map[string]int{}
	f := &Finder{Send: func(to string, payload json.RawMessage) {
		list, err := marker.Decode(payload)
		is.NoErr(err)
		sent[to] += len(list)*100 + 1
	}}
	var out outbox
	for serial := range uint64(4) {
		out.add("a", marker.Taken{Serial: serial})
	}
	out.add("b", marker.Taken{Serial: 4})
	f.flush(&out)
	is.Equal(sent, map[string]int{"a": 401, "b": 101}) // one payload each
}

func TestFindFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		fl := newFleet(ctx, 1)
		fl.lost = true
		start := time.Now()
		found, err := fl.finders["p0"].Find(ctx, tracker.Key{Group: "g"}, time.Time{})
		is.True(errors.Is(err, ErrUnknown))
		is.Equal(time.Since(start), 150*time.Millisecond) // three checks
		is.True(found.Retry.After(time.Now()))

		short, end := context.WithTimeout(ctx, 20*time.Millisecond)
		defer end()
		_, err = fl.finders["p0"].Find(short, tracker.Key{Group: "g"}, time.Time{})
		is.True(errors.Is(err, context.DeadlineExceeded))

		stop(cancel)
		_, err = fl.finders["p0"].Find(t.Context(), tracker.Key{Group: "g"}, time.Time{})
		is.True(errors.Is(err, ErrStopped))
		is.True(errors.Is(fl.finders["p0"].Wrote(t.Context(), tracker.Key{Group: "g"}, fl.mark()), ErrStopped))
		is.True(!fl.finders["p0"].Ready())
	})
}
