package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	tmpl := template("authority", time.Now().Add(time.Hour))
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func template(name string, end time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    end.Add(-2 * time.Hour),
		NotAfter:     end,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue writes a certificate for name that is good until end, and its key.
func (a *authority) issue(dir, name string, end time.Time) (cert, key string) {
	a.t.Helper()
	own := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template(name, end), a.cert, &own.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(own)
	if err != nil {
		a.t.Fatal(err)
	}
	return write(a.t, dir, name+".pem", "CERTIFICATE", der), write(a.t, dir, name+".key", "EC PRIVATE KEY", raw)
}

func (a *authority) file(dir string) string {
	return write(a.t, dir, "ca.pem", "CERTIFICATE", a.cert.Raw)
}

func write(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// connected returns both ends of a connection. A pipe without a buffer would not
// do: both sides may write at once.
func connected(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

// handshake returns what each side says, and the common name that the client saw.
func handshake(t *testing.T, client, server *tls.Config) (name string, clientErr, serverErr error) {
	t.Helper()
	a, b := connected(t)
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		s := tls.Server(b, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1}) // a client learns of its refusal by reading
		}
		b.Close()
		done <- err
	}()
	c := tls.Client(a, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		name = c.ConnectionState().PeerCertificates[0].Subject.CommonName
		_, clientErr = c.Read(make([]byte, 1))
	}
	a.Close()
	return name, clientErr, <-done
}

func loaded(t *testing.T, cert, key, ca string) *Certifier {
	t.Helper()
	c := &Certifier{Cert: cert, Key: key, CA: ca}
	if err := c.Load(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Symptom: somebody without a right certificate talks to the process, or reads
// what it sends. Sequence: a handshake with a wrong certificate on either side.
// Cause: a check that is left out.
func TestWrongCertificatesAreRefused(t *testing.T) {
	good, evil := newAuthority(t), newAuthority(t)
	later, before := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	for _, tc := range []struct {
		name   string
		server *authority
		client *authority // nil shows none
		end    time.Time  // of the server's certificate
		own    time.Time  // of the client's
		want   string     // the name that the client expects
		wrong  string     // what either side says; empty means all is well
	}{
		{"both right", good, good, later, later, "proxy", ""},
		{"server of another authority", evil, good, later, later, "proxy", "unknown authority"},
		{"server expired", good, good, before, later, "proxy", "expired"},
		{"server of another name", good, good, later, later, "other", "not other"},
		{"client shows none", good, nil, later, later, "proxy", "didn't provide a certificate"},
		{"client of another authority", good, evil, later, later, "proxy", "unknown authority"},
		{"client expired", good, good, later, before, "proxy", "expired"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			ca := good.file(dir)
			cert, key := tc.server.issue(dir, "proxy", tc.end)
			server := loaded(t, cert, key, ca)
			client := loaded(t, "", "", ca)
			if tc.client != nil {
				cert, key = tc.client.issue(dir, "peer", tc.own)
				client = loaded(t, cert, key, ca)
			}
			_, clientErr, serverErr := handshake(t, named(client.Client(), tc.want), server.Server())
			if tc.wrong == "" {
				is.NoErr(clientErr)
				is.NoErr(serverErr)
				return
			}
			is.True(clientErr != nil || serverErr != nil)
			is.True(strings.Contains(text(clientErr)+text(serverErr), tc.wrong)) // says why
		})
	}
}

// named is the configuration for a server of that name.
func named(config *tls.Config, name string) *tls.Config {
	config.ServerName = name
	return config
}

// Symptom: a proxy talks to whoever has any certificate of the authority.
// Sequence: a client without a name to check. Cause: a handshake that checks the
// chain and not the name.
func TestClientWithoutNameIsRefused(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	ca := a.file(dir)
	cert, key := a.issue(dir, "proxy", time.Now().Add(time.Hour))
	_, err, _ := handshake(t, loaded(t, "", "", ca).Client(), loaded(t, cert, key, "").Server())
	is.True(err != nil)
}

func TestMutualServesBothEnds(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	ca := a.file(dir)
	cert, key := a.issue(dir, "peer", time.Now().Add(time.Hour))
	both := loaded(t, cert, key, ca).Mutual()
	name, clientErr, serverErr := handshake(t, named(both.Clone(), "peer"), both)
	is.NoErr(clientErr)
	is.NoErr(serverErr)
	is.Equal(name, "peer")
	stranger := named(loaded(t, "", "", ca).Client(), "peer")
	_, clientErr, serverErr = handshake(t, stranger, both)
	is.True(clientErr != nil && serverErr != nil) // shows no certificate
	_, _, serverErr = handshake(t, stranger, loaded(t, cert, key, "").Mutual())
	is.True(serverErr != nil) // also without authorities
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Symptom: callers are refused on the day the old certificate ends, or at the
// very moment of the renewal. Sequence: the files are replaced one after the
// other while handshakes go on. Cause: files read once at the start, or taken
// half-replaced.
func TestNewFilesAreTakenWhole(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir, next := t.TempDir(), t.TempDir()
	ca := a.file(dir)
	cert, key := a.issue(dir, "first", time.Now().Add(time.Hour))
	server := loaded(t, cert, key, "")
	newCert, newKey := a.issue(next, "second", time.Now().Add(time.Hour))
	client := loaded(t, "", "", ca)
	seen := func(want string) string {
		name, clientErr, serverErr := handshake(t, named(client.Client(), want), server.Server())
		is.NoErr(clientErr)
		is.NoErr(serverErr)
		return name
	}
	is.Equal(seen("first"), "first")
	is.NoErr(os.Rename(newCert, cert))
	touch(t, cert, time.Now().Add(time.Second))
	is.Equal(seen("first"), "first") // half replaced: the old pair stays
	is.NoErr(os.Rename(newKey, key))
	touch(t, key, time.Now().Add(time.Second))
	is.Equal(seen("second"), "second")
	is.NoErr(os.Remove(key))
	is.Equal(seen("second"), "second") // gone: what is loaded stays
}

// touch sets the time of change, whose resolution may be coarse.
func touch(t *testing.T, path string, at time.Time) {
	t.Helper()
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}

func TestUnusableFilesAreNamed(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	empty := filepath.Join(dir, "empty.pem")
	is.NoErr(os.WriteFile(empty, nil, 0o600))
	for _, c := range []*Certifier{
		{CA: empty},
		{Cert: empty, Key: empty},
		{Cert: empty},
		{CA: filepath.Join(dir, "none.pem")},
	} {
		is.True(c.Load() != nil)
	}
}
