package dialer

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/framer"
)

const (
	cancelSize    = 16
	cancelTimeout = 2 * time.Second
)

// Cancel asks the upstream at address to cancel what runs on the connection
// that key names. It returns when the upstream has closed the request's
// connection, which is all the answer that the protocol gives.
func Cancel(ctx context.Context, address netip.AddrPort, key Key) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "dialer: cancel at %s", address)
	}
	defer nc.Close()
	b := make([]byte, 0, cancelSize)
	b = binary.BigEndian.AppendUint32(b, cancelSize)
	b = binary.BigEndian.AppendUint32(b, framer.CodeCancel)
	b = binary.BigEndian.AppendUint32(b, key.Process)
	b = binary.BigEndian.AppendUint32(b, key.Secret)
	deadline, _ := ctx.Deadline()
	_ = nc.SetDeadline(deadline)
	if _, err := nc.Write(b); err != nil {
		return errors.Wrapf(err, "dialer: cancel at %s", address)
	}
	_, _ = nc.Read(b[:1])
	return nil
}
