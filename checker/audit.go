package checker

// audit is one comparison of the ledger with the final rows.
type audit struct {
	ledger *Ledger // a copy that takes the findings
	rows   map[string][]Row
	report Report
}

func (a *audit) run() {
	for _, e := range a.ledger.order {
		a.booking(e)
	}
	a.seats()
	a.transactions()
}

func (a *audit) booking(e *entry) {
	rows := a.rows[e.ID]
	switch e.outcome {
	case Done:
		a.report.Acknowledged++
		if len(rows) == 0 {
			a.ledger.find(Lost, "booking %s was acknowledged and isn't there", e.ID)
		}
	case NotRun:
		a.report.Refused++
		if len(rows) > 0 {
			// Its caller asks again, with another ID, and has both.
			a.ledger.find(Doubled, "booking %s was reported as not run and is there", e.ID)
		}
	case Unknown, Repeated:
		a.report.Unknown++
		if len(rows) > 0 {
			a.report.Present++
		}
	}
	if len(rows) > 1 {
		a.ledger.find(Doubled, "booking %s is there %d times", e.ID, len(rows))
	}
	for _, r := range rows {
		if r.Session != e.Session || r.Seat != e.Seat || r.Group != e.Group {
			a.ledger.find(Mixed, "booking %s of session %s seat %s in %s is there for session %s seat %s in %s",
				e.ID, e.Session, e.Seat, e.Group, r.Session, r.Seat, r.Group)
		}
	}
}

// seats looks for a seat that was sold twice.
func (a *audit) seats() {
	type place struct{ group, seat string }
	held := make(map[place]*entry)
	for _, e := range a.ledger.order {
		if e.outcome != Done || e.Seat == "" {
			continue
		}
		p := place{e.Group, e.Seat}
		if first := held[p]; first != nil {
			a.ledger.find(Doubled, "seat %s is held by bookings %s and %s", e.Seat, first.ID, e.ID)
			continue
		}
		held[p] = e
	}
}

// transactions looks for those of which only a part is there.
func (a *audit) transactions() {
	type tally struct{ all, present int }
	seen := make(map[string]*tally)
	var order []string
	for _, e := range a.ledger.order {
		if e.Tx == "" {
			continue
		}
		t := seen[e.Tx]
		if t == nil {
			t = &tally{}
			seen[e.Tx] = t
			order = append(order, e.Tx)
		}
		t.all++
		if len(a.rows[e.ID]) > 0 {
			t.present++
		}
	}
	for _, tx := range order {
		if t := seen[tx]; t.present != 0 && t.present != t.all {
			a.ledger.find(Mixed, "transaction %s is there in part: %d of %d", tx, t.present, t.all)
		}
	}
}
