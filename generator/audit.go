package generator

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/checker"
)

// Audit reads the table through the first address that answers and adds the
// ledger's audit to the report. It reads in a transaction that also writes: that
// can only commit on the primary, whose log holds all that was acknowledged, and
// doesn't rely on what is audited. Ledger must be that of the run.
func (g Generator) Audit(ctx context.Context, r *Report) error {
	if g.Ledger == nil {
		return errors.New("generator: no ledger to audit")
	}
	g.fill()
	var last error
	for i, addr := range g.Addrs {
		session := g.Name + "audit" + strconv.Itoa(i) + "at" + strconv.FormatInt(time.Now().UnixNano(), 36)
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
	for _, sql := range []string{"BEGIN", insert} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return nil, err
		}
	}
	lines, err := conn.Exec(ctx, "SELECT id, seat, session FROM "+g.Table)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Exec(ctx, "COMMIT"); err != nil {
		return nil, err
	}
	rows := make([]checker.Row, 0, len(lines))
	for _, l := range lines {
		if len(l) != 3 {
			return nil, errors.Newf("generator: %d columns", len(l))
		}
		rows = append(rows, checker.Row{Group: g.Group, ID: l[0], Seat: l[1], Session: l[2]})
	}
	return rows, nil
}
