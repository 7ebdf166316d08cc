package marker

import "time"

// peers is what a proxy has promised to the others and heard of them.
type peers struct {
	due   time.Time            // when to ping next
	sent  map[uint64]time.Time // pings without an answer, by serial
	bound map[string]time.Time // until when a promise to a home binds
	quiet map[string]bool      // homes that let a question go unanswered
	// confirmed is the latest time at which another proxy was surely at this
	// view, and joined when this proxy first had such word.
	confirmed time.Time
	joined    time.Time
}

func (p *peers) start() {
	p.sent = make(map[uint64]time.Time)
	p.bound = make(map[string]time.Time)
	p.quiet = make(map[string]bool)
}

// ping asks all others for their promise.
func (m *Marker) ping() {
	p := &m.peers
	if m.now.Before(p.due) || len(m.view.members) < 2 {
		return
	}
	lease := m.Settings.lease()
	p.due = m.now.Add(lease / pingsPerLease)
	for serial, sent := range p.sent {
		if m.now.Sub(sent) > lease {
			delete(p.sent, serial)
		}
	}
	for _, name := range m.view.members {
		if name == m.Settings.Self {
			continue
		}
		serial := m.nextSerial()
		p.sent[serial] = m.now
		m.send(name, Ping{Serial: serial, Version: m.view.version})
	}
}

// pinged promises, if both are at the same view.
func (m *Marker) pinged(from string, msg Ping) {
	if msg.Version != m.view.version {
		return
	}
	m.peers.bound[from] = m.now.Add(m.Settings.grace())
	m.send(from, Pong(msg))
}

// ponged takes a promise in. It counts from when it was asked for.
func (m *Marker) ponged(from string, msg Pong) {
	p := &m.peers
	sent, ok := p.sent[msg.Serial]
	delete(p.sent, msg.Serial)
	if !ok || msg.Version != m.view.version {
		return
	}
	delete(p.quiet, from)
	if p.confirmed.Before(sent) {
		p.confirmed = sent
	}
	if p.joined.IsZero() {
		p.joined = m.now
	}
	m.home.promised(from, sent, m.now, len(m.view.members)-1)
}
