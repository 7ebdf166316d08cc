package carrier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/versioner"
)

// Guards against a process of a large fleet that keeps a pool, an admission queue and a log
// line for each upstream of every group, though it is a gateway of few groups, and that wakes
// all groups for a change of one upstream.
func TestWorkIsProportionalToOwnGroups(t *testing.T) {
	for _, groups := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(groups), func(t *testing.T) {
			is := is.New(t)
			own := []string{"g1", "g2", "g3"}
			core, logs := observer.New(zapcore.InfoLevel)
			c := &Registry{Now: time.Now, Log: zap.New(core), ConnectionShares: func(limits map[string]int, _ int) map[string]int {
				out := map[string]int{}
				for name := range limits {
					if slices.Contains(own, name) {
						out[name] = 8
					}
				}
				return out
			}}
			var settings []cataloger.GroupSettings
			var list []cataloger.Upstream
			for i := range groups {
				name := fmt.Sprint("g", i)
				settings = append(settings, cataloger.GroupSettings{Name: name, MaxConnections: 269})
				for j := range 3 {
					list = append(list, cataloger.Upstream{ID: fmt.Sprint("i-", i, "-", j), Group: name, Version: versioner.Version{Revision: uint64(3*i + j + 1)}})
				}
			}
			c.SetUpstreams(list)
			is.Equal(len(c.Gateways()), 0) // its shares are not known yet
			c.DivideConnections(groups, settings)
			is.Equal(len(c.Gateways()), len(own))
			is.True(logs.Len() <= 3*len(own))

			pools := 0
			waiting := map[string]<-chan struct{}{}
			for _, g := range c.Groups() {
				waiting[g.name] = g.changed
				for _, u := range g.upstreams {
					if u.pool != nil {
						pools++
					}
				}
			}
			is.Equal(pools, 3*len(own))

			list = slices.Clone(list)
			list[4].Version.Revision += 10_000
			c.SetUpstreams(list)
			woken := 0
			for _, g := range c.Groups() {
				select {
				case <-waiting[g.name]:
					woken++
				default:
				}
			}
			is.Equal(woken, 1)
		})
	}
}
