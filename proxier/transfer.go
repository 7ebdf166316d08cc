package proxier

import (
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Counters of what processes tell each other over HTTP.
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

func (p *Proxier) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, p.registry).Inc(n)
}

// received notes how a transfer from a peer ended, with what came of it.
func (p *Proxier) received(from netip.AddrPort, path string, bytes int64, began time.Time, err error) {
	p.count(bytesReceived, bytes)
	if errors.Is(err, errBusy) {
		return // it is asked again, or another is
	}
	took := bootClock().Sub(began)
	if err != nil {
		p.count(transfersFailed, 1)
		p.Log.Info("proxier: peer didn't tell what it knows", zap.Stringer("peer", from), zap.String("path", path), zap.Int64("bytes", bytes),
			zap.Duration("took", took), zap.Uint64("configuration", p.holdings.current().Config.Version), zap.Error(err))
		return
	}
	p.count(transfersReceived, 1)
	p.Log.Info("proxier: peer told what it knows", zap.Stringer("peer", from), zap.String("path", path), zap.Int64("bytes", bytes),
		zap.Duration("took", took), zap.Uint64("configuration", p.holdings.current().Config.Version))
}

// sent notes how a transfer to a peer ended.
func (p *Proxier) sent(to string, bytes int64, began time.Time, err error) {
	p.count(bytesSent, bytes)
	p.count(transfersSent, 1)
	p.Log.Info("proxier: told a peer", zap.String("peer", to), zap.Int64("bytes", bytes),
		zap.Duration("took", bootClock().Sub(began)), zap.Uint64("configuration", p.holdings.current().Config.Version), zap.Error(err))
}

// logNewer logs a version of the configuration that a peer is the first to tell of.
func (p *Proxier) logNewer(peer string, version uint64) {
	for {
		known := p.noticed.Load()
		if version <= known {
			return
		}
		if p.noticed.CompareAndSwap(known, version) {
			break
		}
	}
	p.Log.Info("proxier: newer configuration heard of", zap.Uint64("version", version),
		zap.Uint64("configuration", p.holdings.current().Config.Version), zap.String("peer", peer))
}
