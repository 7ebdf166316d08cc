package messenger

import (
	"crypto/tls"
	"time"
)

// What holds where the field of Messenger is zero.
const (
	DefaultCallTimeout      = 5 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultWriteTimeout     = time.Second
	DefaultMaxInFlight      = 64
	DefaultMaxMessage       = 1 << 20
	DefaultMaxHandshakes    = 64
	DefaultMaxLarge         = 16
)

func (m *Messenger) callTimeout() time.Duration {
	return orDuration(m.CallTimeout, DefaultCallTimeout)
}

func (m *Messenger) handshakeTimeout() time.Duration {
	return orDuration(m.HandshakeTimeout, DefaultHandshakeTimeout)
}

func (m *Messenger) idleTimeout() time.Duration {
	return orDuration(m.IdleTimeout, DefaultIdleTimeout)
}

func (m *Messenger) writeTimeout() time.Duration {
	return orDuration(m.WriteTimeout, DefaultWriteTimeout)
}

func (m *Messenger) maxInFlight() int   { return orInt(m.MaxInFlight, DefaultMaxInFlight) }
func (m *Messenger) maxMessage() int    { return orInt(m.MaxMessage, DefaultMaxMessage) }
func (m *Messenger) maxLarge() int      { return orInt(m.MaxLarge, DefaultMaxLarge) }
func (m *Messenger) maxHandshakes() int { return orInt(m.MaxHandshakes, DefaultMaxHandshakes) }

func orDuration(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

func orInt(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// check refuses settings that would let strangers in.
func (m *Messenger) check() error {
	if len(m.Keys) > 0 && len(m.Keys[0]) > 0 {
		return nil
	}
	if m.TLS != nil && m.TLS.ClientAuth == tls.RequireAndVerifyClientCert {
		return nil
	}
	return ErrKey
}

func (m *Messenger) authenticator() authenticator {
	keys := m.Keys
	if len(keys) == 0 {
		keys = [][]byte{nil} // mutual TLS alone vouches for the peer
	}
	return authenticator{self: m.Self, keys: keys, write: m.writeTimeout()}
}

// watch calls f once a peer has had the time of Silence to answer, if there is one.
func (m *Messenger) watch(f func()) *time.Timer {
	if m.Silence == 0 {
		return time.NewTimer(m.callTimeout())
	}
	return time.AfterFunc(m.Silence, f)
}
