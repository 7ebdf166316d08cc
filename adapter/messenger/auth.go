package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	nonceBytes     = 32
	handshakeLimit = 4096 // bytes of one handshake message
	bindingLabel   = "EXPORTER-basildale-peer"
)

// challenge opens a connection; the listener sends it.
type challenge struct {
	Addr  netip.AddrPort `json:"addr"`
	Start uint64         `json:"start"`
	Nonce []byte         `json:"nonce"`
}

// response is the dialling side's proof.
type response struct {
	Addr  netip.AddrPort `json:"addr"`
	Start uint64         `json:"start"`
	Nonce []byte         `json:"nonce"`
	Proof []byte         `json:"proof"`
}

// confirm is the listener's proof. It is empty when it refused the response.
type confirm struct {
	Proof []byte `json:"proof,omitempty"`
}

// transcript is all that a proof vouches for. Side keeps a proof from being sent
// back to the one that made it. Binding ties it to the TLS connection, if there
// is one, so that a stranger in the middle can't pass proofs on.
type transcript struct {
	Side      string
	Binding   []byte
	Challenge challenge
	Addr      netip.AddrPort
	Start     uint64
	Nonce     []byte
}

func (t transcript) proof(key []byte) []byte {
	body, err := json.Marshal(t)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "messenger: transcript"))
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)
}

// authenticator holds what one process proves and checks at connect. The first
// key proves, any of them is accepted, so that a key can be replaced while the
// fleet runs.
type authenticator struct {
	self  Peer
	keys  [][]byte
	write time.Duration
}

// key returns the key that made proof over t.
func (a authenticator) key(t transcript, proof []byte) (key []byte, ok bool) {
	for _, k := range a.keys {
		if hmac.Equal(t.proof(k), proof) {
			return k, true
		}
	}
	return nil, false
}

// accept runs the listener's side. The dialling side proves itself first, so
// that a stranger gets nothing computed with the key.
func (a authenticator) accept(conn net.Conn) (Peer, error) {
	s := newStream(conn, handshakeLimit, a.write)
	binding, err := bind(conn)
	if err != nil {
		return Peer{}, err
	}
	c := challenge{Addr: a.self.Addr, Start: a.self.Start, Nonce: nonce()}
	if err := s.WriteObject(c); err != nil {
		return Peer{}, err
	}
	var r response
	if err := s.ReadObject(&r); err != nil {
		return Peer{}, errors.Wrap(err, "messenger: read response")
	}
	t := transcript{Side: "dial", Binding: binding, Challenge: c, Addr: r.Addr, Start: r.Start, Nonce: r.Nonce}
	key, ok := a.key(t, r.Proof)
	if !ok || len(r.Nonce) != nonceBytes {
		_ = s.WriteObject(confirm{})
		return Peer{}, errors.Wrapf(ErrRefused, "dialled by %s", conn.RemoteAddr())
	}
	t.Side = "listen"
	if err := s.WriteObject(confirm{Proof: t.proof(key)}); err != nil {
		return Peer{}, err
	}
	return Peer{Addr: r.Addr, Start: r.Start}, nil
}

// dial runs the dialling side towards the listener at to.
func (a authenticator) dial(conn net.Conn, to netip.AddrPort) (Peer, error) {
	s := newStream(conn, handshakeLimit, a.write)
	binding, err := bind(conn)
	if err != nil {
		return Peer{}, err
	}
	var c challenge
	if err := s.ReadObject(&c); err != nil {
		return Peer{}, errors.Wrap(err, "messenger: read challenge")
	}
	if c.Addr != to || len(c.Nonce) != nonceBytes {
		return Peer{}, errors.Wrapf(ErrPeer, "%s says it is %s", to, c.Addr)
	}
	t := transcript{
		Side: "dial", Binding: binding, Challenge: c,
		Addr: a.self.Addr, Start: a.self.Start, Nonce: nonce(),
	}
	key := a.keys[0]
	r := response{Addr: t.Addr, Start: t.Start, Nonce: t.Nonce, Proof: t.proof(key)}
	if err := s.WriteObject(r); err != nil {
		return Peer{}, err
	}
	var f confirm
	if err := s.ReadObject(&f); err != nil {
		return Peer{}, errors.Wrap(err, "messenger: read confirmation")
	}
	t.Side = "listen"
	if !hmac.Equal(t.proof(key), f.Proof) {
		return Peer{}, errors.Wrapf(ErrRefused, "dialled %s", to)
	}
	return Peer{Addr: c.Addr, Start: c.Start}, nil
}

// bind returns a value that both ends of a TLS connection know and nobody else.
func bind(conn net.Conn) ([]byte, error) {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	if err := secure.Handshake(); err != nil {
		return nil, errors.Wrap(errors.CombineErrors(ErrRefused, err), "messenger: tls")
	}
	state := secure.ConnectionState()
	return state.ExportKeyingMaterial(bindingLabel, nil, nonceBytes)
}

func nonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never fails: the runtime ends the process instead
	return b
}
