package leaver

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
)

func TestUpstreams(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:5432"), netip.MustParseAddrPort("10.0.0.2:5432")
	list := func(aLeaves bool) ListRead {
		return ListRead{Upstreams: []Upstream{{Addr: a, Group: "g", Leaving: aLeaves}, {Addr: b, Group: "g"}}}
	}
	type step struct {
		at   time.Duration
		ev   UpstreamEvent
		want []UpstreamCommand // without ReadList
	}
	withdraw := []UpstreamCommand{Withdraw{Addr: a, Group: "g"}}
	move := []UpstreamCommand{MovePrimary{Group: "g", From: a}}
	tests := []struct {
		name   string
		guards string // the failure that the case guards against
		steps  []step
	}{
		{"leaves", "An upstream that is leaving gets new work.", []step{
			{0, list(false), nil},
			{time.Second, list(true), withdraw},
			{2 * time.Second, list(true), nil},
		}},
		{"lists of different age", "An upstream is withdrawn and readmitted each second because two readers have lists of different age.", []step{
			{0, list(true), withdraw},
			{time.Second, list(false), nil},
			{2 * time.Second, list(true), nil},
			{6 * time.Second, list(false), nil},
			{7 * time.Second, list(true), nil},
		}},
		{"comes back", "An upstream whose departure was cancelled gets no work.", []step{
			{0, list(true), withdraw},
			{time.Second, list(false), nil},
			{3 * time.Second, list(false), nil},
			{6 * time.Second, list(false), []UpstreamCommand{Readmit{Addr: a, Group: "g"}}},
		}},
		{"list can't be read", "An upstream that is leaving gets work again during an outage of the platform.", []step{
			{0, list(true), withdraw},
			{time.Second, ListFailed{}, nil},
			{time.Minute, ListFailed{}, nil},
			{61 * time.Second, list(true), nil},
		}},
		{"vanishes from the list", "An upstream that has left gets work because it was listed as leaving and then not at all.", []step{
			{0, list(true), withdraw},
			{time.Minute, ListRead{Upstreams: []Upstream{{Addr: b, Group: "g"}}}, nil},
			{11 * time.Minute, ListRead{Upstreams: []Upstream{{Addr: b, Group: "g"}}}, nil},
			{12 * time.Minute, list(false), nil}, // another upstream at its address
		}},
		{"primary leaves", "Writes fail while the primary leaves, or the group is moved twice.", []step{
			{0, PrimaryReported{Group: "g", Addr: a}, nil},
			{time.Second, list(true), withdraw},
			{time.Second, PrimaryReported{Group: "g", Addr: a}, move},
			{2 * time.Second, PrimaryReported{Group: "g", Addr: a}, nil},
			{3 * time.Second, MoveFailed{Group: "g"}, nil},
			{4 * time.Second, PrimaryReported{Group: "g", Addr: a}, move},
			{5 * time.Second, PrimaryReported{Group: "g", Addr: b}, nil},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var u Upstreams
			begin := time.Unix(1_800_000_000, 0)
			for i, s := range tt.steps {
				got := u.Handle(s.ev, begin.Add(s.at))
				if n := len(got); n > 0 && got[n-1] == (ReadList{}) {
					got = got[:n-1]
				}
				if diff := cmp.Diff(s.want, got, cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })); len(got)+len(s.want) > 0 && diff != "" {
					t.Errorf("step %d: %s", i, diff)
				}
			}
		})
	}
}

func TestListIsReadEverySecond(t *testing.T) {
	// Guards against an upstream that still gets new work more than two seconds after the
	// list has it as leaving: when reads fail or are answered late, the next read must not
	// wait for the answer to the last one.
	is := is.New(t)
	var u Upstreams
	now := time.Unix(1_800_000_000, 0)
	reads := 0
	for end := now.Add(time.Minute); now.Before(end); {
		for _, c := range u.Handle(Tick{}, now) {
			if c == (ReadList{}) {
				reads++
			}
		}
		is.True(u.Next().Sub(now) <= time.Second)
		now = u.Next()
	}
	is.Equal(reads, 60)
}
