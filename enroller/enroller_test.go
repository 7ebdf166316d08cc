package enroller

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/marker"
)

func run(i int, start uint64) marker.Run {
	return marker.Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), Start: start}
}

// platform is the roster's object and the list of instances.
type platform struct {
	mu      sync.Mutex
	roster  marker.Roster
	version uint64
	listed  []netip.AddrPort
	down    bool
	lose    int // puts whose answer is lost
	views   map[marker.Run]map[uint64][]string
}

var errDown = errors.New("down")

func (p *platform) watch(_ context.Context, after uint64) (marker.Roster, uint64, error) {
	for range 20 {
		if r, v, err := p.get(); err != nil || v > after || after == 0 {
			return r, v, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return p.get()
}

func (p *platform) get() (marker.Roster, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return marker.Roster{}, 0, errDown
	}
	return marker.Roster{Runs: slices.Clone(p.roster.Runs)}, p.version, nil
}

// list sets the platform's list of instances.
func (p *platform) list(runs ...marker.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = nil
	for _, r := range runs {
		p.listed = append(p.listed, r.Address)
	}
}

// seen returns the members that a run was told, by version.
func (p *platform) seen(r marker.Run) map[uint64][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.views[r])
}

func (p *platform) put(_ context.Context, r marker.Roster, match uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || match != p.version {
		return 0, errDown
	}
	p.roster, p.version = r, p.version+1
	if p.lose > 0 {
		p.lose--
		return 0, errDown
	}
	return p.version, nil
}

// join lets a run enrol. The function returned ends it.
func (p *platform) join(r marker.Run) (e *Enroller, stop func()) {
	e = &Enroller{
		Self: r, Watch: p.watch, Put: p.put,
		Listed: func() ([]netip.AddrPort, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.Clone(p.listed), !p.down
		},
		View: func(v uint64, names []string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.views == nil {
				p.views = map[marker.Run]map[uint64][]string{}
			}
			if p.views[r] == nil {
				p.views[r] = map[uint64][]string{}
			}
			p.views[r][v] = names
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(done)
	}()
	return e, func() { cancel(); <-done }
}

func TestRunsComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform{lose: 1} // the answer to the first put is lost
		a, b, c := run(1, 1), run(2, 1), run(3, 1)
		_, stopA := p.join(a)
		time.Sleep(10 * time.Second)
		_, stopB := p.join(b)
		_, stopC := p.join(c)
		time.Sleep(10 * time.Second)
		r, version, err := p.get()
		is.NoErr(err)
		is.Equal(len(r.Runs), 3) // not listed yet, and not long enough missing
		is.Equal(version, uint64(3))
		p.list(a, b, c)
		time.Sleep(5 * time.Second)

		stopB() // dies
		p.list(a, c)
		time.Sleep(5 * time.Second)
		r, version, err = p.get()
		is.NoErr(err)
		is.Equal(r.Runs, []marker.Run{a, c})
		is.Equal(version, uint64(4)) // one of the two has taken it out
		is.Equal(p.seen(a)[4], p.seen(c)[4])
		is.Equal(len(p.seen(a)[4]), 2)
		is.Equal(len(p.seen(b)[4]), 0)
		stopA()
		stopC()
	})
}

// Symptom: a read misses a write that a proxy acknowledged after it had been
// struck from the roster and come back.
//
// Sequence: it stands still, the platform lists it no more, the others go on
// without it; it wakes.
//
// Cause: a run that comes back under its old name, so that nothing shows that
// there were versions without it.
func TestStruckRunStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform{}
		e, stop := p.join(run(1, 1))
		time.Sleep(time.Second)
		_, err := p.put(t.Context(), marker.Roster{Runs: []marker.Run{run(2, 1)}}, 1)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		stop()
		is.True(e.struck)
		r, _, err := p.get()
		is.NoErr(err)
		is.Equal(r.Runs, []marker.Run{run(2, 1)})
	})
}

func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform{}
		e, stop := p.join(run(1, 1))
		time.Sleep(time.Second)
		stop()
		p.down = true
		go func() {
			time.Sleep(3 * time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.down, p.lose = false, 1
		}()
		is.NoErr(e.Leave(context.Background()))
		r, _, err := p.get()
		is.NoErr(err)
		is.Equal(len(r.Runs), 0)
	})
}

// Symptom: a fresh proxy is thrown out of the roster as soon as it has joined.
//
// Sequence: it enrols before the platform's list, which lags, has it.
//
// Cause: not being listed taken for having ended.
func TestAbsence(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a, b := run(1, 1), run(2, 1)
	runs := []marker.Run{a, b}
	var x absence
	is.Equal(len(x.ended(runs, []netip.AddrPort{a.Address}, now)), 0)
	is.Equal(len(x.ended(runs, []netip.AddrPort{a.Address}, now.Add(29*time.Second))), 0)
	is.Equal(x.ended(runs, []netip.AddrPort{a.Address}, now.Add(30*time.Second)), []netip.AddrPort{b.Address})
	is.Equal(len(x.ended(runs, []netip.AddrPort{a.Address, b.Address}, now.Add(31*time.Second))), 0)
	is.Equal(x.ended(runs, []netip.AddrPort{b.Address}, now.Add(32*time.Second)), []netip.AddrPort{a.Address})
	again := run(1, 2) // started again at a's address: not listed yet
	is.Equal(len(x.ended([]marker.Run{again, b}, []netip.AddrPort{b.Address}, now.Add(33*time.Second))), 0)
}
