package proxier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/platform/faker"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// eraOfDuty returns the era that the duty for the group was taken in, and zero where
// nobody has it.
func (f *fleet) eraOfDuty() uint64 {
	holder := f.holder()
	if holder == nil {
		return 0
	}
	return holder.overseer.States()["billet"].Token / replacer.TokenBlockSize >> 40
}

func (f *fleet) serves(database string) bool {
	for _, m := range f.proxies {
		if _, ok := m.View().Route(database); !ok {
			return false
		}
	}
	return true
}

// enrolled reports whether the store has the entries of all processes.
func (f *fleet) enrolled() bool {
	listed, err := f.proxies[0].store.All(context.Background(), proxiesKind)
	return err == nil && len(listed) == len(f.proxies)
}

// Guards against a fleet that goes back to an older configuration, keeps duties that the
// store doesn't know, or is missing from the store's list.
func TestAFleetOutlivesARestoreOfTheStore(t *testing.T) {
	for _, restores := range []int{1, 2} {
		is := is.New(t)
		f := newFleetOn(t, &faker.Platform{Era: 1}, 3)
		is.Equal(f.eraOfDuty(), uint64(1))
		f.platform.Route("extra", "billet", "primary", 0)
		f.until("the route", func() bool { return f.serves("extra") })
		for range restores {
			f.platform.Restore(0) // nothing that anybody wrote is left
		}
		era := uint64(1 + restores)
		f.until("the duty of this era", func() bool { return f.eraOfDuty() == era })
		is.True(f.serves("extra"))
		is.Equal(f.dial(f.proxies[1], "extra").one("READ seat"), "none")
		f.start(3) // the store has no configuration, the others have
		f.until("the configuration of the peers", func() bool { return f.serves("extra") })
		f.platform.Rewrite()
		f.until("all entries", f.enrolled)
		for _, m := range f.proxies[:3] {
			is.True(m.proxies() >= 3) // who is in the fleet doesn't depend on the store's list
		}
		f.platform.Route("more", "billet", "primary", 0)
		f.until("the next configuration", func() bool { return f.serves("more") })
		c := f.dial(f.proxies[0], "more")
		f.until("a write", func() bool { return c.ask("WRITE seat anna").code == "" })
	}
}

// Guards against an entry that a call of before the restore takes away late.
func TestOwnEntriesAreLookedAfterTwiceInAnEra(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	own := enrolment{era: 1}
	is.True(!own.due(1, now.Add(time.Hour)))
	is.True(own.due(2, now))
	is.True(own.first(2))
	own.done(2, now)
	is.True(!own.due(2, now.Add(reenrollAgain-time.Second)))
	is.True(own.due(2, now.Add(reenrollAgain)))
	is.True(!own.first(2))
	own.done(2, now.Add(reenrollAgain))
	is.True(!own.due(2, now.Add(time.Hour)))
	is.True(own.due(4, now)) // two restores
}

// Guards against changes that are skipped because the store has given their revisions out
// before.
func TestChangesAtRevisionsOfAnEarlierEraAreHeardOf(t *testing.T) {
	is := is.New(t)
	f := newFleetOn(t, &faker.Platform{Era: 1}, 2)
	early := f.platform.Revision()
	for range 40 {
		f.platform.Write("others", "counter", f.platform.Revision())
	}
	leaving := f.group.Replicas()[0]
	leaving.Crash()
	is.NoErr(leaving.Return()) // its entry has a late revision
	f.platform.Route("extra", "billet", "primary", 0)
	f.until("the route", func() bool { return f.serves("extra") })
	late := f.platform.Revision()

	f.platform.Away(true)
	f.platform.Restore(early)
	f.platform.Rewrite()
	leaving.Leave()
	for f.platform.Revision() <= late {
		f.platform.Write("others", "counter", f.platform.Revision())
	}
	f.platform.Away(false)
	for _, m := range f.proxies {
		f.until("the upstream that leaves", func() bool {
			g, ok := m.carrier.Group("billet")
			if !ok {
				return false
			}
			for _, member := range g.Observe().Upstreams {
				if member.ID == leaving.ID {
					return member.Leaving
				}
			}
			return false
		})
	}
	f.platform.Unroute("extra")
	f.until("no route", func() bool { return !f.serves("extra") })
	is.True(f.serves("seats"))
}

// Guards against statements that are refused while the upstreams write their entries
// again.
func TestUpstreamsThatARestoreHasLostAreUsed(t *testing.T) {
	is := is.New(t)
	f := newFleetOn(t, &faker.Platform{Era: 1}, 2)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("WRITE seat anna").code, "")
	f.platform.Restore(0)
	f.until("the later era", func() bool {
		complete, _ := f.proxies[0].holdings.entries()
		return complete.Era == 2
	})
	for range 50 {
		is.Equal(c.one("READ seat"), "anna")
	}
	f.platform.Rewrite()
	carried := func() int {
		h := f.proxies[0].holdings
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.catalog.FromEarlierEra())
	}
	f.until("listed again", func() bool { return carried() == 0 })
	is.Equal(c.one("READ seat"), "anna")
}

// Guards against upstreams that are kept for good though nobody lists them any more.
func TestUpstreamsThatStayUnlistedAreDropped(t *testing.T) {
	is := is.New(t)
	h, _ := holding()
	h.upstreams([]keeper.Object{upstreamOf("huvo", "i-1", 1), upstreamOf("huvo", "i-2", 2)}, at(3))
	is.Equal(len(used(h)), 2)
	listed := upstreamOf("huvo", "i-1", 1)
	listed.Era = 1
	h.upstreams([]keeper.Object{listed}, versioner.Version{Era: 1, Revision: 1})
	now := bootClock()
	h.expire(now)
	is.Equal(len(used(h)), 2)
	h.expire(now.Add(rewritten + time.Second))
	is.Equal(used(h), []string{"i-1"})
}
