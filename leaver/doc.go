// Package leaver decides how things leave without anybody noticing: this process
// when it is told to stop, and upstreams that the platform's list calls leaving.
//
// Both are pure state machines: Handle takes an event and the time and returns
// commands, Next says when a [Tick] is wanted.
//
// # Stopping a process
//
// [Process] goes through four phases. It announces that it leaves, to its peers
// and to the platform, and hands over the groups it leads, while it serves as
// before: the platform's list lags, and until the balancer has read it new
// callers still come. Then it closes the listener and ends idle sessions between
// two requests, a few at a time, so that thousands of callers don't reconnect in
// the same moment. Sessions with a request or a transaction under way go on until
// they are idle. When none is left it gives its connection shares back and
// exits with code 0.
//
// A second signal or the deadline ends it at any point, with code 1 and the names
// of what was cut.
//
// # Upstreams that leave
//
// [Upstreams] reads the platform's list every second. An upstream that is listed
// as leaving gets no new work from that moment; if it is the primary, the group
// is to be moved to another one first, while writes are held. It gets work again
// only after it has been listed as live for some time without a break, because
// lists that come from different readers can differ in age.
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
