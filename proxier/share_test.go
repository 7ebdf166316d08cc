package proxier

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
)

// of returns the i-th of n proxies in three zones, which knows all others.
func of(i, n int) *Proxier {
	p := &Proxier{began: bootClock(), Settings: loader.Settings{Name: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%3)}, gossip: &gossiper.Gossiper{Now: bootClock}}
	p.learned.Store(true)
	for j := range n {
		if j != i {
			p.gossip.AddListed(gossiper.State{Name: fmt.Sprint("p", j), Zone: fmt.Sprint("z", j%3)})
		}
	}
	return p
}

// Symptom: an upstream refuses connections, or some proxies have none and nobody
// carries for them. Sequence: a fleet of any size divides the connections. Cause:
// the parts add up to more than there are, or all of them are nothing.
func TestSharesNeverAddUpToMore(t *testing.T) {
	for _, test := range []struct{ proxies, most, carriers int }{
		{9, 30, 9},   // three each
		{9, 56, 9},   // six each
		{68, 162, 6}, // 21 each
		{74, 49, 6},  // eight each
		{300, 49, 6},
		{20, 10, 1},
	} {
		t.Run(fmt.Sprintf("%d proxies, %d connections", test.proxies, test.most), func(t *testing.T) {
			is := is.New(t)
			total, carriers := 0, 0
			zones := map[string]int{}
			for i := range test.proxies {
				p := of(i, test.proxies)
				n := p.shares(map[string]int{"billet": test.most}, test.proxies)["billet"]
				total += n
				if n > 0 {
					carriers++
					zones[p.Settings.Zone]++
				}
			}
			is.True(total <= test.most)
			is.Equal(carriers, test.carriers)
			if carriers >= 3 {
				is.True(zones["z0"] > 0)
				is.True(zones["z1"] > 0)
				is.True(zones["z2"] > 0) // each zone has some
			}
		})
	}
}

// Symptom: a process that is cut off from all others refuses everything for most
// groups, though it reaches their upstreams. Sequence: few processes carry for each
// group; a partition leaves it with none of them. Cause: it has no connections, and
// nobody to ask.
func TestAProcessThatIsCutOffHasConnectionsOfItsOwn(t *testing.T) {
	is := is.New(t)
	carriers, alone := 0, 0
	for i := range 68 {
		p := of(i, 68)
		p.forward = &forwarder.Forwarder{}
		before := p.shares(map[string]int{"billet": 162}, 68)["billet"]
		p.began = bootClock().Add(-2 * acquainted) // it has had time to hear of others, and hears nobody
		after := p.shares(map[string]int{"billet": 162}, 68)["billet"]
		if before > 0 {
			carriers++
			is.Equal(after, before)
			continue
		}
		alone++
		is.Equal(after, aloneShare)
	}
	is.Equal(carriers, 6)
	is.Equal(alone, 62)
}

// Symptom: after a loss of power everywhere, while the store is slow, upstreams have no
// room for most processes, and these offer their statements to others that refuse them.
// Sequence: a process has its configuration, and hasn't learned of the others. Cause:
// it takes itself for the whole fleet, or for one that carries.
func TestAProcessThatKnowsNobodyTakesLittle(t *testing.T) {
	is := is.New(t)
	p := of(0, 2)
	p.learned.Store(false)
	is.Equal(p.shares(map[string]int{"billet": 49}, 2)["billet"], 0) // its peers' list is on its way
	p.began = bootClock().Add(-2 * learning)
	is.Equal(p.shares(map[string]int{"billet": 49}, 2)["billet"], aloneShare)
	p.began = bootClock().Add(-2 * unlearned)
	is.Equal(p.shares(map[string]int{"billet": 49}, 2)["billet"], 24) // by then it has heard of all that live
}

// Symptom: after a loss of power everywhere statements are offered to processes that
// don't carry. Sequence: each process that starts takes a connection to each upstream
// and tells its peers that it carries; a tenth of a second after it has learned of
// them it divides anew. Cause: what is learned waits for the next look.
func TestConnectionsAreDividedAsPeersAreLearned(t *testing.T) {
	is := is.New(t)
	p := of(0, 68)
	p.introduced = make(chan struct{}, 1)
	p.Log = zap.NewNop()
	p.carrier = &carrier.Registry{Now: bootClock, Log: p.Log, ConnectionShares: p.shares}
	p.holdings = &holdings{carrier: p.carrier, proxies: p.proxies, log: p.Log}
	p.learned.Store(false)
	p.began = bootClock().Add(-2 * learning)
	p.holdings.configure(cataloger.Config{Version: 1, Groups: []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}}}, "test")
	p.holdings.upstreams(nil, at(1))
	p.carrier.Apply([]cataloger.Upstream{{ID: "a", Group: "g"}})
	g, _ := p.carrier.Group("g")
	is.True(g.IsGateway()) // it doesn't know its peers
	p.learned.Store(true)
	p.introduced <- struct{}{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for len(p.introduced) > 0 { // select draws at random which of the two it takes
			p.keepUp(ctx)
		}
	})
	is.True(!g.IsGateway()) // six others do
}

// Symptom: callers of a large fleet are refused, or served late, in the first seconds.
// Sequence: a process that doesn't carry for a group has heard one of those that do, or
// none. Cause: it knows who carries only by their own word.
func TestWhoCarriesIsKnownBeforeItIsHeard(t *testing.T) {
	is := is.New(t)
	const fleet = 195
	names := func(p *Proxier) []string {
		out := []string{}
		for _, c := range p.carriers("billet") {
			is.True(!c.IsFaultKnown)
			out = append(out, c.Name)
		}
		slices.Sort(out)
		return out
	}
	var carriers []string
	for i := range fleet {
		p := of(i, fleet)
		own := p.shares(map[string]int{"billet": 117}, fleet)["billet"] > 0
		known := names(p)
		if own {
			known = append(known, p.Settings.Name)
			slices.Sort(known)
		}
		if carriers == nil {
			carriers = known
		}
		is.Equal(known, carriers) // all know the same six
	}
	is.Equal(len(carriers), 6)
}
