package proxier

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

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
			p.gossip.Learn(fmt.Sprint("p", j), fmt.Sprint("z", j%3), netip.AddrPort{})
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
				n := p.share("billet", test.most, test.proxies)
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
		before := p.share("billet", 162, 68)
		p.began = bootClock().Add(-2 * acquainted) // it has had time to hear of others, and hears nobody
		after := p.share("billet", 162, 68)
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
// room for most processes. Sequence: a process has its configuration from a peer and
// hasn't learned of the others. Cause: it takes itself for the whole fleet.
func TestAProcessThatKnowsNobodyTakesLittle(t *testing.T) {
	is := is.New(t)
	p := of(0, 2)
	p.learned.Store(false)
	is.Equal(p.share("billet", 49, 2), aloneShare)
	p.began = bootClock().Add(-2 * unlearned)
	is.Equal(p.share("billet", 49, 2), 24) // by then it has heard of all that live
}
