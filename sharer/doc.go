// Package sharer divides the connections of each group's upstreams among the
// proxies: it runs the state machine limiter.Shares of each group over the
// platform and the peers.
//
// The platform's object of a group holds the views that may still be in use. It
// is written for each change of the members, and once more when all keep to the
// new view, by the first of the group's rendezvous order, and by the next ones if
// that one doesn't do it. Each proxy
// confirms to the others directly that it keeps to a view, and repeats that until
// they have answered. While the platform is down the last views hold: nobody's
// share changes, and a proxy that starts then has none.
//
// Each proxy has a control connection to each upstream beside its share. So a
// view divides what is left after one for each member and [Newcomers] for
// proxies that are not members yet. A proxy without a share opens no connection
// for data. When there are more proxies than that leaves room for, no further
// view is made, which is logged as an error: those that share go on as they were,
// those that came last serve nothing.
//
// A member has ended when it says so itself after its last connection, when a
// later run is at its address, or when the platform's list, read several times,
// doesn't have it and no peer believes it alive. Silence alone is no proof: a
// proxy that stands still has its connections open.
//
// # Usage
//
//	s := &sharer.Sharer{
//		Self:   member,
//		Watch:  watch, // the platform's objects, by package keeper
//		Put:    put,
//		Groups: groups,
//		Fleet:  fleet,
//		Rank:   rank,
//		Send:   send, // to a peer; its answer is the receipt
//		Open:   server.Open,
//		Set:    server.Share,
//	}
//	go s.Run(ctx)
//	s.Hear(from, message) // for each message of a peer
//	...
//	s.Leave(ctx) // after the last connection for data is closed
package sharer
