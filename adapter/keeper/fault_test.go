package keeper_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/internal/faker/platform"
)

// stub is an address that a Transport without a network takes.
func stub() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")} }

// Symptom: a change is reported as failed and in force, or the other way round.
// Sequence: the platform fails before, at or after the change. Cause: the
// outcome was guessed from the kind of error alone.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(*platform.Platform, *platform.Transport)
		want    error
		effect  bool
		healthy bool // the read back needs no mending first
	}{
		{"down", func(p *platform.Platform, _ *platform.Transport) { p.Down() }, keeper.ErrDown, false, false},
		{"dial refused", func(_ *platform.Platform, t *platform.Transport) {
			t.Refuse = func() bool { return true }
		}, keeper.ErrDown, false, false},
		{"answer lost", func(p *platform.Platform, _ *platform.Transport) { p.LoseAnswer() }, keeper.ErrLost, true, true},
		{"slower than the deadline", func(p *platform.Platform, _ *platform.Transport) {
			p.Slow(time.Minute)
		}, keeper.ErrLost, true, false},
		{"slow, in time", func(p *platform.Platform, _ *platform.Transport) { p.Slow(time.Second) }, nil, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &platform.Platform{}
				tr := &platform.Transport{Platform: p}
				client := &keeper.Client{Addrs: stub(), Transport: tr}
				c.fault(p, tr)
				_, err := client.Put(t.Context(), "k", "a", 0, 1)
				is.True(errors.Is(err, c.want))
				if !c.healthy {
					p.Up()
					p.Slow(0)
					tr.Refuse = nil
					time.Sleep(time.Hour) // virtual: the call goes on in the platform
				}
				_, err = client.Get(t.Context(), "k", "a")
				is.Equal(err == nil, c.effect)
			})
		})
	}
}

// Symptom: one address of the platform is down and so is every proxy's
// configuration. Sequence: the first address refuses the dial. Cause: the
// client did not go on to the next.
func TestNextAddress(t *testing.T) {
	is := is.New(t)
	p := &platform.Platform{}
	gone, up := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	dials := 0
	client := &keeper.Client{Addrs: []netip.AddrPort{gone, up}, Transport: carrier(func(r *http.Request) (*http.Response, error) {
		tr := &platform.Transport{Platform: p}
		if r.URL.Host == gone.String() {
			dials++
			tr.Refuse = func() bool { return true }
		}
		return tr.RoundTrip(r)
	})}
	for i := range 3 {
		_, err := client.Put(t.Context(), "k", string(rune('a'+i)), 0, 1)
		is.NoErr(err)
	}
	is.Equal(p.Calls()["put"], 3)
	is.Equal(dials, 1) // it stays at the address that works
}

// Symptom: an operator's command reports an unknown outcome while the platform is
// up. Sequence: one of its addresses swallows answers; the change goes there, and
// so does every attempt to read it back. Cause: only refused calls made the client
// change the address.
func TestReadBackAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	p := &platform.Platform{}
	mute, up := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	client := &keeper.Client{Addrs: []netip.AddrPort{mute, up}, Transport: carrier(func(r *http.Request) (*http.Response, error) {
		resp, err := (&platform.Transport{Platform: p}).RoundTrip(r)
		if err == nil && r.URL.Host == mute.String() {
			resp.Body.Close()
			return nil, errors.New("connection reset")
		}
		return resp, err
	})}
	_, err := client.Put(t.Context(), "k", "a", 0, 1)
	is.True(errors.Is(err, keeper.ErrLost))
	o, err := client.Get(t.Context(), "k", "a")
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
	is.Equal(p.Calls()["get"], 1)
}

type carrier func(*http.Request) (*http.Response, error)

func (c carrier) RoundTrip(r *http.Request) (*http.Response, error) { return c(r) }

// Symptom: a proxy that spins takes the platform from the others. Sequence: a
// fault makes it call in a loop. Cause: nothing bounds the calls of a process.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform.Platform{}
		client := &keeper.Client{Addrs: stub(), Transport: &platform.Transport{Platform: p}, Rate: 10, Burst: 5}
		ctx, cancel := context.WithTimeout(t.Context(), 2050*time.Millisecond) // between two tokens
		defer cancel()
		for ctx.Err() == nil {
			if _, err := client.Instances(ctx, ""); err != nil {
				is.True(errors.Is(err, keeper.ErrDown)) // budget spent: certain not to have run
				break
			}
		}
		is.Equal(p.Calls()["instances"], 25) // burst, and 10 a second for 2 s
	})
}

// Symptom: after an outage a proxy keeps the old configuration, or the fleet's
// return brings the platform down again. Sequence: the platform is down for a
// minute, changes, comes back. Cause: the watcher gave up, lost its version, or
// did not back off.
func TestFollowThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform.Platform{}
		client := &keeper.Client{Addrs: stub(), Transport: &platform.Transport{Platform: p}}
		ctx, cancel := context.WithCancel(t.Context())
		var seen []uint64
		ended := make(chan error, 1)
		go func() {
			ended <- client.Follow(ctx, "k", 0, 30*time.Second, func(page keeper.Page, _ error) {
				for _, o := range page.Items {
					seen = append(seen, o.Version)
				}
			})
		}()
		first, err := client.Put(ctx, "k", "a", 0, 1)
		is.NoErr(err)
		synctest.Wait() // the watcher has it
		p.Down()
		time.Sleep(time.Minute)
		is.True(p.Calls()["watch"] < 30) // 0.1 s doubling to 5 s, in place of thousands
		p.Up()
		_, err = client.Put(ctx, "k", "a", first.Version, 2)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
		is.Equal(seen, []uint64{1, 2})
	})
}
