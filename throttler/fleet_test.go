package throttler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"basildale.example/basildale/cataloger"
)

// tickInterval is the time between two ticks of a process.
const tickInterval = 100 * time.Millisecond

// process is one process of a simulated fleet.
type process struct {
	node      *Node
	address   netip.AddrPort
	skew      time.Duration // of its clock
	offset    time.Duration // of its ticks
	down      bool
	paused    bool     // it neither sends nor receives until it is back
	received  []func() // while it is paused
	partition int      // the part of the fleet that it reaches
	pending   map[uint64]func(Verdict)
	inquiries map[uint64]func(*Message)
}

// event is an action at a moment.
type event struct {
	at     time.Time
	order  int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fleet simulates processes in virtual time.
type fleet struct {
	now       time.Time
	rng       *rand.Rand
	tolerance Tolerance
	quota     cataloger.Quota
	lossRate  float64 // part of the messages
	maxDelay  time.Duration
	processes []*process
	queue     events
	order     int
	requested uint64
	sent      int
	// ranked is whether processes that start are ranked.
	ranked func(*process) bool
	// granted is when each operation was granted, refused counts the others.
	granted []time.Time
	refused int
	// took is how long each verdict took while ranked, and unsure the verdicts without a
	// decision.
	took   []time.Duration
	unsure int
}

func newFleet(n int, tol Tolerance, quota cataloger.Quota, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), tolerance: tol, quota: quota, maxDelay: 2 * time.Millisecond,
	}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7440)
		p := &process{address: address, skew: time.Duration(f.rng.IntN(1000)) * time.Hour, offset: time.Duration(f.rng.IntN(100)) * time.Millisecond}
		f.processes = append(f.processes, p)
		f.start(p)
	}
	return f
}

func (f *fleet) name(p *process) string { return p.address.Addr().String() }

func (f *fleet) after(d time.Duration, action func()) {
	f.order++
	heap.Push(&f.queue, event{f.now.Add(d), f.order, action})
}

// start starts a process without any state of an earlier start.
func (f *fleet) start(p *process) {
	p.down, p.paused, p.received = false, false, nil
	p.pending, p.inquiries = map[uint64]func(Verdict){}, map[uint64]func(*Message){}
	node := &Node{Self: f.name(p), Tolerance: f.tolerance, StartedAt: f.now.Add(p.skew), IsFleetKnown: true}
	node.Ranked = f.ranked != nil && f.ranked(p)
	p.node = node
	f.after(p.offset, func() { f.tick(p, node) })
}

// tick runs a process's tick. Partitioned processes stay in the fleet.
func (f *fleet) tick(p *process, node *Node) {
	if p.down || p.node != node {
		return
	}
	if p.paused {
		p.received = append(p.received, func() { f.tick(p, node) })
		return
	}
	now := f.now.Add(p.skew)
	if !node.joined {
		var others []Member
		for _, o := range f.processes {
			if o != p {
				others = append(others, Member{Name: f.name(o), Address: o.address})
			}
		}
		node.SetFleet(Member{Name: f.name(p)}, others, len(f.processes), now)
	}
	f.send(p, node.Tick(now))
	f.after(tickInterval, func() { f.tick(p, node) })
}

func (f *fleet) send(from *process, out []Envelope) {
	for _, e := range out {
		f.sent++
		to := f.at(e.To)
		if from.partition != to.partition || f.rng.Float64() < f.lossRate {
			continue
		}
		transit := time.Millisecond/2 + time.Duration(f.rng.Int64N(int64(f.maxDelay)))
		f.after(transit, func() { f.receive(to, e.Message, from.address) })
	}
}

func (f *fleet) at(a netip.AddrPort) *process {
	b := a.Addr().As4()
	return f.processes[int(b[1])<<16|int(b[2])<<8|int(b[3])]
}

func (f *fleet) receive(p *process, m Message, from netip.AddrPort) {
	if p.down {
		return
	}
	if p.paused {
		p.received = append(p.received, func() { f.receive(p, m, from) })
		return
	}
	if m.Kind == Reply {
		p.node.Heard(m.From)
		if reply := p.inquiries[m.ID]; reply != nil {
			reply(&m)
		}
		if reply := p.pending[m.ID]; reply != nil {
			delete(p.pending, m.ID)
			reply(m.Verdict)
		}
		return
	}
	quota := func(string) *cataloger.Quota { return &f.quota }
	f.send(p, p.node.Receive(&m, from, quota, f.now.Add(p.skew)))
	if node := p.node; node.HasClaims() {
		f.after(ClaimCheckDelay, func() {
			if p.node == node && !p.down {
				f.send(p, node.Tick(f.now.Add(p.skew)))
			}
		})
	}
}

// resume ends the pause of a process.
func (f *fleet) resume(p *process) {
	received := p.received
	p.paused, p.received = false, nil
	for _, action := range received {
		action()
	}
}

// inquire collects the verdict on an operation as a ranked process does.
func (f *fleet) inquire(p *process, a Ask, finish func(Verdict)) {
	node := p.node
	q := &Inquiry{Ask: a, Until: f.now.Add(p.skew).Add(min(a.Left, 150*time.Millisecond))}
	done := false
	var step func()
	q.NewID = func() uint64 {
		f.requested++
		p.inquiries[f.requested] = func(m *Message) {
			q.Reply(m, f.now.Add(p.skew))
			step()
		}
		return f.requested
	}
	step = func() {
		if done || p.down || p.paused || p.node != node {
			return
		}
		now := f.now.Add(p.skew)
		v, ok, out := q.Step(node, now)
		f.send(p, out)
		if done = ok; done {
			finish(v)
			return
		}
		f.after(max(q.Wake().Sub(now), time.Microsecond), step)
	}
	step()
}

// request makes a process request a token, and repeat that until timeLeft is used up.
func (f *fleet) request(p *process, workspace string, timeLeft time.Duration) {
	began := f.now
	f.ask(p, Ask{Workspace: workspace, Quota: f.quota, Rank: len(f.took) % 5, Left: timeLeft}, func(v Verdict) {
		f.took = append(f.took, f.now.Sub(began))
		switch {
		case v.Granted:
			f.granted = append(f.granted, f.now)
		case v.Undecided:
			f.unsure++
			f.refused++
		default:
			f.refused++
		}
	})
}

// ask collects the verdict on an operation, and asks again for its time while that is undecided.
func (f *fleet) ask(p *process, a Ask, finish func(Verdict)) {
	if p.down || p.paused {
		return
	}
	if p.node.Ranked {
		f.inquire(p, a, finish)
		return
	}
	now := f.now.Add(p.skew)
	owner, remote := p.node.Owner(a.Workspace)
	decide := func(v Verdict) {
		if v.Undecided && a.Left > v.RetryAfter {
			wait := max(v.RetryAfter, time.Millisecond)
			a.Left -= wait
			f.after(wait, func() { f.ask(p, a, finish) })
			return
		}
		finish(v)
	}
	if !remote {
		v, out := p.node.Take(a.Workspace, a.Quota, now)
		f.send(p, out)
		decide(v)
		return
	}
	f.requested++
	id := f.requested
	p.pending[id] = decide
	f.send(p, []Envelope{{owner.Address, Message{Kind: Request, From: NewID(f.name(p)), To: NewID(owner.Name), ID: id, Workspace: a.Workspace}}})
	const timeout = 240 * time.Millisecond
	f.after(timeout, func() {
		if reply := p.pending[id]; reply != nil {
			delete(p.pending, id)
			p.node.OwnerTimedOut(NewID(owner.Name), f.now.Add(p.skew))
			a.Left -= timeout
			reply(Verdict{Undecided: true})
		}
	})
}

// run runs the simulation for a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.action()
	}
	f.now = end
}

// maxGranted returns the largest number of operations granted in a window.
func (f *fleet) maxGranted(window time.Duration) int {
	most, first := 0, 0
	for last, at := range f.granted {
		for at.Sub(f.granted[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// allowed returns the number of operations that the tolerance allows in a window.
func (f *fleet) allowed() float64 {
	return (f.quota.Rate*f.tolerance.Window.Seconds()+f.quota.Burst)*(1+f.tolerance.Excess) + f.tolerance.Slack
}

// load makes operations arrive at some processes, at a rate in the mean.
func (f *fleet) load(rate float64, at []int, d time.Duration) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		f.request(f.processes[at[f.rng.IntN(len(at))]], "w", 600*time.Millisecond)
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func (f *fleet) String() string {
	return fmt.Sprintf("granted %d, refused %d, fullest window %d of %.0f", len(f.granted), f.refused, f.maxGranted(f.tolerance.Window), f.allowed())
}
