package proxier

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/carrier"
)

const (
	// usageTimeout bounds the requests to all peers together.
	usageTimeout = time.Second
	// firstUsageTimeout bounds the first request to a peer. Those that did not answer within
	// it are asked again after all others, so that peers that hang don't use up the time of
	// the others: 64 of them leave a fifth of it.
	firstUsageTimeout = 200 * time.Millisecond
	// maxUsageRequests bounds the requests at a time.
	maxUsageRequests = 16
	// maxUsageReport bounds the report of one process, in bytes.
	maxUsageReport = 512 << 10
	// paramScope is the parameter of a request for usage, and scopeProcess its value where
	// only the use of the process that is asked is wanted.
	paramScope   = "scope"
	scopeProcess = "process"
)

// Errors with which a request for a peer's usage can end, besides network errors.
var (
	errUsageUnknown  = errors.New("an older version, which does not report usage")
	errUsageTooLarge = errors.New("its report is too large")
	errUsageUnread   = errors.New("its report cannot be read")
	errNoAddress     = errors.New("its address is not known")
)

// usageQuery adds up the use of the fleet. Set the exported fields before the first use. It is
// safe for concurrent use.
type usageQuery struct {
	// Process is the name of this process, and Own returns its use.
	Process string
	Own     func() []carrier.UpstreamUsage
	// Peers returns the live peers.
	Peers  func() []usagePeer
	Client *http.Client
	Log    *zap.Logger

	running sync.Mutex // held while the fleet is asked
}

// usagePeer is a peer and its operators' address.
type usagePeer struct {
	Name    string
	Address netip.AddrPort
}

// usagePeers returns the peers that can be asked for their use.
func (p *Proxier) usagePeers() []usagePeer {
	peers := p.gossip.LivePeers()
	out := make([]usagePeer, 0, len(peers))
	for i := range peers {
		out = append(out, usagePeer{peers[i].Name, peers[i].OperatorsAddr})
	}
	return out
}

// newUsageQuery returns the handler of requests for usage.
func (p *Proxier) newUsageQuery() *usageQuery {
	return &usageQuery{Process: p.Settings.Name, Own: p.carrier.Usage, Peers: p.usagePeers, Client: p.client, Log: p.Log}
}

// ServeHTTP answers with the use of the fleet, or of this process alone. The fleet is asked for
// one operator at a time: each time costs every process some processor time.
func (q *usageQuery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.FormValue(paramScope) == scopeProcess {
		q.send(w, http.StatusOK, usageReport(q.Process, q.Own()))
		return
	}
	if !q.running.TryLock() {
		q.send(w, http.StatusServiceUnavailable, reporter.Problem{Error: "the fleet is being asked for another operator; try again"})
		return
	}
	defer q.running.Unlock()
	q.send(w, http.StatusOK, q.fleet(r.Context()))
}

func (q *usageQuery) send(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		q.Log.Info("proxier: usage not sent", zap.Error(err))
	}
}

// fleet returns the use of this process and its live peers.
func (q *usageQuery) fleet(ctx context.Context) reporter.Usage {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	var mu sync.Mutex // guards sum and silent
	var sum usageSum
	var silent []reporter.Silent
	own := usageReport(q.Process, q.Own())
	if err := sum.add(&own); err != nil {
		silent = append(silent, reporter.Silent{Process: q.Process, Reason: usageReason(err)})
	}
	record := func(peer usagePeer, report *reporter.Usage, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			err = sum.add(report)
		}
		if err != nil {
			silent = append(silent, reporter.Silent{Process: peer.Name, Reason: usageReason(err)})
		}
	}
	late := q.askAll(ctx, q.Peers(), firstUsageTimeout, record)
	q.askAll(ctx, late, usageTimeout, record)
	return sum.usage(q.Process, silent)
}

// askAll requests the use of peers, each within a timeout. It calls record with the outcomes,
// and returns the peers that did not answer within the timeout while there is time left.
func (q *usageQuery) askAll(ctx context.Context, peers []usagePeer, timeout time.Duration, record func(usagePeer, *reporter.Usage, error)) []usagePeer {
	var mu sync.Mutex // guards late
	var late []usagePeer
	var requests errgroup.Group
	requests.SetLimit(maxUsageRequests)
	for _, peer := range peers {
		requests.Go(func() error {
			asking, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			report, err := q.ask(asking, peer.Address)
			if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, peer)
				return nil
			}
			record(peer, &report, err)
			return nil
		})
	}
	_ = requests.Wait() // errors are recorded
	return late
}

// usageReason returns why a peer's use is missing, for an operator.
func usageReason(err error) string {
	for _, known := range []error{errUsageUnknown, errUsageTooLarge, errUsageUnread, errNoAddress} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	switch {
	case errors.Is(err, errInvalidUsage):
		return errUsageUnread.Error()
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	default:
		return "not reached"
	}
}

// ask requests the use of one peer.
func (q *usageQuery) ask(ctx context.Context, addr netip.AddrPort) (reporter.Usage, error) {
	var out reporter.Usage
	if !addr.IsValid() {
		return out, errNoAddress
	}
	target := url.URL{Scheme: "http", Host: addr.String(), Path: "/usage", RawQuery: url.Values{paramScope: {scopeProcess}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return out, errors.Wrap(err, "proxier: request for usage")
	}
	resp, err := q.Client.Do(req)
	if err != nil {
		return out, errors.Wrap(err, "proxier: request for usage")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return out, errUsageUnknown
	default:
		return out, errUsageUnread
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxUsageReport+1))
	switch {
	case err != nil:
		return out, errors.Wrap(err, "proxier: read usage")
	case len(body) > maxUsageReport:
		return out, errUsageTooLarge
	case json.Unmarshal(body, &out) != nil:
		return out, errUsageUnread
	default:
		return out, nil
	}
}
