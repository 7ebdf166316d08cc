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
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/forwarder"
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
