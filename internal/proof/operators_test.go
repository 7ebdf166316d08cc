package proof

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

// watch notes the version and the preset of each proxy again and again until it
// is stopped, and says where one went back.
type watch struct {
	stop   chan struct{}
	back   chan []string
	rounds atomic.Int64
}

func (f *fleet) watch(order []string) *watch {
	w := &watch{stop: make(chan struct{}), back: make(chan []string, 1)}
	go func() {
		var back []string
		versions, presets := make([]uint64, len(f.proxies)), make([]int, len(f.proxies))
		for {
			for i, p := range f.proxies {
				s := f.status(p)
				if s.Preset == "" {
					continue // it has not answered
				}
				rank := slices.Index(order, s.Preset)
				if s.Version < versions[i] || rank < presets[i] {
					back = append(back, p.name+" went back to "+s.Preset)
				}
				versions[i], presets[i] = s.Version, rank
			}
			w.rounds.Add(1)
			select {
			case <-w.stop:
				w.back <- back
				return
			default:
			}
		}
	}()
	return w
}

// awaitSeen waits until the watch has looked at each proxy once more.
func (f *fleet) awaitSeen(w *watch) {
	f.t.Helper()
	begun := w.rounds.Load()
	f.await("another look at each proxy", func() bool { return w.rounds.Load() > begun+1 })
}

// end returns where a configuration went back.
func (w *watch) end() []string {
	close(w.stop)
	return <-w.back
}

// use puts a preset in force as an operator does, and returns the exit code.
func (f *fleet) use(preset, writer string) (string, int) {
	return command(f.t, "preset", "use", preset, "--platform", f.platform.Addr().String(), "--writer", writer, "--timeout", "2s")
}

func (f *fleet) awaitPreset(name string) {
	f.t.Helper()
	for _, p := range f.proxies {
		f.await("preset "+name+" at "+p.name, func() bool { return f.status(p).Preset == name })
	}
}

// Symptom: a configuration that operators have accepted is in force at some
// proxies only, or is taken back. Sequence: it is changed while the platform is
// slow, loses its answer, or goes down right after, and the primary is lost
// meanwhile; then a proxy is started again while the platform is down. Cause: a
// lost answer taken for a refusal, or an older version taken from somewhere.
func TestAcceptedConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 3})
	w := f.watch([]string{"p0", "p1", "p2", "p3", "p4"})

	f.platform.LoseAnswer()
	out, code := f.use("p1", "anna")
	is.Equal(code, 0) // the change is found by its nonce
	is.True(strings.Contains(out, "active/"+workspace))
	f.awaitPreset("p1")

	f.platform.Slow(200 * time.Millisecond)
	_, code = f.use("p2", "anna")
	is.Equal(code, 0)
	f.platform.Slow(0)
	f.awaitPreset("p2")

	f.platform.Down()
	_, code = f.use("p3", "anna")
	is.Equal(code, 3) // nothing was changed
	old := f.group.Primary()
	term := old.State().Term
	old.Cut(upstream.Cut{Silent: true, Replicas: true})
	f.awaitReplaced(f.proxies[0], term) // without the platform
	f.platform.Up()
	_, code = f.use("p4", "anna")
	is.Equal(code, 0)
	old.Restore()
	f.awaitPreset("p4")
	f.awaitSeen(w)
	is.Equal(w.end(), nil)

	f.platform.Down()
	f.kill(f.proxies[2])
	f.start(f.proxies[2])
	f.awaitPreset("p4") // from its peers

	f.platform.Up()
	w = f.watch([]string{"p0", "p1", "p2", "p3", "p4"})
	f.awaitSeen(w)
	_, code = f.use("p1", "anna")
	is.Equal(code, 0)
	f.awaitPreset("p1")
	f.awaitSeen(w)
	is.True(len(w.end()) > 0) // the watch sees it when a preset goes back
}

// Symptom: two presets in force, or an operator who believes wrongly that his is.
// Sequence: two operators put different presets in force at once, many times.
// Cause: a change that is not made on condition of what was read.
func TestOfTwoOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 2})
	conflicts := 0
	for round := range 8 {
		presets := [2]string{"p1", "p2"}
		if round%2 == 1 {
			presets = [2]string{"p3", "p4"}
		}
		type result struct {
			out  string
			code int
		}
		var results [2]result
		done := make(chan struct{})
		f.platform.Slow(20 * time.Millisecond) // both read before either writes
		for i, writer := range []string{"anna", "bent"} {
			go func() {
				results[i].out, results[i].code = f.use(presets[i], writer)
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		f.platform.Slow(0)
		winner := -1
		for i, r := range results {
			switch r.code {
			case 0:
				winner = i
			case 4:
				conflicts++
				is.True(strings.Contains(r.out, []string{"bent", "anna"}[i])) // names who was first
			default:
				t.Fatal(r.out)
			}
		}
		is.True(winner >= 0) // at least one has won
		if results[0].code != 0 || results[1].code != 0 {
			f.awaitPreset(presets[winner])
		}
	}
	is.True(conflicts > 0) // otherwise nothing was raced
}
