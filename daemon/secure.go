package daemon

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/certifier"
	"basildale.example/basildale/loader"
)

// security holds the TLS configurations of the three sides; nil is plain.
type security struct {
	callers   *tls.Config
	upstreams *tls.Config
	peers     *tls.Config
}

// secure loads the certificates that the settings name. They are taken anew from
// disk while the process runs, whenever their files change.
func (d *Daemon) secure() (security, error) {
	var s security
	t := d.Settings.TLS
	if t.Callers.Cert != "" {
		c, err := d.certifier(t.Callers, "callers")
		if err != nil {
			return s, err
		}
		s.callers = c.Server()
	}
	if t.Upstreams.CA != "" || t.Upstreams.Cert != "" {
		c, err := d.certifier(t.Upstreams, "upstreams")
		if err != nil {
			return s, err
		}
		s.upstreams = c.Client()
	}
	if t.Peers.Cert != "" {
		c, err := d.certifier(t.Peers, "peers")
		if err != nil {
			return s, err
		}
		s.peers = c.Mutual()
	}
	return s, nil
}

func (d *Daemon) certifier(f loader.Files, side string) (*certifier.Certifier, error) {
	c := &certifier.Certifier{Cert: f.Cert, Key: f.Key, CA: f.CA, Log: d.Log}
	return c, errors.Wrapf(c.Load(), "daemon: certificates towards %s", side)
}
