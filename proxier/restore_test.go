package proxier

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/platform/faker"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// leaseEra returns the era in which the lease of the group was taken, and zero if nobody holds
// it.
func (f *fleet) leaseEra() uint64 {
	m := f.leaseHolder()
	if m == nil {
		return 0
	}
	return m.overseer.States()["billet"].Token / replacer.TokenBlockSize >> 40
}

func (f *fleet) haveRoute(database string) bool {
	for _, m := range f.proxies {
		if _, ok := m.View().Route(database); !ok {
			return false
		}
	}
	return true
}

// allEnrolled reports whether the store has the entries of all processes.
func (f *fleet) allEnrolled() bool {
	listed, err := f.proxies[0].store.All(context.Background(), proxiesKind)
	return err == nil && len(listed) == len(f.proxies)
}

// Guards against a fleet that, after a restore of the store, goes back to an older
// configuration, keeps leases that the store does not know, or is missing from the store's
// list.
func TestFleetSurvivesStoreRestore(t *testing.T) {
	for _, restores := range []int{1, 2} {
		is := is.New(t)
		f := newFleetWith(t, &faker.Platform{Era: 1}, 3)
		is.Equal(f.leaseEra(), uint64(1))
		f.platform.Route("extra", "billet", "primary", 0)
		f.waitFor("the route", func() bool { return f.haveRoute("extra") })
		for range restores {
			f.platform.Restore(0) // nothing that was written remains
		}
		era := uint64(1 + restores)
		f.waitFor("the lease of this era", func() bool { return f.leaseEra() == era })
		is.True(f.haveRoute("extra"))
		is.Equal(f.dial(f.proxies[1], "extra").askRow("READ seat"), "none")
		f.start(3) // the store has no configuration, the others have one
		f.waitFor("the configuration of the peers", func() bool { return f.haveRoute("extra") })
		f.platform.Rewrite()
		f.waitFor("all entries", f.allEnrolled)
		for _, m := range f.proxies[:3] {
			is.True(m.fleetSize() >= 3) // the size of the fleet does not depend on the store's list
		}
		f.platform.Route("more", "billet", "primary", 0)
		f.waitFor("the next configuration", func() bool { return f.haveRoute("more") })
		c := f.dial(f.proxies[0], "more")
		f.waitFor("a write", func() bool { return c.ask("WRITE seat anna").code == "" })
	}
}

// Guards against a process that stays alone because it started while the restored store listed
// nobody: it knows only itself, and the others learn of it from the list alone.
func TestProcessThatStartsAfterRestoreIsFound(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	m := f.proxies[0]
	is.Equal(m.fleetSize(), 1)
	ctx := context.Background()
	entry := proxyEntry{Zone: "zone-1", GossipAddr: netip.MustParseAddrPort("127.0.0.1:9"), GatewayAddr: netip.MustParseAddrPort("127.0.0.1:9"), Start: 1}
	_, err := m.store.Put(ctx, proxiesKind, "proxy-alone", 0, entry)
	is.NoErr(err)
	is.NoErr(m.rewriteEntry(ctx))
	is.Equal(m.fleetSize(), 2)
}

// Guards against an own entry that a call made before the restore deletes late.
func TestOwnEntryIsCheckedTwicePerEra(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	check := entryCheck{era: 1}
	is.True(!check.isDue(1, now.Add(time.Hour)))
	is.True(check.isDue(2, now))
	is.True(check.isNewEra(2))
	check.recordChecked(2, now)
	is.True(!check.isDue(2, now.Add(entryRecheckDelay-time.Second)))
	is.True(check.isDue(2, now.Add(entryRecheckDelay)))
	is.True(!check.isNewEra(2))
	check.recordChecked(2, now.Add(entryRecheckDelay))
	is.True(!check.isDue(2, now.Add(time.Hour)))
	is.True(check.isDue(4, now)) // two restores
}

// Guards against changes that are skipped because a restored store assigns their revisions
// again.
func TestChangesAtReusedRevisionsAreApplied(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, &faker.Platform{Era: 1}, 2)
	early := f.platform.Revision()
	for range 40 {
		f.platform.Write("others", "counter", f.platform.Revision())
	}
	leaving := f.group.Replicas()[0]
	leaving.Crash()
	is.NoErr(leaving.Return()) // its entry has a late revision
	f.platform.Route("extra", "billet", "primary", 0)
	f.waitFor("the route", func() bool { return f.haveRoute("extra") })
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
		f.waitFor("the upstream that leaves", func() bool {
			g, ok := m.carrier.Group("billet")
			if !ok {
				return false
			}
			for _, upstream := range g.Observe().Upstreams {
				if upstream.ID == leaving.ID {
					return upstream.Leaving
				}
			}
			return false
		})
	}
	f.platform.Unroute("extra")
	f.waitFor("no route", func() bool { return !f.haveRoute("extra") })
	is.True(f.haveRoute("seats"))
}

// Guards against statements that are refused while the upstreams write their entries again.
func TestUpstreamsLostByRestoreStayInUse(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, &faker.Platform{Era: 1}, 2)
	c := f.dial(f.proxies[0], "seats")
	is.Equal(c.ask("WRITE seat anna").code, "")
	f.platform.Restore(0)
	f.waitFor("the later era", func() bool {
		complete, _ := f.proxies[0].cache.completeVersion()
		return complete.Era == 2
	})
	for range 50 {
		is.Equal(c.askRow("READ seat"), "anna")
	}
	f.platform.Rewrite()
	unlisted := func() int {
		cache := f.proxies[0].cache
		cache.mu.Lock()
		defer cache.mu.Unlock()
		return len(cache.catalog.FromEarlierEra())
	}
	f.waitFor("listed again", func() bool { return unlisted() == 0 })
	is.Equal(c.askRow("READ seat"), "anna")
}

// Guards against upstreams that are kept forever although they are no longer listed.
func TestUnlistedUpstreamsAreDropped(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.replaceUpstreams([]keeper.Object{upstreamObject("huvo", "i-1", 1), upstreamObject("huvo", "i-2", 2)}, atRevision(3))
	is.Equal(len(usableUpstreams(cache)), 2)
	listed := upstreamObject("huvo", "i-1", 1)
	listed.Era = 1
	cache.replaceUpstreams([]keeper.Object{listed}, versioner.Version{Era: 1, Revision: 1})
	now := bootClock()
	cache.expireUnlisted(now)
	is.Equal(len(usableUpstreams(cache)), 2)
	cache.expireUnlisted(now.Add(rewriteTimeout + time.Second))
	is.Equal(usableUpstreams(cache), []string{"i-1"})
}
