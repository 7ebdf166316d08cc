package dialer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/framer"
)

// The request for TLS, which goes in the place of a startup message, and its answer.
const (
	requestSize = 8
	willTLS     = 'S'
)

// secure turns a fresh connection into TLS. An upstream that has none is
// refused: going on in plain text would hand the password to whoever sits in
// between, and nobody would notice.
func (d *Dialer) secure(ctx context.Context, nc net.Conn, address netip.AddrPort) (net.Conn, error) {
	b := make([]byte, 0, requestSize)
	b = binary.BigEndian.AppendUint32(b, requestSize)
	b = binary.BigEndian.AppendUint32(b, framer.CodeTLS)
	if _, err := nc.Write(b); err != nil {
		return nil, errors.Wrap(err, "tls request")
	}
	// One byte and no more: what follows belongs to the handshake.
	if _, err := io.ReadFull(nc, b[:1]); err != nil {
		return nil, errors.Wrap(err, "tls request")
	}
	if b[0] != willTLS {
		return nil, errors.Wrap(ErrRefused, "the upstream has no TLS")
	}
	config := d.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = address.Addr().String()
	}
	secure := tls.Client(nc, config)
	return secure, errors.Wrap(secure.HandshakeContext(ctx), "tls handshake")
}
