package messenger

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// call sends one request to a peer. Without a deadline in ctx it gets the
// messenger's. See the errors of this package for how it can end.
func (m *Messenger) call(ctx context.Context, to netip.AddrPort, method Method, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	l, err := m.link(ctx, to)
	if err != nil {
		return errors.Mark(err, ErrUnsent)
	}
	return l.call(ctx, method, req, reply)
}

// Ping asks whether the member at to lives.
func (m *Messenger) Ping(ctx context.Context, to netip.AddrPort, req Ping) (Ack, error) {
	var reply Ack
	err := m.call(ctx, to, MethodPing, req, &reply)
	return reply, err
}

// Probe asks the member at to to ping another one.
func (m *Messenger) Probe(ctx context.Context, to netip.AddrPort, req Probe) (Probed, error) {
	var reply Probed
	err := m.call(ctx, to, MethodProbe, req, &reply)
	return reply, err
}

// Sync asks for one bucket of the view of the member at to.
func (m *Messenger) Sync(ctx context.Context, to netip.AddrPort, req Sync) (Synced, error) {
	var reply Synced
	err := m.call(ctx, to, MethodSync, req, &reply)
	return reply, err
}

// Marks hands messages about sessions' marks to the proxy at to.
func (m *Messenger) Marks(ctx context.Context, to netip.AddrPort, req Marks) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodMarks, req, &reply)
	return reply, err
}

// Have tells the proxy at to which configuration is held here.
func (m *Messenger) Have(ctx context.Context, to netip.AddrPort, req Have) (Got, error) {
	var reply Got
	err := m.call(ctx, to, MethodHave, req, &reply)
	return reply, err
}

// Suspect tells the proxy at to that a primary seems dead.
func (m *Messenger) Suspect(ctx context.Context, to netip.AddrPort, req SuspectReport) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodSuspect, req, &reply)
	return reply, err
}

// Primary tells the proxy at to who leads a group.
func (m *Messenger) Primary(ctx context.Context, to netip.AddrPort, req PrimaryAnnounce) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodPrimary, req, &reply)
	return reply, err
}

// Cancel passes a cancel request on to the proxy at to.
func (m *Messenger) Cancel(ctx context.Context, to netip.AddrPort, req CancelForward) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodCancel, req, &reply)
	return reply, err
}

// Leave tells the proxy at to that this process stops.
func (m *Messenger) Leave(ctx context.Context, to netip.AddrPort, req Leave) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodLeave, req, &reply)
	return reply, err
}

// Explain asks the proxy at to for its recent decisions.
func (m *Messenger) Explain(ctx context.Context, to netip.AddrPort, req ExplainQuery) (Explanation, error) {
	var reply Explanation
	err := m.call(ctx, to, MethodExplain, req, &reply)
	return reply, err
}

// Share confirms views of shares to the proxy at to.
func (m *Messenger) Share(ctx context.Context, to netip.AddrPort, req ShareRequest) (Empty, error) {
	var reply Empty
	err := m.call(ctx, to, MethodShare, req, &reply)
	return reply, err
}

// Carry has the proxy at to carry a statement.
func (m *Messenger) Carry(ctx context.Context, to netip.AddrPort, req Carry) (Carried, error) {
	var reply Carried
	err := m.call(ctx, to, MethodCarry, req, &reply)
	return reply, err
}
