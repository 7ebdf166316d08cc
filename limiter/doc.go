// Package limiter keeps the load on upstreams within what they can take and spends
// that capacity on the requests that can still meet their deadlines.
//
// [Queue.SetFair] switches a Queue to the fair policy, which divides the slots among
// workspaces and serves the urgent first, and [Division] divides an upstream among
// gateways by what they report of its use.
//
// [Shares] divides the connections of an upstream among the proxies of a group. The
// shares never add up to more than the limit, even while the proxies have different
// views of the fleet. [Queue] is the admission queue of one upstream at one proxy: it
// grants slots earliest deadline first, gives a booking the weight of two lookups,
// keeps tenants from starving each other and refuses at once what cannot meet its
// deadline. Its [Window] adapts the number of concurrent requests to what the upstream
// can take. [Gate] makes a Queue safe for concurrent use. [Pacer] rate-limits the
// opening of connections. [Limits] holds the settings of all of these for one preset.
//
// Everything but Gate is a function of (state, event, now). Refusals are outcomes of
// package retrier: the request was not run, with a cause and the time to try again.
//
// # Usage
//
//	gate := &limiter.Gate{
//		Queue: limiter.Queue{Window: limiter.Window{Max: limits.Window}, MaxLength: limits.Queue},
//		Now:   now,
//	}
//	ticket, outcome := gate.Acquire(ctx, limiter.Item{Tenant: tenant, Class: limiter.Booking, Deadline: deadline})
//	if ticket == 0 {
//		return outcome // not run; outcome.Hint says when to try again
//	}
//	served := send()
//	gate.Release(ticket, served)
package limiter
