package proxier

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/versioner"
)

// listenPeers takes statements of peers.
func (p *Proxier) listenPeers() error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.Settings.Carry))
	if err != nil {
		return errors.Wrapf(err, "proxier: listen on %s", p.Settings.Carry)
	}
	p.carryAt = ln.Addr().(*net.TCPAddr).AddrPort()
	key := sha256.Sum256([]byte(fleetKey + p.Settings.Workspace))
	p.peers = &messenger.Messenger{
		Self: messenger.Peer{Addr: p.carryAt, Start: uint64(p.start)}, Keys: [][]byte{key[:]},
		Handler:          messenger.Handler{Carry: p.carry},
		HandshakeTimeout: peerHandshake, Silence: peerSilence, MaxInFlight: peerInFlight, Metrics: p.registry, Log: p.Log,
	}
	go func() {
		if err := p.peers.Serve(ln); err != nil {
			p.Log.Error("proxier: peers aren't served any more", zap.Error(err))
		}
	}()
	return nil
}

// carry carries a statement for a peer.
func (p *Proxier) carry(_ context.Context, from messenger.Peer, q messenger.Carry) (messenger.Carried, error) {
	answer, err := p.forward.Serve(from.Addr.String()+"/"+strconv.FormatUint(from.Start, 36), q.Payload)
	return messenger.Carried{Payload: answer}, err
}

// send has a peer carry a statement.
func (p *Proxier) send(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
	answer, err := p.peers.Carry(ctx, to, messenger.Carry{Payload: payload})
	if errors.Is(err, messenger.ErrUnsent) || errors.Is(err, messenger.ErrBusy) {
		err = errors.Mark(err, forwarder.ErrUnsent)
	}
	return answer.Payload, err
}

// self is what peers are told.
func (p *Proxier) self() gossiper.State {
	complete, digest := p.holdings.entries()
	return gossiper.State{
		Name: p.Settings.Name, Zone: p.Settings.Zone, Start: p.start, GossipAddr: p.gossip.LocalAddr(), GatewayAddr: p.carryAt, OperatorsAddr: p.operatorsAt,
		Configuration: p.holdings.current().Config.Version, CatalogComplete: complete, CatalogDigest: digest, StoreReadAges: p.checks.ages(bootClock()),
		Millicores: p.millicores(), Leaving: p.leaving.Load(), Groups: p.overseer.States(),
	}
}

// heard takes in a peer's state: one that knows of something newer is asked for
// it.
func (p *Proxier) heard(s gossiper.State) {
	p.checks.hear(s.StoreReadAges, bootClock())
	if s.Configuration > p.holdings.current().Config.Version {
		p.logNewer(s.Name, s.Configuration)
		p.configurations.hear(s.OperatorsAddr, versioner.Version{Revision: s.Configuration})
	}
	p.hearEra(s.CatalogComplete.Era, s.Name)
	if p.holdings.lacks(s.CatalogComplete, s.CatalogDigest) {
		p.entries.hear(s.OperatorsAddr, s.CatalogComplete)
	}
	if (p.gossip.ShouldRequestList(s.FleetDigest) || !p.learned.Load()) && p.listing.CompareAndSwap(false, true) {
		go func() {
			defer p.listing.Store(false)
			_ = p.askKnown(context.Background(), s.OperatorsAddr) // logged; who still lacks the list asks again
		}()
	}
}

// What a peer that asks says that it has: a version of the configuration, the version
// up to which it knows all entries of upstreams, and a hash of its list of the fleet.
const (
	hasConfiguration = "configuration"
	hasComplete      = "complete"
	hasFleet         = "fleet"
)

// number reads what a peer says that it has.
func (p *Proxier) number(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.FormValue(name), 10, 64)
	if err != nil {
		p.Log.Warn("proxier: a peer doesn't say what it has, and is told all", zap.String("field", name), zap.Error(err))
	}
	return n
}

// known tells a peer which entries of upstreams and which processes of the fleet it
// lacks.
func (p *Proxier) known(w http.ResponseWriter, r *http.Request) {
	complete, err := versioner.Parse(r.FormValue(hasComplete))
	if err != nil {
		p.Log.Warn("proxier: a peer doesn't say what it has, and is told all", zap.String("field", hasComplete), zap.Error(err))
	}
	b := bundle{Entries: p.holdings.since(complete)}
	if p.learned.Load() && p.number(r, hasFleet) != uint64(p.gossip.Digest()) {
		b.Fleet = p.gossip.Members()
		b.Settled = p.settled.Load()
	}
	began := bootClock()
	out := &byteCounter{Writer: w}
	err = json.NewEncoder(out).Encode(b)
	p.sent(r.RemoteAddr, out.bytes, began, err)
}

// configuration tells a peer the configuration, if it lacks it. Only so many are told at
// a time as the link can serve before they give up; the others are refused at once, and
// find another that has it.
func (p *Proxier) configuration(w http.ResponseWriter, r *http.Request) {
	config := p.holdings.current().Config
	if config.Version <= p.number(r, hasConfiguration) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if !p.transfers.TryAcquire(1) {
		p.count(transfersRefused, 1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.transfers.Release(1)
	began := bootClock()
	out := &byteCounter{Writer: w}
	err := p.deliver(out, http.NewResponseController(w), &config)
	p.sent(r.RemoteAddr, out.bytes, began, err)
}

// deliver writes the configuration to a peer, which waits no longer than relayTimeout.
func (p *Proxier) deliver(out io.Writer, link *http.ResponseController, c *cataloger.Config) error {
	body, err := p.parcel.of(c)
	if err != nil {
		return err
	}
	if err := link.SetWriteDeadline(time.Now().Add(relayTimeout)); err != nil {
		return errors.Wrap(err, "proxier: bound a transfer")
	}
	// The connection is kept, and the bound would hold for what is sent on it later.
	defer func() { _ = link.SetWriteDeadline(time.Time{}) }()
	if _, err := out.Write(body); err != nil {
		return errors.Wrap(err, "proxier: send the configuration")
	}
	return errors.Wrap(link.Flush(), "proxier: send the configuration")
}

// askKnown takes in the entries and the list of the fleet that a peer has.
func (p *Proxier) askKnown(ctx context.Context, at netip.AddrPort) error {
	complete, _ := p.holdings.entries()
	has := url.Values{
		hasComplete: {complete.String()},
		hasFleet:    {strconv.FormatUint(uint64(p.gossip.Digest()), 10)},
	}
	return p.get(ctx, at, "/known", has, func(body io.Reader) error {
		var b bundle
		if err := json.NewDecoder(body).Decode(&b); err != nil {
			return errors.Wrap(err, "proxier: what a peer knows")
		}
		p.holdings.take(b.Entries)
		if len(b.Fleet) > 0 {
			p.gossip.Merge(b.Fleet)
			if b.Settled {
				p.settled.Store(true)
			}
			p.introduce()
			p.Log.Info("proxier: fleet learned", zap.Int("proxies", len(b.Fleet)), zap.Stringer("source", at))
		}
		return nil
	})
}

// askConfiguration takes in the configuration that a peer has.
func (p *Proxier) askConfiguration(ctx context.Context, at netip.AddrPort) error {
	has := strconv.FormatUint(p.holdings.current().Config.Version, 10)
	return p.get(ctx, at, "/configuration", url.Values{hasConfiguration: {has}}, func(body io.Reader) error {
		c, err := unpack(body)
		if err != nil {
			return err
		}
		p.holdings.configure(c, "peer")
		return nil
	})
}

// fallBack reads a kind in the store that peers say has changed and don't deliver.
func (p *Proxier) fallBack(ctx context.Context, f *follower) error {
	complete, _ := p.holdings.entries()
	p.Log.Warn("proxier: peers don't deliver, the store is read", zap.String("kind", f.kind), zap.Uint64("heard", p.noticed.Load()),
		zap.Uint64("configuration", p.holdings.current().Config.Version), zap.Stringer("complete", complete))
	return f.reread(ctx)
}

// get has what a peer tells taken in; nothing where it has nothing newer.
func (p *Proxier) get(ctx context.Context, at netip.AddrPort, path string, has url.Values, take func(body io.Reader) error) (err error) {
	began := bootClock()
	in := &byteCounter{Reader: http.NoBody}
	defer func() { p.received(at, path, in.bytes, began, err) }()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	where := url.URL{Scheme: "http", Host: at.String(), Path: path, RawQuery: has.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, where.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "proxier: ask a peer")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "proxier: ask a peer")
	}
	defer resp.Body.Close()
	in.Reader = resp.Body
	switch resp.StatusCode {
	case http.StatusOK:
		return take(in)
	case http.StatusNoContent:
		return nil
	case http.StatusServiceUnavailable:
		return errBusy
	default:
		return errors.Newf("proxier: peer answers with status %d", resp.StatusCode)
	}
}
