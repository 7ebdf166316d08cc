package throttler

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"basildale.example/basildale/cataloger"
)

// Guards against datagrams that break a process: whatever decodes is handled by a process of
// either rule, which then still grants no more than it has.
func FuzzReceive(f *testing.F) {
	self := NewID("a")
	for _, m := range []Message{
		{Kind: Request, From: 2, To: self, ID: 1, Workspace: "w", Fleet: 1 << 31, Span: -time.Hour},
		{Kind: Request, From: 2, To: self, ID: 2, Workspace: "unknown", Fleet: -1, Span: math.MaxInt64},
		{Kind: Credit, From: 2, To: self, Shard: 7, Fleet: 1, Span: math.MaxInt64, OwnerClock: 1, ClockAge: math.MinInt64},
		{Kind: Claim, From: 2, To: self, Shard: 3, OwnerClock: math.MinInt64},
		{Kind: CreditAck, From: 2, To: self, OwnerClock: -1, Leaving: true},
		{Kind: Reply, From: 2, To: self, Verdict: Verdict{RetryAfter: math.MinInt64}},
	} {
		b, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	quota := func(name string) *cataloger.Quota {
		if name == "w" {
			return &small
		}
		return nil
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		m.To = self
		for _, ranked := range []bool{false, true} {
			now := time.Unix(1000, 0)
			n := rankedNode(now)
			n.Ranked = ranked
			n.SetFleet(Member{Name: "a"}, []Member{{Name: "b"}}, 2, now)
			inquiry := Inquiry{Ask: Ask{Workspace: "w", Quota: small, Rank: 1, Left: time.Second}, Until: now.Add(time.Second), NewID: func() uint64 { return m.ID }}
			inquiry.Step(n, now)
			inquiry.Reply(&m, now)
			for range 3 {
				n.Receive(&m, netip.AddrPort{}, quota, now)
				now = now.Add(CreditInterval)
				n.Tick(now)
				inquiry.Step(n, now)
			}
			allowed := (large.Rate*tolerance.Window.Seconds()+large.Burst)*(1+tolerance.Excess) + tolerance.Slack
			if granted := takeAll(n, 1, now); float64(granted) > allowed {
				t.Fatalf("%d tokens granted", granted)
			}
		}
	})
}
