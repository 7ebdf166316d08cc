package delegator

import "time"

// receipts holds the last loan of each lender that a borrower has ended or refused, of either
// kind.
type receipts struct{ ended map[string]ended }

type ended struct {
	seq uint64
	at  time.Time
}

// forget drops what no valid token can refer to any more.
func (r *receipts) forget(now time.Time) {
	for lender, e := range r.ended {
		if now.Sub(e.at) >= 2*Duration {
			delete(r.ended, lender)
		}
	}
}

func (r *receipts) markEnded(lender string, seq uint64, now time.Time) {
	if r.ended == nil {
		r.ended = map[string]ended{}
	}
	r.ended[lender] = ended{max(seq, r.ended[lender].seq), now}
}

// hasEnded reports whether a loan has ended here, or was refused.
func (r *receipts) hasEnded(lender string, seq uint64) bool {
	e, ok := r.ended[lender]
	return ok && seq <= e.seq
}

// refuse refuses a loan for good.
func (r *receipts) refuse(out []Command, start int64, lender string, seq uint64, cause string, now time.Time) []Command {
	r.markEnded(lender, seq, now)
	return append(out, refusal(start, cause, true))
}

// refusal returns the response that there is no loan, or no longer. It states the start of
// this process, since a confirmation counts for no other.
func refusal(start int64, cause string, closed bool) Respond {
	return Respond{Reply{Token: Token{Start: start}, Refused: cause, Closed: closed}}
}

func token(start int64, now time.Time) Token { return Token{Start: start, At: now.UnixNano()} }

// until returns when the loan that a Lend grants ends, and whether it grants one.
func until(l Lend, start int64, now time.Time) (time.Time, bool) {
	if l.Echo.Start != start || l.Echo.At == 0 {
		return time.Time{}, false
	}
	issued := time.Unix(0, l.Echo.At)
	end := issued.Add(min(l.Duration, Duration))
	return end, !issued.After(now) && now.Before(end)
}
