package messenger

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/internal/faker/network"
	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/membership"
)

// TestBytes holds the sizes of the messages that idle peers exchange, from which
// package membership's tests work out the traffic of a fleet.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		self := membership.Member{Addr: testAddr(2), Start: 1_785_000_000_000 << 10, Zone: "vejle-hal"}
		full := []membership.Member{self, self, self, self, self, self, self, self}
		var updates []membership.Member
		b := join(t, &n, 2, Handler{
			Ping: func(context.Context, Peer, Ping) (Ack, error) {
				return Ack{From: self, Digest: 1 << 63, Updates: updates}, nil
			},
			Probe: func(context.Context, Peer, Probe) (Probed, error) { return Probed{OK: true, Target: self}, nil },
			Sync:  func(context.Context, Peer, Sync) (Synced, error) { return Synced{Members: updates}, nil },
		})
		a := join(t, &n, 1, Handler{})
		a.ids.Store(12_345_678)
		var out strings.Builder
		measure := func(name string, method Method, call func(context.Context) error) {
			b.Metrics.UnregisterAll()
			ctx, cancel := within(time.Second)
			defer cancel()
			is.NoErr(call(ctx))
			synctest.Wait()
			asked := metrics.GetOrRegisterCounter("messenger."+string(method)+".in", b.Metrics).Count()
			answered := metrics.GetOrRegisterCounter("messenger."+string(method)+".out", b.Metrics).Count()
			fmt.Fprintf(&out, "%-28s request %4d bytes, answer %4d bytes\n", name, asked, answered)
		}
		ping := func(ctx context.Context) error {
			_, err := a.Ping(ctx, testAddr(2), Ping{From: self, Digest: 1 << 63, Updates: updates})
			return err
		}
		sync := func(ctx context.Context) error {
			_, err := a.Sync(ctx, testAddr(2), Sync{Bucket: 100, Buckets: 256, Digest: 1 << 63})
			return err
		}
		measure("ping", MethodPing, ping)
		measure("sync, equal", MethodSync, sync)
		measure("pingreq", MethodProbe, func(ctx context.Context) error {
			_, err := a.Probe(ctx, testAddr(2), Probe{From: self, Target: self})
			return err
		})
		updates = full
		measure("ping, 8 statements each way", MethodPing, ping)
		measure("sync, 8 members", MethodSync, sync)
		matcher.Golden(t, "testdata/bytes.golden", out.String())
	})
}
