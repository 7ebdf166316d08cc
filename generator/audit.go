package generator

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/checker"
)

// Audit reads the table through the first address that answers and adds the
// ledger's audit to the report. The auditing session books a row first: it must
// read its own write, and whatever shows that shows all that was acknowledged
// before. Ledger must be that of the run.
func (g Generator) Audit(ctx context.Context, r *Report) error {
	if g.Ledger == nil {
		return errors.New("generator: no ledger to audit")
	}
	g.fill()
	session := g.Name + "audit" + strconv.FormatInt(time.Now().UnixNano(), 36)
	var last error
	for _, addr := range g.Addrs {
		conn, err := g.Connect(ctx, addr, session)
		if err != nil {
			last = err
			continue
		}
		rows, err := g.contents(ctx, conn, session)
		conn.Close()
		if err == nil {
			report := g.Ledger.Audit(rows)
			r.Audit = &report
			return nil
		}
		last = err
	}
	return errors.Wrap(last, "generator: audit")
}

func (g *Generator) contents(ctx context.Context, conn Conn, session string) ([]checker.Row, error) {
	insert := "INSERT INTO " + g.Table + " (id, seat, session) VALUES ('" + session + "', '" + session + "', '" + session + "')"
	if _, err := conn.Exec(ctx, insert); err != nil {
		return nil, err
	}
	lines, err := conn.Exec(ctx, "SELECT id, seat, session FROM "+g.Table)
	if err != nil {
		return nil, err
	}
	rows := make([]checker.Row, 0, len(lines))
	seen := false
	for _, l := range lines {
		if len(l) != 3 {
			return nil, errors.Newf("generator: %d columns", len(l))
		}
		seen = seen || l[0] == session
		rows = append(rows, checker.Row{Group: g.Group, ID: l[0], Seat: l[1], Session: l[2]})
	}
	if !seen {
		return nil, errors.New("generator: the audit did not see its own booking")
	}
	return rows, nil
}
