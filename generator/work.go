package generator

import (
	"context"
	"strconv"

	"basildale.example/basildale/checker"
)

// ownKept is how many of its bookings a session remembers to look up.
const ownKept = 16

func (s *session) newBooking(tx string) checker.Booking {
	s.count++
	id := bookingID(s.id, s.count)
	b := checker.Booking{ID: id, Group: s.g.Group, Seat: "seat" + id, Session: s.id, Tx: tx}
	s.g.Ledger.Begin(b)
	return b
}

func (s *session) book(ctx context.Context, l *link, r request) (Outcome, string) {
	if r.tx {
		return s.bookTwo(ctx, l, r)
	}
	b := s.newBooking("")
	err := s.insert(ctx, l, b, r.extended)
	o, code := s.sort(ctx, l, err)
	s.end(b, o, code)
	return o, code
}

func (s *session) end(b checker.Booking, o Outcome, code string) {
	s.g.Ledger.End(b.ID, known(o, code))
	if o != Done {
		return
	}
	s.own = append(s.own, b.ID)
	if len(s.own) > ownKept {
		s.own = s.own[1:]
	}
}

func (s *session) insert(ctx context.Context, l *link, b checker.Booking, extended bool) error {
	into := "INSERT INTO " + s.g.Table + " (id, seat, session) VALUES "
	var err error
	if extended {
		_, err = l.conn.Exec(ctx, into+"($1, $2, $3)", b.ID, b.Seat, b.Session)
	} else {
		_, err = l.conn.Exec(ctx, into+"('"+b.ID+"', '"+b.Seat+"', '"+b.Session+"')")
	}
	return err
}

// bookTwo books two seats in one transaction, after a look at the first. An
// error before COMMIT was sent means that nothing has committed.
func (s *session) bookTwo(ctx context.Context, l *link, r request) (Outcome, string) {
	tx := s.id + "t" + strconv.Itoa(s.count)
	one, two := s.newBooking(tx), s.newBooking(tx)
	o, code := s.sort(ctx, l, s.fillTx(ctx, l, r, one, two))
	if o != Done {
		if l.open {
			_, err := l.conn.Exec(ctx, "ROLLBACK")
			s.sort(ctx, l, err)
		}
		if o == Unknown {
			o = NotRun
		}
	} else {
		_, err := l.conn.Exec(ctx, "COMMIT")
		o, code = s.sort(ctx, l, err)
	}
	s.end(one, o, code)
	s.end(two, o, code)
	return o, code
}

func (s *session) fillTx(ctx context.Context, l *link, r request, one, two checker.Booking) error {
	if _, err := l.conn.Exec(ctx, "BEGIN"); err != nil {
		return err
	}
	if _, err := s.read(ctx, l, one.ID, r.extended); err != nil {
		return err
	}
	if err := s.insert(ctx, l, one, r.extended); err != nil {
		return err
	}
	return s.insert(ctx, l, two, r.extended)
}

func (s *session) read(ctx context.Context, l *link, id string, extended bool) ([][]string, error) {
	sql := "SELECT id, seat, session FROM " + s.g.Table + " WHERE id = "
	if extended {
		return l.conn.Exec(ctx, sql+"$1", id)
	}
	return l.conn.Exec(ctx, sql+"'"+id+"'")
}

// target chooses what to look up: an own booking, or one that any session may
// have made.
func (s *session) target(r request) string {
	if r.own && len(s.own) > 0 {
		return s.own[len(s.own)-1]
	}
	if len(s.own) > 0 && r.draw&1 == 0 {
		return s.own[int(r.draw>>1%uint64(len(s.own)))]
	}
	other := sessionID(s.g, int(r.draw>>1%uint64(s.g.Sessions)))
	return bookingID(other, 1+int(r.draw>>32%uint64(s.count+1)))
}

func (s *session) look(ctx context.Context, l *link, r request) (Outcome, string) {
	id := s.target(r)
	expected := s.g.Ledger.Expect(s.id, id)
	rows, err := s.read(ctx, l, id, r.extended)
	o, code := s.sort(ctx, l, err)
	if o != Done {
		return o, code
	}
	s.g.Ledger.Seen(expected, len(rows) > 0)
	s.check(id, rows)
	return o, code
}

func (s *session) check(id string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	if len(rows) > 1 || len(rows[0]) != 3 {
		s.g.Ledger.Garbled("lookup of " + id + ": " + strconv.Itoa(len(rows)) + " rows, " + strconv.Itoa(len(rows[0])) + " columns")
		return
	}
	r := rows[0]
	s.g.Ledger.Answered(id, checker.Row{Group: s.g.Group, ID: r[0], Seat: r[1], Session: r[2]})
}
