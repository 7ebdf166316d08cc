package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveTCP starts a messenger on the loopback and returns its address.
func serveTCP(t *testing.T, m *Messenger) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.Self = Peer{Addr: netip.MustParseAddrPort(ln.Addr().String()), Start: 7}
	m.Handler.Explain = echo
	done := make(chan error, 1)
	go func() { done <- m.Serve(ln) }()
	t.Cleanup(func() {
		m.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m.Self.Addr
}

func TestKeys(t *testing.T) {
	// Symptom: a process that isn't of the fleet reads or changes its state.
	// Sequence: it connects to a peer port and sends requests.
	// Cause: the peer doesn't check who connects, or checks only one side.
	now, next, wrong := []byte("key now"), []byte("key next"), []byte("key of another fleet")
	tests := []struct {
		name         string
		dial, listen [][]byte
		want         error
	}{
		{"same key", [][]byte{now}, [][]byte{now}, nil},
		{"listener knows the next key already", [][]byte{now}, [][]byte{next, now}, nil},
		{"dialling side uses the next key already", [][]byte{next, now}, [][]byte{now, next}, nil},
		{"wrong key", [][]byte{wrong}, [][]byte{now}, ErrRefused},
		{"listener with a wrong key", [][]byte{now}, [][]byte{wrong}, ErrRefused},
		{"old key after its end", [][]byte{now}, [][]byte{next}, ErrRefused},
		{"no key", nil, [][]byte{now}, ErrKey},
		{"empty key", [][]byte{{}}, [][]byte{now}, ErrKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			to := serveTCP(t, &Messenger{Keys: tt.listen})
			m := &Messenger{Self: Peer{Addr: testAddr(1), Start: 1}, Keys: tt.dial}
			defer m.Close()
			_, err := m.Explain(context.Background(), to, ExplainQuery{Subject: "x"})
			is.True(errors.Is(err, tt.want))
			is.Equal(m.Links() == 1, tt.want == nil)
		})
	}
}

func TestServeNeedsAKey(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.True(errors.Is((&Messenger{}).Serve(ln), ErrKey))
	ln, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	oneSided := &tls.Config{ClientAuth: tls.RequestClientCert, MinVersion: tls.VersionTLS13}
	is.True(errors.Is((&Messenger{TLS: oneSided}).Serve(ln), ErrKey))
}

func TestStrangers(t *testing.T) {
	// Symptom: a stranger without the key is served.
	// Sequence: it sends requests at once, or sends back what it was sent.
	// Cause: requests are read before the proof, or a proof counts both ways.
	key := []byte("shared key")
	tests := []struct {
		name string
		talk func(*stream, challenge)
	}{
		{"requests without proof", func(s *stream, _ challenge) {
			_ = s.WriteObject(map[string]any{"jsonrpc": "2.0", "id": 1, "method": "explain", "params": ExplainQuery{}})
		}},
		{"empty proof", func(s *stream, _ challenge) {
			_ = s.WriteObject(response{Addr: testAddr(1), Start: 1, Nonce: make([]byte, nonceBytes)})
		}},
		{"proof of the listening side", func(s *stream, c challenge) {
			n := make([]byte, nonceBytes)
			tr := transcript{Side: "listen", Challenge: c, Addr: testAddr(1), Start: 1, Nonce: n}
			_ = s.WriteObject(response{Addr: testAddr(1), Start: 1, Nonce: n, Proof: tr.proof(key)})
		}},
		{"proof for another challenge", func(s *stream, c challenge) {
			n := make([]byte, nonceBytes)
			c.Nonce = make([]byte, nonceBytes)
			tr := transcript{Side: "dial", Challenge: c, Addr: testAddr(1), Start: 1, Nonce: n}
			_ = s.WriteObject(response{Addr: testAddr(1), Start: 1, Nonce: n, Proof: tr.proof(key)})
		}},
		{"proof for another address", func(s *stream, c challenge) {
			n := make([]byte, nonceBytes)
			tr := transcript{Side: "dial", Challenge: c, Addr: testAddr(1), Start: 1, Nonce: n}
			_ = s.WriteObject(response{Addr: testAddr(2), Start: 1, Nonce: n, Proof: tr.proof(key)})
		}},
		{"a message above the limit", func(s *stream, _ challenge) {
			_ = s.WriteObject(make([]byte, 2*handshakeLimit))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := &Messenger{Keys: [][]byte{key}}
			conn, err := net.Dial("tcp", serveTCP(t, m).String())
			is.NoErr(err)
			defer conn.Close()
			s := newStream(conn, 1<<20, time.Minute)
			var c challenge
			is.NoErr(s.ReadObject(&c))
			tt.talk(s, c)
			var f confirm
			if err := s.ReadObject(&f); err == nil {
				is.Equal(len(f.Proof), 0) // nothing computed with the key
			}
			var rest any
			is.True(s.ReadObject(&rest) != nil) // and closed
			is.Equal(m.Links(), 0)
		})
	}
}

func TestAnotherPeerAnswers(t *testing.T) {
	is := is.New(t)
	key := [][]byte{[]byte("shared key")}
	to := serveTCP(t, &Messenger{Keys: key})
	m := &Messenger{Self: Peer{Addr: testAddr(1), Start: 1}, Keys: key}
	m.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", to.String())
	}
	defer m.Close()
	_, err := m.Explain(context.Background(), testAddr(9), ExplainQuery{})
	is.True(errors.Is(err, ErrPeer))
}

// authority signs certificates for the loopback address.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: parsed, key: key}
}

func (a authority) config(t *testing.T, trust authority, until time.Time) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: until, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(trust.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	valid, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	key := [][]byte{[]byte("shared key")}
	none := ours.config(t, ours, valid)
	none.Certificates = nil
	tests := []struct {
		name         string
		dial, listen *tls.Config
		keys         [][]byte
		ok           bool
	}{
		{"certificates alone", ours.config(t, ours, valid), ours.config(t, ours, valid), nil, true},
		{"certificates and key", ours.config(t, ours, valid), ours.config(t, ours, valid), key, true},
		{"no certificate", none, ours.config(t, ours, valid), key, false},
		{"expired, dialling", ours.config(t, ours, past), ours.config(t, ours, valid), key, false},
		{"expired, listening", ours.config(t, ours, valid), ours.config(t, ours, past), key, false},
		{"another authority, dialling", theirs.config(t, ours, valid), ours.config(t, ours, valid), key, false},
		{"another authority, listening", ours.config(t, ours, valid), theirs.config(t, ours, valid), key, false},
		{"plain to TLS", nil, ours.config(t, ours, valid), key, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			to := serveTCP(t, &Messenger{Keys: tt.keys, TLS: tt.listen, HandshakeTimeout: time.Minute})
			m := &Messenger{Self: Peer{Addr: testAddr(1), Start: 1}, Keys: tt.keys, TLS: tt.dial}
			m.HandshakeTimeout, m.CallTimeout = time.Minute, time.Minute
			if tt.dial == nil {
				m.HandshakeTimeout = 100 * time.Millisecond // both sides wait for the other
			}
			defer m.Close()
			_, err := m.Explain(context.Background(), to, ExplainQuery{Subject: "x"})
			is.Equal(err == nil, tt.ok)
		})
	}
}
