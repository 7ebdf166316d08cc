package relayer

import (
	"strconv"
	"sync/atomic"
	"time"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/tracker"
)

// maxPrepared bounds the prepared statements that one upstream connection
// keeps. The oldest is closed for a new one.
const maxPrepared = 256

// Upstream is a connection to an upstream with what is known of the state in
// which earlier transactions have left it.
type Upstream struct {
	*dialer.Conn
	// Back gives the connection back to its owner, who set it.
	Back func(u *Upstream, healthy bool)

	deadline time.Time // set on the connection
	term     tracker.Term
	mark     tracker.Mark // of the last write; each has a later one
	settings settings
	prepared map[body]string
	order    []body // of prepared, the oldest first
	serial   uint64
	unnamed  body
	spoiled  atomic.Bool // not to be used again: a cancel request was sent for it, or its settings are not known
}

// NewUpstream wraps a fresh connection.
func NewUpstream(c *dialer.Conn) *Upstream {
	return &Upstream{
		Conn:     c,
		prepared: map[body]string{},
	}
}

// bound sets the connection's deadline, unless one that is at most slack earlier
// is set already.
func (u *Upstream) bound(deadline time.Time, slack time.Duration) {
	if early := deadline.Sub(u.deadline); early >= 0 && early <= slack {
		return
	}
	u.deadline = deadline
	u.SetDeadline(deadline)
}

// name returns the statement's name on this connection, if it is there.
func (u *Upstream) name(b body) (string, bool) {
	n, ok := u.prepared[b]
	return n, ok
}

// define chooses a name for a statement that is about to be parsed. evict is
// the name of one to be closed for it, empty for none.
func (u *Upstream) define(b body) (name, evict string) {
	if len(u.order) >= maxPrepared {
		evict = u.prepared[u.order[0]]
		u.forget(u.order[0])
	}
	u.serial++
	name = "b" + strconv.FormatUint(u.serial, 36)
	u.prepared[b] = name
	u.order = append(u.order, b)
	return name, evict
}

// forget drops a statement that is not there any more.
func (u *Upstream) forget(b body) {
	delete(u.prepared, b)
	for i, o := range u.order {
		if o == b {
			u.order = append(u.order[:i], u.order[i+1:]...)
			return
		}
	}
}
