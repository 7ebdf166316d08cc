package keeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/internal/faker/platform"
)

// contractEnv names another implementation to run the suite against.
const contractEnv = "BASILDALE_CONTRACT_PLATFORM"

// bench is one case's client and a kind that nobody else uses, so that the
// suite can run against a platform that holds other objects.
type bench struct {
	*is.I
	ctx    context.Context
	client *keeper.Client
	kind   string
}

func (b bench) put(name string, match uint64, value string) keeper.Object {
	b.Helper()
	o, err := b.client.Put(b.ctx, b.kind, name, match, json.RawMessage(value))
	b.NoErr(err)
	return o
}

// address returns the platform under test.
func address(t *testing.T) netip.AddrPort {
	if s := os.Getenv(contractEnv); s != "" {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			t.Fatalf("%s: %v", contractEnv, err)
		}
		return addr
	}
	p := &platform.Platform{}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p.Addr()
}

func TestContract(t *testing.T) {
	addr := address(t)
	cases := []struct {
		name string
		run  func(bench)
	}{
		{"an object lives, changes, goes and comes back", life},
		{"a change on a wrong version is refused with the present object", conflicts},
		{"one of many racing writers wins", race},
		{"a list goes by name, in pages", list},
		{"a watch tells changes in order, deleted ones too", watch},
		{"a watch waits for a change of its kind", watchWaits},
		{"an unchanged kind answers an empty watch with the store's version", watchEmpty},
		{"values of 1 MiB are kept, larger ones refused", large},
		{"pages over the bound of an answer come in pieces", largePages},
		{"names are any text", names},
		{"a lost answer may have taken effect", lostAnswer},
		{"instances are listed", instances},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour) // a busy machine is no failure
			defer cancel()
			c.run(bench{
				I: is.New(t), ctx: ctx,
				client: &keeper.Client{Addrs: []netip.AddrPort{addr}, Rate: 1e6, Burst: 1e6},
				kind:   fmt.Sprintf("contract-%x", rand.Uint64()),
			})
		})
	}
}

func life(b bench) {
	_, err := b.client.Get(b.ctx, b.kind, "a")
	b.True(errors.Is(err, keeper.ErrMissing))
	first := b.put("a", 0, `{"n":1}`)
	got, err := b.client.Get(b.ctx, b.kind, "a")
	b.NoErr(err)
	b.Equal(got.Version, first.Version)
	b.Equal(string(got.Value), `{"n":1}`)
	second := b.put("a", first.Version, `{"n":2}`)
	b.True(second.Version > first.Version)
	b.NoErr(b.client.Delete(b.ctx, b.kind, "a", second.Version))
	_, err = b.client.Get(b.ctx, b.kind, "a")
	b.True(errors.Is(err, keeper.ErrMissing))
	b.True(b.put("a", 0, `{"n":3}`).Version > second.Version) // versions rise over a deletion
}

// Symptom: an operator's change is gone. Sequence: two read the object, both
// write it. Cause: the second write did not look at the version.
func conflicts(b bench) {
	first := b.put("a", 0, `"one"`)
	second := b.put("a", first.Version, `"two"`)
	for _, c := range []struct {
		name  string
		match uint64
		now   uint64
	}{
		{"a", 0, second.Version},
		{"a", first.Version, second.Version},
		{"a", second.Version + 1000, second.Version},
		{"absent", first.Version, 0},
	} {
		_, err := b.client.Put(b.ctx, b.kind, c.name, c.match, "three")
		var conflict *keeper.ConflictError
		b.True(errors.Is(err, keeper.ErrConflict))
		b.True(errors.As(err, &conflict))
		b.Equal(conflict.Current.Version, c.now)
	}
	err := b.client.Delete(b.ctx, b.kind, "a", first.Version)
	b.True(errors.Is(err, keeper.ErrConflict))
	b.True(errors.Is(b.client.Delete(b.ctx, b.kind, "absent", 1), keeper.ErrMissing))
	got, err := b.client.Get(b.ctx, b.kind, "a")
	b.NoErr(err)
	b.Equal(string(got.Value), `"two"`)
}

func race(b bench) {
	const writers = 8
	first := b.put("a", 0, `0`)
	var wg sync.WaitGroup
	errs := make([]error, writers)
	for i := range writers {
		wg.Go(func() { _, errs[i] = b.client.Put(b.ctx, b.kind, "a", first.Version, i+1) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		b.True(errors.Is(err, keeper.ErrConflict))
	}
	b.Equal(won, 1)
}

func list(b bench) {
	for _, name := range []string{"c", "a", "e", "b", "d"} {
		b.put(name, 0, `1`)
	}
	p, err := b.client.List(b.ctx, b.kind, "a", 2)
	b.NoErr(err)
	b.Equal(len(p.Items), 2)
	b.Equal(p.Items[0].Name+p.Items[1].Name, "bc")
	b.True(p.More)
	b.True(p.Version >= p.Items[0].Version)
	all, err := b.client.All(b.ctx, b.kind)
	b.NoErr(err)
	b.Equal(len(all), 5)
	empty, err := b.client.List(b.ctx, b.kind, "e", 2)
	b.NoErr(err)
	b.Equal(len(empty.Items), 0)
	b.True(!empty.More)
}

func watch(b bench) {
	one := b.put("one", 0, `1`)
	two := b.put("two", 0, `2`)
	again := b.put("one", one.Version, `3`)
	p, err := b.client.Watch(b.ctx, b.kind, 0, 0)
	b.NoErr(err)
	b.Equal(len(p.Items), 2) // an object is told once, as it is now
	b.Equal(p.Items[0].Name, "two")
	b.Equal(p.Items[1].Version, again.Version)
	b.True(p.Version >= again.Version)
	b.NoErr(b.client.Delete(b.ctx, b.kind, "two", two.Version))
	p, err = b.client.Watch(b.ctx, b.kind, p.Version, 0)
	b.NoErr(err)
	b.Equal(len(p.Items), 1)
	b.True(p.Items[0].Deleted)
	b.True(p.Items[0].Version > again.Version)
}

func watchWaits(b bench) {
	first := b.put("a", 0, `1`)
	type answer struct {
		page keeper.Page
		err  error
	}
	got := make(chan answer, 1)
	go func() {
		p, err := b.client.Watch(b.ctx, b.kind, first.Version, 30*time.Second)
		got <- answer{p, err}
	}()
	_, err := b.client.Put(b.ctx, b.kind+"-other", "x", 0, 1)
	b.NoErr(err)
	second := b.put("a", first.Version, `2`)
	a := <-got
	b.NoErr(a.err)
	b.Equal(len(a.page.Items), 1)
	b.Equal(a.page.Items[0].Version, second.Version)
}

func watchEmpty(b bench) {
	o := b.put("a", 0, `1`)
	p, err := b.client.Watch(b.ctx, b.kind+"-none", 0, 0)
	b.NoErr(err)
	b.Equal(len(p.Items), 0)
	b.True(p.Version >= o.Version)
}

func large(b bench) {
	fits := `"` + strings.Repeat("x", 1<<20-2) + `"`
	b.put("fits", 0, fits)
	got, err := b.client.Get(b.ctx, b.kind, "fits")
	b.NoErr(err)
	b.Equal(len(got.Value), len(fits))
	_, err = b.client.Put(b.ctx, b.kind, "over", 0, strings.Repeat("x", 1<<20))
	b.True(errors.Is(err, keeper.ErrRefused))
}

func largePages(b bench) {
	value := `"` + strings.Repeat("x", 1<<20-2) + `"`
	for i := range 9 {
		b.put(fmt.Sprintf("n%d", i), 0, value)
	}
	all, err := b.client.All(b.ctx, b.kind)
	b.NoErr(err)
	b.Equal(len(all), 9)
	seen, after := 0, uint64(0)
	for seen < 9 {
		p, err := b.client.Watch(b.ctx, b.kind, after, 0)
		b.NoErr(err)
		b.True(len(p.Items) > 0)
		seen += len(p.Items)
		after = p.Version
		b.Equal(p.More, seen < 9)
	}
	b.Equal(seen, 9) // each once
}

func names(b bench) {
	for _, name := range []string{"a b", "a/b", "å?&=%", "billet-db-1"} {
		b.put(name, 0, `1`)
		got, err := b.client.Get(b.ctx, b.kind, name)
		b.NoErr(err)
		b.Equal(got.Name, name)
	}
}

// cutter drops the answer of each change after it has taken effect.
type cutter struct{ next http.RoundTripper }

func (c cutter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err != nil || r.Method == http.MethodGet {
		return resp, err
	}
	resp.Body.Close()
	return nil, errors.New("connection reset")
}

// Symptom: an operator is told that a change failed, and it is in force.
// Sequence: the platform stores it, the connection breaks before the answer.
// Cause: the error of the broken connection was taken for "no effect".
func lostAnswer(b bench) {
	b.client.Transport = cutter{&http.Transport{}}
	_, err := b.client.Put(b.ctx, b.kind, "a", 0, 1)
	b.True(errors.Is(err, keeper.ErrLost))
	o, err := b.client.Get(b.ctx, b.kind, "a")
	b.NoErr(err)
	b.True(errors.Is(b.client.Delete(b.ctx, b.kind, "a", o.Version), keeper.ErrLost))
	_, err = b.client.Get(b.ctx, b.kind, "a")
	b.True(errors.Is(err, keeper.ErrMissing))
}

func instances(b bench) {
	all, err := b.client.Instances(b.ctx, "")
	b.NoErr(err)
	for _, i := range all {
		b.True(i.State == "live" || i.State == "leaving")
	}
	none, err := b.client.Instances(b.ctx, b.kind)
	b.NoErr(err)
	b.Equal(len(none), 0)
}
