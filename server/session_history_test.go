package server

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"basildale.example/basildale/internal/faker/upstream"
)

// Guards against any sequence of refusals, rollbacks, lost connections and missed
// deadlines after which a statement runs with other settings than its session's.
func TestStatementsRunWithTheirSessionsSettings(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := startStateful(t, 2)
			h := &history{stateful: s, rng: rand.New(rand.NewPCG(seed, 64))}
			for range 4 {
				h.sessions = append(h.sessions, &drawn{conn: s.session(), values: map[string]string{}})
			}
			for range 150 {
				h.step(h.sessions[h.rng.IntN(len(h.sessions))])
			}
		})
	}
}

// history draws what sessions and their upstream do.
type history struct {
	*stateful
	rng      *rand.Rand
	sessions []*drawn
}

// drawn is a session and the settings that it was acknowledged.
type drawn struct {
	conn   *pgx.Conn
	values map[string]string
}

func (h *history) step(d *drawn) {
	switch h.rng.IntN(13) {
	case 0:
		h.query(d, "RESET ALL")
	case 1:
		h.query(d, "DISCARD ALL")
	case 2, 3, 4:
		h.query(d, h.change())
	case 5:
		h.query(d, h.change()+"; "+h.change())
	case 6:
		h.query(d, h.change()+"; SELECT id FROM nowhere")
	case 7, 8, 9:
		h.transaction(d)
	case 10:
		h.flushed(d)
	case 11:
		h.group.Upstreams[0].Cut(upstream.Cut{})
		h.group.Upstreams[0].Restore()
	default:
		h.late(d)
	}
	h.compare(d)
}

// late sends a change whose deadline passes: it has no effect on its session,
// though it may run later.
func (h *history) late(d *drawn) {
	if err := run(h.t, d.conn, "SET basildale.deadline = 2"); err != nil {
		h.t.Fatal(err)
	}
	inside := h.rng.IntN(2) == 0
	if inside {
		_ = run(h.t, d.conn, "BEGIN")
	}
	h.group.Upstreams[0].Freeze()
	err := run(h.t, d.conn, h.change())
	h.group.Upstreams[0].Thaw()
	if err == nil {
		h.t.Fatal("answered by a frozen upstream")
	}
	if inside {
		_ = run(h.t, d.conn, "COMMIT")
	}
	if err := run(h.t, d.conn, "RESET basildale.deadline"); err != nil {
		h.t.Fatal(err)
	}
}

// change returns a statement that changes a setting.
func (h *history) change() string {
	name := string("vw"[h.rng.IntN(2)])
	switch h.rng.IntN(6) {
	case 0:
		return "RESET " + name
	case 1:
		return "SET " + name + " = 'refused'"
	default:
		return "SET " + name + " = '" + string("abc"[h.rng.IntN(3)]) + "'"
	}
}

// query sends a query outside of a transaction. It changes all or nothing.
func (h *history) query(d *drawn, sql string) {
	if run(h.t, d.conn, sql) == nil {
		d.values = after(d.values, sql)
	}
}

// after returns what the values are after the statements of a text.
func after(values map[string]string, text string) map[string]string {
	next := maps.Clone(values)
	for sql := range strings.SplitSeq(text, "; ") {
		words := strings.Fields(sql)
		switch {
		case words[0] == "SET":
			next[words[1]] = strings.Trim(words[3], "'")
		case len(words) > 1 && words[1] == "ALL":
			clear(next)
		case words[0] == "RESET":
			delete(next, words[1])
		}
	}
	return next
}

// transaction draws a transaction with a savepoint. Some end by an error of the
// proxy, some lose their connection.
func (h *history) transaction(d *drawn) {
	if run(h.t, d.conn, "BEGIN") != nil {
		return
	}
	values, saved := d.values, map[string]string{}
	for range h.rng.IntN(6) {
		sql := h.change()
		switch h.rng.IntN(8) {
		case 0:
			sql = "SAVEPOINT s"
		case 1:
			sql = "ROLLBACK TO s"
		case 2:
			sql = "SELECT id FROM nowhere"
		case 3:
			sql += "; SELECT id FROM nowhere"
		case 4:
			if h.rng.IntN(3) == 0 {
				sql = []string{"LISTEN news", "RESET ALL", "DISCARD ALL"}[h.rng.IntN(3)]
			}
		case 5:
			if h.rng.IntN(3) == 0 {
				h.group.Upstreams[0].Cut(upstream.Cut{})
				h.group.Upstreams[0].Restore()
			}
		}
		err := run(h.t, d.conn, sql)
		switch {
		case err != nil:
		case sql == "SAVEPOINT s":
			saved = values
		case sql == "ROLLBACK TO s":
			values = saved
		default:
			values = after(values, sql)
		}
	}
	end := []string{"COMMIT", "COMMIT", "ROLLBACK"}[h.rng.IntN(3)]
	results, err := d.conn.PgConn().Exec(h.t.Context(), end).ReadAll()
	if err == nil && results[0].CommandTag.String() == "COMMIT" {
		d.values = values
	}
}

// flushed sends a batch in two parts, the second of which may fail.
func (h *history) flushed(d *drawn) {
	first, second := h.change(), h.change()
	if h.rng.IntN(2) == 0 {
		second = "SELECT id FROM nowhere"
	}
	front := d.conn.PgConn().Frontend()
	list := append(append(statement(first), &pgproto3.Flush{}), statement(second)...)
	for _, m := range append(list, &pgproto3.Sync{}) {
		front.Send(m)
	}
	if err := front.Flush(); err != nil {
		h.t.Fatal(err)
	}
	failed := false
	for {
		answer, err := front.Receive()
		if err != nil {
			h.t.Fatal(err)
		}
		switch answer.(type) {
		case *pgproto3.ErrorResponse:
			failed = true
		case *pgproto3.ReadyForQuery:
			if !failed {
				d.values = after(d.values, first+"; "+second)
			}
			return
		}
	}
}

// compare looks whether a statement runs with the session's settings.
func (h *history) compare(d *drawn) {
	h.t.Helper()
	for _, name := range []string{"v", "w"} {
		if got := show(h.t, d.conn, name); got != d.values[name] {
			h.t.Fatalf("%s is %q, the session has %q", name, got, d.values[name])
		}
	}
}
