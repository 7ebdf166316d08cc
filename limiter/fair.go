package limiter

import "time"

// Parameters of the fair policy.
const (
	// PriorityCount is the number of priorities; 0 is the most urgent.
	PriorityCount = 16
	// maxAccounts bounds the workspaces that are accounted for at a time. It is far above
	// the number of items that can wait and run at once, so an idle one can be forgotten.
	maxAccounts = 1024
	// levelInterval is the time between two computations of the fair shares.
	levelInterval = 100 * time.Millisecond
	// usageWindow is the time over which the use of a workspace is counted.
	usageWindow = time.Second
	// fairCredit is how many mean service times a workspace that was idle may use at once
	// before it counts as above its fair share.
	fairCredit = 3
	// floorTurn is the starvation floor: of so many items served, at least one is less
	// urgent than the others, while such items wait.
	floorTurn = 8
	// minPart bounds how little of its weight a workspace keeps at a gateway when most of
	// its work is at other gateways.
	minPart = 1.0 / 16
	// spreadDivisor is the inverse of the part by which refusals spread the time to come
	// back, and spreadSteps the number of different times.
	spreadDivisor = 4
	spreadSteps   = 256
)

// tierCount is the number of tiers of excess, see excessTier.
const (
	tierCount   = 5
	bucketCount = tierCount * PriorityCount
)

// excessTier returns the tier of an item by how far it is above its workspace's fair share,
// as the time after which the fair rate would reach it. Tier 0 is within the share.
func excessTier(excess time.Duration) int {
	for tier, bound := range [...]time.Duration{0, 25 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		if excess <= bound {
			return tier
		}
	}
	return tierCount - 1
}

// Usage is what a workspace uses of an upstream.
type Usage struct {
	Account uint32
	Busy    time.Duration // service time in the last second
	Waiting int           // waiting items
}

// fair is the state of the fair policy of one queue. Items are served in the order of the
// tier of their workspace's excess, then of their priority, then of their deadline.
//
// The excess of an item counts only work of its workspace that is at least as urgent. So a
// workspace that has used up its share with less urgent work still has all of it for its
// urgent work, and an urgent item waits behind a less urgent one of another workspace only
// if the urgent work of its own workspace alone exceeds the fair share.
type fair struct {
	epoch    time.Time
	accounts map[uint32]int32
	list     []fairAccount
	free     []int32
	peers    map[uint32]time.Duration // service time that workspaces want at other gateways
	level    float64                  // fair share in slots per unit of weight
	levelAt  time.Time
	demands  []Demand
	run      int // items served in a row while less urgent ones waited
	scans    uint64
	sums     [bucketCount]time.Duration
}

// fairAccount is the account of one workspace. Times count from the epoch of the policy.
type fairAccount struct {
	id      uint32
	inUse   bool
	waiting int
	running int
	weight  float64
	rate    float64 // fair share in slots
	// reached holds, for each priority, the time at which the fair rate has provided the
	// service received by items of that or a more urgent priority.
	reached [PriorityCount]time.Duration
	// queued holds, for each priority, the service time of waiting items of that or a more
	// urgent priority.
	queued [PriorityCount]time.Duration
	used   usage
	denied usage // service time of refused items, which is demand too

	scan  uint64 // number of the scan that ahead belongs to
	ahead [PriorityCount]time.Duration
}

// usage counts service time over a sliding window of two parts.
type usage struct {
	window       time.Duration // number of the current window
	now, earlier time.Duration
}

func (u *usage) add(t, d time.Duration) {
	u.advance(t)
	u.now += d
}

func (u *usage) advance(t time.Duration) {
	w := t / usageWindow
	switch w - u.window {
	case 0:
	case 1:
		u.window, u.earlier, u.now = w, u.now, 0
	default:
		u.window, u.earlier, u.now = w, 0, 0
	}
}

// sum returns the service time in the last window.
func (u *usage) sum(t time.Duration) time.Duration {
	u.advance(t)
	left := usageWindow - t%usageWindow
	return u.now + time.Duration(float64(u.earlier)*float64(left)/float64(usageWindow))
}

// account returns the index of an item's account and opens it if needed.
func (f *fair) account(it *Item, t time.Duration) int32 {
	i, ok := f.accounts[it.Account]
	if !ok {
		i = f.open(it.Account, t)
	}
	a := &f.list[i]
	if w := it.weight(); a.weight != w {
		a.weight = w
		a.rate = f.level * w
	}
	return i
}

func (f *fair) open(id uint32, t time.Duration) int32 {
	if len(f.accounts) >= maxAccounts {
		f.forget(t, true)
	}
	if n := len(f.free); n > 0 {
		i := f.free[n-1]
		f.free = f.free[:n-1]
		f.list[i] = fairAccount{id: id, inUse: true}
		f.accounts[id] = i
		return i
	}
	i := int32(len(f.list))
	f.list = append(f.list, fairAccount{id: id, inUse: true})
	f.accounts[id] = i
	return i
}

// forget closes the accounts of idle workspaces: those that used nothing in the last window,
// or, when more room is needed, all that have nothing waiting or running.
func (f *fair) forget(t time.Duration, all bool) {
	for i := range f.list {
		a := &f.list[i]
		if !a.inUse || a.waiting > 0 || a.running > 0 {
			continue
		}
		if all || a.used.sum(t)+a.denied.sum(t) == 0 && a.reached[PriorityCount-1] <= t {
			delete(f.accounts, a.id)
			a.inUse = false
			f.free = append(f.free, int32(i))
		}
	}
}

// demand returns the service time that a workspace wants in a second.
func (a *fairAccount) demand(t time.Duration) time.Duration {
	return a.used.sum(t) + a.denied.sum(t) + a.queued[PriorityCount-1]
}

// refresh computes the fair rates anew. Where a workspace also has work at other gateways,
// its weight is divided among the gateways by its demand.
func (f *fair) refresh(now time.Time, slots int) {
	if now.Sub(f.levelAt) < levelInterval && !now.Before(f.levelAt) {
		return
	}
	f.levelAt = now
	t := now.Sub(f.epoch)
	f.forget(t, false)
	f.demands = f.demands[:0]
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			demand := a.demand(t)
			f.demands = append(f.demands, Demand{Weight: a.weight * f.part(a.id, demand), Slots: demand.Seconds()})
		}
	}
	f.level = fairLevel(float64(slots), f.demands)
	at := 0
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			a.rate = f.level * f.demands[at].Weight
			at++
		}
	}
}

// part returns the part of a workspace's demand that is at this gateway.
func (f *fair) part(id uint32, here time.Duration) float64 {
	elsewhere := f.peers[id]
	if elsewhere <= 0 {
		return 1
	}
	return max(float64(here)/float64(here+elsewhere), minPart)
}

// over divides work by a rate in slots.
func over(work time.Duration, rate float64) time.Duration {
	const most = time.Hour
	if rate <= 0 {
		return most
	}
	return time.Duration(min(float64(work)/rate, float64(most)))
}

// charge adds service time received by an item to its workspace's account.
func (a *fairAccount) charge(t, work, credit time.Duration, priority uint8) {
	passed := over(work, a.rate)
	earliest := t - over(credit, a.rate)
	for p := int(priority); p < PriorityCount; p++ {
		a.reached[p] = min(max(a.reached[p], earliest)+passed, t+usageWindow)
	}
}

// correct adds the difference between an item's service time and what was charged for it.
func (a *fairAccount) correct(work time.Duration, priority uint8) {
	passed := time.Duration(float64(work) / max(a.rate, 1e-6))
	passed = min(max(passed, -usageWindow), usageWindow)
	for p := int(priority); p < PriorityCount; p++ {
		a.reached[p] += passed
	}
}

// queue adds work to what waits, or takes it away.
func (a *fairAccount) queue(work time.Duration, priority uint8) {
	for p := int(priority); p < PriorityCount; p++ {
		a.queued[p] += work
	}
}

// bucket returns the place in the order of an item with the given work of its workspace
// ahead of it: by the tier of its excess, then by its priority.
func (a *fairAccount) bucket(t, ahead, credit time.Duration, priority uint8) uint8 {
	reached := max(a.reached[priority], t-over(credit, a.rate))
	tier := excessTier(reached + over(ahead, a.rate) - t)
	return uint8(tier*PriorityCount) + priority
}

func (it *Item) weight() float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}
