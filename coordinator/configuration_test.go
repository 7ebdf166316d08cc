package coordinator

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/configurator"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/internal/faker/platform"
)

// Symptom: a proxy serves without some of the groups. Sequence: the fleet has more
// objects than one answer of the platform holds; the proxy takes the first page
// for all. Cause: that the answer was cut was not passed on.
func TestWatchPassesOnThatAnAnswerWasCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &Coordinator{Platform: &keeper.Client{
			Addrs:     []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
			Transport: &platform.Transport{Platform: &platform.Platform{}},
		}}
		c.once.Do(c.prepare)
		for i := range keeper.PageItems + 1 {
			_, err := c.Platform.Put(t.Context(), configurator.StoreKind, fmt.Sprintf("pool/p%d", i), 0, 1)
			is.NoErr(err)
		}
		after, total := uint64(0), 0
		for _, more := range []bool{true, false} {
			c.watch(t.Context(), configurator.Watch{Seq: 1, After: after})
			answer := (<-c.events).(controller.Configuration).Event.(configurator.WatchAnswered)
			is.Equal(answer.More, more)
			total += len(answer.Items)
			after = answer.Items[len(answer.Items)-1].Version
		}
		is.Equal(total, keeper.PageItems+1)
	})
}
