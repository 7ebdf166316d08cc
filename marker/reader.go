package marker

import (
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

// read is a read whose mark is being looked for.
type read struct {
	Read
	home  string
	token uint64    // of the home, to complete its knowledge
	until time.Time // when the home's answer is no longer waited for
	tries int       // checks that failed
}

// read looks for the mark of a read.
func (m *Marker) read(e Read) {
	r := &read{Read: e}
	if e.Key.Session == "" || m.Settings.CheckOnly {
		m.check(r)
		return
	}
	r.home = m.view.home(e.Key)
	if r.home == m.Settings.Self {
		m.answered(r, m.lookup(e.Key))
		return
	}
	if r.home == "" || m.peers.quiet[r.home] {
		m.check(r)
		return
	}
	serial := m.nextSerial()
	r.until = m.now.Add(m.Settings.answer())
	m.reads[serial] = r
	m.asked = append(m.asked, serial)
	m.send(r.home, Get{Serial: serial, Key: e.Key})
}

// found takes a home's answer in. One that came too late finds no read.
func (m *Marker) found(from string, msg Found) {
	r, ok := m.reads[msg.Serial]
	if !ok || r.home != from {
		return
	}
	delete(m.reads, msg.Serial)
	m.answered(r, msg.Answer)
}

// answered lets the read go with the home's mark, or has the primary checked.
func (m *Marker) answered(r *read, a tracker.Answer) {
	if a.Known {
		m.out = append(m.out, Release{ID: r.ID, Mark: a.Mark, Source: FromHome})
		return
	}
	r.token = a.Token
	m.check(r)
}

// expireReads has the primary checked for reads whose home is silent. The home
// is not asked again until it gives a sign of life.
func (m *Marker) expireReads() {
	n := 0
	for _, serial := range m.asked {
		r, ok := m.reads[serial]
		if ok && m.now.Before(r.until) {
			break
		}
		n++
		if ok {
			delete(m.reads, serial)
			m.peers.quiet[r.home] = true
			m.check(r)
		}
	}
	m.asked = slices.Delete(m.asked, 0, n)
}

// checked lets a read go with what a check has found, and tells the home.
func (m *Marker) checked(r *read, mark tracker.Mark) {
	m.out = append(m.out, Release{ID: r.ID, Mark: mark, Source: FromCheck})
	if r.token == 0 {
		return
	}
	msg := Complete{Key: r.Key, Token: r.token, Mark: mark}
	if r.home == m.Settings.Self {
		m.home.complete(msg)
		return
	}
	m.send(r.home, msg)
}
