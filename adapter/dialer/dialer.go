package dialer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"basildale.example/basildale/framer"
)

const defaultTimeout = 5 * time.Second

// ErrRefused reports an upstream that answered the startup with an error or
// asked for something that isn't supported.
var ErrRefused = errors.New("dialer: upstream refused the connection")

// Dialer opens connections as one user of one database.
type Dialer struct {
	User     string
	Password string
	Database string
	// Timeout bounds opening and startup together; 0 means 5 s.
	Timeout time.Duration
	// TLS, when set, is asked for and insisted on. Without a name in it the
	// upstream's certificate must carry its IP number. Cancel requests go in
	// plain text, as libpq's do: they carry nothing but the key.
	TLS *tls.Config
}

// Dial opens a connection to an upstream and goes through its startup.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dialer: open %s", address)
	}
	raw := nc
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	if d.TLS != nil {
		if nc, err = d.secure(ctx, raw, address); err != nil {
			raw.Close()
			return nil, errors.Wrapf(err, "dialer: start up at %s", address)
		}
	}
	c := &Conn{net: nc, address: address, buf: make([]byte, bufferSize), Parameters: map[string]string{}}
	if err := d.startup(c); err != nil {
		nc.Close()
		return nil, errors.Wrapf(err, "dialer: start up at %s", address)
	}
	c.talk.open(nc)
	return c, nil
}

func (d *Dialer) startup(c *Conn) error {
	msg := &pgproto3.StartupMessage{
		ProtocolVersion: framer.CodeStartup,
		Parameters: map[string]string{
			"user": d.User, "database": d.Database,
			// Callers are told UTF8 before they have a connection.
			"client_encoding": "UTF8",
		},
	}
	raw, err := msg.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if _, err := c.Send(raw); err != nil {
		return err
	}
	for {
		ready, err := d.step(c)
		if ready || err != nil {
			return err
		}
	}
}

// step takes one frame of the startup. ready is true after the last.
func (d *Dialer) step(c *Conn) (ready bool, err error) {
	h, err := c.Head()
	if err != nil {
		return false, err
	}
	f, err := c.Frame(h)
	if err != nil {
		return false, err
	}
	switch f.Type {
	case 'R':
		return false, d.authenticate(c, f)
	case 'S':
		return false, c.parameter(f)
	case 'K':
		return false, c.key(f)
	case 'E':
		return false, refusal(f)
	case 'Z':
		return true, nil
	case 'N':
		return false, nil
	default:
		return false, errors.Wrapf(ErrRefused, "unexpected message %q", f.Type)
	}
}

func (c *Conn) parameter(f framer.Frame) error {
	var m pgproto3.ParameterStatus
	if err := m.Decode(f.Body()); err != nil {
		return errors.Wrap(err, "parameter status")
	}
	c.Parameters[m.Name] = m.Value
	return nil
}

func (c *Conn) key(f framer.Frame) error {
	if len(f.Body()) < 8 {
		return errors.Wrap(ErrRefused, "key data too short")
	}
	c.Key = Key{
		Process: binary.BigEndian.Uint32(f.Body()),
		Secret:  binary.BigEndian.Uint32(f.Body()[4:]),
	}
	return nil
}

func refusal(f framer.Frame) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.Body()); err != nil {
		return errors.Wrap(err, "error response")
	}
	return &StartupError{Code: m.Code, Message: m.Message}
}

// StartupError is an upstream's error answer to a startup.
type StartupError struct {
	Code    string
	Message string
}

// Error names the SQLSTATE and the upstream's message.
func (e *StartupError) Error() string { return "dialer: " + e.Code + ": " + e.Message }

// Unwrap makes a StartupError an ErrRefused.
func (e *StartupError) Unwrap() error { return ErrRefused }
