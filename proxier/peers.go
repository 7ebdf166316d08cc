package proxier

import (
	"compress/gzip"
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

// listenPeers accepts forwarded statements from peers.
func (p *Proxier) listenPeers() error {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(p.Settings.Carry))
	if err != nil {
		return errors.Wrapf(err, "proxier: listen on %s", p.Settings.Carry)
	}
	p.gatewayAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	key := sha256.Sum256([]byte(fleetKeyPrefix + p.Settings.Workspace))
	p.messenger = &messenger.Messenger{
		Self: messenger.Peer{Addr: p.gatewayAddr, Start: uint64(p.incarnation)}, Keys: [][]byte{key[:]},
		Handler:          messenger.Handler{Carry: p.serveForwarded},
		HandshakeTimeout: peerHandshakeTimeout, Silence: peerSilenceTimeout, MaxInFlight: maxPeerInFlight, MaxMessage: maxPeerMessage, Metrics: p.registry, Log: p.Log,
	}
	go func() {
		if err := p.messenger.Serve(ln); err != nil {
			p.Log.Error("proxier: peer listener ended", zap.Error(err))
		}
	}()
	return nil
}

// serveForwarded runs a statement that a peer forwarded.
func (p *Proxier) serveForwarded(ctx context.Context, from messenger.Peer, q messenger.Carry) (messenger.Carried, error) {
	answer, err := p.forward.Serve(ctx, from.Addr.String()+"/"+strconv.FormatUint(from.Start, 36), q.Payload)
	if errors.Is(err, forwarder.ErrRequest) {
		err = errors.Mark(err, messenger.ErrRequest)
	}
	return messenger.Carried{Payload: answer}, err
}

// forwardToPeer sends a statement to a peer that runs it.
func (p *Proxier) forwardToPeer(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
	answer, err := p.messenger.Carry(ctx, to, messenger.Carry{Payload: payload})
	return answer.Payload, markForwardError(err)
}

// markForwardError marks an error of the messenger with what package forwarder knows of it.
func markForwardError(err error) error {
	switch {
	case errors.Is(err, messenger.ErrSize):
		return errors.Mark(errors.Mark(err, forwarder.ErrTooLarge), forwarder.ErrUnsent)
	case errors.Is(err, messenger.ErrLarge):
		return errors.Mark(errors.Mark(err, forwarder.ErrBusy), forwarder.ErrUnsent)
	case errors.Is(err, messenger.ErrRequest):
		return errors.Mark(errors.Mark(err, forwarder.ErrRequest), forwarder.ErrUnsent)
	case errors.IsAny(err, messenger.ErrUnsent, messenger.ErrBusy):
		return errors.Mark(err, forwarder.ErrUnsent)
	case errors.Is(err, messenger.ErrAnswer):
		return errors.Mark(err, forwarder.ErrAnswerTooLarge)
	default:
		return err
	}
}

// ownState returns the state that is sent to peers.
func (p *Proxier) ownState() gossiper.State {
	complete, digest := p.cache.completeVersion()
	return gossiper.State{
		Name: p.Settings.Name, Zone: p.Settings.Zone, Start: p.incarnation, GossipAddr: p.gossip.LocalAddr(), GatewayAddr: p.gatewayAddr, OperatorsAddr: p.operatorsAddr,
		Configuration: p.cache.current().Config.Version, CatalogComplete: complete, CatalogDigest: digest, StoreReadAges: p.fullReads.ages(bootClock()),
		Millicores: p.millicores(), Leaving: p.leaving.Load(), FleetKnown: p.fleetKnown.Load(), Groups: p.overseer.States(),
	}
}

// onPeerState handles a peer's state. If the peer has something newer, it is requested.
func (p *Proxier) onPeerState(s gossiper.State) {
	p.fullReads.merge(s.StoreReadAges, bootClock())
	p.setPeerLoads(&s)
	if s.Configuration > p.cache.current().Config.Version {
		p.noteNewerConfig(s.Name, s.Configuration)
		p.configSyncer.addOffer(s.OperatorsAddr, versioner.Version{Revision: s.Configuration})
	}
	p.receiveEra(s.CatalogComplete.Era, s.Name)
	if p.cache.needsUpdate(s.CatalogComplete, s.CatalogDigest) {
		p.entrySyncer.addOffer(s.OperatorsAddr, s.CatalogComplete)
	}
	lacksFleet := s.FleetKnown && !p.fleetKnown.Load() || !p.peersKnown.Load()
	if (p.gossip.ShouldRequestList(s.FleetDigest) || lacksFleet) && p.isFetchingFleet.CompareAndSwap(false, true) {
		go func() {
			defer p.isFetchingFleet.Store(false)
			_ = p.fetchKnown(context.Background(), s.OperatorsAddr) // errors are logged; a process that still lacks the list requests it again
		}()
	}
}

// Parameters by which a requesting peer states what it has: its version of the configuration,
// the version up to which it knows all upstream entries and their hash, the hash of its list
// of the fleet, and those of the list's ranges.
const (
	paramConfiguration = "configuration"
	paramComplete      = "complete"
	paramEntries       = "entries"
	paramFleet         = "fleet"
	paramRanges        = "ranges"
)

// formNumber parses a number from a peer's request; it is zero if missing or invalid.
func (p *Proxier) formNumber(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.FormValue(name), 10, 64)
	if err != nil {
		p.Log.Warn("proxier: peer sent no valid version, sending it everything", zap.String("field", name), zap.Error(err))
	}
	return n
}

// formRanges parses the ranges of the list of the fleet from a peer's request. Without valid
// ones the peer is sent the whole list.
func (p *Proxier) formRanges(r *http.Request) gossiper.Ranges {
	ranges, err := gossiper.ParseRanges(r.FormValue(paramRanges))
	if err != nil {
		p.Log.Warn("proxier: peer sent no valid ranges, sending it the whole list", zap.Error(err))
	}
	return ranges
}

// serveKnown sends a peer the upstream entries and the processes of the fleet that it lacks.
func (p *Proxier) serveKnown(w http.ResponseWriter, r *http.Request) {
	complete, err := versioner.Parse(r.FormValue(paramComplete))
	if err != nil {
		p.Log.Warn("proxier: peer sent no valid version, sending it everything", zap.String("field", paramComplete), zap.Error(err))
	}
	update := peerUpdate{Entries: p.cache.changesSince(complete, p.formNumber(r, paramEntries))}
	update.FleetKnown = p.fleetKnown.Load()
	if p.peersKnown.Load() && p.formNumber(r, paramFleet) != uint64(p.gossip.Digest()) {
		update.Fleet = p.gossip.MembersDiffering(p.formRanges(r))
	}
	began := bootClock()
	out := &byteCounter{Writer: w}
	if update.isLarge() && r.Header.Get(acceptEncoding) == gzipEncoding {
		w.Header().Set(contentEncoding, gzipEncoding)
		err = writeCompressed(out, update)
	} else {
		err = json.NewEncoder(out).Encode(update)
	}
	p.recordSent(r.RemoteAddr, out.bytes, began, err)
}

// Headers by which peers agree on compression, as in RFC 9110. The client's own compression
// would hide how many bytes are transferred.
const (
	acceptEncoding  = "Accept-Encoding"
	contentEncoding = "Content-Encoding"
	gzipEncoding    = "gzip"
)

// writeCompressed writes a value as compressed JSON. The entries of all upstreams differ in
// little but their IDs and addresses.
func writeCompressed(out io.Writer, value any) error {
	w, err := gzip.NewWriterLevel(out, gzip.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "proxier: compress for a peer")
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return errors.Wrap(err, "proxier: send to a peer")
	}
	return errors.Wrap(w.Close(), "proxier: send to a peer")
}

// bodyOf returns the body of a peer's response, decompressed.
func bodyOf(resp *http.Response, in io.Reader) (io.Reader, error) {
	if resp.Header.Get(contentEncoding) != gzipEncoding {
		return in, nil
	}
	body, err := gzip.NewReader(in)
	return body, errors.Wrap(err, "proxier: decompress the response of a peer")
}

// serveConfiguration sends a peer the configuration if it lacks it. The number of concurrent
// transfers is limited to what the link can complete before the peers time out; the others are
// refused at once and find another source.
func (p *Proxier) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	config := p.cache.current().Config
	if config.Version <= p.formNumber(r, paramConfiguration) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if !p.transferSlots.TryAcquire(1) {
		p.incrementCounter(transfersRefused, 1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.transferSlots.Release(1)
	began := bootClock()
	out := &byteCounter{Writer: w}
	err := p.writeConfiguration(out, http.NewResponseController(w), &config)
	p.recordSent(r.RemoteAddr, out.bytes, began, err)
}

// writeConfiguration writes the configuration to a peer, which waits at most peerFetchTimeout.
func (p *Proxier) writeConfiguration(out io.Writer, controller *http.ResponseController, c *cataloger.Config) error {
	body, err := p.packed.bytesOf(c)
	if err != nil {
		return err
	}
	if err := controller.SetWriteDeadline(time.Now().Add(peerFetchTimeout)); err != nil {
		return errors.Wrap(err, "proxier: set the write deadline of a transfer")
	}
	// The connection is reused, and the deadline would apply to later responses as well.
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	if _, err := out.Write(body); err != nil {
		return errors.Wrap(err, "proxier: send the configuration")
	}
	return errors.Wrap(controller.Flush(), "proxier: send the configuration")
}

// fetchKnown requests a peer's upstream entries and its list of the fleet, and merges them.
func (p *Proxier) fetchKnown(ctx context.Context, addr netip.AddrPort) error {
	complete, entries := p.cache.completeVersion()
	params := url.Values{
		paramComplete: {complete.String()},
		paramEntries:  {strconv.FormatUint(entries, 10)},
		paramFleet:    {strconv.FormatUint(uint64(p.gossip.Digest()), 10)},
		paramRanges:   {p.gossip.Ranges().String()},
	}
	return p.fetch(ctx, addr, "/known", params, func(body io.Reader) error {
		var update peerUpdate
		if err := json.NewDecoder(body).Decode(&update); err != nil {
			return errors.Wrap(err, "proxier: parse the update of a peer")
		}
		p.cache.merge(update.Entries)
		if len(update.Fleet) > 0 {
			p.gossip.Merge(update.Fleet)
			p.peersKnown.Store(true)
			p.Log.Info("proxier: list of the fleet received from a peer", zap.Int("proxies", len(update.Fleet)), zap.Stringer("source", addr))
		}
		if update.FleetKnown && !p.fleetKnown.Load() {
			p.peersKnown.Store(true)
			p.setFleetKnown()
		}
		return nil
	})
}

// fetchConfiguration requests a peer's configuration and puts it in force.
func (p *Proxier) fetchConfiguration(ctx context.Context, addr netip.AddrPort) error {
	version := strconv.FormatUint(p.cache.current().Config.Version, 10)
	return p.fetch(ctx, addr, "/configuration", url.Values{paramConfiguration: {version}}, func(body io.Reader) error {
		c, err := unpack(body)
		if err != nil {
			return err
		}
		p.cache.setConfig(c, "peer")
		return nil
	})
}

// readFromStore lists a kind that peers report as changed but do not deliver.
func (p *Proxier) readFromStore(ctx context.Context, watcher *storeWatcher) error {
	complete, _ := p.cache.completeVersion()
	p.Log.Warn("proxier: peers do not deliver, reading the store", zap.String("kind", watcher.kind), zap.Uint64("heard", p.newestConfig.Load()),
		zap.Uint64("configuration", p.cache.current().Config.Version), zap.Stringer("complete", complete))
	return watcher.listAll(ctx)
}

// fetch sends a request to a peer and passes the response body to apply; it does nothing if the
// peer has nothing newer.
func (p *Proxier) fetch(ctx context.Context, addr netip.AddrPort, path string, params url.Values, apply func(body io.Reader) error) (err error) {
	began := bootClock()
	in := &byteCounter{Reader: http.NoBody}
	defer func() { p.recordReceived(addr, path, in.bytes, began, err) }()
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: params.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return errors.Wrap(err, "proxier: request to a peer")
	}
	req.Header.Set(acceptEncoding, gzipEncoding)
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "proxier: request to a peer")
	}
	defer resp.Body.Close()
	in.Reader = resp.Body
	switch resp.StatusCode {
	case http.StatusOK:
		body, err := bodyOf(resp, in)
		if err != nil {
			return err
		}
		return apply(body)
	case http.StatusNoContent:
		return nil
	case http.StatusServiceUnavailable:
		return errBusy
	default:
		return errors.Newf("proxier: peer responded with status %d", resp.StatusCode)
	}
}
