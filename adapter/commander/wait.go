package commander

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// slice is the longest that one query waits for a mark. A fence may have to wait
// for it, so it is short beside the time in which a primary is replaced.
const slice = 50 * time.Millisecond

// overdue is how long after its slice the answer to a wait's query may come. The
// connection of an upstream that takes longer is dropped: it is stopped or cut
// off, and a fence would stand behind the query.
const overdue = time.Second

// waiter wants to know when the upstream's log has reached a mark.
type waiter struct {
	mark  tracker.Mark
	until time.Time
	reply chan reply // takes one
}

type reply struct {
	answer Answer
	err    error
}

func (l *link) wait(ctx context.Context, mark tracker.Mark, until time.Time) (Answer, error) {
	w := &waiter{mark: mark, until: until, reply: make(chan reply, 1)}
	if !l.want(w) {
		return Answer{}, errors.Wrap(ErrUnreachable, "closed")
	}
	select {
	case r := <-w.reply:
		return r.answer, r.err
	case <-ctx.Done():
		l.unwant(w)
		return Answer{}, errors.Mark(errors.Wrap(ctx.Err(), "commander: wait"), ErrLost)
	}
}

// want adds a waiter and sees to it that somebody asks for all; false when the
// link is closed.
func (l *link) want(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.wanted[w] = struct{}{}
	if !l.asking {
		l.asking = true
		go l.ask()
	}
	return true
}

func (l *link) unwant(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.wanted, w)
}

// ask queries for all waiters as long as there are any. It runs on its own and
// not in a waiter's context: a waiter that has heard enough, since another
// replica has confirmed its write, would otherwise take the connection with it.
func (l *link) ask() {
	for {
		low, span, ok := l.lowest()
		if !ok {
			return
		}
		l.turn <- struct{}{}
		ctx, cancel := context.WithTimeout(context.Background(), span+overdue)
		ms := strconv.FormatInt(span.Milliseconds(), 10)
		row, err := l.send(ctx, "SELECT * FROM basildale_wait('"+low.String()+"', '"+ms+"')")
		cancel()
		<-l.turn
		var a Answer
		if err == nil {
			a, err = parseAnswer(row)
		}
		l.publish(a, err, time.Now())
	}
}

// lowest returns the lowest mark that is wanted and how long to wait for it; ok
// is false when nobody wants any.
func (l *link) lowest() (low tracker.Mark, span time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span = slice
	for w := range l.wanted {
		if !ok || w.mark.Less(low) {
			low = w.mark
		}
		span = max(min(span, time.Until(w.until)), 0)
		ok = true
	}
	if !ok {
		l.asking = false
	}
	return low, span, ok
}

// publish replies to all whose mark is reached or whose time is over, and to all
// when there was an error: whoever still wants to know asks again.
func (l *link) publish(a Answer, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.wanted {
		if err == nil && a.Mark.Less(w.mark) && now.Before(w.until) {
			continue
		}
		w.reply <- reply{answer: a, err: err}
		delete(l.wanted, w)
	}
}
