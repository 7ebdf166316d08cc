// Package generator puts open-loop load on PostgreSQL addresses, proxies or
// upstreams: callers' sessions that book and look up, stay, move or alternate
// between addresses, and keep a [checker.Ledger] of what they were told.
//
// Open loop means that the times at which requests start are drawn before the
// first is sent and don't depend on the answers. A request that has to wait for
// its session's earlier one is measured from its intended start, so a stall
// shows in the latency of everything that should have run meanwhile (no
// coordinated omission). A request whose time is over before it could be sent is
// counted as missed.
//
// The load, with its times, sessions, statements and moves, is a function of the
// seed; answers are not.
//
// # Usage
//
//	g := generator.Generator{
//		Addrs:    proxies,
//		User:     "app",
//		Database: "app",
//		Rate:     200,
//		Bookings: 0.3,
//		Sessions: 50,
//		Moves:    generator.Move,
//		Timeout:  time.Second,
//		Ledger:   &checker.Ledger{},
//	}
//	report, err := g.Run(ctx, time.Now().Add(10*time.Second))
//
// The table must be there: bookings (id text, seat text, session text), of which
// id is the key.
package generator
