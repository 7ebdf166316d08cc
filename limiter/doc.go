// Package limiter keeps the load of upstreams within what they take, and spends
// what there is on the requests that can still be in time.
//
// [Shares] divides the connections of an upstream among the proxies of a group
// so that the shares never add up to more than its limit, whatever each proxy
// knows of the others. [Queue] hands out the slots of one upstream at one proxy:
// by deadline, bookings weighing two lookups, no tenant starving another, and
// what can't be in time refused at once. Its [Window] follows how many requests
// the upstream can have at a time. [Gate] is a Queue for many goroutines.
// [Pacer] spreads the opening of connections. [Limits] are the values of all
// these that a preset sets.
//
// All but Gate are functions of (state, event, now). Refusals are outcomes of
// package retrier: not run, with a cause and the time to come back.
//
// # Usage
//
//	gate := &limiter.Gate{
//		Queue: limiter.Queue{Window: limiter.Window{Most: limits.Window}, Length: limits.Queue},
//		Now:   now,
//	}
//	ticket, outcome := gate.Acquire(ctx, limiter.Item{Tenant: tenant, Class: limiter.Booking, Deadline: deadline})
//	if ticket == 0 {
//		return outcome // not run; outcome.Hint says when to come back
//	}
//	served := send()
//	gate.Release(ticket, served)
package limiter
