package throttler

import "time"

// Verdict is an owner's decision on an operation.
type Verdict struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	// Undecided is set if credits of too few processes have arrived lately to decide: this
	// process has just become the owner, or is partitioned from most of the fleet. The same
	// request may be granted a moment later.
	Undecided bool
	// RetryAfter is the time after which it makes sense to retry a refused operation.
	RetryAfter time.Duration
}

const (
	// coverageWindow is the time, ending two CreditIntervals ago, in which the credits of
	// most processes must have arrived for a refusal to be sure.
	coverageWindow = 500 * time.Millisecond
	// minCoverage is the part of the processes whose credits must have arrived.
	minCoverage = 0.5
	// minRetryAfter is the minimum RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// idleTimeout is how long the spending of a workspace is kept after its last operation.
	idleTimeout = 2 * maxTokenLife
)

// ledger holds the credits that an owner has collected, and the tokens that workspaces
// have spent.
type ledger struct {
	// credited is, for each shard and bucket of time, the part of the fleet's time that was
	// credited, in seconds.
	credited [Shards]ring
	// history holds the credits for the window rule, over a longer time.
	history [Shards]history
	// spent is the number of tokens of each bucket that each workspace has spent.
	spent map[string]*account
	// fleet is the size of the fleet, and alive how many of it are known to be alive; ranked
	// operations need them.
	fleet, alive int
	lastSweep    time.Time
}

type account struct {
	ring
	lastUsed time.Time
	// demand is what ranked operations have asked for; nil without any.
	demand *demand
	line   line
	grants grantLog
	// windowedUntil is until when the window rule counts beside that of tokens: operations
	// that were granted by it alone have spent no token.
	windowedUntil time.Time
}

// add credits a span of time up to now of one process out of fleet. A bucket never
// holds more than the fleet's whole time in it, so that processes that assume different
// sizes of the fleet, or delayed messages, add nothing beyond it.
func (l *ledger) add(shard int, span time.Duration, fleet int, now time.Time) {
	r := &l.credited[shard]
	r.advance(bucketOf(now))
	end := now
	for begin := now.Add(-span); begin.Before(end); {
		bucket := bucketOf(end.Add(-1))
		from := time.Unix(0, bucket*int64(bucketWidth))
		if from.Before(begin) {
			from = begin
		}
		if seconds := r.at(bucket); seconds != nil {
			*seconds = min(bucketWidth.Seconds(), *seconds+end.Sub(from).Seconds()/float64(fleet))
		}
		end = from
	}
}

// take spends a token of a workspace.
func (l *ledger) take(workspace string, limit tokenLimit, now time.Time) Verdict {
	l.sweep(now)
	latest := bucketOf(now)
	credits := &l.credited[Shard(workspace)]
	credits.advance(latest)
	a := l.account(workspace, now)
	a.advance(latest)
	unspent := l.unspentIn(credits, a, limit, now)
	if now.Before(a.windowedUntil) {
		unspent = min(unspent, windowTokens(&l.history[Shard(workspace)], &a.grants, limit, now))
	}
	if unspent < 1 {
		return l.refuse(credits, limit, unspent, now)
	}
	a.grants.add(limit.window, now)
	l.spend(credits, a, limit, now)
	return Verdict{Granted: true}
}

// unspentIn returns how many tokens of all buckets a workspace has not spent.
func (l *ledger) unspentIn(credits *ring, a *account, limit tokenLimit, now time.Time) float64 {
	unspent := 0.0
	for bucket := bucketOf(now.Add(-limit.life)) + 1; bucket <= bucketOf(now); bucket++ {
		unspent += l.unspent(credits, a, limit, bucket)
	}
	return unspent
}

// spend spends a token, the oldest first.
func (l *ledger) spend(credits *ring, a *account, limit tokenLimit, now time.Time) {
	price := 1.0
	for bucket := bucketOf(now.Add(-limit.life)) + 1; bucket <= bucketOf(now) && price > 0; bucket++ {
		paid := min(price, l.unspent(credits, a, limit, bucket))
		*a.at(bucket) += paid
		price -= paid
	}
}

// unspent returns how many tokens of a bucket a workspace has not spent.
func (l *ledger) unspent(credits *ring, a *account, limit tokenLimit, bucket int64) float64 {
	creditedSeconds, spentTokens := credits.at(bucket), a.at(bucket)
	if creditedSeconds == nil || spentTokens == nil {
		return 0
	}
	return max(0, limit.rate**creditedSeconds-*spentTokens)
}

func (l *ledger) account(workspace string, now time.Time) *account {
	if l.spent == nil {
		l.spent = map[string]*account{}
	}
	a := l.spent[workspace]
	if a == nil {
		a = &account{}
		l.spent[workspace] = a
	}
	a.lastUsed = now
	return a
}

// refuse returns the verdict on an operation for which there is no token.
func (l *ledger) refuse(credits *ring, limit tokenLimit, unspent float64, now time.Time) Verdict {
	if limit.rate == 0 {
		return Verdict{RetryAfter: maxTokenLife}
	}
	retryAfter := time.Duration((1 - unspent) / limit.rate * float64(time.Second))
	return Verdict{Undecided: coverage(credits, now) < l.minCoverage(), RetryAfter: max(retryAfter, minRetryAfter)}
}

// minCoverage returns the part of the fleet whose credits must have arrived. It is half of the
// fleet, and for ranked operations half of the processes that are alive: the fleet counts
// processes that have ended for minutes.
func (l *ledger) minCoverage() float64 {
	if l.alive == 0 {
		return minCoverage
	}
	return minCoverage * float64(l.alive) / float64(l.fleet)
}

// coverage returns the part of the fleet whose credits have arrived lately.
func coverage(credits *ring, now time.Time) float64 {
	end := bucketOf(now.Add(-2 * CreditInterval))
	begin := bucketOf(now.Add(-2*CreditInterval - coverageWindow))
	sum := 0.0
	for bucket := begin; bucket < end; bucket++ {
		if creditedSeconds := credits.at(bucket); creditedSeconds != nil {
			sum += *creditedSeconds
		}
	}
	return sum / coverageWindow.Seconds()
}

// sweep removes workspaces that have been idle for long.
func (l *ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < idleTimeout {
		return
	}
	l.lastSweep = now
	for name, a := range l.spent {
		if now.Sub(a.lastUsed) > idleTimeout {
			delete(l.spent, name)
		}
	}
}
