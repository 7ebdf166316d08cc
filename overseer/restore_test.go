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
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/versioner"
)

// drilled is a store of one duty that is restored now and then, under calls that are
// lost or carried out late, and the processes that claim the duty.
type drilled struct {
	rng       *rand.Rand
	era       uint64
	revision  uint64
	log       []written
	late      []written // carried out some time, if the condition holds then
	claimants []*Overseer
	nested    int

	moment int
	claims []outcome
	seen   uint64 // the highest token that the platform has seen
	orders []int  // those that it carried out, by the claim that they were given under
}

// written is the record of the duty at a revision, and the one that it replaces.
type written struct {
	revision uint64
	match    uint64
	value    json.RawMessage
}

// outcome is a claim that succeeded, and when it began and ended.
type outcome struct {
	holder     string
	token      uint64
	began, end int
}

var errLost = errors.New("lost on the way")

func newDrilled(seed uint64) *drilled {
	d := &drilled{rng: rand.New(rand.NewPCG(seed, 31)), era: 1}
	for i := range 3 {
		client := &keeper.Client{Addrs: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}, Transport: d, Rate: 1e9, Burst: 1e9}
		d.claimants = append(d.claimants, &Overseer{Name: fmt.Sprint("p", i), Start: 1, Store: client, Era: d.told})
	}
	return d
}

// told is the latest era that any of the processes knows, as they tell one another.
func (d *drilled) told() uint64 {
	era := uint64(0)
	for _, o := range d.claimants {
		era = max(era, o.Store.Era())
	}
	return era
}

func (d *drilled) held() written {
	if len(d.log) == 0 {
		return written{}
	}
	return d.log[len(d.log)-1]
}

// put carries a write out if its condition holds.
func (d *drilled) put(w written) bool {
	if w.match != d.held().revision {
		return false
	}
	d.revision++
	w.revision = d.revision
	d.log = append(d.log, w)
	return true
}

// drill restores the store to a revision that is drawn.
func (d *drilled) drill() {
	d.era++
	d.revision = uint64(d.rng.Int64N(int64(d.revision) + 1))
	for len(d.log) > 0 && d.held().revision > d.revision {
		d.log = d.log[:len(d.log)-1]
	}
}

// meanwhile is what others do before and after a call is carried out.
func (d *drilled) meanwhile() {
	switch d.rng.IntN(8) {
	case 0:
		d.drill()
	case 1:
		d.revision++ // another object changes
	case 2:
		if len(d.late) > 0 {
			d.put(d.late[0])
			d.late = d.late[1:]
		}
	case 3:
		if d.nested < 3 {
			d.nested++
			d.claim(d.claimants[d.rng.IntN(len(d.claimants))])
			d.nested--
		}
	}
}

func (d *drilled) claim(o *Overseer) {
	d.moment++
	began := d.moment
	c := o.claim(context.Background(), "g")
	d.moment++
	if c.err == nil {
		d.claims = append(d.claims, outcome{o.Name, c.token, began, d.moment})
	}
}

// order has a holder give an order under a claim that it once had, which the platform
// carries out unless it has seen a higher token.
func (d *drilled) order() {
	if len(d.claims) == 0 {
		return
	}
	i := d.rng.IntN(len(d.claims))
	token := d.claims[i].token + uint64(d.rng.IntN(replacer.TokenBlockSize))
	if token < d.seen {
		return
	}
	d.seen = token
	d.orders = append(d.orders, i)
}

// RoundTrip carries a call out, or loses it or its answer.
func (d *drilled) RoundTrip(req *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	d.meanwhile()
	status, body, era := d.serve(req)
	d.meanwhile()
	if d.rng.IntN(6) == 0 {
		return nil, errLost
	}
	resp := &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), Request: req}
	switch d.rng.IntN(20) {
	case 0: // without an era
	case 1:
		resp.Header.Set(keeper.EraHeader, "broken")
	default:
		resp.Header.Set(keeper.EraHeader, strconv.FormatUint(era, 10))
	}
	return resp, nil
}

func (d *drilled) serve(req *http.Request) (int, []byte, uint64) {
	if req.Method == http.MethodGet {
		return d.answer(d.held(), http.StatusNotFound)
	}
	match, err := strconv.ParseUint(req.Header.Get("If-Match"), 10, 64)
	if err != nil {
		panic(err) // the client's own
	}
	var in struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		panic(err)
	}
	w := written{match: match, value: in.Value}
	if d.rng.IntN(8) == 0 {
		d.late = append(d.late, w)
		return http.StatusGatewayTimeout, nil, d.era
	}
	if !d.put(w) {
		status, body, era := d.answer(d.held(), http.StatusConflict)
		if status == http.StatusOK {
			status = http.StatusConflict
		}
		return status, body, era
	}
	return d.answer(d.held(), http.StatusOK)
}

// answer states the record, or a status where there is none.
func (d *drilled) answer(w written, without int) (int, []byte, uint64) {
	if w.revision == 0 {
		return without, []byte(`{}`), d.era
	}
	body, err := json.Marshal(keeper.Object{Kind: kind, Name: "g", Version: w.revision, Value: w.value})
	if err != nil {
		panic(err)
	}
	return http.StatusOK, body, d.era
}

// wrong says what is wrong with the tokens that were given out; empty if nothing is.
func (d *drilled) wrong() string {
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

// steps are what may happen at a time.
func (d *drilled) steps() []func() {
	return []func(){
		func() { d.claim(d.claimants[0]) },
		func() { d.claim(d.claimants[1]) },
		d.order,
		func() { d.revision++ }, // a write of another object
		d.meanwhile,
	}
}

// Guards against steps whose order a restore between them turns round.
func TestEachPairOfStepsAroundRestores(t *testing.T) {
	const draws = 100 // of each pair
	is := is.New(t)
	steps := len(newDrilled(0).steps())
	for pair := range steps * steps {
		for drills := 1; drills <= 2; drills++ {
			for seed := range uint64(draws) {
				d := newDrilled(uint64(pair)<<32 | uint64(drills)<<16 | seed)
				d.claim(d.claimants[2])
				d.steps()[pair/steps]()
				for range drills {
					d.drill()
				}
				d.steps()[pair%steps]()
				d.claim(d.claimants[2])
				d.order()
				is.Equal(d.wrong(), "")
			}
		}
	}
}

// Guards against two holders of one token, and against a later holder whose orders the
// platform refuses for those of an earlier one, over restores of the store.
func TestTokensRiseOverRestores(t *testing.T) {
	const histories = 12_000
	is := is.New(t)
	taken := 0
	for seed := range uint64(histories) {
		d := newDrilled(seed)
		for range 2 + d.rng.IntN(6) {
			d.meanwhile()
			d.claim(d.claimants[d.rng.IntN(len(d.claimants))])
			d.order()
		}
		taken += len(d.claims)
		if wrong := d.wrong(); wrong != "" {
			t.Fatalf("history %d: %s", seed, wrong)
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

// Guards against a holder whose record a restore has taken away, and that keeps a token
// which another can't outbid in time.
func TestAHolderTakesTheDutyAnewAfterARestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	era := uint64(1)
	token, err := tokenOf(versioner.Version{Era: 1, Revision: 7})
	is.NoErr(err)
	o := &Overseer{Era: func() uint64 { return era }, Leaving: func() bool { return false }}
	g := &group{duty: duty{token: token}}
	is.True(!o.renews(g, now))
	era = 2
	is.True(o.renews(g, now))
	g.duty.claiming = true
	is.True(!o.renews(g, now)) // it is doing so
	g.duty.claiming = false
	g.duty.next = now.Add(time.Second)
	is.True(!o.renews(g, now))
	g.duty = duty{}
	is.True(!o.renews(g, now)) // it has no duty
}
