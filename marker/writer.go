package marker

import (
	"slices"
	"time"
)

// write is a write whose acknowledgement is held back.
type write struct {
	Wrote
	homes  []string // that have not taken it in yet
	serial []uint64 // of the latest Put to each
	resend time.Time
}

// resends is the number of times the wait for a home's answer after which a put
// is sent again.
const resends = 4

// wrote puts the mark of a write to its session's home.
func (m *Marker) wrote(e Wrote) {
	if e.Key.Session == "" || m.Settings.CheckOnly {
		m.out = append(m.out, Acknowledge{ID: e.ID})
		return
	}
	w := &write{Wrote: e}
	for _, h := range m.homes(e.Key) {
		if h == m.Settings.Self {
			m.home.sessions.Put(e.Key, e.Mark)
			continue
		}
		if h != "" {
			w.homes = append(w.homes, h)
		}
	}
	m.put(w)
	m.writes = append(m.writes, w)
}

// put sends the mark to the homes that have not taken it in.
func (m *Marker) put(w *write) {
	w.serial = w.serial[:0]
	w.resend = m.now.Add(resends * m.Settings.answer())
	for _, h := range w.homes {
		serial := m.nextSerial()
		w.serial = append(w.serial, serial)
		m.send(h, Put{Serial: serial, Key: w.Key, Mark: w.Mark})
	}
}

// taken notes that a home has a write's mark.
func (m *Marker) taken(msg Taken) {
	for _, w := range m.writes {
		if i := slices.Index(w.serial, msg.Serial); i >= 0 {
			w.homes = slices.Delete(w.homes, i, i+1)
			w.serial = slices.Delete(w.serial, i, i+1)
			return
		}
	}
}

// releaseWrites lets writes be acknowledged that no home can be without: each
// has taken it in, or the promise to it has ended.
func (m *Marker) releaseWrites() {
	m.writes = slices.DeleteFunc(m.writes, func(w *write) bool {
		m.lapse(w)
		if len(w.homes) == 0 && m.standing(m.now) {
			m.out = append(m.out, Acknowledge{ID: w.ID})
			return true
		}
		if !m.now.Before(w.resend) {
			m.put(w)
		}
		return false
	})
}

// lapse forgets the homes that this proxy is no longer bound to. They have
// stopped answering for their sessions.
func (m *Marker) lapse(w *write) {
	for i := len(w.homes) - 1; i >= 0; i-- {
		if m.peers.bound[w.homes[i]].Before(m.now) {
			w.homes = slices.Delete(w.homes, i, i+1)
			w.serial = slices.Delete(w.serial, i, i+1)
		}
	}
}
