package marker

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

func run(port uint16, start uint64) Run {
	return Run{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Start: start}
}

func TestRoster(t *testing.T) {
	a, b, c := run(1, 5), run(2, 5), run(3, 5)
	tests := []struct {
		name    string
		runs    []Run
		self    Run
		ended   []netip.AddrPort
		want    []Run
		changed bool
	}{
		{"the first", nil, a, nil, []Run{a}, true},
		{"joins", []Run{a, b}, c, nil, []Run{a, b, c}, true},
		{"nothing new", []Run{a, b}, a, nil, []Run{a, b}, false},
		{"another has ended", []Run{a, b}, a, []netip.AddrPort{b.Address}, []Run{a}, true},
		{"the platform lists this one no more", []Run{a, b}, a, []netip.AddrPort{a.Address}, []Run{a, b}, false},
		{"started again in place", []Run{a, b}, run(1, 6), nil, []Run{b, run(1, 6)}, true},
		{"overtaken by a later run", []Run{b, run(1, 6)}, a, nil, []Run{b, run(1, 6)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Roster{Runs: tt.runs}
			next, changed := r.Next(tt.self, tt.ended)
			is.Equal(next.Runs, tt.want)
			is.Equal(changed, tt.changed)
		})
	}
}

func TestMessagesTravel(t *testing.T) {
	is := is.New(t)
	k := tracker.Key{Tenant: "t", Session: "s", Group: "g"}
	m := tracker.Mark{Term: tracker.Term{Epoch: 2, Seq: 3}, Pos: 4}
	list := []Message{
		Get{1, k},
		Found{2, tracker.Answer{Mark: m, Known: true, Token: 1<<64 - 1}},
		Put{3, k, m},
		Taken{4},
		Complete{k, 5, m},
		Ping{6, 7},
		Pong{8, 9},
	}
	raw, err := Encode(list)
	is.NoErr(err)
	got, err := Decode(raw)
	is.NoErr(err)
	is.Equal(got, list)
	_, err = Decode([]byte(`{"get":`))
	is.True(err != nil)
	got, err = Decode([]byte(`[{"later":{}}]`))
	is.NoErr(err)
	is.Equal(len(got), 0)
}
