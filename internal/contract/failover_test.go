package contract_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// step is how long one command of these tests may take. A longer one is given up
// and tried again elsewhere, so the verdict doesn't depend on it.
const step = 100 * time.Millisecond

// seats is the only seat of a group: who holds it, as porcupine's model. A
// booking takes it if it is free, else only looks; a release frees one's own.
func seatModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			in, holder := input.(action), state.(string)
			if output.(string) != holder {
				return false, state
			}
			return true, in.after(holder)
		},
	}
}

// action is one operation on the seat.
type action struct {
	who  string
	free bool
}

func (a action) after(holder string) string {
	switch {
	case !a.free && holder == "":
		return a.who
	case a.free && holder == a.who:
		return ""
	default:
		return holder
	}
}

// history collects finished operations in the order of a logical clock.
type history struct {
	mu    sync.Mutex
	clock int64
	list  []porcupine.Operation
	added chan struct{} // one for each operation
}

func (h *history) now() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(client int, a action, call int64, saw string) {
	end := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.added <- struct{}{}
	h.list = append(h.list, porcupine.Operation{ClientId: client, Input: a, Call: call, Output: saw, Return: end})
}

func (h *history) linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(seatModel(), h.list)
}

// world is a stand-in group with a caller side that follows the rules for
// acknowledging, and a failover that follows those for replacing a primary.
type world struct {
	is      *is.I
	ctx     context.Context
	group   *upstream.Group
	control *commander.Commander
	term    tracker.Term
	confirm bool // false breaks the rule that a replica confirms first
	history history
}

func newWorld(t *testing.T, confirm bool) *world {
	setup := "CREATE TABLE seats (id text, holder text, looks int8); INSERT INTO seats (id, holder, looks) VALUES ('1', '', 0)"
	g, err := upstream.NewGroup(upstream.Options{Size: 3, Lag: time.Millisecond, Setup: setup})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	w := &world{
		is:      is.New(t),
		ctx:     ctx,
		group:   g,
		control: &commander.Commander{User: "app", Database: "app"},
		term:    tracker.Term{Epoch: 1, Seq: 1},
		confirm: confirm,
		history: history{added: make(chan struct{}, 10000)},
	}
	t.Cleanup(w.control.Close)
	return w
}

// primary finds the primary of the highest term that answers.
func (w *world) primary() (netip.AddrPort, commander.Answer, bool) {
	var at netip.AddrPort
	var best commander.Answer
	for _, addr := range w.group.Addrs() {
		ctx, cancel := context.WithTimeout(w.ctx, step)
		a, err := w.control.State(ctx, addr)
		cancel()
		if err == nil && a.Role == tracker.Primary && best.Term.Less(a.Term) {
			at, best = addr, a
		}
	}
	return at, best, at.IsValid()
}

// confirmed waits until one replica holds the mark.
func (w *world) confirmed(primary netip.AddrPort, m tracker.Mark) bool {
	for _, addr := range w.group.Addrs() {
		if addr == primary {
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, step)
		a, err := w.control.Wait(ctx, addr, m, time.Now().Add(step/2))
		cancel()
		if err == nil && a.Confirms(m) {
			return true
		}
	}
	return false
}

// act carries out one operation and records it, unless it has not run.
func (w *world) act(client, number int, a action) {
	call := w.history.now()
	request := strconv.Itoa(client) + "/" + strconv.Itoa(number)
	at, state, ok := w.primary()
	if !ok {
		return
	}
	saw, mark, sent := w.transaction(at, state.Term, request, a)
	if !sent {
		return
	}
	done := !mark.IsZero() && (!w.confirm || w.confirmed(at, mark))
	if done || w.settled(request) {
		w.history.add(client, a, call, saw)
	}
}

// transaction looks at the seat and changes it. sent is false when it has not
// run; the mark is zero when the COMMIT's answer was lost.
func (w *world) transaction(at netip.AddrPort, term tracker.Term, request string, a action) (saw string, mark tracker.Mark, sent bool) {
	ctx, cancel := context.WithTimeout(w.ctx, step)
	defer cancel()
	conn, err := dial(ctx, at)
	if err != nil {
		return "", mark, false
	}
	defer func() { _ = conn.Conn().Close() }()
	begin := "BEGIN; SET basildale.term = '" + term.String() + "'; SET basildale.request = '" + request + "'"
	results, err := conn.Exec(ctx, begin+"; SELECT holder FROM seats WHERE id = '1' FOR UPDATE").ReadAll()
	if err != nil {
		return "", mark, false
	}
	saw = string(results[len(results)-1].Rows[0][0])
	change := "UPDATE seats SET looks = looks + 1, holder = '" + a.after(saw) + "' WHERE id = '1'"
	if err := conn.Exec(ctx, change).Close(); err != nil {
		return "", mark, false
	}
	if err := conn.Exec(ctx, "COMMIT").Close(); err != nil {
		return saw, mark, code(err) == ""
	}
	mark, err = tracker.ParseMark(conn.ParameterStatus("basildale.mark"))
	w.is.NoErr(err)
	return saw, mark, true
}

// settled finds out whether a request of unknown outcome has committed. The
// answer counts once a replica holds the primary's log up to it.
func (w *world) settled(request string) bool {
	for w.ctx.Err() == nil {
		at, _, ok := w.primary()
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, step)
		s, err := w.control.Settle(ctx, at, request)
		var after commander.Answer
		if err == nil {
			after, err = w.control.State(ctx, at)
		}
		cancel()
		if err == nil && after.Role == tracker.Primary && w.confirmed(at, after.Mark) {
			return s.Done
		}
	}
	w.is.Fail() // no primary for a minute
	return false
}

// failover replaces the primary, which suffers the fault meanwhile.
func (w *world) failover(hurt, heal func(*upstream.Upstream)) {
	old := w.group.Primary()
	hurt(old)
	w.term.Seq++
	attempt := promoter.NewAttempt(w.term, w.group.Addrs())
	attempt.Suspect = old.Addr()
	for _, addr := range w.group.Addrs() {
		ctx, cancel := context.WithTimeout(w.ctx, step)
		if a, err := w.control.Fence(ctx, addr, w.term); err == nil {
			attempt.NoteFence(addr, a.Mark)
		}
		cancel()
	}
	next, ok := attempt.Choose(true)
	w.is.True(ok)
	_, err := w.control.Promote(w.ctx, next, w.term)
	w.is.NoErr(err)
	addrs := slices.DeleteFunc(w.group.Addrs(), func(a netip.AddrPort) bool { return a == next || a == old.Addr() })
	for _, addr := range addrs {
		_, err := w.control.Follow(w.ctx, addr, w.term, next)
		w.is.NoErr(err)
	}
	heal(old)
	if old.Addr() == next {
		return
	}
	_, err = w.control.Follow(w.ctx, old.Addr(), w.term, next)
	w.is.NoErr(err)
}

func cutOff(u *upstream.Upstream) { u.Cut(upstream.Cut{Open: true, Replicas: true}) }

// Symptom: one seat is sold to two families.
// Sequence: the primary is cut off from its replicas, takes a booking and
// acknowledges it; another upstream is promoted and sells the seat again.
// Cause: the booking was acknowledged before a replica had confirmed it.
func TestSeatIsSoldTwiceOnlyWithoutConfirmation(t *testing.T) {
	for _, confirm := range []bool{true, false} {
		t.Run("confirm "+strconv.FormatBool(confirm), func(t *testing.T) {
			w := newWorld(t, confirm)
			cutOff(w.group.Upstreams[0])
			var first sync.WaitGroup
			first.Go(func() { w.act(1, 1, action{who: "a"}) })
			committed := tracker.Mark{Term: w.term, Pos: 2}
			_, err := w.control.Wait(w.ctx, w.group.Upstreams[0].Addr(), committed, time.Now().Add(patience))
			w.is.NoErr(err)
			if !confirm {
				first.Wait() // its caller has been told
			}
			w.failover(func(*upstream.Upstream) {}, (*upstream.Upstream).Restore)
			w.act(2, 1, action{who: "b"})
			first.Wait()
			w.is.Equal(w.history.linearizable(), confirm)
		})
	}
}

// Symptom: callers of one seat see an order of sales that can't be.
// Sequence: several callers book and release one seat while its primary is
// replaced again and again, after each kind of fault.
// Cause: a write acknowledged by a replaced primary, a settled request that
// commits later, or a lost one.
func TestSeatIsLinearizableThroughFailovers(t *testing.T) {
	w := newWorld(t, true)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range 4 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 1))
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
					w.act(client, number, action{who: strconv.Itoa(client), free: random.IntN(2) == 0})
				}
			}
		})
	}
	const between = 40 // operations
	none := func(*upstream.Upstream) {}
	for _, f := range []struct{ hurt, heal func(*upstream.Upstream) }{
		{none, none},
		{cutOff, (*upstream.Upstream).Restore},
		{(*upstream.Upstream).Freeze, (*upstream.Upstream).Thaw},
		{(*upstream.Upstream).Crash, (*upstream.Upstream).Restore},
		{func(u *upstream.Upstream) { u.Cut(upstream.Cut{Silent: true, Replicas: true}) }, (*upstream.Upstream).Restore},
		{func(u *upstream.Upstream) { u.LoseAnswers(2) }, none},
	} {
		w.failover(f.hurt, f.heal)
		for range between {
			<-w.history.added
		}
	}
	close(stop)
	clients.Wait()
	w.is.True(w.history.linearizable())
}
