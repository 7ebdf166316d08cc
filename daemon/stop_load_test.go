package daemon

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
)

// Symptom: callers lose requests when proxies are replaced. Sequence: two of
// three proxies are drained, one after the other, while callers book, read and
// hold transactions. Cause: sessions ended within a request, or a request that
// crossed the end got no answer that says whether it ran.
func TestStopUnderLoadCutsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, time.Millisecond)
	_, err := f.connect(0, "").Exec(t.Context(), "CREATE TABLE bookings (id text, seat text, session text)")
	is.NoErr(err)
	var addrs []netip.AddrPort
	for _, d := range f.daemons {
		addrs = append(addrs, d.Callers())
	}
	ledger := &checker.Ledger{}
	done := make(chan struct{}, 4000)
	g := generator.Generator{
		Addrs: addrs, User: "kiosk", Password: password, Database: "billet", Rate: 300, Requests: 900,
		Bookings: 0.3, Transactions: 0.1, Sessions: 24, Timeout: 10 * time.Second, Ledger: ledger, Seed: 7,
		Done: func(generator.Event) { done <- struct{}{} },
	}
	go func() {
		for range 200 {
			<-done
		}
		f.daemons[0].Drain()
		for range 200 {
			<-done
		}
		f.daemons[1].Drain()
	}()
	report, err := g.Run(t.Context(), time.Now().Add(time.Minute))
	is.NoErr(err)
	is.NoErr(f.ended(0))
	is.NoErr(f.ended(1))
	is.NoErr(g.Audit(t.Context(), report))
	is.True(report.Audit.Acknowledged > 0)
	is.True(report.Audit.Counts.Zero()) // nothing lost, doubled, stale or cut
	t.Logf("%d acknowledged, %d refused, %d unknown; codes %v", report.Audit.Acknowledged, report.Audit.Refused, report.Audit.Unknown, report.Codes)
}
