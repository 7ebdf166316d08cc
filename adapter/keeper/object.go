package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/versioner"
)

// PageItems is how many items one call asks for at most.
const PageItems = 500

// fitItems is how many items fit into one answer however large they are.
const fitItems = maxAnswer/maxValue - 1

// Object is one stored value. Version is the store's version at the object's
// last change. Deleted is set only in what a watch returns.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	// Unread is why there is no Value though the platform holds one: it is not JSON, or too
	// deeply nested to be decoded and sent on. It is an ErrUnread.
	Unread error `json:"-"`
	// Era is the platform's at the answer.
	Era uint64 `json:"-"`
}

// At returns the object's version with its era.
func (o *Object) At() versioner.Version { return versioner.Version{Era: o.Era, Revision: o.Version} }

// Page is the answer to a list or a watch. For a watch, Version is where the
// next one goes on. More says that the platform cut the page at the limit.
type Page struct {
	Items   []Object `json:"items"`
	Version uint64   `json:"version"`
	More    bool     `json:"more"`
	// Era is the platform's at the answer.
	Era uint64 `json:"-"`
}

// At returns the page's version with its era.
func (p *Page) At() versioner.Version { return versioner.Version{Era: p.Era, Revision: p.Version} }

// Instance is one line of the platform's list of instances, which lags.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`  // proxy or upstream
	Group   string         `json:"group"` // of an upstream
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"` // live or leaving
	// Unread, when set, is why the line can't be decoded. Only its Name may then be known.
	Unread error `json:"-"`
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get returns one object, or ErrMissing.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	ctx, cancel := timed(ctx, 0)
	defer cancel()
	var o Object
	r := &request{method: http.MethodGet, path: objectPath(kind, name), read: o.read}
	err := c.do(ctx, r)
	o.Era = r.era
	return o, err
}

// Put stores value as JSON if the object's version is match; 0 means that it
// must not exist. It returns the object at its new version.
func (c *Client) Put(ctx context.Context, kind, name string, match uint64, value any) (Object, error) {
	ctx, cancel := timed(ctx, 0)
	defer cancel()
	body, err := json.Marshal(struct {
		Value any `json:"value"`
	}{value})
	if err != nil {
		return Object{}, errors.Wrapf(ErrRefused, "%v", err)
	}
	var o Object
	r := &request{method: http.MethodPut, path: objectPath(kind, name), match: match, body: body, read: o.read}
	err = c.do(ctx, r)
	o.Era = r.era
	return o, err
}

// Delete removes the object if its version is match.
func (c *Client) Delete(ctx context.Context, kind, name string, match uint64) error {
	ctx, cancel := timed(ctx, 0)
	defer cancel()
	return c.do(ctx, &request{method: http.MethodDelete, path: objectPath(kind, name), match: match})
}

// List returns up to limit objects of a kind with names past after, by name. It
// may return fewer where they are large; More says whether there are others.
func (c *Client) List(ctx context.Context, kind, after string, limit int) (Page, error) {
	ctx, cancel := timed(ctx, 0)
	defer cancel()
	path := "/objects/" + url.PathEscape(kind) + "?after=" + url.QueryEscape(after)
	return c.page(ctx, path, limit)
}

// All returns every object of a kind, by name, in pages.
func (c *Client) All(ctx context.Context, kind string) ([]Object, error) {
	return c.AllAfter(ctx, kind, "")
}

// AllAfter returns the objects of a kind that follow a name, by name, in pages.
func (c *Client) AllAfter(ctx context.Context, kind, after string) ([]Object, error) {
	var all []Object
	var era uint64
	for first := true; ; first = false {
		p, err := c.List(ctx, kind, after, PageItems)
		if err != nil {
			return nil, err
		}
		if !first && p.Era != era {
			return nil, errors.Wrapf(ErrEra, "pages of %s are of eras %d and %d", kind, era, p.Era)
		}
		era = p.Era
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, nil
		}
		after = p.Items[len(p.Items)-1].Name
	}
}

// Watch returns what changed in a kind since version after, in the order of the
// versions, waiting up to wait for it.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Page, error) {
	ctx, cancel := timed(ctx, wait)
	defer cancel()
	path := "/watch?kind=" + url.QueryEscape(kind) +
		"&after=" + strconv.FormatUint(after, 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.page(ctx, path, PageItems)
}

// page asks for up to limit items, and once more for as many as always fit when
// the answer is over the bound.
func (c *Client) page(ctx context.Context, path string, limit int) (Page, error) {
	p, err := c.pageOf(ctx, path, max(1, min(limit, PageItems)))
	if errors.Is(err, ErrLarge) && limit > fitItems {
		return c.pageOf(ctx, path, fitItems)
	}
	return p, err
}

func (c *Client) pageOf(ctx context.Context, path string, limit int) (Page, error) {
	var p Page
	r := &request{method: http.MethodGet, path: path + "&limit=" + strconv.Itoa(limit), read: p.read}
	err := c.do(ctx, r)
	p.Era = r.era
	for i := range p.Items {
		p.Items[i].Era = r.era
	}
	return p, err
}

// Instances returns the list of instances, of one availability zone or, for "",
// of all. A line that can't be decoded costs no other one.
func (c *Client) Instances(ctx context.Context, zone string) ([]Instance, error) {
	ctx, cancel := timed(ctx, 0)
	defer cancel()
	var list []Instance
	path := "/instances"
	if zone != "" {
		path += "?zone=" + url.QueryEscape(zone)
	}
	err := c.do(ctx, &request{method: http.MethodGet, path: path, read: func(body []byte) (err error) {
		list, err = decodeInstances(body)
		return err
	}})
	return list, err
}
