package carrier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Guards against any sequence of refusals, lost connections and changes of leader after which a
// statement runs with other values than its session's, or a write runs though its caller was told
// otherwise.
func TestStatementsRunWithTheirSessionsState(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newStatefulGroup()
			defer s.registry.Stop()
			h := &history{statefulGroup: s, rng: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2))}
			for h.steps = range 400 {
				h.step()
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(s.wrong, nil) // by seed
			is.True(s.ran > 200)
		})
	}
}

// history draws what sessions, upstreams and the leader do.
type history struct {
	*statefulGroup
	rng    *rand.Rand
	faults *rand.Rand // guarded by the group's lock
	steps  int
}

func (h *history) step() {
	rare := func(n int) bool { return h.rng.IntN(n) == 0 }
	h.mu.Lock()
	h.refuse = func(Command) Code {
		if h.faults.IntN(40) > 0 {
			return OK
		}
		return []Code{Busy, Failed, ReadOnly}[h.faults.IntN(3)]
	}
	h.fail = func([]Command) (bool, bool) { return h.faults.IntN(40) == 0, h.faults.IntN(2) == 0 }
	h.mu.Unlock()
	if rare(6) {
		h.SetFence(Fence{})
	}
	if rare(12) {
		h.SetFence(Fence{Leader: "a", Successor: "b"})
	}
	if rare(4) {
		h.transaction()
		return
	}
	j, cmd := h.draw(0)
	answer, _ := h.attempt(h.upstreams[h.rng.IntN(2)], j, cmd, tracker.Mark{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.Writes && answer.Code.GuaranteesNoEffect() && h.last == cmd.ID {
		h.wrong = append(h.wrong, cmd.ID+" ran, its caller was told otherwise")
	}
}

// draw returns a statement of one of a few sessions.
func (h *history) draw(n int) (*Job, Command) {
	var values []Value
	for _, name := range []string{"v1", "v2"} {
		if h.rng.IntN(3) > 0 {
			values = append(values, Value{name, string(rune('a' + h.rng.IntN(3)))})
		}
	}
	verb := []Verb{Read, Write, Execute}[h.rng.IntN(3)]
	j, cmd := h.statement(verb, fmt.Sprintf("%d.%d", h.steps, n), values...)
	if h.rng.IntN(4) == 0 {
		j.Freshness = cataloger.Latest
	}
	if verb == Execute {
		j.Prepared = &Prepared{Shape: string(rune('p' + h.rng.IntN(3))), Writes: h.rng.IntN(2) == 0}
		j.Writes, cmd.Name = j.Prepared.Writes, j.Prepared.Alias()
	}
	return j, cmd
}

func (h *history) transaction() {
	j, cmd := h.draw(0)
	tx, _ := h.startTx(h.upstreams[h.rng.IntN(2)], j, Command{Verb: []Verb{Begin, BeginRead}[h.rng.IntN(2)]}, cmd)
	if tx == nil {
		return
	}
	for n := range h.rng.IntN(3) {
		j, cmd = h.draw(n + 1)
		if tx.Do(j, cmd).Code != OK {
			break
		}
	}
	if h.rng.IntN(2) == 0 {
		j, cmd = h.draw(9)
		cmd.Verb, j.Prepared, j.Writes = Commit, nil, false
		tx.Commit(j, cmd)
		return
	}
	tx.Rollback()
}
