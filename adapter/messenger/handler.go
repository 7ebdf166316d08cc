package messenger

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Peer names one process of the fleet: where it listens and which start of the
// process there it is.
type Peer struct {
	Addr  netip.AddrPort
	Start uint64
}

// Handler answers the requests of peers. A field that is nil refuses its method.
// Each function gets a context that ends with the asking side's deadline, and
// the peer that the connection was authenticated for. It may run at the same
// time as others.
type Handler struct {
	Ping    func(context.Context, Peer, Ping) (Ack, error)
	Probe   func(context.Context, Peer, Probe) (Probed, error)
	Sync    func(context.Context, Peer, Sync) (Synced, error)
	Marks   func(context.Context, Peer, Marks) (Empty, error)
	Have    func(context.Context, Peer, Have) (Got, error)
	Suspect func(context.Context, Peer, SuspectReport) (Empty, error)
	Primary func(context.Context, Peer, PrimaryAnnounce) (Empty, error)
	Cancel  func(context.Context, Peer, CancelForward) (Empty, error)
	Leave   func(context.Context, Peer, Leave) (Empty, error)
	Explain func(context.Context, Peer, ExplainQuery) (Explanation, error)
	Share   func(context.Context, Peer, ShareRequest) (Empty, error)
	Carry   func(context.Context, Peer, Carry) (Carried, error)
}

// dispatch decodes the request of one method and runs the function for it.
func (h *Handler) dispatch(ctx context.Context, from Peer, method Method, raw []byte) (any, error) {
	switch method {
	case MethodPing:
		var q Ping
		return serve(raw, &q, h.Ping != nil, func() (any, error) { return h.Ping(ctx, from, q) })
	case MethodProbe:
		var q Probe
		return serve(raw, &q, h.Probe != nil, func() (any, error) { return h.Probe(ctx, from, q) })
	case MethodSync:
		var q Sync
		return serve(raw, &q, h.Sync != nil, func() (any, error) { return h.Sync(ctx, from, q) })
	case MethodMarks:
		var q Marks
		return serve(raw, &q, h.Marks != nil, func() (any, error) { return h.Marks(ctx, from, q) })
	case MethodHave:
		var q Have
		return serve(raw, &q, h.Have != nil, func() (any, error) { return h.Have(ctx, from, q) })
	case MethodSuspect:
		var q SuspectReport
		return serve(raw, &q, h.Suspect != nil, func() (any, error) { return h.Suspect(ctx, from, q) })
	case MethodPrimary:
		var q PrimaryAnnounce
		return serve(raw, &q, h.Primary != nil, func() (any, error) { return h.Primary(ctx, from, q) })
	case MethodCancel:
		var q CancelForward
		return serve(raw, &q, h.Cancel != nil, func() (any, error) { return h.Cancel(ctx, from, q) })
	case MethodLeave:
		var q Leave
		return serve(raw, &q, h.Leave != nil, func() (any, error) { return h.Leave(ctx, from, q) })
	case MethodExplain:
		var q ExplainQuery
		return serve(raw, &q, h.Explain != nil, func() (any, error) { return h.Explain(ctx, from, q) })
	case MethodShare:
		var q ShareRequest
		return serve(raw, &q, h.Share != nil, func() (any, error) { return h.Share(ctx, from, q) })
	case MethodCarry:
		var q Carry
		return serve(raw, &q, h.Carry != nil, func() (any, error) { return h.Carry(ctx, from, q) })
	default:
		return nil, errors.Wrapf(ErrMethod, "%q", method)
	}
}

// serve reads the request into q and runs f, provided that the method is set.
func serve(raw []byte, q any, set bool, f func() (any, error)) (any, error) {
	if !set {
		return nil, ErrMethod
	}
	if err := json.Unmarshal(raw, q); err != nil {
		return nil, errors.Wrap(ErrRequest, err.Error())
	}
	return f()
}
