package dialer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// certificate returns one for an IP number, signed by itself, and the pool that
// trusts it.
func certificate(t *testing.T, ip string) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// answerStartup plays an upstream for one connection. It answers the request for
// TLS by answer and then lets anybody in.
func answerStartup(t *testing.T, answer byte, cert tls.Certificate) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := io.ReadFull(nc, make([]byte, requestSize)); err != nil {
			return
		}
		_, _ = nc.Write([]byte{answer})
		secure := tls.Server(nc, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12})
		buf := make([]byte, bufferSize)
		if _, err := secure.Read(buf); err != nil {
			return
		}
		_, _ = secure.Write([]byte{'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'})
		_, _ = secure.Read(buf) // until the other side closes
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Symptom: passwords and rows go over the network in plain text although TLS is
// set. Sequence: an upstream, or somebody in between, answers that it has none,
// or shows a wrong certificate. Cause: a fallback.
func TestTLSIsInsistedOn(t *testing.T) {
	cert, trusted := certificate(t, "127.0.0.1")
	wrongName, trustedName := certificate(t, "127.0.0.2")
	_, stranger := certificate(t, "127.0.0.1")
	for _, tc := range []struct {
		name   string
		answer byte
		cert   tls.Certificate
		trust  *x509.CertPool
		ok     bool
	}{
		{"right certificate", 'S', cert, trusted, true},
		{"no TLS there", 'N', cert, trusted, false},
		{"unknown authority", 'S', cert, stranger, false},
		{"of another address", 'S', wrongName, trustedName, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := &Dialer{User: "u", Database: "d", TLS: &tls.Config{RootCAs: tc.trust, MinVersion: tls.VersionTLS12}}
			c, err := d.Dial(context.Background(), answerStartup(t, tc.answer, tc.cert))
			is.Equal(err == nil, tc.ok)
			if err == nil {
				is.True(c.Alive())
				c.Close()
			}
		})
	}
}
