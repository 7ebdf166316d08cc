package overseer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// restoredStore simulates a store with one lease that is restored from time to time, with
// calls that are lost or carried out late, and the processes that claim the lease.
type restoredStore struct {
	rng       *rand.Rand
	era       uint64
	revision  uint64
	writes    []recordWrite
	delayed   []recordWrite // carried out later, if the condition holds then
	claimants []*Overseer
	nested    int

	clock         int
	claims        []successfulClaim
	platformToken uint64 // the highest token that the platform has seen
	orders        []int  // indices in claims of the orders that the platform carried out
}

// recordWrite is a write of the lease record: its revision, and the revision that it replaces.
type recordWrite struct {
	revision uint64
	match    uint64
	value    json.RawMessage
}

// successfulClaim is a claim that succeeded, and when it began and ended.
type successfulClaim struct {
	holder     string
	token      uint64
	began, end int
}

var errLost = errors.New("answer lost")

func newRestoredStore(seed uint64) *restoredStore {
	d := &restoredStore{rng: rand.New(rand.NewPCG(seed, 31)), era: 1}
	for i := range 3 {
		client := &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: d, Rate: 1e9, Burst: 1e9}
		d.claimants = append(d.claimants, &Overseer{Name: fmt.Sprint("p", i), Start: 1, Store: client, Era: d.knownEra})
	}
	return d
}

// knownEra is the latest era that any of the processes knows; they share it by gossip.
func (d *restoredStore) knownEra() uint64 {
	era := uint64(0)
	for _, o := range d.claimants {
		era = max(era, o.Store.Era())
	}
	return era
}

func (d *restoredStore) current() recordWrite {
	if len(d.writes) == 0 {
		return recordWrite{}
	}
	return d.writes[len(d.writes)-1]
}

// apply carries out a write if its condition holds.
func (d *restoredStore) apply(w recordWrite) bool {
	if w.match != d.current().revision {
		return false
	}
	d.revision++
	w.revision = d.revision
	d.writes = append(d.writes, w)
	return true
}

// restore restores the store to a random revision.
func (d *restoredStore) restore() {
	d.era++
	d.revision = uint64(d.rng.Int64N(int64(d.revision) + 1))
	for len(d.writes) > 0 && d.current().revision > d.revision {
		d.writes = d.writes[:len(d.writes)-1]
	}
}

// interfere does at random what others may do before or after a call.
func (d *restoredStore) interfere() {
	switch d.rng.IntN(8) {
	case 0:
		d.restore()
	case 1:
		d.revision++ // another object changes
	case 2:
		if len(d.delayed) > 0 {
			d.apply(d.delayed[0])
			d.delayed = d.delayed[1:]
		}
	case 3:
		if d.nested < 3 {
			d.nested++
			d.claim(d.claimants[d.rng.IntN(len(d.claimants))])
			d.nested--
		}
	}
}

func (d *restoredStore) claim(o *Overseer) {
	d.clock++
	began := d.clock
	c := o.claim(context.Background(), "g", carrier.Roster{})
	d.clock++
	if c.err == nil {
		d.claims = append(d.claims, successfulClaim{o.Name, c.token, began, d.clock})
	}
}

// order sends a promotion order under a random earlier claim. The platform carries it out
// unless it has seen a higher token.
func (d *restoredStore) order() {
	if len(d.claims) == 0 {
		return
	}
	i := d.rng.IntN(len(d.claims))
	token := d.claims[i].token + uint64(d.rng.IntN(replacer.TokenBlockSize))
	if token < d.platformToken {
		return
	}
	d.platformToken = token
	d.orders = append(d.orders, i)
}

// RoundTrip carries out a call, or loses the call or its answer.
func (d *restoredStore) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	d.interfere()
	status, body, era := d.serve(req)
	d.interfere()
	if d.rng.IntN(6) == 0 {
		return nil, errLost
	}
	resp := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), Request: req}
	switch d.rng.IntN(20) {
	case 0: // no era header
	case 1:
		resp.Header.Set(keeper.EraHeader, "broken")
	default:
		resp.Header.Set(keeper.EraHeader, strconv.FormatUint(era, 10))
	}
	return resp, nil
}

func (d *restoredStore) serve(req *http.Request) (int, []byte, uint64) {
	if req.Method == http.MethodGet {
		return d.answer(d.current(), http.StatusNotFound)
	}
	match, err := strconv.ParseUint(req.Header.Get("If-Match"), 10, 64)
	if err != nil {
		panic(err) // sent by the client, so always valid
	}
	var in struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		panic(err)
	}
	w := recordWrite{match: match, value: in.Value}
	if d.rng.IntN(8) == 0 {
		d.delayed = append(d.delayed, w)
		return http.StatusGatewayTimeout, nil, d.era
	}
	if !d.apply(w) {
		status, body, era := d.answer(d.current(), http.StatusConflict)
		if status == http.StatusOK {
			status = http.StatusConflict
		}
		return status, body, era
	}
	return d.answer(d.current(), http.StatusOK)
}

// answer returns the record, or a status where there is none.
func (d *restoredStore) answer(w recordWrite, without int) (int, []byte, uint64) {
	if w.revision == 0 {
		return without, []byte(`{}`), d.era
	}
	body, err := json.Marshal(keeper.Object{Kind: leaseKind, Name: "g", Version: w.revision, Value: w.value})
	if err != nil {
		panic(err)
	}
	return http.StatusOK, body, d.era
}

// violation describes what is wrong with the issued tokens; empty when nothing is.
func (d *restoredStore) violation() string {
	for i, a := range d.claims {
		for _, b := range d.claims[i+1:] {
			if a.token/replacer.TokenBlockSize == b.token/replacer.TokenBlockSize {
				return fmt.Sprintf("%s and %s have the token %d", a.holder, b.holder, a.token)
			}
			if a.end < b.began && b.token < a.token {
				return fmt.Sprintf("%s has the token %d after %s had %d", b.holder, b.token, a.holder, a.token)
			}
		}
	}
	for k, i := range d.orders {
		for _, j := range d.orders[:k] {
			if a, b := d.claims[i], d.claims[j]; a.end < b.began {
				return fmt.Sprintf("an order of %s under %d counts after one of %s under %d", a.holder, a.token, b.holder, b.token)
			}
		}
	}
	return ""
}

// steps returns the operations that may happen at any time.
func (d *restoredStore) steps() []func() {
	return []func(){
		func() { d.claim(d.claimants[0]) },
		func() { d.claim(d.claimants[1]) },
		d.order,
		func() { d.revision++ }, // a write of another object
		d.interfere,
	}
}

// Guards against steps that a restore between them puts in the wrong order.
func TestStepPairsAroundRestores(t *testing.T) {
	const draws = 100 // of each pair
	is := is.New(t)
	steps := len(newRestoredStore(0).steps())
	for pair := range steps * steps {
		for restores := 1; restores <= 2; restores++ {
			for seed := range uint64(draws) {
				d := newRestoredStore(uint64(pair)<<32 | uint64(restores)<<16 | seed)
				d.claim(d.claimants[2])
				d.steps()[pair/steps]()
				for range restores {
					d.restore()
				}
				d.steps()[pair%steps]()
				d.claim(d.claimants[2])
				d.order()
				is.Equal(d.violation(), "")
			}
		}
	}
}

// Guards against two holders of one token, and against a later holder whose orders the
// platform rejects because of an earlier holder's token, when the store is restored.
func TestTokensRiseOverRestores(t *testing.T) {
	const histories = 12_000
	is := is.New(t)
	taken := 0
	for seed := range uint64(histories) {
		d := newRestoredStore(seed)
		for range 2 + d.rng.IntN(6) {
			d.interfere()
			d.claim(d.claimants[d.rng.IntN(len(d.claimants))])
			d.order()
		}
		taken += len(d.claims)
		if violation := d.violation(); violation != "" {
			t.Fatalf("history %d: %s", seed, violation)
		}
	}
	t.Logf("%d claims of %d histories succeeded", taken, histories)
	is.True(taken > histories)
}

func TestTokensOfVersions(t *testing.T) {
	is := is.New(t)
	rising := []versioner.Version{
		{Revision: 1},
		{Revision: 2},
		{Revision: 1<<revisionBits - 1},
		{Era: 1},
		{Era: 1, Revision: 1},
		{Era: 2},
		{Era: versioner.MaxEra, Revision: 1<<revisionBits - 1},
	}
	var last uint64
	for _, v := range rising {
		token, err := tokenOf(v)
		is.NoErr(err)
		is.True(token >= last+replacer.TokenBlockSize)
		is.Equal(eraOf(token), v.Era)
		is.Equal(eraOf(token+replacer.TokenBlockSize-1), v.Era)
		last = token
	}
	_, err := tokenOf(versioner.Version{Revision: 1 << revisionBits})
	is.True(err != nil)
	_, err = tokenOf(versioner.Version{Era: versioner.MaxEra + 1})
	is.True(err != nil)
}

// Guards against a holder whose record was lost in a restore and that keeps a token which
// another process cannot exceed in time.
func TestHolderReclaimsLeaseAfterRestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	era := uint64(1)
	token, err := tokenOf(versioner.Version{Era: 1, Revision: 7})
	is.NoErr(err)
	o := &Overseer{Era: func() uint64 { return era }, Leaving: func() bool { return false }}
	g := &group{lease: lease{token: token}}
	is.True(!o.shouldReclaim(g, now))
	era = 2
	is.True(o.shouldReclaim(g, now))
	g.lease.claiming = true
	is.True(!o.shouldReclaim(g, now)) // a claim is in progress
	g.lease.claiming = false
	g.lease.nextClaim = now.Add(time.Second)
	is.True(!o.shouldReclaim(g, now))
	g.lease = lease{}
	is.True(!o.shouldReclaim(g, now)) // it holds no lease
}
