package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxValue  = 1 << 20         // bytes of one value
	maxBody   = maxValue + 1024 // bytes of one request: a value and what is around it
	pageItems = 500             // items of a list or watch that names no limit
	maxWait   = time.Minute     // longest wait of a watch
)

// Platform is the stand-in. Set the fields before the first call.
type Platform struct {
	// Lag is how long the instance list stays behind SetInstances.
	Lag time.Duration
	// Now is the clock of the instance list; nil means time.Now.
	Now func() time.Time

	store     store
	faults    faults
	instances instances
	once      sync.Once
	mux       *http.ServeMux
	listener  net.Listener
	server    *http.Server
	addr      netip.AddrPort
}

// Start listens on a free loopback port and serves until Close.
func (p *Platform) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "platform: listen")
	}
	p.addr, err = netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		return errors.Wrap(err, "platform: own address")
	}
	p.listener = ln
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(ln) }() // ends by Close with ErrServerClosed
	return nil
}

// Addr returns where the platform listens after Start.
func (p *Platform) Addr() netip.AddrPort { return p.addr }

// Close stops listening and breaks every connection; later dials are refused.
func (p *Platform) Close() error {
	p.Down()
	if p.server == nil {
		return nil
	}
	// The server knows of its listener only once its goroutine runs; a dial
	// could be taken after Close without this.
	p.listener.Close()
	if err := p.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "platform: close")
	}
	return nil
}

// ServeHTTP answers one call of docs/CONTRACTS.md.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.routes)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) routes() {
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("GET /objects/{kind}/{name}", p.faulty("get", p.get))
	p.mux.HandleFunc("GET /objects/{kind}", p.faulty("list", p.list))
	p.mux.HandleFunc("PUT /objects/{kind}/{name}", p.faulty("put", p.put))
	p.mux.HandleFunc("DELETE /objects/{kind}/{name}", p.faulty("delete", p.remove))
	p.mux.HandleFunc("GET /watch", p.faulty("watch", p.watch))
	p.mux.HandleFunc("GET /instances", p.faulty("instances", p.listInstances))
}

func pathKey(r *http.Request) key {
	return key{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
	o, ok := p.store.get(pathKey(r))
	if !ok {
		fail(w, http.StatusNotFound, "no such object")
		return
	}
	reply(w, http.StatusOK, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
	q := r.URL.Query()
	limit, err := number(q.Get("limit"), pageItems)
	if err != nil || limit == 0 {
		fail(w, http.StatusBadRequest, "limit is not a number above 0")
		return
	}
	reply(w, http.StatusOK, p.store.list(r.PathValue("kind"), q.Get("after"), int(min(limit, pageItems))))
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
	match, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "If-Match is not a version")
		return
	}
	var body struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, "body is not {\"value\":...} of at most 1 MiB")
		return
	}
	if len(body.Value) == 0 || len(body.Value) > maxValue {
		fail(w, http.StatusBadRequest, "value is missing or over 1 MiB")
		return
	}
	o, res := p.store.put(pathKey(r), match, body.Value)
	answer(w, o, res)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request, _ <-chan struct{}) {
	match, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "If-Match is not a version")
		return
	}
	o, res := p.store.remove(pathKey(r), match)
	answer(w, o, res)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, down <-chan struct{}) {
	q := r.URL.Query()
	after, errAfter := number(q.Get("after"), 0)
	wait, errWait := number(q.Get("wait"), 0)
	limit, errLimit := number(q.Get("limit"), pageItems)
	if errors.Join(errAfter, errWait, errLimit) != nil || limit == 0 {
		fail(w, http.StatusBadRequest, "after, wait and limit are numbers, limit above 0")
		return
	}
	over := time.NewTimer(min(time.Duration(min(wait, 1e9))*time.Millisecond, maxWait))
	defer over.Stop()
	for {
		found, wake := p.store.since(q.Get("kind"), after, int(min(limit, pageItems)))
		if len(found.Items) > 0 {
			reply(w, http.StatusOK, found)
			return
		}
		select {
		case <-wake:
		case <-over.C:
			reply(w, http.StatusOK, found)
			return
		case <-down:
			fail(w, http.StatusServiceUnavailable, "down")
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer turns the result of a conditional change into a status.
func answer(w http.ResponseWriter, o Object, res result) {
	switch res {
	case changed:
		reply(w, http.StatusOK, o)
	case conflict:
		reply(w, http.StatusConflict, o)
	case missing:
		fail(w, http.StatusNotFound, "no such object")
	}
}

func number(s string, missing uint64) (uint64, error) {
	if s == "" {
		return missing, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func fail(w http.ResponseWriter, status int, text string) {
	reply(w, status, struct {
		Error string `json:"error"`
	}{text})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone: nobody to tell
}
