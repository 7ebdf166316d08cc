package keeper

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"basildale.example/basildale/versioner"
)

// Defaults of a Client, and the bound of one answer.
const (
	DefaultRate  = 20              // calls a second
	DefaultBurst = 40              // calls at once
	callTimeout  = 5 * time.Second // of a call whose context has no deadline
	dialTimeout  = time.Second
	maxAnswer    = 8 << 20 // bytes
	maxValue     = 1 << 20 // bytes of one value, by the contract
	idlePerHost  = 8       // connections kept open
)

// EraHeader is the header of an answer that states the platform's era.
const EraHeader = "Era"

// Client is one process's way to the platform. Set the fields before the first
// call; all methods are safe for use by several goroutines.
type Client struct {
	// Addrs are the platform's addresses, at least one. A call that certainly
	// had no effect at one goes on to the next.
	Addrs []netip.AddrPort
	// Rate is the budget of this process in calls a second, Burst what it may
	// spend at once. Zero means DefaultRate and DefaultBurst.
	Rate  rate.Limit
	Burst int
	// Transport carries the calls; nil means one of its own.
	Transport http.RoundTripper
	// Renewed, when set, is called when an answer states a later era than was known: the
	// platform has been restored from an older copy.
	Renewed func(before, now uint64)
	// Dropped, when set, is called for each answer that doesn't count because of the era
	// that it states.
	Dropped func(call string, why versioner.Verdict)

	eraMu sync.Mutex
	eras  versioner.EraTracker

	once    sync.Once
	budget  *rate.Limiter
	client  *http.Client
	current atomic.Uint32 // index into Addrs of the address that last worked
}

func (c *Client) setup() {
	limit, burst := c.Rate, c.Burst
	if limit == 0 {
		limit = DefaultRate
	}
	if burst == 0 {
		burst = DefaultBurst
	}
	c.budget = rate.NewLimiter(limit, burst)
	transport := c.Transport
	if transport == nil {
		// Without a bound of its own a dial to an address that swallows packets
		// would use up the call's whole time, and none be left for the next.
		dialer := net.Dialer{Timeout: dialTimeout}
		transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute}
	}
	c.client = &http.Client{Transport: transport}
}

// request is one call. Path and query are escaped already.
type request struct {
	method string
	path   string
	match  uint64
	body   []byte
	read   func(body []byte) error // decodes a 200; nil to skip it
	era    uint64                  // of the answer
}

// changes reports whether the call can have an effect.
func (r *request) changes() bool { return r.method != http.MethodGet }

// do makes one call at the address that last worked, and at the others in turn
// while it certainly had no effect. A lost answer is the caller's to settle; it
// will ask at another address.
func (c *Client) do(ctx context.Context, r *request) error {
	c.once.Do(c.setup)
	if len(c.Addrs) == 0 {
		return errors.Wrap(ErrDown, "no address is set")
	}
	var err error
	for range c.Addrs {
		at := c.current.Load()
		if err = c.budget.Wait(ctx); err != nil {
			return errors.Wrapf(ErrDown, "budget of calls is spent: %v", err)
		}
		err = c.try(ctx, c.Addrs[int(at)%len(c.Addrs)], r)
		if errors.Is(err, ErrDown) || errors.Is(err, ErrLost) {
			c.current.CompareAndSwap(at, at+1)
		}
		if !errors.Is(err, ErrDown) {
			return err
		}
	}
	return err
}

// try makes the call once at addr.
func (c *Client) try(ctx context.Context, addr netip.AddrPort, r *request) error {
	// A change is certain to have had no effect only while no connection has
	// been handed to it: the transport may have written it from then on, and a
	// broken connection doesn't say how far the platform has read.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+addr.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.Wrapf(ErrRefused, "%v", err)
	}
	if r.changes() {
		req.Header.Set("If-Match", strconv.FormatUint(r.match, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return failed(r, sent.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return failed(r, true, err)
	}
	if len(body) > maxAnswer {
		return ErrLarge
	}
	if err := c.place(r, resp.Header.Get(EraHeader)); err != nil {
		return err
	}
	return judge(r, resp.StatusCode, body)
}

// place finds the era of an answer. One of an earlier era, or of none where the platform
// has them, says nothing that holds now.
func (c *Client) place(r *request, stated string) error {
	c.eraMu.Lock()
	before := c.eras.Current()
	verdict := c.eras.Check(stated)
	r.era = c.eras.Current()
	c.eraMu.Unlock()
	if verdict == versioner.Later && c.Renewed != nil {
		c.Renewed(before, r.era)
	}
	if verdict.IsAccepted() {
		return nil
	}
	if c.Dropped != nil {
		c.Dropped(r.method+" "+r.path, verdict)
	}
	if r.changes() {
		return errors.Wrapf(ErrLost, "%s %s: era %s", r.method, r.path, verdict)
	}
	return errors.Wrapf(ErrEra, "%s %s: %s", r.method, r.path, verdict)
}

// Era returns the platform's era as far as it is known.
func (c *Client) Era() uint64 {
	c.eraMu.Lock()
	defer c.eraMu.Unlock()
	return c.eras.Current()
}

// failed names the outcome of a call without an answer.
func failed(r *request, sent bool, cause error) error {
	if r.changes() && sent {
		return errors.Wrapf(ErrLost, "%s %s: %v", r.method, r.path, cause)
	}
	return errors.Wrapf(ErrDown, "%s %s: %v", r.method, r.path, cause)
}

// judge names the outcome of an answer.
func judge(r *request, status int, body []byte) error {
	switch status {
	case http.StatusOK:
		if r.read == nil {
			return nil
		}
		if err := r.read(body); err != nil {
			return failed(r, true, err)
		}
		return nil
	case http.StatusConflict:
		current, err := decodeObject(body)
		if err != nil {
			return errors.Wrapf(ErrConflict, "and the answer can't be read: %v", err)
		}
		current.Era = r.era
		return &ConflictError{Current: current}
	case http.StatusNotFound:
		return errors.Wrapf(ErrMissing, "%s", r.path)
	case http.StatusGone:
		return errors.Wrapf(ErrGone, "%s", r.path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrapf(ErrDown, "%s %s: status %d", r.method, r.path, status)
	case http.StatusBadRequest, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return errors.Wrapf(ErrRefused, "%s %s: %s", r.method, r.path, bytes.TrimSpace(body[:min(len(body), 200)]))
	default:
		return failed(r, true, errors.Newf("status %d", status))
	}
}

// timed gives a context without a deadline one, so that no call waits for ever
// on a platform that has stopped answering.
func timed(ctx context.Context, extra time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callTimeout+extra)
}
