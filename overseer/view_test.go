package overseer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
)

// A leader must have been overloaded, without a replica that can help, for a while before it
// is replaced for that, and its successor must not be replaced at once: where all replicas lag
// permanently, each change would cost a second of the group's writes and help nothing.
func TestOverloadReplacementsAreRateLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &group{lease: lease{token: 7}}
	seen := carrier.Observation{LeaderOverloaded: true}
	is.True(!g.shouldReplaceOverloaded(seen, now))
	is.True(!g.shouldReplaceOverloaded(carrier.Observation{}, now.Add(overloadThreshold))) // it was not overloaded all the time
	is.True(!g.shouldReplaceOverloaded(seen, now.Add(overloadThreshold)))
	is.True(g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold)))
	is.True(!g.shouldReplaceOverloaded(seen, now.Add(3*overloadThreshold)))
	is.True(!g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold+minOverloadCooldown-1)))
	is.True(g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold+minOverloadCooldown)))

	// The change has not helped, so the cooldown doubles.
	is.True(!g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold+2*minOverloadCooldown)))
	is.True(g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold+3*minOverloadCooldown)))
	is.True(!g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold+6*minOverloadCooldown)))

	// After a long time without overload the cooldown is back at its minimum.
	later := now.Add(time.Hour)
	is.True(!g.shouldReplaceOverloaded(carrier.Observation{}, later))
	is.True(!g.shouldReplaceOverloaded(seen, later))
	is.True(g.shouldReplaceOverloaded(seen, later.Add(overloadThreshold)))
	is.True(g.shouldReplaceOverloaded(seen, later.Add(overloadThreshold+minOverloadCooldown)))
}

// A process that sees the overload without holding the lease starts no cooldown that would
// hold it back once it becomes the holder.
func TestOnlyLeaseHolderStartsOverloadCooldown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &group{}
	seen := carrier.Observation{LeaderOverloaded: true}
	is.True(!g.shouldReplaceOverloaded(seen, now))
	is.True(g.shouldReplaceOverloaded(seen, now.Add(overloadThreshold)))
	g.lease.token = 7
	is.True(g.shouldReplaceOverloaded(seen, now.Add(2*overloadThreshold)))
}
