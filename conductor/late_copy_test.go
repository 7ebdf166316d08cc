package conductor

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/internal/matcher"
)

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
