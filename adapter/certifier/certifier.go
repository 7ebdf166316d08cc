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

// Client returns the configuration for one connection to the name or IP number
// that the other side's certificate must carry.
func (c *Certifier) Client(name string) *tls.Config {
	m := c.fresh()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		ServerName:   name,
		Certificates: m.chain,
		RootCAs:      m.pool,
	}
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
