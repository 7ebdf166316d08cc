package pooler

import (
	"math"
	"time"
)

// Parameters of the expected demand.
const (
	// demandPeriod is the time over which uses are smoothed. At 0.3 uses a second, the
	// median of 86 owners at one upstream, it spans about two uses.
	demandPeriod = 8 * time.Second
	// guaranteePeriod is how long after its last use an owner keeps a connection of its own,
	// as long as there are enough.
	guaranteePeriod = 2 * time.Second
	// maxAccounts bounds the owners whose demand is known, unless more have connections.
	maxAccounts = 256
	// defaultHoldTime is how long a connection is assumed to be in use before any use of the
	// owner has ended.
	defaultHoldTime = 20 * time.Millisecond
)

// account is the expected demand of an owner, and its connections.
type account struct {
	open    int // connections, including those that are being opened
	opening int
	inUse   int

	uses   float64 // number of uses, smoothed
	busy   float64 // seconds of use, smoothed
	at     time.Time
	usedAt time.Time // when a connection was last requested
}

// demand holds the accounts of a pool's owners. Its zero value is ready for use.
type demand struct {
	accounts map[string]*account
}

// of returns the account of an owner, brought up to now. When there are too many, it drops
// the one with the least demand among the owners without connections.
func (d *demand) of(owner string, now time.Time) *account {
	a := d.accounts[owner]
	if a == nil {
		if len(d.accounts) >= maxAccounts {
			d.dropLeast(now)
		}
		if d.accounts == nil {
			d.accounts = map[string]*account{}
		}
		a = &account{at: now}
		d.accounts[owner] = a
	}
	a.advance(now)
	return a
}

func (d *demand) dropLeast(now time.Time) {
	least := ""
	var leastUses float64
	found := false
	for owner, a := range d.accounts {
		if a.open > 0 {
			continue
		}
		a.advance(now)
		if !found || a.uses < leastUses || a.uses == leastUses && owner < least {
			least, leastUses, found = owner, a.uses, true
		}
	}
	if found {
		delete(d.accounts, least)
	}
}

// recent returns the number of owners that used the pool within guaranteePeriod.
func (d *demand) recent(now time.Time) int {
	n := 0
	for _, a := range d.accounts {
		if a.isRecent(now) {
			n++
		}
	}
	return n
}

// advance lets the smoothed values decay up to now.
func (a *account) advance(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / demandPeriod.Seconds())
	a.uses *= kept
	a.busy = a.busy*kept + float64(a.inUse)*demandPeriod.Seconds()*(1-kept)
	a.at = now
}

// use records a request for a connection.
func (a *account) use(now time.Time) {
	a.uses++
	a.usedAt = now
}

func (a *account) isRecent(now time.Time) bool {
	return !a.usedAt.IsZero() && now.Sub(a.usedAt) < guaranteePeriod
}

// isGuaranteed reports whether the owner keeps its only connection, where there are enough.
func (a *account) isGuaranteed(enough bool, now time.Time) bool {
	return enough && a.open == 1 && a.isRecent(now)
}

// rate returns the expected uses per second.
func (a *account) rate() float64 { return a.uses / demandPeriod.Seconds() }

// holdTime returns how long a use takes.
func (a *account) holdTime() time.Duration {
	if a.uses == 0 || a.busy == 0 {
		return defaultHoldTime
	}
	return time.Duration(a.busy / a.uses * float64(time.Second))
}

// value returns the openings per second that the owner's nth connection saves: the uses that
// find all the others in use, less those that find it in use too, by Erlang's loss formula.
func (a *account) value(nth int) float64 {
	load := a.rate() * a.holdTime().Seconds()
	without, with := 1.0, 1.0
	for n := 1; n <= nth; n++ {
		without, with = with, load*with/(float64(n)+load*with)
	}
	return a.rate() * (without - with)
}
