package cataloger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/versioner"
)

func in(era, revision uint64) versioner.Version {
	return versioner.Version{Era: era, Revision: revision}
}

func ids(c *Catalog) []string {
	var out []string
	for _, u := range c.Upstreams() {
		out = append(out, u.ID)
	}
	return out
}

// Guards against upstreams that are passed over because their entries were written again
// at lower revisions.
func TestEntriesWrittenAgainAreTaken(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: in(1, 40), Slots: 3}}, in(1, 50))
	is.True(c.Replace([]Upstream{{ID: "a", Version: in(2, 31), Slots: 5}, {ID: "b", Version: in(2, 32)}}, in(2, 33)))
	is.Equal(ids(&c), []string{"a", "b"})
	is.Equal(c.Upstreams()[0].Slots, 5)
	is.True(c.Put(Upstream{ID: "a", Version: in(2, 40), Slots: 4})) // a revision that was given out before
}

// Guards against upstreams that live and are hidden by a removal of an earlier era.
func TestRemovalsOfAnEarlierEraHideNobody(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: in(1, 3)}}, in(1, 10))
	c.Remove("a", in(1, 20))
	is.True(c.Replace([]Upstream{{ID: "a", Version: in(2, 15)}}, in(2, 16)))
	is.Equal(ids(&c), []string{"a"})
}

// Guards against a process that tells others what was true before a restore.
func TestALowerRevisionOfALaterEraIsMoreComplete(t *testing.T) {
	is := is.New(t)
	var before, after Catalog
	list := []Upstream{{ID: "a", Version: in(1, 40)}, {ID: "b", Version: in(1, 41)}}
	before.Replace(list, in(1, 90))
	after.Replace(list, in(1, 50))
	after.Replace([]Upstream{{ID: "a", Version: in(2, 31)}, {ID: "b", Version: in(2, 32)}}, in(2, 33))
	is.True(!after.NeedsUpdate(before.CompleteVersion(), before.Digest()))
	is.True(before.NeedsUpdate(after.CompleteVersion(), after.Digest()))
	is.True(!after.Merge(before.ChangesSince(in(1, 50))))
	is.True(before.Merge(after.ChangesSince(before.CompleteVersion())))
	is.Equal(before.Digest(), after.Digest())
	is.Equal(before.Upstreams(), after.Upstreams())
}

// Guards against a loss of all upstreams that the copy doesn't have, and against keeping
// those that are gone.
func TestWhatARestoredStoreLacksIsCarriedOver(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: in(1, 3)}, {ID: "b", Version: in(1, 40)}, {ID: "c", Version: in(1, 41)}}, in(1, 50))
	is.True(c.Replace([]Upstream{{ID: "a", Version: in(2, 3)}}, in(2, 30)))
	is.Equal(ids(&c), []string{"a", "b", "c"})
	is.Equal(c.FromEarlierEra(), []string{"b", "c"})
	is.True(c.Put(Upstream{ID: "b", Version: in(2, 31)})) // it has written its entry again
	is.Equal(c.Expire(1), nil)                            // of a restore before
	is.Equal(c.Expire(2), []string{"c"})
	is.Equal(ids(&c), []string{"a", "b"})
	is.True(!c.Put(Upstream{ID: "c", Version: in(2, 9)}))
	is.True(c.Put(Upstream{ID: "c", Version: in(2, 60)})) // it was late
}

// Guards against work for an upstream that had said that it leaves, or under an identity
// that it no longer has.
func TestAnOlderEntryTakesNothingBack(t *testing.T) {
	is := is.New(t)
	born := time.UnixMilli(1_000)
	again := time.UnixMilli(9_000)
	var c Catalog
	c.Replace([]Upstream{
		{ID: "leaves", Version: in(1, 40), Born: born, Leaving: true},
		{ID: "restarted", Version: in(1, 41), Born: again, Slots: 5},
		{ID: "anew", Version: in(1, 42), Born: born, Leaving: true},
	}, in(1, 50))
	c.Replace([]Upstream{
		{ID: "leaves", Version: in(2, 3), Born: born},
		{ID: "restarted", Version: in(2, 4), Born: born, Slots: 3},
		{ID: "anew", Version: in(2, 5), Born: again},
	}, in(2, 30))
	held := c.Upstreams()
	is.Equal(held[0], Upstream{ID: "anew", Version: in(2, 5), Born: again})
	is.Equal(held[1], Upstream{ID: "leaves", Version: in(2, 3), Born: born, Leaving: true})
	is.Equal(held[2], Upstream{ID: "restarted", Version: in(2, 4), Born: again, Slots: 5})
	is.True(c.Put(Upstream{ID: "leaves", Version: in(2, 31), Born: born})) // its own word
	is.True(!c.Upstreams()[1].Leaving)
}

// store is a store that is restored now and then, and the catalogs of processes.
type store struct {
	era, revision uint64
	held          map[string]Upstream
	log           []change
	lives         map[string]Upstream // what each upstream that lives last wrote
	procs         []*process
	rng           *rand.Rand
}

type change struct {
	revision uint64
	upstream Upstream
	deleted  bool
}

// process is one that lists, watches or asks others.
type process struct {
	Catalog
	watched versioner.Version
}

func newStore(rng *rand.Rand) *store {
	s := &store{era: 1, held: map[string]Upstream{}, lives: map[string]Upstream{}, rng: rng}
	for range 3 {
		s.procs = append(s.procs, &process{})
	}
	return s
}

func (s *store) put(u Upstream) {
	s.revision++
	u.Version = in(0, s.revision)
	s.held[u.ID] = u
	s.lives[u.ID] = u
	s.log = append(s.log, change{s.revision, u, false})
}

func (s *store) id() string { return string('a' + rune(s.rng.IntN(5))) }

func (s *store) proc() *process { return s.procs[s.rng.IntN(len(s.procs))] }

// steps are what may happen, by name.
func (s *store) steps() []func() {
	return []func(){
		s.write, s.write, s.remove, s.list, s.list, s.watch, s.watch, s.tell, s.tell, s.rewrite,
	}
}

func (s *store) write() { s.put(Upstream{ID: s.id(), Slots: 1 + s.rng.IntN(9)}) }

func (s *store) remove() {
	id := s.id()
	delete(s.lives, id)
	if u, ok := s.held[id]; ok {
		s.revision++
		delete(s.held, id)
		s.log = append(s.log, change{s.revision, u, true})
	}
}

// stamped returns an object as an answer of the present era has it.
func (s *store) stamped(u Upstream) Upstream {
	u.Version.Era = s.era
	return u
}

func (s *store) list() {
	p := s.proc()
	var list []Upstream
	for _, u := range s.held {
		list = append(list, s.stamped(u))
	}
	p.Replace(list, in(s.era, s.revision))
	p.watched = p.watched.Max(in(s.era, s.revision))
}

func (s *store) watch() {
	p := s.proc()
	if p.watched.Era != s.era {
		return // it lists first
	}
	for _, c := range s.log {
		switch {
		case c.revision <= p.watched.Revision:
		case c.deleted:
			p.Remove(c.upstream.ID, s.stamped(c.upstream).Version)
		default:
			p.Put(s.stamped(c.upstream))
		}
	}
	p.watched = in(s.era, s.revision)
	p.Advance(p.watched)
}

func (s *store) tell() {
	p, from := s.proc(), s.proc()
	if p.NeedsUpdate(from.CompleteVersion(), from.Digest()) {
		p.Merge(from.ChangesSince(p.CompleteVersion()))
	}
}

// rewrite has the upstreams that live write what a restore has lost.
func (s *store) rewrite() {
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		u, lives := s.lives[id]
		if held, ok := s.held[id]; lives && (!ok || held.Slots != u.Slots) {
			s.put(u)
		}
		if _, ok := s.held[id]; ok && !lives {
			s.drop(id)
		}
	}
}

func (s *store) drop(id string) {
	s.revision++
	s.log = append(s.log, change{s.revision, s.held[id], true})
	delete(s.held, id)
}

// drill restores the store to a revision that is drawn.
func (s *store) drill() {
	s.era++
	s.revision = uint64(s.rng.Int64N(int64(s.revision) + 1))
	i := slices.IndexFunc(s.log, func(c change) bool { return c.revision > s.revision })
	if i >= 0 {
		s.log = s.log[:i:i]
	}
	s.held = map[string]Upstream{}
	for _, c := range s.log {
		if c.deleted {
			delete(s.held, c.upstream.ID)
		} else {
			s.held[c.upstream.ID] = c.upstream
		}
	}
}

// settle lets the upstreams write again and all processes hear of it, and returns what is
// wrong then; empty if nothing is.
func (s *store) settle() string {
	s.rewrite()
	reader := s.procs[0]
	var list []Upstream
	for _, u := range s.held {
		list = append(list, s.stamped(u))
	}
	reader.Replace(list, in(s.era, s.revision))
	for _, p := range s.procs[1:] {
		if p.NeedsUpdate(reader.CompleteVersion(), reader.Digest()) {
			p.Merge(reader.ChangesSince(p.CompleteVersion()))
		}
	}
	for i, p := range s.procs {
		p.Expire(s.era)
		if p.CompleteVersion().Era != s.era && p.Digest() != reader.Digest() {
			return fmt.Sprintf("process %d stays in era %d", i, p.CompleteVersion().Era)
		}
		if len(p.Upstreams()) != len(s.held) {
			return fmt.Sprintf("process %d knows %v of %d", i, ids(&p.Catalog), len(s.held))
		}
		for _, u := range p.Upstreams() {
			if u.Slots != s.held[u.ID].Slots {
				return fmt.Sprintf("process %d has an old entry of %s", i, u.ID)
			}
		}
		if p.Digest() != reader.Digest() {
			return fmt.Sprintf("process %d has another digest", i)
		}
	}
	return ""
}

// Guards against catalogs that differ from a store that was restored, for good.
func TestCatalogsFollowARestoredStore(t *testing.T) {
	const histories = 20_000
	is := is.New(t)
	names := len(newStore(rand.New(rand.NewPCG(0, 0))).steps())
	for pair := range names * names { // each step before and after one drill, and two
		for drills := 1; drills <= 2; drills++ {
			s := newStore(rand.New(rand.NewPCG(uint64(pair), uint64(drills))))
			for range 6 {
				s.steps()[s.rng.IntN(names)]()
			}
			s.steps()[pair/names]()
			for range drills {
				s.drill()
			}
			s.steps()[pair%names]()
			is.Equal(s.settle(), "")
		}
	}
	for seed := range uint64(histories) {
		s := newStore(rand.New(rand.NewPCG(seed, 31)))
		for range 3 + s.rng.IntN(25) {
			if s.rng.IntN(8) == 0 {
				s.drill()
				continue
			}
			s.steps()[s.rng.IntN(names)]()
		}
		if wrong := s.settle(); wrong != "" {
			t.Fatalf("history %d: %s", seed, wrong)
		}
	}
}
