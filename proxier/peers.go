package proxier

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
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
		Name: p.Settings.Name, Zone: p.Settings.Zone, Start: p.start, Peers: p.gossip.Bound(), Carries: p.carryAt, Operators: p.operatorsAt,
		Configuration: p.holdings.current().Config.Version, Complete: complete, Digest: digest, Checked: p.checks.ages(bootClock()),
		Millicores: p.millicores(), Leaving: p.leaving.Load(), Groups: p.overseer.States(),
	}
}

// heard takes in a peer's state: one that knows of something newer is asked for
// it.
func (p *Proxier) heard(s gossiper.State) {
	p.checks.hear(s.Checked, bootClock())
	if s.Configuration > p.holdings.current().Config.Version {
		p.notice(s.Name, s.Configuration)
	}
	newer := s.Configuration > p.holdings.current().Config.Version || p.holdings.lacks(s.Complete, s.Digest)
	newer = p.gossip.Lacks(s.Fleet) || !p.learned.Load() || newer
	if !newer || !p.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.fetching.Store(false)
		began := bootClock()
		bytes, err := p.fetch(s.Operators)
		p.received(s.Operators, bytes, began, err)
	}()
}

// What a peer that asks says that it has: a version of the configuration, and the
// revision up to which it knows all entries of upstreams.
const (
	hasConfiguration = "configuration"
	hasComplete      = "complete"
	hasFleet         = "fleet"
)

// known tells a peer what it lacks.
func (p *Proxier) known(w http.ResponseWriter, r *http.Request) {
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(r.FormValue(name), 10, 64)
		if err != nil {
			p.Log.Warn("proxier: a peer doesn't say what it has, and is told all", zap.String("field", name), zap.Error(err))
		}
		return n
	}
	b := p.holdings.bundle(number(hasConfiguration), number(hasComplete))
	if p.learned.Load() && number(hasFleet) != uint64(p.gossip.Digest()) {
		b.Fleet = p.gossip.Members()
	}
	began := bootClock()
	out := &tally{Writer: w}
	err := json.NewEncoder(out).Encode(b)
	p.sent(r.RemoteAddr, out.bytes, began, err)
}

// fetch takes in what a peer knows and this process doesn't, and returns the bytes that
// came.
func (p *Proxier) fetch(at netip.AddrPort) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	complete, _ := p.holdings.entries()
	has := url.Values{
		hasConfiguration: {strconv.FormatUint(p.holdings.current().Config.Version, 10)},
		hasComplete:      {strconv.FormatUint(complete, 10)},
		hasFleet:         {strconv.FormatUint(uint64(p.gossip.Digest()), 10)},
	}
	where := url.URL{Scheme: "http", Host: at.String(), Path: "/known", RawQuery: has.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, where.String(), nil)
	if err != nil {
		return 0, errors.Wrap(err, "proxier: ask a peer")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "proxier: ask a peer")
	}
	defer resp.Body.Close()
	var b bundle
	in := &tally{Reader: resp.Body}
	if err := json.NewDecoder(in).Decode(&b); err != nil {
		return in.bytes, errors.Wrap(err, "proxier: what a peer knows")
	}
	p.holdings.take(b)
	if len(b.Fleet) > 0 {
		p.gossip.Take(b.Fleet)
		p.introduce()
		p.Log.Info("proxier: fleet learned", zap.Int("proxies", len(b.Fleet)), zap.String("source", at.String()))
	}
	return in.bytes, nil
}
