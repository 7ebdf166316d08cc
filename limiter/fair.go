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
	fairCredit = 6
	// floorTurn is the starvation floor: of so many items served, at least one is less
	// urgent than the others, while such items wait.
	floorTurn = 8
	// lessUrgentPart is the part of the slots that less urgent work may claim against the
	// fair shares of more urgent work.
	lessUrgentPart = 1.0 / floorTurn
	// promiseWindow bounds how far ahead promised turns count. Most callers that are told a
	// later one are past their deadline by then.
	promiseWindow = time.Second
	// minRate is the least fair share, in slots; smaller ones can't be told apart.
	minRate = 1e-4
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
	// nearTiers is the number of tiers that are served by priority first: those up to about
	// one service time above the fair share, which a burst of a few items reaches.
	nearTiers = 2
)

// bucketOf returns the position of a tier and a priority in the order.
func bucketOf(tier, priority uint8) uint8 {
	if tier < nearTiers {
		return priority*nearTiers + tier
	}
	return PriorityCount*nearTiers + (tier-nearTiers)*PriorityCount + priority
}

// excessTier returns the tier of an item by how far it is above its workspace's fair share,
// as the nanoseconds after which the fair rate would reach it. Tier 0 is within the share.
func excessTier(excess float64) uint8 {
	const millisecond = float64(time.Millisecond)
	switch {
	case excess <= 0:
		return 0
	case excess <= 25*millisecond:
		return 1
	case excess <= 100*millisecond:
		return 2
	case excess <= 400*millisecond:
		return 3
	default:
		return tierCount - 1
	}
}

// Usage is what a workspace uses of an upstream.
type Usage struct {
	Account uint32
	Busy    time.Duration // service time in the last second
	Waiting int           // waiting items
	// Urgent is the service time that its urgent items want in a second; see [Queue.Cut].
	Urgent time.Duration
}

// fair is the state of the fair policy of one queue. Items are served in the order of the
// tier of their workspace's excess, then of their priority, then of their deadline; among
// those in near tiers priority comes first.
//
// The excess of an item counts only work of its workspace that is at least as urgent, against
// a fair share from which less urgent work of others takes no more than lessUrgentPart of the
// slots. So neither the less urgent work of its own workspace nor a surge of that of others
// delays it: an urgent item waits behind a less urgent one of another workspace only if the
// urgent work of its own workspace alone exceeds that share.
type fair struct {
	epoch    time.Time
	accounts map[uint32]int32
	list     []fairAccount
	nodes    []fairNode // by index of the queue's node
	free     []int32
	peers    map[uint32]time.Duration // service time that workspaces want at other gateways
	// levels are the fair shares by priority, in slots per unit of weight.
	levels  [PriorityCount]float64
	levelAt time.Time
	demands []Demand
	floors  []float64
	share   float64 // see Queue.SetShare
	cut     uint8   // see Queue.Cut
	less    LessUrgent
	run     int           // items served in a row while less urgent ones waited
	queued  time.Duration // service time of all waiting items
	scans   uint64
	sums    [bucketCount]time.Duration
	// lessSums are the part of sums that is bounded as less urgent.
	lessSums [bucketCount]time.Duration
}

// fairNode is the place of an item under the fair policy.
type fairNode struct {
	due      time.Duration // its deadline
	cost     time.Duration // the service time that it counts with
	account  int32
	priority uint8
	class    Class
	tier     uint8
	bucket   uint8
	excess   bool // its workspace is above its fair share and has used it up
}

// fairAccount is the account of one workspace. Times count from the epoch of the policy.
type fairAccount struct {
	id      uint32
	inUse   bool
	waiting int
	running int
	weight  float64
	urgency [PriorityCount]fairUrgency
	used    usage
	asked   [PriorityCount]usage // service time by priority, counted once for each item offered
	granted float64              // slots that it gets for the priorities that a refresh has passed
}

// fairUrgency is what an account holds of items of one or a more urgent priority.
type fairUrgency struct {
	pace     float64       // inverse of the rate in slots; see fair.levelOf
	standing standing      // what it asks for against its fair share; see fair.compare
	reached  time.Duration // when the fair share has provided the service received
	queued   time.Duration // service time of waiting items
	scan     uint64        // number of the last scan that set excess
	excess   float64       // that of the next item of the scan, in nanoseconds
	// promised is when the last of the turns that refused items were promised is over.
	promised time.Duration
}

// standing is what a workspace asks for against its fair share.
type standing uint8

const (
	unknownStanding standing = iota
	belowShare
	aboveShare
)

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
		a.setPaces(&f.levels, w*f.part(a.id, time.Millisecond))
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
		if all || a.demand(t, 0, PriorityCount, 0) == 0 && a.urgency[PriorityCount-1].reached <= t {
			delete(f.accounts, a.id)
			a.inUse = false
			f.free = append(f.free, int32(i))
		}
	}
}

// demand returns the service time that a workspace has asked for in the last second for items
// of the priorities from the first up to, but not including, the last, and that of those that
// wait, times the factor.
func (a *fairAccount) demand(t time.Duration, from, to, factor int) time.Duration {
	sum := time.Duration(0)
	for p := from; p < to; p++ {
		sum += max(a.asked[p].sum(t), 0)
	}
	if to > 0 {
		sum += time.Duration(factor) * a.urgency[to-1].queued
	}
	if from > 0 {
		sum -= time.Duration(factor) * a.urgency[from-1].queued
	}
	return sum
}

func (a *fairAccount) setPaces(levels *[PriorityCount]float64, weight float64) {
	for p, level := range levels {
		a.urgency[p].pace = 1 / max(level*weight, minRate)
	}
}

// times returns how long work takes at a pace.
func times(work time.Duration, pace float64) time.Duration {
	return time.Duration(float64(work) * pace)
}

// charge adds service time received by an item to its workspace's account.
func (a *fairAccount) charge(t, work, credit time.Duration, priority uint8) {
	for p := int(priority); p < PriorityCount; p++ {
		u := &a.urgency[p]
		u.reached = min(max(u.reached, t-times(credit, u.pace))+times(work, u.pace), t+usageWindow)
	}
}

// promise returns the delay to the turn of a refused item whose workspace's waiting work takes
// the given time, and that uses its turn for so long. Promised turns count while they are
// ahead, whether or not the callers come back, and up to promiseWindow.
func (a *fairAccount) promise(t, waiting, turn time.Duration, priority uint8) time.Duration {
	delay := max(waiting, a.urgency[priority].promised-t)
	for p := int(priority); p < PriorityCount; p++ {
		u := &a.urgency[p]
		u.promised = max(u.promised, min(t+delay+turn, t+promiseWindow))
	}
	return delay
}

// use counts service time received outside the queue.
func (a *fairAccount) use(t, took, credit time.Duration, priority uint8) {
	a.used.add(t, took)
	a.asked[priority].add(t, took)
	a.charge(t, took, credit, priority)
}

// correct adds the difference between an item's service time and what was charged for it.
func (a *fairAccount) correct(work time.Duration, priority uint8) {
	for p := int(priority); p < PriorityCount; p++ {
		u := &a.urgency[p]
		u.reached += min(max(times(work, u.pace), -usageWindow), usageWindow)
	}
}

// queue adds work to what waits, or takes it away.
func (a *fairAccount) queue(work time.Duration, priority uint8) {
	for p := int(priority); p < PriorityCount; p++ {
		a.urgency[p].queued += work
	}
}

// next sets the tier and bucket of the account's next item in the order of the scan. Its excess
// counts the more urgent items of the account, and those that the scan has passed. Items of a
// workspace below its fair share are within it, also in a burst; those of one above it come
// after these.
func (a *fairAccount) next(scan uint64, t, credit time.Duration, n *fairNode, cut uint8) {
	u := &a.urgency[n.priority]
	if u.scan != scan {
		u.scan = scan
		u.excess = max(float64(u.reached-t), -float64(credit)*u.pace)
		if n.priority > 0 {
			u.excess += float64(a.urgency[n.priority-1].queued) * u.pace
		}
	}
	n.tier = excessTier(u.excess)
	n.excess = n.tier > 0 && u.standing != belowShare
	switch {
	case u.standing == belowShare:
		n.tier = 0
	case u.standing == aboveShare && n.priority >= cut:
		n.tier = max(n.tier, 1)
	}
	n.bucket = bucketOf(n.tier, n.priority)
	u.excess += float64(n.cost) * u.pace
}

func (it *Item) weight() float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}
