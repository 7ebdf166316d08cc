package delegator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/modeler"
)

// drawn is how many histories are drawn: go test ./delegator -histories 100000.
var drawn = flag.Int("histories", 400, "number of drawn histories")

const (
	testShare   = 6
	historyTime = 40 * time.Second
	borrowers   = 4
)

// variant breaks a rule of the accounting, to show that the histories find it.
type variant struct {
	// afterLender is called after the lender has handled an event.
	afterLender func(*Lender)
	// fromReceipt counts the time of a loan from when its grant arrives.
	fromReceipt bool
	// noStartupDelay uses the whole share right after a start.
	noStartupDelay bool
	// spare has loans between three gateways too.
	spare bool
	// beforeSpare is called before a SpareLender handles an event, and afterSpare after that.
	beforeSpare, afterSpare func(*SpareLender)
	// together makes loans of both kinds at a time.
	together bool
}

// process is one process of a history. The first is the lender, which has a share.
type process struct {
	name     string
	gateway  bool
	start    int64
	offset   time.Duration // of its clock
	rate     float64
	down     bool
	paused   bool
	backlog  []func() // what happens when it resumes
	reaches  bool     // the leader
	open     int
	limit    int
	until    time.Time // by its clock
	lender   *Lender
	borrower *Borrower
	bootedAt time.Time // by its clock
	cutUntil time.Time // the link between it and the lender is cut until then
	enabled  bool
	share    int
	spare    *SpareLender
	taker    *SpareBorrower
	extras   []Extra
}

// history is one drawn course of events.
type history struct {
	modeler.Clock
	rng       *rand.Rand
	procs     []*process
	variant   variant
	accepted  int
	recalled  int
	received  int // loans between gateways
	violation string
}

func newHistory(seed uint64, v variant) *history {
	h := &history{Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(seed, 1)), variant: v}
	for i := range v.gateways() + borrowers {
		p := &process{name: fmt.Sprint("p", i), gateway: i < v.gateways(), offset: time.Duration(h.rng.Int64N(int64(time.Hour))), rate: 0.99 + 0.02*h.rng.Float64(), share: testShare}
		h.procs = append(h.procs, p)
		h.boot(p)
		h.After(h.upTo(100*time.Millisecond), func() { h.tick(p) })
	}
	h.After(h.upTo(2*time.Second), h.disturb)
	return h
}

func (h *history) upTo(d time.Duration) time.Duration { return time.Duration(h.rng.Int64N(int64(d))) }

func (h *history) chance(p float64) bool { return h.rng.Float64() < p }

// local returns the time by a process's clock.
func (h *history) local(p *process) time.Time {
	return h.Now.Add(p.offset + time.Duration((p.rate-1)*float64(h.Now.Sub(time.Unix(1_800_000_000, 0)))))
}

func (h *history) boot(p *process) {
	p.start = h.rng.Int64()
	p.down, p.paused, p.backlog, p.open, p.limit, p.until = false, false, nil, 0, 0, time.Time{}
	p.bootedAt, p.enabled = h.local(p), true
	p.reaches = h.chance(0.4)
	p.lender = &Lender{Self: fmt.Sprint(p.name, "/", p.start)}
	p.borrower = &Borrower{Start: p.start}
	if p.gateway {
		p.reaches = h.variant.spare
		p.limit = Kept
	}
	p.spare, p.taker, p.extras = &SpareLender{Self: p.lender.Self, Upstream: "a"}, &SpareBorrower{Start: p.start, Upstream: "a"}, nil
}

// do runs something in a process, when it resumes if it is paused, or never if it is down.
func (h *history) do(p *process, f func()) {
	switch {
	case p.down:
	case p.paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
		h.check()
	}
}

// disturb draws the next thing that happens to a process.
func (h *history) disturb() {
	h.After(h.upTo(1500*time.Millisecond), h.disturb)
	p := h.procs[0]
	if h.variant.spare {
		p = h.procs[h.rng.IntN(len(h.procs))]
	} else if h.chance(0.6) {
		p = h.procs[1+h.rng.IntN(borrowers)]
	}
	switch h.rng.IntN(8) {
	case 0, 1:
		p.reaches = !p.reaches && !p.gateway || h.chance(0.3)
	case 2:
		p.paused = !p.down
		h.After(h.upTo(4*time.Second), func() { h.resume(p) })
	case 3:
		p.down, p.open = true, 0
		h.After(h.upTo(3*time.Second), func() { h.boot(p) })
	case 4:
		p.enabled = !p.enabled
	case 5:
		p.share = testShare - h.rng.IntN(3)
	default:
		p.cutUntil = h.Now.Add(h.upTo(5 * time.Second))
	}
}

func (h *history) resume(p *process) {
	p.paused, p.open = false, min(p.open, h.bound(p)) // before anything else is done
	todo := append(p.backlog, func() { h.pass(p) })
	p.backlog = nil
	h.rng.Shuffle(len(todo), func(i, j int) { todo[i], todo[j] = todo[j], todo[i] })
	for _, f := range todo {
		h.do(p, f)
	}
}

// tick lets time pass in a process, about 20 times a second, seldom later.
func (h *history) tick(p *process) {
	next := 50*time.Millisecond + h.upTo(20*time.Millisecond)
	if h.chance(0.05) {
		next += h.upTo(250 * time.Millisecond)
	}
	h.After(next, func() { h.tick(p) })
	h.do(p, func() { h.pass(p) })
}

// pass has a process handle the passing of time.
func (h *history) pass(p *process) {
	if p.gateway {
		h.lend(p, Tick{h.view(p)})
		if h.variant.spare {
			h.execute(p, p.taker.Handle(Passed{}, h.spareSituation(p), h.local(p)), nil)
			h.lendSpare(p, SpareTick{h.spareView(p)})
		}
		return
	}
	h.execute(p, p.borrower.Handle(Passed{}, h.situation(p), h.local(p)), nil)
}

func (h *history) view(p *process) View {
	isFree := p.spare.IsIdle() && p.taker.IsIdle() || h.variant.together
	v := View{Enabled: p.enabled && isFree, Leader: "a", Lendable: true, Reached: p.reaches, Share: h.shareOf(p), Open: p.open}
	for _, o := range h.procs[h.variant.gateways():] {
		v.Peers = append(v.Peers, Peer{Name: o.name})
	}
	return v
}

// shareOf returns the lender's share, of which little is used after a start.
func (h *history) shareOf(p *process) int {
	if h.local(p).Sub(p.bootedAt) < StartupDelay && !h.variant.noStartupDelay {
		return Kept
	}
	return p.share
}

func (h *history) lend(p *process, event any) {
	commands := p.lender.Handle(event, h.local(p))
	if h.variant.afterLender != nil {
		h.variant.afterLender(p.lender)
	}
	h.execute(p, commands, nil)
	h.use(p)
}

func (h *history) situation(p *process) Situation {
	s := Situation{Reached: p.reaches, Held: p.open, Busy: p.open}
	if p.open > 0 && h.chance(0.2) {
		s.Busy = 0
	}
	if !p.enabled {
		s.Refusal = "off"
	}
	return s
}

// execute carries out the commands of a process; respond sends the reply to a message.
func (h *history) execute(p *process, commands []Command, respond func(Reply)) {
	for _, cmd := range commands {
		switch c := cmd.(type) {
		case Limit:
			p.limit = c.Count
		case Unlimit:
			if !p.gateway {
				p.limit, p.open = 0, 0
			}
		case Send:
			h.send(p, c)
		case Hold:
			p.limit, p.open, p.until = c.Count, c.Count, c.Until
		case Extend:
			p.extras = c.Extras
			p.open = min(p.open, h.bound(p))
			h.use(p)
		case Close:
			p.limit, p.open = 0, 0
		case Check:
			start := p.start
			h.After(h.upTo(CheckTimeout), func() {
				h.do(p, func() {
					if p.start == start {
						h.execute(p, p.borrower.Handle(Checked{Lender: c.Lender, Seq: c.Seq, Leads: p.reaches}, h.situation(p), h.local(p)), respond)
					}
				})
			})
		case Respond:
			respond(c.Reply)
		case Report:
			h.count(c)
		}
	}
}

func (h *history) count(r Report) {
	switch r.Kind {
	case Accepted:
		h.accepted++
	case Recalled:
		h.recalled++
	case Received:
		if slices.ContainsFunc(h.procs[:h.variant.gateways()], func(p *process) bool { return p.spare != nil && p.spare.limited && p.spare.Self == r.Peer }) {
			h.received++
		}
	}
}

// deliver has a message arrive between the lender and a borrower: lost, late, and twice as is
// drawn.
func (h *history) deliver(p, borrower *process, f func()) {
	for range 1 + h.rng.IntN(8)/7 {
		if h.chance(0.1) || h.Now.Before(borrower.cutUntil) {
			continue
		}
		delay := h.upTo(20 * time.Millisecond)
		if h.chance(0.15) {
			delay = h.upTo(4 * time.Second)
		}
		h.After(delay, func() { h.do(p, f) })
	}
}

func (h *history) send(p *process, s Send) {
	start := p.start
	answered := false
	answer := func(a Answered) {
		if p.start == start {
			answered = true
			if s.Spare {
				h.lendSpare(p, a)
				return
			}
			h.lend(p, a)
		}
	}
	h.After(s.Timeout, func() {
		h.do(p, func() {
			if !answered {
				answer(Answered{Seq: s.Seq, Lost: true})
			}
		})
	})
	var to *process
	for _, o := range h.procs {
		if o.name == s.To.Name {
			to = o
		}
	}
	h.deliver(to, to, func() {
		respond := func(r Reply) { h.deliver(p, to, func() { answer(Answered{Seq: s.Seq, Reply: r}) }) }
		var event any
		if s.Lend != nil {
			lend := *s.Lend
			if h.variant.fromReceipt && lend.Echo.Start == to.start {
				lend.Echo.At = h.local(to).UnixNano()
			}
			event = Lent{lend}
		} else {
			event = Returned{*s.Return}
		}
		if s.Spare {
			h.execute(to, to.taker.Handle(event, h.spareSituation(to), h.local(to)), respond)
			return
		}
		h.execute(to, to.borrower.Handle(event, h.situation(to), h.local(to)), respond)
	})
}

// check counts the connections out of the lenders' shares. Those of a process that is paused
// beyond its loan are not in use, and are closed first when it resumes.
func (h *history) check() {
	total := 0
	for _, p := range h.procs {
		switch {
		case p.gateway && p.paused:
			total += min(p.open, h.bound(p))
		case p.gateway || !p.paused || h.local(p).Before(p.until):
			total += p.open
		}
	}
	if all := testShare * h.variant.gateways(); total > all && h.violation == "" {
		h.violation = fmt.Sprint(total, " connections out of a share of ", all, " at ", h.Now.Sub(time.Unix(1_800_000_000, 0)))
	}
}

// draw plays histories until one breaks the bound, and returns how many loans were accepted
// and recalled.
func draw(n int, v variant) (accepted, recalled, received int, violation string) {
	for seed := range n {
		h := newHistory(uint64(seed), v)
		h.RunFor(historyTime)
		accepted, recalled, received = accepted+h.accepted, recalled+h.recalled, received+h.received
		if h.violation != "" {
			return accepted, recalled, received, fmt.Sprint("history ", seed, ": ", h.violation)
		}
	}
	return accepted, recalled, received, ""
}

// Guards against more connections than an upstream takes: lender and borrowers use the same
// part of them, because a message, a process or a clock is late.
func TestShareIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	accepted, recalled, _, violation := draw(*drawn, variant{})
	is.Equal(violation, "")
	t.Logf("%d histories: %d loans accepted, %d recalled", *drawn, accepted, recalled)
	is.True(accepted > *drawn) // the histories have loans
	is.True(recalled > *drawn)
}

// Guards against more connections than the gateways of a group have together, when they lend
// them to each other and to substitutes.
func TestSharesOfGatewaysAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	accepted, recalled, received, violation := draw(*drawn, variant{spare: true})
	is.Equal(violation, "")
	t.Logf("%d histories: %d loans accepted, %d of them between gateways, %d recalled", *drawn, accepted, received, recalled)
	is.True(received > 2**drawn) // the histories have loans of both kinds
	is.True(accepted-received > *drawn/2)
}

// Guards against histories that would not notice a broken rule.
func TestHistoriesFindBrokenRules(t *testing.T) {
	for name, v := range map[string]variant{
		"no margin": {afterLender: func(l *Lender) {
			for _, c := range l.loans {
				if c.granting && c.expiresAt.Equal(c.sentAt.Add(Duration+Margin)) {
					c.expiresAt = c.expiresAt.Add(-Margin)
				}
			}
		}},
		"share used at once after a recall": {afterLender: func(l *Lender) {
			l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool { return c.recalled })
		}},
		"time counted from the receipt of a loan":  {fromReceipt: true},
		"loans of an earlier start not waited for": {noStartupDelay: true},
		"between gateways, no margin": {spare: true, afterSpare: func(l *SpareLender) {
			for _, c := range l.loans {
				if c.granting && c.expiresAt.Equal(c.sentAt.Add(Duration+Margin)) {
					c.expiresAt = c.expiresAt.Add(-Margin)
				}
			}
		}},
		"between gateways, share used at once after a recall": {spare: true, beforeSpare: func(l *SpareLender) {
			l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool { return c.recalled })
		}},
		"between gateways, granted before own connections are closed": {spare: true, beforeSpare: func(l *SpareLender) {
			for _, c := range l.loans {
				c.ready = c.welcome
			}
		}},
		"between gateways, time counted from the receipt":     {spare: true, fromReceipt: true},
		"between gateways, loans of an earlier start unknown": {spare: true, noStartupDelay: true},
		"of both kinds at a time":                             {spare: true, together: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, _, violation := draw(*drawn, v)
			is.True(violation != "") // the bound is broken
			t.Log(violation)
		})
	}
}
