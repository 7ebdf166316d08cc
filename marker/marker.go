package marker

import (
	"time"
)

// Marker is the state machine of one proxy. Its zero value with Settings works.
// It belongs to one goroutine.
type Marker struct {
	Settings Settings

	now    time.Time
	out    []Command
	serial uint64

	view  view
	older []view // views before, while promises given in them may bind
	peers peers
	home  home

	reads  map[uint64]*read // by the serial of Get
	asked  []uint64         // the serials in the order of sending
	writes []*write
	checks []*checker
}

// Step takes an event in and returns what to do. The commands are valid until
// the next call.
func (m *Marker) Step(e Event, now time.Time) []Command {
	m.now = now
	m.out = m.out[:0]
	m.start()
	switch e := e.(type) {
	case Viewed:
		m.viewed(e)
	case Read:
		m.read(e)
	case Wrote:
		m.wrote(e)
	case Stated:
		m.stated(e)
	case Received:
		m.received(e.From, e.Message)
	}
	m.tick()
	return m.out
}

// start makes the maps of a fresh Marker.
func (m *Marker) start() {
	if m.reads != nil {
		return
	}
	m.reads = make(map[uint64]*read)
	m.peers.start()
	m.home.start(&m.Settings)
	m.serial = m.Settings.Seed
}

// received takes a message in.
func (m *Marker) received(from string, msg Message) {
	switch msg := msg.(type) {
	case Get:
		a := m.lookup(msg.Key)
		m.send(from, Found{Serial: msg.Serial, Answer: a})
	case Found:
		m.found(from, msg)
	case Put:
		m.home.sessions.Put(msg.Key, msg.Mark)
		m.send(from, Taken{Serial: msg.Serial})
	case Taken:
		m.taken(msg)
	case Complete:
		m.home.complete(msg)
	case Ping:
		m.pinged(from, msg)
	case Pong:
		m.ponged(from, msg)
	}
}

// tick does what is due.
func (m *Marker) tick() {
	m.ping()
	m.expireReads()
	for _, c := range m.checks {
		m.runCheck(c)
	}
	m.releaseWrites()
}

// Next returns when [Tick] is due at the latest. The zero time means never.
func (m *Marker) Next() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(m.view.members) > 1 {
		sooner(m.peers.due)
	}
	for _, serial := range m.asked {
		if r, ok := m.reads[serial]; ok {
			sooner(r.until)
			break
		}
	}
	for _, c := range m.checks {
		sooner(c.due(&m.Settings))
	}
	for _, w := range m.writes {
		sooner(w.resend)
	}
	return next
}

// Ready reports whether writes of named sessions can be acknowledged at present.
// While it is false they are better refused before they run: this proxy is cut
// off from the others, or has just joined them.
func (m *Marker) Ready(now time.Time) bool {
	return m.Settings.CheckOnly || m.standing(now)
}

func (m *Marker) send(to string, msg Message) {
	m.out = append(m.out, Send{To: to, Message: msg})
}

func (m *Marker) nextSerial() uint64 {
	m.serial++
	return m.serial
}
