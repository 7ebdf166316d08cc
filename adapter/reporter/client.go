package reporter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// What a client's error is marked with.
var (
	// ErrSilent says that the process couldn't be asked or didn't answer.
	ErrSilent = errors.New("reporter: no answer")
	// ErrRefused says that the process answered, but not with what was asked.
	ErrRefused = errors.New("reporter: refused")
)

// maxAnswer bounds what a client reads of one answer.
const maxAnswer = 64 << 20

// Client asks one process. HTTP may be nil; the context bounds each call.
type Client struct {
	Address netip.AddrPort
	HTTP    *http.Client
}

// Status returns what the process sees.
func (c Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Explain returns decisions, oldest first.
func (c Client) Explain(ctx context.Context, q Query) ([]Decision, error) {
	values := url.Values{}
	for name, v := range map[string]string{"session": q.Session, "group": q.Group, "upstream": q.Upstream} {
		if v != "" {
			values.Set(name, v)
		}
	}
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	var decisions []Decision
	err := c.call(ctx, http.MethodGet, "/explain", values, &decisions)
	return decisions, err
}

// Drain starts a graceful stop.
func (c Client) Drain(ctx context.Context) (Drained, error) {
	var d Drained
	err := c.call(ctx, http.MethodPost, "/drain", nil, &d)
	return d, err
}

// Ready returns nil when the process takes callers.
func (c Client) Ready(ctx context.Context) error {
	var state Condition
	return c.call(ctx, http.MethodGet, "/ready", nil, &state)
}

func (c Client) call(ctx context.Context, method, path string, query url.Values, out any) error {
	u := url.URL{Scheme: "http", Host: c.Address.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "reporter")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "no answer from %s", c.Address), ErrSilent)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "half an answer from %s", c.Address), ErrSilent)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Mark(errors.Newf("%s answered %d: %s", c.Address, resp.StatusCode, reason(data)), ErrRefused)
	}
	return errors.Wrapf(json.Unmarshal(data, out), "answer of %s", c.Address)
}

// reason returns what an answer other than 200 says.
func reason(data []byte) string {
	var both struct {
		Problem
		Condition
	}
	if json.Unmarshal(data, &both) != nil {
		return "no reason given"
	}
	return both.Error + both.Reason
}
