package sharer

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/limiter"
)

var errDown = errors.New("down")

const (
	limit    = 12
	reserved = 3
)

var address = netip.MustParseAddrPort("10.1.0.1:5432")

// world is a platform, an upstream and proxies that open all that they may.
type world struct {
	mu      sync.Mutex
	record  limiter.Record
	version uint64
	listed  []string
	reads   uint64
	down    bool
	lose    int // puts whose answer is lost
	mute    bool
	proxies map[limiter.Member]*proxy
	most    int // open connections at any time, control ones too
}

// proxy is one process: paused ones hold what they have open.
type proxy struct {
	*Sharer
	open, allowed int
	busy          int // connections that don't close when they should
	stop          func()
}

func (w *world) count() {
	sum := 0
	for _, p := range w.proxies {
		sum += p.open + 1
	}
	w.most = max(w.most, sum)
}

func (w *world) set(p *proxy, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.allowed = n
	p.open = max(n, min(p.open, p.busy))
	w.count()
}

func (w *world) watch(ctx context.Context, after uint64) ([]Object, uint64, error) {
	for range 50 {
		w.mu.Lock()
		down, version, record := w.down, w.version, w.record
		w.mu.Unlock()
		if down {
			return nil, 0, errDown
		}
		if version > after {
			return []Object{{Group: "billet", Version: version, Record: record}}, version, nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return nil, after, nil
}

func (w *world) put(_ context.Context, _ string, r limiter.Record, match uint64) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || match != w.version {
		return 0, errDown
	}
	w.record, w.version = r, w.version+1
	if w.lose > 0 {
		w.lose--
		return 0, errDown
	}
	return w.version, nil
}

func (w *world) live() []limiter.Member {
	return slices.SortedFunc(maps.Keys(w.proxies), func(a, b limiter.Member) int { return int(a.Start - b.Start) })
}

func (w *world) send(from limiter.Member) func(context.Context, limiter.Member, Message) error {
	return func(_ context.Context, to limiter.Member, m Message) error {
		w.mu.Lock()
		p, mute := w.proxies[to], w.mute
		w.mu.Unlock()
		if p == nil || mute {
			return errDown
		}
		p.Hear(from, m)
		return nil
	}
}

// join starts a proxy.
func (w *world) join(name string, start int64) *proxy {
	self := limiter.Member{Name: name, Start: start}
	p := &proxy{}
	p.Sharer = &Sharer{
		Self: self, Watch: w.watch, Put: w.put, Send: w.send(self),
		Groups: func() []Group { return []Group{{Name: "billet", Connections: limit, Reserved: reserved}} },
		Fleet: func() Fleet {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reads++
			return Fleet{Live: w.live(), Listed: slices.Clone(w.listed), Reads: w.reads}
		},
		Rank: func(string) int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return slices.Index(w.live(), self)
		},
		Open: func(string) map[netip.AddrPort]int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return map[netip.AddrPort]int{address: p.open}
		},
		Set: func(_ string, allowed func(netip.AddrPort) int) { w.set(p, allowed(address)) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { p.Run(ctx) })
	p.stop = func() { cancel(); ended.Wait() }
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proxies == nil {
		w.proxies = make(map[limiter.Member]*proxy)
	}
	w.proxies[self] = p
	w.listed = append(w.listed, name)
	w.count()
	return p
}

// end ends a proxy's process and its connections.
func (w *world) end(p *proxy) {
	p.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.proxies, p.Self)
}

func (w *world) unlist(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = slices.DeleteFunc(w.listed, func(n string) bool { return n == name })
}

func (w *world) fault(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) shares() (list []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.live() {
		list = append(list, w.proxies[m].allowed)
	}
	return list
}

func run(t *testing.T, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		defer func() {
			for _, p := range w.proxies {
				p.stop()
			}
			is.New(t).True(w.most <= limit)
		}()
		f(is.New(t), w)
	})
}

const settle = 3 * time.Second

// Symptom: the upstream refuses connections with 53300 when proxies come or go.
//
// Sequence: proxies join, one with transactions that go on, leave with a
// farewell, die without one, and start again at the same address, while answers
// of the platform are lost.
//
// Cause: shares taken from each proxy's own count of the others.
func TestSharesFollowTheMembers(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		w.lose = 1
		a := w.join("a", 1)
		time.Sleep(settle)
		is.Equal(w.shares(), []int{9}) // 12, without 3
		w.fault(func() { a.busy = 9 })
		b := w.join("b", 2)
		time.Sleep(settle)
		is.Equal(w.shares(), []int{4, 0}) // a has given nothing back yet
		is.True(!b.Ready())
		w.fault(func() { a.busy = 0 })
		time.Sleep(settle)
		is.Equal(w.shares(), []int{4, 4})
		is.True(b.Ready())

		c := w.join("c", 3)
		time.Sleep(settle)
		shares := w.shares()
		is.Equal(slices.Sorted(slices.Values(shares)), []int{2, 2, 3}) // 12, without 3 and room for 2
		w.end(c)
		late, cancel := context.WithTimeout(context.Background(), settle)
		defer cancel()
		c.Leave(late) // says nothing, as it has connections
		is.Equal(w.shares(), []int{shares[0], shares[1]})
		c.open = 0
		c.Leave(context.Background())
		time.Sleep(settle)
		is.Equal(w.shares(), []int{4, 4})

		w.end(a) // it was the one to change the members
		time.Sleep(settle)
		is.Equal(w.shares(), []int{4}) // no proof yet
		w.unlist("a")
		time.Sleep(settle)
		is.Equal(w.shares(), []int{9})
		w.end(b)
		w.join("b", 5)
		time.Sleep(settle)
		is.Equal(w.shares(), []int{9}) // a later run at its address
	})
}

// Symptom: after an outage of the platform the proxies together have more
// connections than the upstream takes.
//
// Sequence: the platform goes down, a proxy starts, another dies; messages are
// lost; the platform comes back.
//
// Cause: a share taken or grown without the platform's record.
func TestSharesHoldWhileThePlatformIsDown(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		w.join("a", 1)
		b := w.join("b", 2)
		time.Sleep(settle)
		is.Equal(w.shares(), []int{4, 4})
		w.fault(func() { w.down, w.mute = true, true })
		c := w.join("c", 3)
		w.end(b)
		time.Sleep(time.Minute)
		is.Equal(w.shares(), []int{4, 0})
		is.True(!c.Ready())
		w.fault(func() { w.down = false })
		w.unlist("b")
		time.Sleep(10 * time.Second)
		is.True(w.shares()[1] < 4) // a can't say that it keeps to the newest view
		w.fault(func() { w.mute = false })
		time.Sleep(time.Minute) // c has never seen b in the list
		is.Equal(w.shares(), []int{4, 4})
	})
}

// Symptom: the whole fleet takes each other for ended, and each proxy opens all
// connections.
//
// Sequence: the platform's list comes back empty for a time.
//
// Cause: the list alone taken for proof.
func TestEmptyListEndsNobodyWhoIsAlive(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		w.join("a", 1)
		w.join("b", 2)
		time.Sleep(settle)
		w.fault(func() { w.listed = nil })
		time.Sleep(time.Minute)
		is.Equal(w.shares(), []int{4, 4})
	})
}

func TestMoreProxiesThanConnections(t *testing.T) {
	run(t, func(is *is.I, w *world) {
		for i := range limit - 1 - Newcomers {
			w.join(fmt.Sprint("p", i), int64(i+1))
			time.Sleep(settle)
		}
		before := w.shares()
		w.join("last", 100)
		time.Sleep(settle)
		is.Equal(w.shares(), append(before, 0))
		sum := 0
		for _, n := range before {
			sum += n
		}
		is.Equal(sum, 1) // one left for data, beside 9 for control and room for 2
	})
}
