package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// withPassword declares the caller kiosk with a password.
func withPassword(t *testing.T, password string) func(*Server) {
	made, err := relayer.NewVerifier(password)
	if err != nil {
		t.Fatal(err)
	}
	v, err := relayer.ParseVerifier(made.String())
	if err != nil {
		t.Fatal(err)
	}
	return func(s *Server) {
		s.Control.Login = func(user, database string) (relayer.Account, bool) {
			return relayer.Account{Tenant: "dsb", Caller: user, Group: database, Verifier: v}, user == "kiosk"
		}
	}
}

func TestPassword(t *testing.T) {
	f := start(t, upstream.Options{Size: 1}, withPassword(t, "fløjte"))
	for _, tt := range []struct{ name, login, code string }{
		{"right", "kiosk:fløjte", ""},
		{"wrong", "kiosk:whistle", "28P01"},
		{"another user", "guard:fløjte", "28000"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, err := pgx.Connect(t.Context(), strings.Replace(f.url(""), "kiosk", tt.login, 1))
			is.Equal(code(err), tt.code)
			if err != nil {
				return
			}
			_, err = c.Exec(t.Context(), book)
			is.NoErr(err)
			is.NoErr(c.Close(t.Context()))
		})
	}
}

func TestVerifierTexts(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"", "secret", "SCRAM-SHA-256$4096:c2FsdA==", "SCRAM-SHA-256$0:c2FsdA==$aaaa:bbbb", "md5$1:2$3:4",
	} {
		_, err := relayer.ParseVerifier(text)
		is.True(errors.Is(err, relayer.ErrVerifier))
		is.True(text == "" || !strings.Contains(err.Error(), text)) // it may be a password
	}
}

// certificate makes a self-signed certificate for the loopback address.
func certificate(t *testing.T) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}
}

func TestTLS(t *testing.T) {
	is := is.New(t)
	login := withPassword(t, "clown")
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		login(s)
		s.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
	})
	url := strings.NewReplacer("kiosk", "kiosk:clown", "sslmode=disable", "sslmode=require").Replace(f.url(""))
	c, err := pgx.Connect(t.Context(), url)
	is.NoErr(err)
	defer func() { _ = c.Close(t.Context()) }()
	large := strings.Repeat("piñata ", 100_000)
	_, err = c.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES ($1, $2)", 1, large)
	is.NoErr(err)
	var got string
	is.NoErr(c.QueryRow(t.Context(), "SELECT holder FROM seats WHERE id = 1").Scan(&got))
	is.True(got == large)
}

func TestNoTLS(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, nil)
	_, err := pgx.Connect(t.Context(), strings.Replace(f.url(""), "sslmode=disable", "sslmode=require", 1))
	is.True(err != nil && strings.Contains(err.Error(), "refused TLS"))
	c, err := pgx.Connect(t.Context(), strings.Replace(f.url(""), "sslmode=disable", "sslmode=prefer", 1))
	is.NoErr(err)
	is.NoErr(c.Close(t.Context()))
}

// Symptom: somebody between caller and proxy runs statements as the caller.
// Sequence: it appends a startup to the caller's request for TLS. Cause: bytes
// sent in clear text must not be taken for what comes after the handshake.
func TestDataAfterTLSRequest(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
	})
	c, err := net.Dial("tcp", f.server.Bound().String())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte{0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 0, 3, 0, 0})
	is.NoErr(err)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(len(answer) > 0 && answer[0] == 'E')
}

// Symptom: nobody can log in. Sequence: many connections are opened and say
// nothing. Cause: those who have not logged in must be few, and have little time.
func TestStrangersAreFew(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Limits.Strangers = 2
		s.Limits.Login = time.Hour
	})
	var last net.Conn
	for range 3 {
		c, err := net.Dial("tcp", f.server.Bound().String())
		is.NoErr(err)
		defer c.Close()
		last = c
	}
	word, err := io.ReadAll(last) // closed at once and with a word
	is.NoErr(err)
	is.True(strings.Contains(string(word), "53300"))
}

// Symptom: a caller is refused although nobody else is there. Sequence: a silent
// connection is closed because its time is over; the caller connects. Cause: the
// place is given back only after the connection is closed.
func TestSilentStrangerGivesItsPlaceBack(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Limits.Strangers = 1
		s.Limits.Login = time.Second
	})
	silent, err := net.Dial("tcp", f.server.Bound().String())
	is.NoErr(err)
	defer silent.Close()
	word, err := io.ReadAll(silent)
	is.NoErr(err)
	is.Equal(string(word), "") // closed without a word
	c, err := pgx.Connect(t.Context(), f.url(""))
	is.NoErr(err)
	_, err = c.Exec(t.Context(), book)
	is.NoErr(err)
	is.NoErr(c.Close(t.Context()))
}
