package throttler

import "time"

// Verdict is what a holder says to an operation.
type Verdict struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	// Unsure says that too few processes have been heard lately to tell: the holder has
	// just become it, or is cut off from most. Asked again a moment later it may grant.
	Unsure bool
	// RetryAfter is how long after a refusal it is worth coming back.
	RetryAfter time.Duration
}

const (
	// judged is the time, up to two Periods ago, in which most processes must have been
	// heard for a refusal to be sure.
	judged = 500 * time.Millisecond
	// most is the part of the fleet that must have been heard.
	most = 0.5
	// leastBack is the shortest time that a caller is told to come back after.
	leastBack = 50 * time.Millisecond
	// idle is how long what a workspace has spent is remembered.
	idle = 2 * longestLife
)

// bank is what a holder has collected for its workspaces, and what they have spent.
type bank struct {
	// time is, for each grain, the part of the fleet's time that was given, in seconds.
	time [Shards]ring
	// spent is what each workspace has spent of the tokens of each grain.
	spent map[string]*account
	swept time.Time
}

type account struct {
	ring
	used time.Time
}

// deposit takes in a span of time up to now of one process of so many. Of each grain no
// more is kept than the fleet has in it: processes that reckon with different sizes of
// the fleet, or messages that were held up, add nothing.
func (b *bank) deposit(shard int, span time.Duration, fleet int, now time.Time) {
	r := &b.time[shard]
	r.advance(grainOf(now))
	end := now
	for begin := now.Add(-span); begin.Before(end); {
		g := grainOf(end.Add(-1))
		from := time.Unix(0, g*int64(grain))
		if from.Before(begin) {
			from = begin
		}
		if held := r.at(g); held != nil {
			*held = min(grain.Seconds(), *held+end.Sub(from).Seconds()/float64(fleet))
		}
		end = from
	}
}

// take spends a token of a workspace, the oldest first.
func (b *bank) take(workspace string, gr grade, now time.Time) Verdict {
	b.sweep(now)
	latest := grainOf(now)
	made := &b.time[Shard(workspace)]
	made.advance(latest)
	a := b.account(workspace, now)
	a.advance(latest)
	left := 0.0
	oldest := grainOf(now.Add(-gr.life)) + 1
	for g := oldest; g <= latest; g++ {
		left += b.left(made, a, gr, g)
	}
	if left < 1 {
		return b.refuse(made, gr, left, now)
	}
	price := 1.0
	for g := oldest; g <= latest && price > 0; g++ {
		paid := min(price, b.left(made, a, gr, g))
		*a.at(g) += paid
		price -= paid
	}
	return Verdict{Granted: true}
}

// left returns how many tokens of a grain a workspace hasn't spent.
func (b *bank) left(made *ring, a *account, gr grade, g int64) float64 {
	m, s := made.at(g), a.at(g)
	if m == nil || s == nil {
		return 0
	}
	return max(0, gr.rate**m-*s)
}

func (b *bank) account(workspace string, now time.Time) *account {
	if b.spent == nil {
		b.spent = map[string]*account{}
	}
	a := b.spent[workspace]
	if a == nil {
		a = &account{}
		b.spent[workspace] = a
	}
	a.used = now
	return a
}

// refuse returns the verdict on an operation for which there is no token.
func (b *bank) refuse(made *ring, gr grade, left float64, now time.Time) Verdict {
	if gr.rate == 0 {
		return Verdict{RetryAfter: longestLife}
	}
	back := time.Duration((1 - left) / gr.rate * float64(time.Second))
	return Verdict{Unsure: heard(made, now) < most, RetryAfter: max(back, leastBack)}
}

// heard returns which part of the fleet has been heard lately.
func heard(made *ring, now time.Time) float64 {
	end := grainOf(now.Add(-2 * CreditInterval))
	begin := grainOf(now.Add(-2*CreditInterval - judged))
	sum := 0.0
	for g := begin; g < end; g++ {
		if m := made.at(g); m != nil {
			sum += *m
		}
	}
	return sum / judged.Seconds()
}

// sweep forgets workspaces that haven't asked for long.
func (b *bank) sweep(now time.Time) {
	if now.Sub(b.swept) < idle {
		return
	}
	b.swept = now
	for name, a := range b.spent {
		if now.Sub(a.used) > idle {
			delete(b.spent, name)
		}
	}
}
