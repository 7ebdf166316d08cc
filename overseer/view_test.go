package overseer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
)

// A leader must have been alone for a while before it is replaced for that, and the
// next one isn't at once: where all replicas are late for good, each change would cost a
// second of the group's writes and mend nothing.
func TestALeaderIsRelievedOnceInAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &group{duty: duty{token: 7}}
	seen := carrier.Observation{LeaderOverloaded: true}
	is.True(!g.relieves(seen, now))
	is.True(!g.relieves(carrier.Observation{}, now.Add(alone))) // it wasn't all the while
	is.True(!g.relieves(seen, now.Add(alone)))
	is.True(g.relieves(seen, now.Add(2*alone)))
	is.True(!g.relieves(seen, now.Add(3*alone)))
	is.True(!g.relieves(seen, now.Add(2*alone+relieved-1)))
	is.True(g.relieves(seen, now.Add(2*alone+relieved)))

	// It hasn't helped, so the next one is later.
	is.True(!g.relieves(seen, now.Add(2*alone+2*relieved)))
	is.True(g.relieves(seen, now.Add(2*alone+3*relieved)))
	is.True(!g.relieves(seen, now.Add(2*alone+6*relieved)))

	// After a long time without trouble all is as at first.
	later := now.Add(time.Hour)
	is.True(!g.relieves(carrier.Observation{}, later))
	is.True(!g.relieves(seen, later))
	is.True(g.relieves(seen, later.Add(alone)))
	is.True(g.relieves(seen, later.Add(alone+relieved)))
}

// A process that sees it without holding the duty keeps nothing back from the holder.
func TestOnlyTheHolderCountsARelief(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &group{}
	seen := carrier.Observation{LeaderOverloaded: true}
	is.True(!g.relieves(seen, now))
	is.True(g.relieves(seen, now.Add(alone)))
	g.duty.token = 7
	is.True(g.relieves(seen, now.Add(2*alone)))
}
