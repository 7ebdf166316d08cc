package reporter

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"
)

// ErrUpstream reports an upstream that the process doesn't have.
var ErrUpstream = errors.New("reporter: no such upstream")

// BreakerState is what an operator makes of an upstream's circuit breaker.
type BreakerState string

// The states.
const (
	ForceOpen   BreakerState = "open"   // the upstream is out of use
	ForceClosed BreakerState = "closed" // it is used whatever happens
	ForceAuto   BreakerState = "auto"   // by its failures
)

// Forced answers POST /breaker.
type Forced struct {
	Upstream netip.AddrPort `json:"upstream"`
	State    BreakerState   `json:"state"`   // as asked for
	Breaker  string         `json:"breaker"` // as it is now
}

func (r *Reporter) force(w http.ResponseWriter, req *http.Request) {
	if r.Force == nil {
		r.missing(w)
		return
	}
	values := req.URL.Query()
	at, err := netip.ParseAddrPort(values.Get("upstream"))
	if err != nil {
		r.send(w, http.StatusBadRequest, Problem{Error: "upstream has to be an IP number and a port"})
		return
	}
	state := BreakerState(values.Get("state"))
	switch state {
	case ForceOpen, ForceClosed, ForceAuto:
	default:
		r.send(w, http.StatusBadRequest, Problem{Error: "state is open, closed or auto"})
		return
	}
	forced, err := r.Force(req.Context(), at, state)
	if errors.Is(err, ErrUpstream) {
		r.send(w, http.StatusNotFound, Problem{Error: err.Error()})
		return
	}
	r.answer(w, http.StatusOK, forced, err)
}

// Force sets the state of an upstream's breaker at this process, or clears it.
func (c Client) Force(ctx context.Context, upstream netip.AddrPort, state BreakerState) (Forced, error) {
	var f Forced
	values := url.Values{"upstream": {upstream.String()}, "state": {string(state)}}
	err := c.call(ctx, http.MethodPost, "/breaker", values, &f)
	return f, err
}
