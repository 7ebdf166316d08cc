package proxier

import (
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Counters of HTTP transfers between processes.
const (
	transfersReceived = "basildale_transfers_received"
	transfersFailed   = "basildale_transfers_failed"
	transfersSent     = "basildale_transfers_sent"
	transfersRefused  = "basildale_transfers_refused"
	bytesReceived     = "basildale_transfer_bytes_received"
	bytesSent         = "basildale_transfer_bytes_sent"
)

// byteCounter counts the bytes of a transfer in either direction.
type byteCounter struct {
	io.Reader
	io.Writer
	bytes int64
}

func (c *byteCounter) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.bytes += int64(n)
	return n, err
}

func (c *byteCounter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.bytes += int64(n)
	return n, err
}

func (p *Proxier) incrementCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, p.registry).Inc(n)
}

// recordReceived counts and logs the result of a transfer from a peer.
func (p *Proxier) recordReceived(from netip.AddrPort, path string, bytes int64, began time.Time, err error) {
	p.incrementCounter(bytesReceived, bytes)
	if errors.Is(err, errBusy) {
		return // it is requested again, here or from another peer
	}
	took := bootClock().Sub(began)
	if err != nil {
		p.incrementCounter(transfersFailed, 1)
		p.Log.Info("proxier: transfer from a peer failed", zap.Stringer("peer", from), zap.String("path", path), zap.Int64("bytes", bytes),
			zap.Duration("took", took), zap.Uint64("configuration", p.cache.current().Config.Version), zap.Error(err))
		return
	}
	p.incrementCounter(transfersReceived, 1)
	p.Log.Info("proxier: transfer from a peer complete", zap.Stringer("peer", from), zap.String("path", path), zap.Int64("bytes", bytes),
		zap.Duration("took", took), zap.Uint64("configuration", p.cache.current().Config.Version))
}

// recordSent counts and logs the result of a transfer to a peer.
func (p *Proxier) recordSent(to string, bytes int64, began time.Time, err error) {
	p.incrementCounter(bytesSent, bytes)
	p.incrementCounter(transfersSent, 1)
	p.Log.Info("proxier: transfer to a peer ended", zap.String("peer", to), zap.Int64("bytes", bytes),
		zap.Duration("took", bootClock().Sub(began)), zap.Uint64("configuration", p.cache.current().Config.Version), zap.Error(err))
}

// noteNewerConfig logs a version of the configuration when the first peer reports it.
func (p *Proxier) noteNewerConfig(peer string, version uint64) {
	for {
		known := p.newestConfig.Load()
		if version <= known {
			return
		}
		if p.newestConfig.CompareAndSwap(known, version) {
			break
		}
	}
	p.Log.Info("proxier: peer reported a newer configuration", zap.Uint64("version", version),
		zap.Uint64("configuration", p.cache.current().Config.Version), zap.String("peer", peer))
}
