package daemon

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/limiter"
)

// Guards against shares of connections that can't be changed any more because another writer
// has replaced their record by one that can't be read: a process that doesn't learn its version
// can't replace it in turn, and one that joins gets no share.
func TestOddRecordOfSharesCanBeReplaced(t *testing.T) {
	is := is.New(t)
	p := &platform.Platform{}
	is.NoErr(p.Start())
	t.Cleanup(func() { is.NoErr(p.Close()) })
	d := &Daemon{Log: zap.NewNop(), platform: &keeper.Client{Addrs: []netip.AddrPort{p.Addr()}}}
	match := uint64(0)
	for _, value := range []any{"bytes", map[string]any{"views": 7}, map[string]any{"views": []any{map[string]any{"seq": 1}, 1e300}}} {
		written, err := d.platform.Put(t.Context(), sharesKind, "billet", match, value)
		is.NoErr(err)
		found, _, err := d.watchShares(t.Context(), match)
		is.NoErr(err)
		is.Equal(len(found), 1)
		is.Equal(found[0].Group, "billet")
		is.Equal(found[0].Version, written.Version)
		is.Equal(found[0].Record, limiter.Record{}) // nothing of what can't be read
		match, err = d.putShares(t.Context(), "billet", limiter.Record{}, found[0].Version)
		is.NoErr(err)
	}
}
