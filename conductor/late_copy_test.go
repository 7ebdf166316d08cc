package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/tracker"
)

// lostID is the id of the statement of which a copy runs late.
const lostID = "lost"

// loss is how an exchange or a call ends of which a copy runs late.
type loss uint8

const (
	notLost  loss = iota
	broken        // the connection is lost after the statement was sent
	silent        // no answer in time
	answered      // the answer comes once the copy has run
)

var errBroken = errors.New("connection lost")

// lateSite is a group of a leader, a, and a replica, b, and the processes that use it. One statement
// is lost, and its copy runs later.
type lateSite struct {
	processes []*forwarder.Forwarder
	stop      []func()
	loss      loss
	peerLost  bool // the call to a peer is lost, not the exchange

	mu sync.Mutex
	// want is the state of its session that each statement runs with, by id.
	want   map[string]string
	lost   bool     // the statement has been lost
	late   []func() // run the copy
	isLate bool     // the copy runs
	runs   []string // what ran, in order
	wrong  []string
}

// lateLink is a connection to an upstream.
type lateLink struct {
	site             *lateSite
	upstream         string
	mu               sync.Mutex // one exchange at a time
	state            carrier.State
	values, prepared map[string]string
	unusable         bool // after an error, until its end
}

// loses returns how the exchange or call of a statement ends. The caller must hold s.mu.
func (s *lateSite) loses(atPeer, isLost bool) loss {
	if s.lost || s.peerLost != atPeer || !isLost {
		return notLost
	}
	s.lost = true
	return s.loss
}

func (l *lateLink) Exchange(deadline time.Time, commands ...carrier.Command) ([]carrier.Answer, bool, error) {
	s := l.site
	s.mu.Lock()
	if !l.mu.TryLock() || l.unusable {
		s.wrong = append(s.wrong, commands[len(commands)-1].ID+" was sent on a connection without the last answer")
	}
	defer l.mu.Unlock()
	isLost := slices.ContainsFunc(commands, func(cmd carrier.Command) bool { return cmd.ID == lostID })
	how := s.loses(false, isLost)
	l.unusable = how == broken || how == silent
	ran := make(chan []carrier.Answer, 1)
	if how != notLost {
		s.late = append(s.late, func() { ran <- l.run(commands) })
	}
	s.mu.Unlock()
	switch how {
	case broken:
		return nil, true, errBroken
	case silent:
		time.Sleep(time.Until(deadline))
		return nil, true, os.ErrDeadlineExceeded
	case answered:
		return <-ran, true, nil
	default:
		time.Sleep(5 * time.Millisecond)
		return l.run(commands), true, nil
	}
}

func (l *lateLink) run(commands []carrier.Command) []carrier.Answer {
	l.site.mu.Lock()
	defer l.site.mu.Unlock()
	answers := make([]carrier.Answer, len(commands))
	for i, cmd := range commands {
		answers[i] = l.runOne(cmd)
		answers[i].State = l.state
		answers[i].Mark = mark(20)
	}
	return answers
}

func (l *lateLink) runOne(cmd carrier.Command) carrier.Answer {
	switch cmd.Verb {
	case carrier.Set:
		l.values[cmd.Name] = cmd.Value
	case carrier.Prepare:
		l.prepared[cmd.Name] = cmd.Value
	case carrier.Reset:
		clear(l.values)
		clear(l.prepared)
	case carrier.Begin, carrier.BeginRead:
		if cmd.Verb == carrier.Begin && l.upstream != "a" {
			return carrier.Answer{Code: carrier.ReadOnly}
		}
		l.state = carrier.InTransaction
	case carrier.Rollback:
		l.state = carrier.Idle
	case carrier.Commit:
		l.state = carrier.Idle
		l.record(cmd.ID, "commit")
	case carrier.Execute:
		shape, ok := l.prepared[cmd.Name]
		if !ok {
			return carrier.Answer{Code: carrier.NoStatement}
		}
		l.record(cmd.ID, stateWords(l.values, shape, l.state))
	case carrier.Read:
		l.record(cmd.ID, stateWords(l.values, "", l.state))
	}
	return carrier.Answer{Signature: cmd.ID}
}

// record records a statement that ran. The caller must hold the site's lock.
func (l *lateLink) record(id, with string) {
	if strings.HasPrefix(id, "before") {
		return
	}
	when := ""
	if id == lostID && l.site.isLate {
		when = " late"
	}
	l.site.runs = append(l.site.runs, id+" ran"+when+": "+with)
	if want := l.site.want[id]; with != want {
		l.site.wrong = append(l.site.wrong, fmt.Sprintf("%s ran%s with %s, its session had %s", id, when, with, want))
	}
}

func stateWords(values map[string]string, shape string, state carrier.State) string {
	words := make([]string, 0, len(values)+2)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		words = append(words, name+"="+values[name])
	}
	if shape != "" {
		words = append(words, "shape "+shape)
	}
	if state == carrier.InTransaction {
		words = append(words, "in a transaction")
	}
	return strings.Join(words, ", ")
}

func (l *lateLink) Abort()                    {}
func (l *lateLink) Alive() bool               { return true }
func (l *lateLink) InitialMark() tracker.Mark { return mark(20) }
func (l *lateLink) Close() error              { return nil }

// newLateSite returns a site whose callers are at the first process. With peers it is no gateway,
// and two others are.
func newLateSite(how lateLoss) *lateSite {
	s := &lateSite{want: map[string]string{}, loss: how.loss, peerLost: how.peers}
	s.add(how, !how.peers)
	if how.peers {
		s.add(how, true)
		s.add(how, true)
	}
	return s
}

func (s *lateSite) add(how lateLoss, isGateway bool) {
	c := &carrier.Registry{
		Now: time.Now, Log: zap.NewNop(), Features: func() carrier.Features { return carrier.Features{ExpectedPlacement: how.hedged && !how.peers} },
		ConnectionShares: func(map[string]int, int) map[string]int {
			if isGateway {
				return map[string]int{"g": 10}
			}
			return map[string]int{"g": 0}
		},
		Dial: func(_ context.Context, u cataloger.Upstream, _ string) (carrier.Link, error) {
			return &lateLink{site: s, upstream: u.ID, values: map[string]string{}, prepared: map[string]string{}}, nil
		},
	}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 3, Leads: true}, {ID: "b", Group: "g", Slots: 3}})
	f := &forwarder.Forwarder{
		Local: c.Group, Name: fmt.Sprintf("p%d", len(s.processes)), Now: time.Now, Log: zap.NewNop(), Gateways: s.gateways, Send: s.send,
		HedgesReads: func() bool { return how.hedged },
	}
	s.processes, s.stop = append(s.processes, f), append(s.stop, c.Stop)
}

func (s *lateSite) gateways(string) []forwarder.Candidate {
	var out []forwarder.Candidate
	for i, f := range s.processes[1:] {
		out = append(out, forwarder.Candidate{Name: f.Name, Address: peerAddress(i + 1), LastSeen: time.Now(), IsFaultKnown: true})
	}
	return out
}

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7440)
}

// send has a peer serve a request of the first process.
func (s *lateSite) send(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
	peer := s.processes[to.Addr().As4()[3]]
	serve := func() (json.RawMessage, error) { return peer.Serve(context.Background(), "p0", payload) }
	type served struct {
		answer json.RawMessage
		err    error
	}
	done := make(chan served, 1)
	s.mu.Lock()
	how := s.loses(true, strings.Contains(string(payload), `"request":"`+lostID+`"`))
	if how != notLost {
		s.late = append(s.late, func() {
			answer, err := serve()
			done <- served{answer, err}
		})
	}
	s.mu.Unlock()
	switch how {
	case broken:
		return nil, errBroken
	case silent:
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "call")
	case answered:
		d := <-done
		return d.answer, d.err
	default:
		return serve()
	}
}

// runLate has the copies run.
func (s *lateSite) runLate() {
	s.mu.Lock()
	late := s.late
	s.late, s.isLate = nil, true
	s.mu.Unlock()
	for _, run := range late {
		run()
	}
	synctest.Wait()
}

// caller is a caller of the first process and knows the state that its session should have.
type caller struct {
	*Session
	site    *lateSite
	values  map[string]string
	shape   string // of the prepared statement s
	inTx    bool
	replies []string
}

func (s *lateSite) newCaller() *caller {
	catalog := &cataloger.Catalog{}
	catalog.Configure(cataloger.Config{Version: 1, Routes: []cataloger.Route{
		{Database: "seats", Group: "g", Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Hour, Timeout: time.Second, Objective: time.Second},
	}})
	return &caller{site: s, values: map[string]string{}, Session: &Session{
		Database: "seats", View: catalog.View, Now: time.Now, Log: zap.NewNop(), Group: s.processes[0].Group,
	}}
}

// ask sends a statement and compares the answer's signature.
func (c *caller) ask(st Statement) Reply {
	words := ""
	state := carrier.Idle
	if c.inTx {
		state = carrier.InTransaction
	}
	switch st.Verb {
	case Execute:
		words = stateWords(c.values, c.shape, state)
	case Read:
		words = stateWords(c.values, "", state)
	case Commit:
		words = "commit"
	}
	c.site.mu.Lock()
	c.site.want[st.ID] = words
	c.site.mu.Unlock()
	reply := c.Handle(st, time.Now())
	c.RollbackEnded()
	if !strings.HasPrefix(st.ID, "before") {
		c.replies = append(c.replies, st.ID+" "+reply.Code.String())
	}
	if reply.Code == carrier.OK && words != "" && reply.Signature != st.ID {
		c.site.mu.Lock()
		defer c.site.mu.Unlock()
		c.site.wrong = append(c.site.wrong, st.ID+" got the answer "+reply.Signature)
	}
	return reply
}

func (c *caller) set(name, value string) {
	c.ask(Statement{ID: "set", Verb: Set, Name: name, Value: value})
	c.values[name] = value
}

func (c *caller) prepare(shape string, writes bool) {
	c.ask(Statement{ID: "prepare", Verb: Prepare, Name: "s", Value: shape, Writes: writes})
	c.shape = shape
}

func (c *caller) execute(id string) Reply {
	return c.ask(Statement{ID: id, Verb: Execute, Name: "s", Value: "seat", Text: "EXECUTE s seat"})
}

func (c *caller) read(id string) {
	c.ask(Statement{ID: id, Verb: Read, Text: "READ seat"})
}

func (c *caller) begin(verb Verb) {
	c.ask(Statement{ID: "begin", Verb: verb})
	c.inTx = true
}

func (c *caller) commit(id string) Reply {
	defer func() { c.inTx = false }()
	return c.ask(Statement{ID: id, Verb: Commit, Text: "COMMIT"})
}

// lose sends the statement that is lost, ends its transaction and returns the answer to the statement.
func (c *caller) lose(how lateLoss) Reply {
	if how.begin == Unknown {
		return c.execute(lostID)
	}
	c.begin(how.begin)
	if how.place != first {
		c.execute("first")
	}
	if how.place == last {
		return c.commit(lostID)
	}
	reply := c.execute(lostID)
	c.commit("commit")
	return reply
}

// within is the place of a statement in its transaction.
type within uint8

const (
	first  within = iota
	second        // after another statement
	last          // the commit, after a statement
)

// lateLoss is how a statement is lost.
type lateLoss struct {
	name   string
	loss   loss
	peers  bool // at a peer
	hedged bool
	writes bool
	begin  Verb   // of the transaction that it is in; Unknown where there is none
	place  within // in that transaction
	code   carrier.Code
}

func lateLosses() []lateLoss {
	return []lateLoss{
		{name: "connection lost, retried elsewhere", loss: broken},
		{name: "time-out answered", loss: silent, code: carrier.Timeout},
		{name: "write in doubt, connection lost", loss: broken, writes: true, code: carrier.InDoubt},
		{name: "write in doubt, no answer", loss: silent, writes: true, code: carrier.InDoubt},
		{name: "second attempt answered first", loss: answered, hedged: true},
		{name: "transaction begun again", loss: broken, begin: BeginReadOnly},
		{name: "transaction at the leader begun again", loss: broken, begin: Begin},
		{name: "peer lost, next gateway", loss: broken, peers: true},
		{name: "peer silent, time-out answered", loss: silent, peers: true, code: carrier.Timeout},
		{name: "peer lost, write in doubt", loss: broken, peers: true, writes: true, code: carrier.InDoubt},
		{name: "second gateway answered first", loss: answered, peers: true, hedged: true},
		{name: "peer lost, transaction begun at the next gateway", loss: broken, peers: true, begin: BeginReadOnly},
		{name: "peer lost, transaction at the leader begun at the next gateway", loss: broken, peers: true, begin: Begin},
		{name: "connection lost in a transaction", loss: broken, begin: Begin, place: second, code: carrier.Aborted},
		{name: "no answer in a transaction", loss: silent, begin: Begin, place: second, code: carrier.Aborted},
		{name: "peer lost in a transaction", loss: broken, peers: true, begin: Begin, place: second, code: carrier.Aborted},
		{name: "peer silent in a transaction", loss: silent, peers: true, begin: Begin, place: second, code: carrier.Aborted},
		{name: "commit in doubt, connection lost", loss: broken, begin: Begin, place: last, code: carrier.InDoubt},
		{name: "commit in doubt, peer lost", loss: broken, peers: true, begin: Begin, place: last, code: carrier.InDoubt},
		{name: "commit in doubt, peer silent", loss: silent, peers: true, begin: Begin, place: last, code: carrier.InDoubt},
	}
}

// lateChange is what the caller does once the statement has been answered.
type lateChange struct {
	name string
	do   func(c *caller)
}

func lateChanges() []lateChange {
	return []lateChange{
		{"SET of a value", func(c *caller) { c.set("v1", "new") }},
		{"SET of a new name", func(c *caller) { c.set("v2", "new") }},
		{"PREPARE of the same name", func(c *caller) { c.prepare("q2", false) }},
		{"DEALLOC", func(c *caller) { c.ask(Statement{ID: "deallocate", Verb: Deallocate, Name: "s"}) }},
		{"BEGIN", func(c *caller) { c.begin(Begin) }},
		{"COMMIT of an empty transaction", func(c *caller) {
			c.begin(Begin)
			c.commit("empty")
		}},
		{"session closed", func(c *caller) {
			c.Close()
			c.replies = append(c.replies, "closed")
			old := c.site.newCaller()
			c.Session, c.values = old.Session, old.values
			c.set("v3", "other")
			c.prepare("q3", false)
		}},
	}
}

// Guards against a copy of a statement that runs late, after its caller has gone on, with another
// state than its session had when it was sent, against a later statement that runs with the state
// of the copy, on its connection or in its transaction, and against an answer to the copy that is
// taken for that of another statement.
func TestLateCopiesKeepTheirState(t *testing.T) {
	var golden strings.Builder
	for _, how := range lateLosses() {
		for _, change := range lateChanges() {
			ran := map[bool]string{} // by whether the copy runs before the next statement
			for _, beforeNext := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) { ran[beforeNext] = runLateCopy(t, how, change, beforeNext) })
			}
			is.New(t).Equal(ran[true], ran[false])
			fmt.Fprintf(&golden, "%s; %s\n%s", how.name, change.name, ran[true])
		}
	}
	matcher.Golden(t, "testdata/late_copies.golden", golden.String())
}

func runLateCopy(t *testing.T, how lateLoss, change lateChange, beforeNext bool) string {
	is := is.New(t)
	s := newLateSite(how)
	defer func() {
		for _, stop := range s.stop {
			stop()
		}
	}()
	c := s.newCaller()
	for i := range 100 { // so that the usual time of an answer is known
		if how.hedged {
			c.read(fmt.Sprintf("before%d", i))
		}
	}
	c.set("v1", "old")
	c.prepare("q1", how.writes)
	is.Equal(c.lose(how).Code, how.code)
	is.True(s.lost)
	change.do(c)
	if beforeNext {
		s.runLate()
	}
	c.execute("next")
	c.read("read")
	if c.inTx {
		c.commit("end")
	}
	s.runLate()
	time.Sleep(5 * time.Second) // until peers have rolled back
	c.read("last")
	time.Sleep(time.Second) // until second attempts have ended
	for _, f := range s.processes {
		is.Equal(f.OpenTransactions(), 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.wrong, nil)
	is.True(slices.ContainsFunc(s.runs, func(r string) bool { return strings.HasPrefix(r, lostID+" ran late") }))
	slices.Sort(s.runs) // second attempts run at the same time
	return "\t" + strings.Join(slices.Compact(s.runs), "; ") + "\n\tanswers: " + strings.Join(c.replies, ", ") + "\n"
}
