package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Certifier is the certificate of one side of connections and the authority that
// the other side's must be signed by. Load must be called once before the rest.
type Certifier struct {
	// Cert and Key are the paths of the PEM files that are shown to the other
	// side. A client may leave both empty and shows nothing then.
	Cert string
	Key  string
	// CA is the path of the authorities that the other side's certificate must be
	// signed by. Empty means for a server that clients show none, and for a client
	// that the system's authorities count.
	CA string
	// Log may be nil.
	Log *zap.Logger

	mu      sync.Mutex
	stamps  [3]stamp
	current material
}

// stamp tells whether a file has changed since it was read.
type stamp struct {
	changed time.Time
	size    int64
}

// material is what the files held when they were last usable.
type material struct {
	chain []tls.Certificate
	pool  *x509.CertPool
}

// Load reads the files; an error names what is wrong with them.
func (c *Certifier) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load()
}

// Server returns the configuration for accepting connections.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.fresh()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: m.chain}
			if m.pool != nil {
				config.ClientCAs = m.pool
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the configuration for opening connections. Whoever uses it sets
// ServerName, on a clone, to the name or IP number that the other side's
// certificate must carry; without one every handshake fails.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if m := c.fresh(); len(m.chain) > 0 {
				return &m.chain[0], nil
			}
			return new(tls.Certificate), nil
		},
		// The standard check would use the authorities of the moment at which the
		// configuration was made. verify does the same check with those of now.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// Mutual returns one configuration for both ends of connections between equals,
// each of which must show a certificate.
func (c *Certifier) Mutual() *tls.Config {
	config := c.Client()
	config.ClientAuth = tls.RequireAndVerifyClientCert
	serve := c.Server().GetConfigForClient
	config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		one, err := serve(hello)
		if err == nil {
			// Also without authorities of our own: a peer that shows nothing
			// would be taken for one of the fleet.
			one.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return one, err
	}
	return config
}

// verify checks the other side's certificate against the authorities of now.
func (c *Certifier) verify(state tls.ConnectionState) error {
	if state.ServerName == "" {
		return errors.New("certifier: no name to check the certificate by")
	}
	options := x509.VerifyOptions{
		Roots:         c.fresh().pool,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "certifier")
}

// fresh returns what the files hold now, or held when they were last usable.
func (c *Certifier) fresh() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.look()
	if err == nil && stamps == c.stamps {
		return c.current
	}
	if err == nil {
		err = c.load()
	}
	// Symptom without this: after a failed renewal every new connection is
	// refused, although the old certificate is good for weeks.
	if err != nil && c.Log != nil {
		c.Log.Warn("certifier: new files can't be used, the old ones stay", zap.Error(err))
	}
	return c.current
}

func (c *Certifier) look() ([3]stamp, error) {
	var stamps [3]stamp
	for i, path := range []string{c.Cert, c.Key, c.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "certifier")
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

// load reads all files and takes them only when all are usable. The stamps are
// those from before the reading: a file that changes meanwhile is read again.
func (c *Certifier) load() error {
	stamps, err := c.look()
	if err != nil {
		return err
	}
	var m material
	if c.Cert != "" || c.Key != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return errors.Wrapf(err, "certifier: %s and %s", c.Cert, c.Key)
		}
		m.chain = []tls.Certificate{pair}
	}
	if c.CA != "" {
		data, err := os.ReadFile(c.CA)
		if err != nil {
			return errors.Wrap(err, "certifier")
		}
		m.pool = x509.NewCertPool()
		if !m.pool.AppendCertsFromPEM(data) {
			return errors.Newf("certifier: %s holds no certificate", c.CA)
		}
	}
	c.current, c.stamps = m, stamps
	return nil
}
