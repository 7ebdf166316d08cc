package replacer

import "time"

// registerToken orders the promotion of the present leader, which changes nothing and shows
// the platform this holder's token. From then on the platform rejects delayed orders of
// earlier holders. Otherwise such an order could be carried out while this holder lets another
// replica receive, and commits that this replica confirmed would be lost.
func (r *Replacer) registerToken(now time.Time) []Command {
	if r.isObsolete() {
		return r.abort(now, "the leader changed or is gone")
	}
	return r.retryOrder(now)
}

// onTokenRegistered records that the platform has seen the token, and continues the planned
// change.
func (r *Replacer) onTokenRegistered(now time.Time) []Command {
	r.tokenRegistered = true
	return r.startProbe(now, "the platform rejects earlier orders now")
}

func (r *Replacer) promote(now time.Time, cause string) []Command {
	r.enterPhase(promoting, now)
	return r.sendOrder(r.target, "promote", cause, now)
}

// sendOrder sends a new order. Each one has its own token: an unanswered order may be carried
// out seconds later, and if it had the same token as the next order it would depose the leader
// that the next one made. Commits that were acknowledged since would be lost.
func (r *Replacer) sendOrder(upstream, step, cause string, now time.Time) []Command {
	r.lastOrder = Order{Group: r.Group, Upstream: upstream, Token: r.token + r.usedTokens}
	r.firstToken, r.ordersDoneAt = r.lastOrder.Token, time.Time{}
	r.usedTokens++
	r.lastSent = now
	return []Command{LogStep{step, upstream, cause}, Promote{Order: r.lastOrder}}
}

// retryOrder sends an unanswered order again. The target stays the same: the first copy may
// still be carried out, and two different targets in turn could lose commits. But each copy has
// its own token, as long as more than the reserved ones are left, so that the platform rejects
// the earlier copies once it has seen this one. A copy that is carried out seconds late makes
// its upstream the leader again, if that happens after the upstream stopped leading and before
// the platform sees the next order, and commits that it confirmed then are lost: in 7 of 30,000
// simulated histories with one token for all copies, in 4 with one token each.
func (r *Replacer) retryOrder(now time.Time) []Command {
	if r.view.Token != r.token {
		// Another holder may have chosen a target by now, and suspended or resumed replicas
		// that it needs.
		return r.abort(now, "another process holds the lease")
	}
	if now.Sub(r.lastSent) < orderRetryInterval {
		return nil
	}
	r.lastSent = now
	if r.usedTokens < TokenBlockSize-reservedTokens {
		r.lastOrder.Token = r.token + r.usedTokens
		r.ordersDoneAt = time.Time{}
		r.usedTokens++
	}
	return []Command{Promote{Order: r.lastOrder}}
}

// IsLatestOrder reports whether an order is the copy that was sent last. Only its rejection can
// mean that another process holds the lease: earlier copies are rejected because of this one.
func (r *Replacer) IsLatestOrder(o Order) bool { return o == r.lastOrder }

// isCurrentOrder reports whether an order is a copy of the current order.
func (r *Replacer) isCurrentOrder(o Order) bool {
	return o.Upstream == r.lastOrder.Upstream && o.Token >= r.firstToken && o.Token <= r.lastOrder.Token
}

func (r *Replacer) onOrderAnswer(ev OrderAnswer, now time.Time) []Command {
	if ev.Outcome == Accepted && r.IsLatestOrder(ev.Order) {
		r.ordersDoneAt = now.Add(maxOrderEffectDelay)
	}
	if r.phase != promoting && r.phase != registeringToken || !r.isCurrentOrder(ev.Order) {
		return nil
	}
	switch {
	case ev.Outcome == Accepted && r.phase == registeringToken:
		return r.onTokenRegistered(now)
	case ev.Outcome == Accepted:
		r.enterPhase(awaitingLeader, now)
		return []Command{LogStep{"accepted", r.target, ""}}
	case ev.Outcome == Rejected && r.IsLatestOrder(ev.Order):
		// The token is too low or the upstream is down. The caller releases the lease in that
		// case: the next holder suspends the replicas again, or resumes them.
		r.enterPhase(idle, now)
		r.nextAttempt = now.Add(attemptInterval)
		return []Command{LogStep{"rejected", r.lastOrder.Upstream, "the token is too low or the upstream is down"}}
	default:
		return nil
	}
}

// awaitLeader waits until the promoted upstream is the leader.
func (r *Replacer) awaitLeader(now time.Time) []Command {
	if r.view.LeaderAnswers && r.view.Leader == r.target {
		if !r.ordersDoneAt.IsZero() {
			r.ordersDoneAt = now // the order has taken effect
		}
		r.enterPhase(idle, now)
		r.nextAttempt = now.Add(attemptInterval)
		return []Command{LogStep{"done", r.target, ""}}
	}
	if now.Sub(r.phaseStart) > promoteTimeout {
		r.enterPhase(idle, now)
		r.nextAttempt = now.Add(attemptInterval)
		return []Command{LogStep{"given up", r.target, "promoted, but not seen as leader within the timeout"}}
	}
	return nil
}
