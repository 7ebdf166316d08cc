package promoter

import (
	"time"

	"basildale.example/basildale/tracker"
)

const (
	// zonesNeeded is from how many availability zones a primary must look dead:
	// one zone's view may be its own broken link.
	zonesNeeded = 2
	// voteProbes is for how many probe intervals a report counts.
	voteProbes = 4
	// sampleProbes is the greatest number of probe intervals without a probe
	// while traffic shows that the primary lives, so that latency stays known.
	sampleProbes = 10
)

type vote struct {
	zone    string
	suspect bool
	expires time.Time
}

// suspicion is one proxy's view of the primary and what others say of it.
type suspicion struct {
	detector detector
	// trouble: something failed since the last answer, so ask now.
	trouble bool
	probed  time.Time
	votes   map[string]vote
	// down is the own view as last reported; reason says why.
	down       bool
	reason     string
	reportedAt time.Time
	// asked is when a peer last reported suspicion that the own view hasn't
	// answered yet.
	asked time.Time
	// since is when enough zones agreed; zero: they don't.
	since time.Time
}

func (s *suspicion) reset(now time.Time, same bool) {
	d := detector{heard: now}
	if same {
		d.mean, d.deviation = s.detector.mean, s.detector.deviation
	}
	*s = suspicion{detector: d}
}

func (s *suspicion) forget() {
	s.detector.forget()
	s.votes = nil
	s.since = time.Time{}
	s.probed = time.Time{}
}

// failed takes trouble from traffic or a probe. Only refusals count by
// themselves; all other trouble just makes the next probe come at once.
func (g *Group) failed(ev Failed) {
	if m := g.move; m != nil && !m.started && ev.Upstream == m.target && ev.Trouble == Refused {
		g.endMove(Rejected, "the target refuses connections")
	}
	if ev.Upstream != g.primary {
		return
	}
	s := &g.suspicion
	s.trouble = true
	switch ev.Trouble {
	case Refused:
		s.detector.refuse(g.now)
	case Stale:
		// Somebody may have been promoted without this proxy knowing.
		g.probeAll("a write was refused for its term")
	}
}

// reported takes another proxy's view.
func (g *Group) reported(ev Reported) {
	s := &g.suspicion
	if g.term.Less(ev.Claim) {
		g.see(ev.Claim)
		g.waitUntil = g.now.Add(g.set.Promote)
	}
	switch c := ev.Term.Compare(g.term); {
	case c < 0:
		g.tell(ev.From, "it still watches an older term")
		return
	case c > 0 || ev.Upstream != g.primary:
		g.probeAll("a peer knows a later term")
		return
	}
	if s.votes == nil {
		s.votes = make(map[string]vote)
	}
	s.votes[ev.From] = vote{
		zone: ev.Zone, suspect: ev.Suspect,
		expires: g.now.Add(voteProbes * g.set.Probe),
	}
	if ev.Suspect {
		s.asked = g.now
		s.trouble = true
	}
}

// judge brings the own view up to date, reports it, and decides whether enough
// zones agree.
func (g *Group) judge() {
	s := &g.suspicion
	if !g.primary.IsValid() {
		return
	}
	down, reason := s.detector.down(&g.set, g.now)
	changed := down != s.down
	s.down, s.reason = down, reason
	if !down {
		reason = "it answers here"
	}
	due := !g.now.Before(s.reportedAt.Add(g.set.Probe))
	switch {
	case changed, down && due:
		g.report(tracker.Term{}, reason)
	case !down && !s.asked.IsZero() && s.detector.heard.After(s.asked) && due:
		g.report(tracker.Term{}, reason)
	}
	if down {
		g.wake(s.reportedAt.Add(g.set.Probe))
	}
	g.wake(s.detector.deadline(&g.set))
	g.countZones()
}

// countZones sets since by the votes that count now.
func (g *Group) countZones() {
	s := &g.suspicion
	if len(s.votes) == 0 && !s.down {
		s.since = time.Time{}
		return
	}
	balance := make(map[string]int)
	for id, v := range s.votes {
		if !g.now.Before(v.expires) {
			delete(s.votes, id)
			continue
		}
		balance[v.zone] += sign(v.suspect)
		g.wake(v.expires)
	}
	if s.down || s.detector.heard.After(g.now.Add(-voteProbes*g.set.Probe)) {
		balance[g.Zone] += sign(s.down)
	}
	bad, good := 0, 0
	for _, b := range balance {
		if b > 0 {
			bad++
		} else if b < 0 {
			good++
		}
	}
	if bad < g.zonesNeeded() || bad < good {
		s.since = time.Time{}
		return
	}
	if s.since.IsZero() {
		s.since = g.now
	}
}

func sign(suspect bool) int {
	if suspect {
		return 1
	}
	return -1
}

// zonesNeeded is two, or one when all live proxies are in one zone.
func (g *Group) zonesNeeded() int {
	if g.set.Single {
		return 1
	}
	zones := make(map[string]bool)
	for _, m := range g.live {
		zones[m.Zone] = true
	}
	return min(zonesNeeded, max(len(zones), 1))
}

// judgeVacancy notes since when the upstreams themselves show that nobody is
// primary in the highest term. That is what a leader leaves behind that stopped
// between two steps; it needs no votes, since it isn't a guess.
func (g *Group) judgeVacancy() {
	if !g.isVacant() {
		g.vacant = time.Time{}
	} else if g.vacant.IsZero() {
		g.vacant = g.now
	}
}

func (g *Group) isVacant() bool {
	seen := 0
	for _, u := range g.upstreams {
		if u.seen.IsZero() {
			continue
		}
		seen++
		if g.term.Less(u.state.Term) {
			return true
		}
		if u.addr == g.primary && u.asked.After(g.adopted) &&
			u.state.Term == g.term && u.state.Role != tracker.Primary {
			return true
		}
	}
	return !g.primary.IsValid() && seen >= Quorum(len(g.upstreams)) && seen > 0
}

// report sends the own view to the other holders.
func (g *Group) report(claim tracker.Term, reason string) {
	s := &g.suspicion
	s.reportedAt = g.now
	s.asked = time.Time{}
	var to []string
	for _, id := range g.grant.holders {
		if id != g.Self {
			to = append(to, id)
		}
	}
	if len(to) == 0 {
		return
	}
	g.emit(Report{
		To: to, Upstream: g.primary, Term: g.term, Suspect: s.down, Claim: claim, Reason: reason,
	})
}

// probe asks the primary when it is time, and all upstreams while none is known.
func (g *Group) probe() {
	s := &g.suspicion
	if !g.primary.IsValid() {
		g.probeStale(g.set.Probe, "no primary is known")
		return
	}
	interval := g.set.Probe
	if s.trouble && s.detector.asked.IsZero() || s.detector.refused == 1 {
		interval = refusedGap
	}
	if g.rank() < 0 && !s.trouble && !s.down {
		return
	}
	at := s.probed.Add(interval)
	// Traffic that is answered spares the probe, but for a sample of latency.
	if sample := s.probed.Add(sampleProbes * interval); !s.trouble && s.detector.asked.IsZero() {
		if quiet := s.detector.heard.Add(interval); quiet.After(at) {
			at = quiet
		}
		if sample.Before(at) {
			at = sample
		}
	}
	if g.now.Before(at) {
		g.wake(at)
		return
	}
	g.wake(g.now.Add(interval))
	g.probePrimary()
}

func (g *Group) probePrimary() {
	s := &g.suspicion
	reason := "heartbeat"
	if s.trouble {
		reason = "trouble was seen"
	}
	s.probed = g.now
	s.detector.ask(g.now)
	g.wake(s.detector.deadline(&g.set))
	g.emit(Probe{Upstream: g.primary, Reason: reason})
}

// probeStale asks each upstream that wasn't asked for the interval.
func (g *Group) probeStale(interval time.Duration, reason string) {
	for i := range g.upstreams {
		u := &g.upstreams[i]
		if u.addr == g.primary {
			continue
		}
		at := u.probed.Add(interval)
		if g.now.Before(at) {
			g.wake(at)
			continue
		}
		u.probed = g.now
		g.wake(g.now.Add(interval))
		g.emit(Probe{Upstream: u.addr, Reason: reason})
	}
}

// askAll asks each upstream, the primary too, that wasn't asked for the interval.
func (g *Group) askAll(interval time.Duration, reason string) {
	g.probeStale(interval, reason)
	if at := g.suspicion.probed.Add(interval); g.primary.IsValid() && !g.now.Before(at) {
		g.suspicion.trouble = true
		g.probePrimary()
	}
}

func (g *Group) probeAll(reason string) { g.probeStale(refusedGap, reason) }
