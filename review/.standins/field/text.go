package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

const (
	// cutFor is how long the primary is partitioned from one proxy, and pace the time between two
	// operations of the caller.
	cutFor = 5 * time.Second
	pace   = 100 * time.Millisecond
	// lasts is how long the caller goes on.
	lasts = 9 * time.Second
	// oldSeat is written before the partition, and the others are two seats whose names differ in
	// one letter that is not ASCII.
	oldSeat    = "seat-old"
	firstSeat  = "r\xe6kke-4"
	secondSeat = "r\xf8kke-4"
)

// playText has one caller of one proxy write and read seats whose names are in ISO 8859-1, as
// an old ticket office writes them, while the primary is partitioned from that proxy. Whatever
// a backend runs must have the text that the caller sent, and a read must return the rows that
// the backend returned.
func playText(p *play) (int, error) {
	proxy, primary := p.fleet.processes[0], p.backends[0]
	c, err := open(p.rec, "kiosk-1", proxy, "pladser")
	if err != nil {
		return notRun, err
	}
	defer func() { c.close() }()
	if p.trouble {
		time.AfterFunc(time.Second, func() { p.cut(primary, proxy, true) })
		time.AfterFunc(time.Second+cutFor, func() { p.cut(primary, proxy, false) })
	}
	if _, r := c.ask("WRITE " + oldSeat + " Sm\xf8rrebr\xf8d"); !r.ok() {
		return notRun, errors.New("the first write failed")
	}
	written, read, changedRows := 0, 0, 0
	check := func(item string) (lost bool) {
		id, r := c.ask("READ " + item)
		if r.ok() && len(r.rows) == 1 {
			read++
			if row := p.rec.row(id); row != r.rows[0] {
				changedRows++
				p.rec.line("BROKEN: the backend returned %s for %s and the caller got %s", strconv.QuoteToASCII(row), id, strconv.QuoteToASCII(r.rows[0]))
			}
		}
		return r.lost
	}
	checkTwo := func() (lost bool) {
		_, first := c.ask("WRITE " + firstSeat + " Hansen")
		_, second := c.ask("WRITE " + secondSeat + " Jensen")
		if !first.ok() || !second.ok() {
			return first.lost || second.lost
		}
		_, r := c.ask("READ " + firstSeat)
		if r.ok() && len(r.rows) == 1 && r.rows[0] != "Hansen" {
			changedRows++
			p.rec.line("BROKEN: a read of the first seat got %s, which was written to the second one", strconv.QuoteToASCII(r.rows[0]))
		}
		return r.lost
	}
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
		item := fmt.Sprintf("seat-%d", n)
		_, w := c.ask(fmt.Sprintf("WRITE %s K\xf8benhavn-Sk\xf8rping-%d", item, n))
		if w.ok() {
			written++
			w.lost = check(item)
		}
		if !w.lost {
			w.lost = check(oldSeat)
		}
		if w.lost {
			c.close()
			if c, err = reopen(p, c); err != nil {
				return notRun, err
			}
		}
		if n%10 == 5 && !w.lost {
			w.lost = checkTwo()
		}
		time.Sleep(pace)
	}
	forwarded, changed := p.rec.changed(proxy.name)
	p.rec.line("writes acknowledged %d, reads answered %d, statements that other proxies ran %d", written, read, forwarded)
	p.rec.line("statements run with changed text %d, reads answered with other rows %d", changed, changedRows)
	switch {
	case changed > 0 || changedRows > 0:
		return broken, nil
	case written == 0 || p.trouble && forwarded == 0:
		return notRun, errors.New("nothing was written, or nothing was forwarded")
	}
	return held, nil
}

func reopen(p *play, before *caller) (*caller, error) {
	var err error
	for range 50 {
		var c *caller
		if c, err = open(p.rec, before.name, before.to, "pladser"); err == nil {
			c.n = before.n
			return c, nil
		}
		time.Sleep(pace)
	}
	return before, err
}

func (p *play) cut(b *backend, from *process, cut bool) {
	b.partition(from.name, cut)
	p.rec.line("%s is partitioned from %s: %v", b.id, from.name, cut)
}

// row returns what a backend returned for a request.
func (r *record) row(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[id]
}

// changed returns how many statements backends ran that did not come from a proxy, and how many
// of all had another text than the caller sent.
func (r *record) changed(proxy string) (others, changed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.from != proxy {
			others++
		}
		if r.sent[run.id] != run.text {
			changed++
			r.write(fmt.Sprintf("BROKEN: %s was sent as %s and run as %s", run.id, strconv.QuoteToASCII(r.sent[run.id]), strconv.QuoteToASCII(run.text)))
		}
	}
	return others, changed
}
