package overseer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
)

// recordStore is a store with one object.
type recordStore struct {
	revision uint64
	value    json.RawMessage
	writes   int
}

func (s *recordStore) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	status := http.StatusOK
	if req.Method == http.MethodPut {
		var in struct {
			Value json.RawMessage `json:"value"`
		}
		if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
			return nil, err
		}
		if req.Header.Get("If-Match") == strconv.FormatUint(s.revision, 10) {
			s.revision += 7
			s.value = in.Value
			s.writes++
		} else {
			status = http.StatusConflict
		}
	}
	body, err := json.Marshal(keeper.Object{Kind: leaseKind, Name: "g", Version: s.revision, Value: s.value})
	if s.revision == 0 {
		status, body = http.StatusNotFound, []byte(`{}`)
	}
	return &http.Response{StatusCode: status, Header: http.Header{keeper.EraHeader: {"1"}}, Body: io.NopCloser(strings.NewReader(string(body))), Request: req}, err
}

// recordProcess is one process with a group of listed upstreams.
type recordProcess struct {
	*Overseer
	registry *carrier.Registry
	g        *group
	now      time.Time
}

func newRecordProcess(name string, s *recordStore, listed string) *recordProcess {
	p := &recordProcess{now: time.Unix(1000, 0)}
	p.registry = &carrier.Registry{Now: func() time.Time { return p.now }, Log: zap.NewNop()}
	client := &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: s, Rate: 1e9, Burst: 1e9}
	p.Overseer = &Overseer{
		Name: name, Start: 1, Store: client, Era: client.Era, Log: zap.NewNop(), Now: func() time.Time { return p.now },
		Leaving: func() bool { return false }, LivePeers: func() []gossiper.Peer { return nil },
		groups: map[string]*group{}, events: make(chan func(time.Time), 16),
	}
	p.list(listed)
	c, _ := p.registry.Group("g")
	p.g = p.group(c)
	return p
}

// list makes the store list upstreams, named by one letter each.
func (p *recordProcess) list(ids string) {
	var out []cataloger.Upstream
	for _, id := range ids {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", id))
		out = append(out, cataloger.Upstream{ID: string(id), Group: "g", Address: address, Slots: 3, Leads: id == 'a'})
	}
	p.registry.SetUpstreams(out)
}

func (p *recordProcess) claimLease(t *testing.T) {
	t.Helper()
	c := p.claim(context.Background(), "g", p.g.carrierGroup.Roster())
	if c.err != nil {
		t.Fatal(c.err)
	}
	p.onClaimResult(c, p.now)
}

// record writes the roster if it has changed.
func (p *recordProcess) record() {
	p.now = p.now.Add(claimTimeout + 2*recordInterval)
	before := p.g.lease.nextRecord
	p.updateRecord(context.Background(), p.g, p.now)
	if p.g.lease.nextRecord != before {
		(<-p.events)(p.now)
	}
}

// unlisted returns the upstreams that a change of leader must take into account though the
// store doesn't list them.
func (p *recordProcess) unlisted() []string {
	var out []string
	for _, u := range p.g.carrierGroup.Observe().Upstreams {
		if u.Unlisted {
			out = append(out, u.ID)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against lost commits when all processes restart: a replica that is no longer listed
// may have the only confirmed copy, and a holder that does not know of it would replace the
// leader without it.
func TestRestartedHolderKnowsUnlistedReplica(t *testing.T) {
	is := is.New(t)
	s := &recordStore{}
	p := newRecordProcess("p", s, "ab")
	p.claimLease(t)
	p.list("abc")
	p.record()
	p.list("ab")
	p.record()
	is.Equal(p.unlisted(), []string{"c"})
	restarted := newRecordProcess("q", s, "ab")
	is.Equal(len(restarted.unlisted()), 0)
	restarted.claimLease(t)
	is.Equal(restarted.unlisted(), []string{"c"})
	restarted.list("abc")
	is.Equal(len(restarted.unlisted()), 0)
}

// Guards against a group that stays without a leader: a replica that was replaced at its
// address must not count after a restart.
func TestRecordDropsAccountedReplica(t *testing.T) {
	is := is.New(t)
	s := &recordStore{}
	p := newRecordProcess("p", s, "abc")
	p.claimLease(t)
	p.list("ab")
	p.record()
	successor := cataloger.Upstream{ID: "d", Group: "g", Address: netip.MustParseAddrPort("10.0.1.99:1"), Slots: 3}
	p.registry.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Address: netip.MustParseAddrPort("10.0.1.97:1"), Slots: 3, Leads: true}, successor})
	p.record()
	restarted := newRecordProcess("q", s, "a")
	restarted.claimLease(t)
	is.Equal(restarted.unlisted(), []string{"b", "d"})
}

// Guards against writes to the store while nothing changes.
func TestUnchangedRosterIsNotRecorded(t *testing.T) {
	is := is.New(t)
	s := &recordStore{}
	p := newRecordProcess("p", s, "abc")
	p.claimLease(t)
	for range 5 {
		p.record()
	}
	is.Equal(s.writes, 1) // the claim
}

// Guards against two holders: one whose record another process has replaced must release the
// lease.
func TestHolderWithReplacedRecordReleasesLease(t *testing.T) {
	is := is.New(t)
	s := &recordStore{}
	p := newRecordProcess("p", s, "abc")
	p.claimLease(t)
	q := newRecordProcess("q", s, "abc")
	q.claimLease(t)
	p.list("abcd")
	p.record()
	is.Equal(p.g.lease.token, uint64(0))
	is.True(q.g.lease.token > 0)
}
