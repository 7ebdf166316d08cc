package marker

import (
	"time"

	"basildale.example/basildale/tracker"
)

// home is a proxy's knowledge of the sessions whose home it is.
type home struct {
	settings *Settings
	sessions tracker.Sessions
	promises map[string]time.Time // until when each other proxy is bound
	full     time.Time            // when all had promised for the first time
}

func (h *home) start(s *Settings) {
	h.settings = s
	h.sessions.Limit = s.Sessions
	h.sessions.Seed = s.Seed
	h.reset()
}

// reset begins anew with a view.
func (h *home) reset() {
	h.promises = make(map[string]time.Time)
	h.full = time.Time{}
	h.sessions.Clear()
}

// promised takes in a promise of another proxy, asked for at sent. others is the
// number of other proxies in the view.
//
// If the last one had run out before this came, the other may have acknowledged
// a write in between that was never put here. A session known before would then
// be answered with too low a mark, so all are forgotten.
func (h *home) promised(from string, sent, now time.Time, others int) {
	if until, ok := h.promises[from]; ok && until.Before(now) {
		h.sessions.Clear()
	}
	until := sent.Add(h.settings.lease())
	if h.promises[from].Before(until) {
		h.promises[from] = until
	}
	if h.full.IsZero() && len(h.promises) == others {
		h.full = now
	}
}

// trusted reports whether every other proxy is bound to put its writes here.
// Right after a change of view it takes a lease before that counts: until then a
// proxy that was left out may still acknowledge.
func (h *home) trusted(now time.Time, others int) bool {
	if others == 0 {
		return true
	}
	if h.full.IsZero() || now.Before(h.full.Add(h.settings.lease())) {
		return false
	}
	for _, until := range h.promises {
		if until.Before(now) {
			return false
		}
	}
	return true
}

// complete takes in what a check has found.
func (h *home) complete(msg Complete) {
	if msg.Token != 0 {
		h.sessions.Complete(msg.Key, msg.Token, msg.Mark)
	}
}

// lookup answers for a session as its home. An answer without a token can't be
// completed.
func (m *Marker) lookup(k tracker.Key) tracker.Answer {
	if m.view.home(k) != m.Settings.Self || !m.home.trusted(m.now, len(m.view.members)-1) {
		return tracker.Answer{}
	}
	return m.home.sessions.Get(k)
}
