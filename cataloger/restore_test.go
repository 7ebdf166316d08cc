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

func versionIn(era, revision uint64) versioner.Version {
	return versioner.Version{Era: era, Revision: revision}
}

func upstreamIDs(c *Catalog) []string {
	var out []string
	for _, u := range c.Upstreams() {
		out = append(out, u.ID)
	}
	return out
}

// Guards against ignoring entries that were written again at lower revisions after a
// restore.
func TestEntriesOfLaterEraReplaceHigherRevisions(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: versionIn(1, 40), Slots: 3}}, versionIn(1, 50))
	is.True(c.Replace([]Upstream{{ID: "a", Version: versionIn(2, 31), Slots: 5}, {ID: "b", Version: versionIn(2, 32)}}, versionIn(2, 33)))
	is.Equal(upstreamIDs(&c), []string{"a", "b"})
	is.Equal(c.Upstreams()[0].Slots, 5)
	is.True(c.Put(Upstream{ID: "a", Version: versionIn(2, 40), Slots: 4})) // the revision was used before the restore
}

// Guards against live upstreams that are hidden by a removal of an earlier era.
func TestRemovalsOfEarlierEraAreIgnored(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: versionIn(1, 3)}}, versionIn(1, 10))
	c.Remove("a", versionIn(1, 20))
	is.True(c.Replace([]Upstream{{ID: "a", Version: versionIn(2, 15)}}, versionIn(2, 16)))
	is.Equal(upstreamIDs(&c), []string{"a"})
}

// Guards against a process that sends others the state from before a restore.
func TestLowerRevisionOfLaterEraIsNewer(t *testing.T) {
	is := is.New(t)
	var before, after Catalog
	list := []Upstream{{ID: "a", Version: versionIn(1, 40)}, {ID: "b", Version: versionIn(1, 41)}}
	before.Replace(list, versionIn(1, 90))
	after.Replace(list, versionIn(1, 50))
	after.Replace([]Upstream{{ID: "a", Version: versionIn(2, 31)}, {ID: "b", Version: versionIn(2, 32)}}, versionIn(2, 33))
	is.True(!after.NeedsUpdate(before.CompleteVersion(), before.Digest()))
	is.True(before.NeedsUpdate(after.CompleteVersion(), after.Digest()))
	is.True(!after.Merge(before.ChangesSince(versionIn(1, 50), after.Digest())))
	is.True(before.Merge(after.ChangesSince(before.CompleteVersion(), before.Digest())))
	is.Equal(before.Digest(), after.Digest())
	is.Equal(before.Upstreams(), after.Upstreams())
}

// Guards against losing all upstreams that are missing from the restored copy, and
// against keeping those that no longer exist.
func TestEntriesMissingAfterRestoreAreKeptUntilExpire(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: versionIn(1, 3)}, {ID: "b", Version: versionIn(1, 40)}, {ID: "c", Version: versionIn(1, 41)}}, versionIn(1, 50))
	is.True(c.Replace([]Upstream{{ID: "a", Version: versionIn(2, 3)}}, versionIn(2, 30)))
	is.Equal(upstreamIDs(&c), []string{"a", "b", "c"})
	is.Equal(c.FromEarlierEra(), []string{"b", "c"})
	is.True(c.Put(Upstream{ID: "b", Version: versionIn(2, 31)})) // it has written its entry again
	is.Equal(c.Expire(1), nil)                                   // an earlier restore
	is.Equal(c.Expire(2), []string{"c"})
	is.Equal(upstreamIDs(&c), []string{"a", "b"})
	is.True(!c.Put(Upstream{ID: "c", Version: versionIn(2, 9)}))
	is.True(c.Put(Upstream{ID: "c", Version: versionIn(2, 60)})) // it wrote its entry late
}

// Guards against work for an upstream that has reported that it leaves, or for an
// incarnation that has ended.
func TestRestoredEntryKeepsLaterState(t *testing.T) {
	is := is.New(t)
	firstStart := time.UnixMilli(1_000)
	restart := time.UnixMilli(9_000)
	var c Catalog
	c.Replace([]Upstream{
		{ID: "leaves", Version: versionIn(1, 40), Born: firstStart, Leaving: true},
		{ID: "restarted", Version: versionIn(1, 41), Born: restart, Slots: 5},
		{ID: "anew", Version: versionIn(1, 42), Born: firstStart, Leaving: true},
	}, versionIn(1, 50))
	c.Replace([]Upstream{
		{ID: "leaves", Version: versionIn(2, 3), Born: firstStart},
		{ID: "restarted", Version: versionIn(2, 4), Born: firstStart, Slots: 3},
		{ID: "anew", Version: versionIn(2, 5), Born: restart},
	}, versionIn(2, 30))
	entries := c.Upstreams()
	is.Equal(entries[0], Upstream{ID: "anew", Version: versionIn(2, 5), Born: restart})
	is.Equal(entries[1], Upstream{ID: "leaves", Version: versionIn(2, 3), Born: firstStart, Leaving: true})
	is.Equal(entries[2], Upstream{ID: "restarted", Version: versionIn(2, 4), Born: restart, Slots: 5})
	is.True(c.Put(Upstream{ID: "leaves", Version: versionIn(2, 31), Born: firstStart})) // its own report
	is.True(!c.Upstreams()[1].Leaving)
}

// restoredStore is a store that is restored from time to time, and the catalogs of
// processes.
type restoredStore struct {
	era, revision uint64
	entries       map[string]Upstream
	log           []change
	written       map[string]Upstream // what each live upstream last wrote
	procs         []*process
	rng           *rand.Rand
}

type change struct {
	revision uint64
	upstream Upstream
	deleted  bool
}

// process is a catalog that lists, watches or syncs from others.
type process struct {
	Catalog
	watched versioner.Version
}

func newRestoredStore(rng *rand.Rand) *restoredStore {
	s := &restoredStore{era: 1, entries: map[string]Upstream{}, written: map[string]Upstream{}, rng: rng}
	for range 3 {
		s.procs = append(s.procs, &process{})
	}
	return s
}

func (s *restoredStore) put(u Upstream) {
	s.revision++
	u.Version = versionIn(0, s.revision)
	s.entries[u.ID] = u
	s.written[u.ID] = u
	s.log = append(s.log, change{s.revision, u, false})
}

func (s *restoredStore) randomID() string { return string('a' + rune(s.rng.IntN(5))) }

func (s *restoredStore) randomProcess() *process { return s.procs[s.rng.IntN(len(s.procs))] }

// steps returns the possible steps; a step that is listed twice is drawn twice as
// often.
func (s *restoredStore) steps() []func() {
	return []func(){
		s.write, s.write, s.remove, s.list, s.list, s.watch, s.watch, s.syncFromPeer, s.syncFromPeer, s.rewrite,
	}
}

func (s *restoredStore) write() { s.put(Upstream{ID: s.randomID(), Slots: 1 + s.rng.IntN(9)}) }

func (s *restoredStore) remove() {
	id := s.randomID()
	delete(s.written, id)
	if u, ok := s.entries[id]; ok {
		s.revision++
		delete(s.entries, id)
		s.log = append(s.log, change{s.revision, u, true})
	}
}

// inEra returns an entry with the current era, as the store sends it.
func (s *restoredStore) inEra(u Upstream) Upstream {
	u.Version.Era = s.era
	return u
}

func (s *restoredStore) list() {
	p := s.randomProcess()
	var list []Upstream
	for _, u := range s.entries {
		list = append(list, s.inEra(u))
	}
	p.Replace(list, versionIn(s.era, s.revision))
	p.watched = p.watched.Max(versionIn(s.era, s.revision))
}

func (s *restoredStore) watch() {
	p := s.randomProcess()
	if p.watched.Era != s.era {
		return // it has to list first
	}
	for _, c := range s.log {
		switch {
		case c.revision <= p.watched.Revision:
		case c.deleted:
			p.Remove(c.upstream.ID, s.inEra(c.upstream).Version)
		default:
			p.Put(s.inEra(c.upstream))
		}
	}
	p.watched = versionIn(s.era, s.revision)
	p.Advance(p.watched)
}

func (s *restoredStore) syncFromPeer() {
	p, from := s.randomProcess(), s.randomProcess()
	if p.NeedsUpdate(from.CompleteVersion(), from.Digest()) {
		p.Merge(from.ChangesSince(p.CompleteVersion(), p.Digest()))
	}
}

// rewrite lets the live upstreams write the entries that a restore has lost, and
// removes those of the others.
func (s *restoredStore) rewrite() {
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		u, alive := s.written[id]
		if entry, ok := s.entries[id]; alive && (!ok || entry.Slots != u.Slots) {
			s.put(u)
		}
		if _, ok := s.entries[id]; ok && !alive {
			s.removeEntry(id)
		}
	}
}

func (s *restoredStore) removeEntry(id string) {
	s.revision++
	s.log = append(s.log, change{s.revision, s.entries[id], true})
	delete(s.entries, id)
}

// restore sets the store back to a random revision up to the current one.
func (s *restoredStore) restore() {
	s.era++
	s.revision = uint64(s.rng.Int64N(int64(s.revision) + 1))
	i := slices.IndexFunc(s.log, func(c change) bool { return c.revision > s.revision })
	if i >= 0 {
		s.log = s.log[:i:i]
	}
	s.entries = map[string]Upstream{}
	for _, c := range s.log {
		if c.deleted {
			delete(s.entries, c.upstream.ID)
		} else {
			s.entries[c.upstream.ID] = c.upstream
		}
	}
}

// converge lets the upstreams write again and all processes sync, and returns what is
// wrong then, or an empty string.
func (s *restoredStore) converge() string {
	s.rewrite()
	reader := s.procs[0]
	var list []Upstream
	for _, u := range s.entries {
		list = append(list, s.inEra(u))
	}
	reader.Replace(list, versionIn(s.era, s.revision))
	for _, p := range s.procs[1:] {
		if p.NeedsUpdate(reader.CompleteVersion(), reader.Digest()) {
			p.Merge(reader.ChangesSince(p.CompleteVersion(), p.Digest()))
		}
	}
	for i, p := range s.procs {
		p.Expire(s.era)
		if p.CompleteVersion().Era != s.era && p.Digest() != reader.Digest() {
			return fmt.Sprintf("process %d stays in era %d", i, p.CompleteVersion().Era)
		}
		if len(p.Upstreams()) != len(s.entries) {
			return fmt.Sprintf("process %d knows %v of %d", i, upstreamIDs(&p.Catalog), len(s.entries))
		}
		for _, u := range p.Upstreams() {
			if u.Slots != s.entries[u.ID].Slots {
				return fmt.Sprintf("process %d has an old entry of %s", i, u.ID)
			}
		}
		if p.Digest() != reader.Digest() {
			return fmt.Sprintf("process %d has another digest", i)
		}
	}
	return ""
}

// Guards against catalogs that differ from a restored store for good.
func TestCatalogsConvergeAfterRestores(t *testing.T) {
	const histories = 20_000
	is := is.New(t)
	names := len(newRestoredStore(rand.New(rand.NewPCG(0, 0))).steps())
	for pair := range names * names { // each step before and after one restore, and two restores
		for restores := 1; restores <= 2; restores++ {
			s := newRestoredStore(rand.New(rand.NewPCG(uint64(pair), uint64(restores))))
			for range 6 {
				s.steps()[s.rng.IntN(names)]()
			}
			s.steps()[pair/names]()
			for range restores {
				s.restore()
			}
			s.steps()[pair%names]()
			is.Equal(s.converge(), "")
		}
	}
	for seed := range uint64(histories) {
		s := newRestoredStore(rand.New(rand.NewPCG(seed, 31)))
		for range 3 + s.rng.IntN(25) {
			if s.rng.IntN(8) == 0 {
				s.restore()
				continue
			}
			s.steps()[s.rng.IntN(names)]()
		}
		if wrong := s.converge(); wrong != "" {
			t.Fatalf("history %d: %s", seed, wrong)
		}
	}
}
