package carrier

import "time"

// longestLeaderless is how long statements wait for a leader, counted from its loss.
// A change of leader takes 1 to 2 s; one that has taken much longer waits for
// an upstream to come back, and callers are told so at once.
const longestLeaderless = 4 * time.Second

// hopeless reports whether waiting here for a leader isn't worth a caller's time: the
// group has had none for long, or this process is cut off from whichever comes next.
// The caller has the lock.
func (g *Group) hopeless(now time.Time) bool {
	if g.present() != nil {
		return false
	}
	return g.blind() || !g.leaderless.IsZero() && now.Sub(g.leaderless) > longestLeaderless
}

// blind reports whether no upstream can be reached that could lead next: all but the
// last leader are barred, and that one isn't the leader any more. A leader that is
// promoted now is out of reach for this process until the partition ends, and a caller
// that is told so at once goes to a process on the other side: with two thirds of nine
// processes cut off for 7 s, each of three tries reaches the other third, and a caller
// that is held for its 0.8 s has one try left. The caller has the lock.
func (g *Group) blind() bool {
	others := 0
	for _, m := range g.members {
		if m.id == g.led {
			continue
		}
		if !m.barred {
			return false
		}
		others++
	}
	return others > 0
}

// futile reports whether a write that is sent to the leader would only wait there: its
// commits aren't acknowledged, and nobody else can be reached. One that isn't sent can
// be tried again by its caller, one that is sent ends in doubt. The caller has the lock.
func (g *Group) futile(j *Job, now time.Time) bool {
	leader := g.present()
	return j.Writes && leader != nil && g.stuck(leader, now) && g.blind()
}
