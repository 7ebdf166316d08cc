package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
)

// boundedFleet is a fleet of three gateways, whose answers state their loads when asked.
type boundedFleet struct {
	*fleet
	on     bool
	silent bool           // answers state no loads
	loads  map[string]int // statements of gateways, all of workspace w
	asked  int            // requests that asked for loads
	sent   map[string]int // requests by gateway
}

func newBoundedFleet() *boundedFleet {
	f := &boundedFleet{fleet: newFleet("a", "b", "c"), on: true, loads: map[string]int{}, sent: map[string]int{}}
	f.BoundsLoad = func() bool { return f.on }
	f.Send = func(_ context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
		var r request
		if err := json.Unmarshal(payload, &r); err != nil {
			return nil, err
		}
		if err := f.sendErrors[to]; err != nil {
			return nil, err
		}
		resp := response{Answer: carrier.Answer{Signature: "s"}}
		for _, p := range f.peers {
			if p.GatewayAddr == to {
				f.sent[p.Name]++
			}
			if n := f.loads[p.Name]; r.Loads && !f.silent {
				resp.Loads = append(resp.Loads, gatewayLoad{Name: p.Name, Statements: n, Busy: 100 * n, Uses: map[uint32]int{carrier.WorkspaceID("w"): 100 * n}})
			}
		}
		if r.Loads {
			f.asked++
		}
		return json.Marshal(resp)
	}
	return f
}

// first returns the first gateway in the order of workspace w.
func (f *boundedFleet) first() string {
	g, _ := f.Local("g")
	return f.affinityOrder(g, "w", f.now)[0]
}

// runMany runs statements of workspace w, ten in a tenth of a second, and returns how many went
// to each gateway.
func (f *boundedFleet) runMany(t *testing.T, n int) map[string]int {
	f.sent = map[string]int{}
	for range n {
		if a := f.runForWorkspace("w"); a.Code != carrier.OK {
			t.Error(a.Text)
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	return f.sent
}

// Guards against a workspace that fills its gateway while others are idle, and against asking
// for loads with each statement. A process that is no gateway learns the loads by answers.
func TestLargeWorkspaceGoesToSeveralGateways(t *testing.T) {
	is := is.New(t)
	f := newBoundedFleet()
	first := f.first()
	f.loads[first] = 9
	f.runMany(t, 1)
	used := f.runMany(t, 90)
	is.Equal(len(used), 3)
	is.True(used[first] > 25 && used[first] < 40)
	is.True(f.asked <= 3) // two a second
	is.Equal(f.SpreadWorkspaces(), int64(1))
}

// Guards against a setting that needs a restart: the next statement follows it, and with it off
// the requests have the same bytes as ever.
func TestBoundSwitchedUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newBoundedFleet()
	first := f.first()
	f.loads[first] = 9
	f.runMany(t, 30)
	f.on = false
	asked := f.asked
	is.Equal(f.runMany(t, 90), map[string]int{first: 90})
	is.Equal(f.asked, asked)
	is.Equal(f.SpreadWorkspaces(), int64(0))
	f.on = true
	f.runMany(t, 30)
	is.True(len(f.runMany(t, 30)) > 1)
	payload, err := json.Marshal(request{Action: runOne, Group: "g"})
	is.NoErr(err)
	is.Equal(string(payload), `{"action":1,"group":"g"}`)
}

// Guards against decisions by old loads: without a report for 2 s affinity decides as before.
func TestLostReportsLeaveAffinity(t *testing.T) {
	is := is.New(t)
	f := newBoundedFleet()
	first := f.first()
	f.loads[first] = 9
	f.runMany(t, 30)
	f.silent = true
	f.runMany(t, 220)
	is.Equal(f.runMany(t, 30), map[string]int{first: 30})
}

// Guards against statements that fail because the gateway that was chosen by load has died.
func TestGatewayChosenByLoadDies(t *testing.T) {
	is := is.New(t)
	f := newBoundedFleet()
	first := f.first()
	f.loads[first] = 9
	f.runMany(t, 30)
	for i, p := range f.peers {
		if p.Name != first {
			f.sendErrors[at(byte(i))] = errLost
			break
		}
	}
	is.Equal(len(f.runMany(t, 60)), 2)
}

// Guards against a statement that wanders: a gateway serves what it receives, whatever its own
// load is, and states the loads of all gateways only to a process that asks.
func TestFullGatewayServesWhatItReceives(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	on := true
	c := &carrier.Registry{
		Now: func() time.Time { return now }, Log: zap.NewNop(), Features: func() carrier.Features { return carrier.Features{FairConnections: on} },
		ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 1} },
	}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "u", Group: "g", Leads: true}})
	defer c.Stop()
	c.Dial = func(context.Context, cataloger.Upstream, string) (carrier.Link, error) { return nil, errLost }
	f := &Forwarder{Local: c.Group, Name: "a", Now: func() time.Time { return now }, Log: zap.NewNop(), BoundsLoad: func() bool { return on }}
	f.Gateways = func(string) []Candidate { return []Candidate{{Name: "b", Address: at(1)}} }
	f.Send = func(context.Context, netip.AddrPort, json.RawMessage) (json.RawMessage, error) {
		t.Error("forwarded again")
		return nil, errLost
	}
	serve := func(r request) (resp response) {
		payload, err := json.Marshal(r)
		is.NoErr(err)
		out, err := f.Serve(t.Context(), "x", payload)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(out, &resp))
		return resp
	}
	r := request{Action: runOne, Group: "g", Workspace: "w", Left: 50 * time.Millisecond, Loads: true}
	is.Equal(serve(r).Loads, nil) // so little load that no gateway can be full
	c.SetPeerLoads("b", "g", []gossiper.UpstreamLoad{{ID: "u", Running: 6, Waiting: 1, Rest: 50, Used: []gossiper.WorkspaceUse{{ID: 7, Busy: 900}, {ID: 8, Busy: 50}}}}, now)
	is.Equal(serve(r).Loads, []gatewayLoad{{Name: "a"}, {Name: "b", Statements: 7, Busy: 1000, Uses: map[uint32]int{7: 900}}})
	r.Loads = false
	is.Equal(serve(r).Loads, nil)
	r.Loads, on = true, false
	is.Equal(serve(r).Loads, nil)
}
