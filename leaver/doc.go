// Package leaver controls graceful departures: the shutdown of this process, and the
// removal of upstreams that the platform's list reports as leaving. Callers should notice
// neither.
//
// Both are pure state machines: Handle takes an event and the time and returns
// commands, Next returns when a [Tick] is due.
//
// # Stopping a process
//
// [Process] goes through four phases. It announces its departure to its peers
// and to the platform and hands over the groups it leads, and serves as
// before meanwhile: the platform's list lags, and until the load balancer has read it, new
// callers still connect. Then it closes the listener and ends idle sessions between
// two requests, a few at a time, so that thousands of callers do not reconnect at
// the same moment. Sessions with a request or a transaction in progress continue until
// they are idle. When no session is left, it returns its connection shares and
// exits with code 0.
//
// A second signal or the deadline ends it at any point, with code 1 and a list of
// the sessions that were interrupted.
//
// [Shutdown] decides the same for a process behind a load balancer that checks the
// processes by itself, where nothing is handed over: it needs no list and no answers.
//
// # Upstreams that leave
//
// [Upstreams] reads the platform's list every second. An upstream that is listed
// as leaving gets no new work from then on. If it is the primary, the group first moves
// to another primary, and writes are held meanwhile. The upstream gets work again
// only after it has been listed as live for some time without interruption, because
// lists from different readers can differ in age.
//
// # Usage
//
//	p := &leaver.Process{}
//	cmds := p.Handle(leaver.Begin{Cause: leaver.Signal, Groups: led}, now)
//	...
//	case leaver.Exit:
//		log.Info("server: stopped", zap.Stringer("summary", cmd.Summary))
//		os.Exit(cmd.Code)
package leaver
