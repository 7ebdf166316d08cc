package daemon

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/relayer"
)

const (
	// indexes is how many numbers there are for the proxies of a fleet.
	indexes = 4096
	// keyLength is that of a cancel key in bytes.
	keyLength = 8
	// cancelWithin bounds the way of a cancel request to another proxy.
	cancelWithin = time.Second
)

// errKey is a cancel key of another length.
var errKey = errors.New("daemon: not a cancel key")

// indexOf returns a proxy's number, which its cancel keys carry. Two proxies may
// have the same one: a request then goes to both, and the key's secret part finds
// the session.
func indexOf(peer netip.AddrPort) uint16 {
	text, err := peer.MarshalText()
	if err != nil {
		panic(errors.Wrap(err, "daemon: an address can't be written"))
	}
	return uint16(xxhash.Sum64(text) % indexes)
}

// forwardCancel hands a cancel request to the proxies with an index.
func (d *Daemon) forwardCancel(index uint16, key relayer.Key) {
	payload := binary.BigEndian.AppendUint32(nil, key.Process)
	payload = binary.BigEndian.AppendUint32(payload, key.Secret)
	for _, m := range d.coordinator.Members() {
		if m.Addr == d.Peers() || indexOf(m.Addr) != index {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelWithin)
			defer cancel()
			if _, err := d.peers.Cancel(ctx, m.Addr, messenger.CancelForward{Key: payload}); err != nil {
				d.Log.Debug("daemon: cancel request lost", zap.Stringer("peer", m.Addr), zap.Error(err))
			}
		}()
	}
}

// cancelled carries out a cancel request that a peer has passed on.
func (d *Daemon) cancelled(_ context.Context, _ messenger.Peer, req messenger.CancelForward) (messenger.Empty, error) {
	if len(req.Key) != keyLength {
		return messenger.Empty{}, errKey
	}
	d.server.Cancel(relayer.Key{
		Process: binary.BigEndian.Uint32(req.Key),
		Secret:  binary.BigEndian.Uint32(req.Key[4:]),
	})
	return messenger.Empty{}, nil
}
