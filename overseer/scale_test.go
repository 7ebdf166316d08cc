package overseer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
)

// Guards against a control loop whose checks grow with the fleet: 20 times a second it checked
// each of 1,000 groups, and for each looked at the states of all live peers.
func TestTickChecksOnlyOwnGroups(t *testing.T) {
	for _, groups := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			is := is.New(t)
			own := []string{"g1", "g2", "g3"}
			c := &carrier.Registry{Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(limits map[string]int, _ int) map[string]int {
				out := map[string]int{}
				for name := range limits {
					if slices.Contains(own, name) {
						out[name] = 8
					}
				}
				return out
			}}
			var settings []cataloger.GroupSettings
			for i := range groups {
				settings = append(settings, cataloger.GroupSettings{Name: fmt.Sprint("g", i), MaxConnections: 269})
			}
			c.DivideConnections(groups, settings)
			o := &Overseer{
				Name: "self", Gateways: c.Gateways, LivePeers: func() []gossiper.Peer { return nil },
				Leaving: func() bool { return false }, Now: time.Now, Log: zap.NewNop(), groups: map[string]*group{},
			}
			is.True(o.tick(t.Context(), time.Now()))
			is.Equal(len(o.groups), len(own))
			is.Equal(len(o.States()), len(own))

			own = own[:1]
			c.DivideConnections(groups, settings)
			is.True(o.tick(t.Context(), time.Now()))
			is.Equal(len(o.States()), len(own))
		})
	}
}

// Of the live peers only those count for a group that report on it, whether they are gateways
// or hold the lease.
func TestPeersAreIndexedByGroup(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &carrier.Registry{Now: time.Now, Log: zap.NewNop()}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g"}, {Name: "h"}})
	g, _ := c.Group("g")
	gateway, holder := peer("a", now, gossiper.GroupState{IsGateway: true}), peer("b", now, gossiper.GroupState{Token: 3})
	other := gossiper.Peer{State: gossiper.State{Name: "c", Groups: map[string]gossiper.GroupState{"h": {IsGateway: true}}}}
	is.Equal(peersByGroup([]gossiper.Peer{gateway, other, holder}, []*group{{carrierGroup: g}}), map[string][]gossiper.Peer{"g": {gateway, holder}})
}
