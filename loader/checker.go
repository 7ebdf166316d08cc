package loader

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Bounds of the settings.
const (
	minMessage, maxMessage   = 64 * kib, gib
	maxPending               = 100_000
	maxCallers               = 1_000_000
	minBuffer, maxBuffer     = 16 * kib, 64 * mib
	minStop, maxStop         = time.Second, 10 * time.Minute
	minWindow, maxWindow     = time.Second, time.Minute
	maxExcess                = 1.0 // of rate and burst
	maxSlack                 = 1e6 // operations
	minLeave, maxLeave       = 2 * time.Second, 10 * time.Minute
	maxSlots, maxConnections = 1000, 10_000
	maxConnect               = 10 * time.Second
	minCores, maxCores       = 0.01, 64
	minSecret                = 32
)

// checker knows the settings and the files beside them.
type checker struct {
	reader
	dir  string
	open func(string) ([]byte, error)
}

func (c *checker) settings(s *Settings, n ast.Node) {
	if n == nil {
		c.fail(n, "the file is empty", "allowed is a YAML mapping of settings")
		return
	}
	before := len(c.problems)
	c.mapping("", n, []field{
		{"name", true, c.text(&s.Name)},
		{"zone", true, c.text(&s.Zone)},
		{"workspace", true, c.text(&s.Workspace)},
		{"listen", true, c.address(&s.Listen, true)},
		{"peers", true, c.address(&s.Peers, true)},
		{"operators", true, c.address(&s.Operators, true)},
		{"platform", false, c.platform(s)},
		{"wire", false, c.wire(&s.Wire)},
		{"ready", false, c.address(&s.Ready, true)},
		{"orders", false, c.address(&s.Orders, false)},
		{"carry", false, c.address(&s.Carry, true)},
		{"tls", false, c.tls(&s.TLS)},
		{"secret", false, c.secret(&s.Secret)},
		{"login", false, c.login(&s.Login)},
		{"limits", false, c.limits(&s.Limits)},
		{"processor", false, c.cores(&s.Processor)},
		{"stop", false, c.span(&s.Stop, minStop, maxStop)},
		{"leave", false, c.span(&s.Leave, minLeave, maxLeave)},
		{"quota", false, c.quota(&s.Quota)},
		{"rules", false, c.rules(&s.Rules)},
		{"load", false, c.load(&s.Load)},
		{"log", false, c.level(&s.Log)},
		{"groups", false, c.groups(s)},
		{"callers", false, c.callers(s)},
	})
	if len(c.problems) == before {
		c.whole(s, n)
	}
}

// whole checks what concerns several settings, once each is right by itself.
func (c *checker) whole(s *Settings, n ast.Node) {
	if len(s.Platform) == 0 && len(s.Groups) == 0 {
		c.fail(n, "platform and groups are both missing", "allowed is one of them")
	}
	if len(s.Platform) > 0 && len(s.Groups) > 0 {
		// A file that lists groups beside a platform would have to win or lose
		// against the platform's objects, and an old file could bring back what
		// operators have since changed.
		c.fail(child(n, "groups"), "groups stands beside platform", "allowed is one of them")
	}
	if s.Wire == Lines {
		c.lines(s, n)
	}
	if s.Wire == Postgres && len(s.Platform) > 0 && s.Secret == "" && s.TLS.Peers == (Files{}) {
		c.fail(n, "secret and tls.peers are both missing", "the other proxies must know this one by either of them")
	}
	if len(s.Groups) > 0 && len(s.Callers) == 0 {
		c.fail(n, "callers is missing", "groups without a platform need at least one caller")
	}
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		name string
		at   netip.AddrPort
	}{{"listen", s.Listen}, {"peers", s.Peers}, {"operators", s.Operators}} {
		if first, twice := seen[l.at]; twice && l.at.Port() != 0 {
			c.fail(child(n, l.name), fmt.Sprintf("%s is %q, the same as %s", l.name, l.at, first), "allowed is an address of its own")
		}
		seen[l.at] = l.name
	}
	known := map[string]bool{}
	for _, g := range s.Groups {
		known[g.Name] = true
	}
	for i, caller := range s.Callers {
		for _, g := range caller.Groups {
			if !known[g] {
				c.fail(item(child(n, "callers"), i), fmt.Sprintf("callers[%d] names the group %q", i, g), "allowed are the names under groups")
			}
		}
	}
}

// lines checks what the wire Lines needs besides.
func (c *checker) lines(s *Settings, n ast.Node) {
	if !s.Ready.IsValid() {
		c.fail(n, "ready is missing", "with the wire lines it has no default")
	}
	if !s.Orders.IsValid() {
		c.fail(n, "orders is missing", "with the wire lines it has no default")
	}
	if !s.Carry.IsValid() {
		c.fail(n, "carry is missing", "with the wire lines it has no default")
	}
	if len(s.Platform) != 1 {
		c.fail(n, fmt.Sprintf("platform lists %d addresses", len(s.Platform)), "with the wire lines allowed is one")
	}
}

// wire reads the name of a protocol.
func (c *checker) wire(dst *Wire) func(string, ast.Node) {
	const allowed = "allowed are postgres, lines"
	return func(path string, n ast.Node) {
		s, ok := c.scalar(path, n, allowed)
		if !ok {
			return
		}
		switch w := Wire(s); w {
		case Postgres, Lines:
			*dst = w
		default:
			c.fail(n, fmt.Sprintf("%s is %q", path, s), allowed)
		}
	}
}

func (c *checker) platform(s *Settings) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.list(path, n, func(path string, n ast.Node) {
			var a netip.AddrPort
			c.address(&a, false)(path, n)
			s.Platform = append(s.Platform, a)
		})
	}
}

func (c *checker) login(l *Login) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		var data []byte
		c.mapping(path, n, []field{
			{"user", false, c.text(&l.User)},
			{"password", false, c.file(&l.Password, &data)},
		})
		if data != nil && len(data) == 0 {
			c.fail(n, path+".password is an empty file", "allowed is a file that holds the password")
		}
	}
}

func (c *checker) limits(l *Limits) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.mapping(path, n, []field{
			{"message", false, c.size(&l.Message, minMessage, maxMessage)},
			{"pending", false, c.count(&l.Pending, maxPending)},
			{"callers", false, c.count(&l.Callers, maxCallers)},
			{"buffer", false, c.size(&l.Buffer, minBuffer, maxBuffer)},
		})
	}
}

func (c *checker) quota(q *Quota) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.mapping(path, n, []field{
			{"window", false, c.span(&q.Window, minWindow, maxWindow)},
			{"excess", false, c.number(&q.Excess, 0, maxExcess)},
			{"slack", false, c.number(&q.Slack, 0, maxSlack)},
		})
	}
}

func (c *checker) tls(t *TLS) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		c.mapping(path, n, []field{
			{"callers", false, c.pair(&t.Callers, shown)},
			{"upstreams", false, c.pair(&t.Upstreams, checked)},
			{"peers", false, c.pair(&t.Peers, shown|checked)},
		})
	}
}

// What one side's files must hold: a certificate that is shown to the other side,
// and authorities that the other side's is checked by.
const (
	shown = 1 << iota
	checked
)

// pair reads one side's files; need says which must be there.
func (c *checker) pair(f *Files, need int) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		var cert, key []byte
		c.mapping(path, n, []field{
			{"cert", need&shown != 0, c.file(&f.Cert, &cert)},
			{"key", need&shown != 0, c.file(&f.Key, &key)},
			{"ca", need&checked != 0, c.authority(&f.CA)},
		})
		if cert == nil || key == nil {
			return
		}
		if _, err := tls.X509KeyPair(cert, key); err != nil {
			c.fail(n, path+" has a certificate and key that don't fit", "allowed is a PEM certificate with its own key")
		}
	}
}

// file reads the path of a file into dst and, when files are looked at, what is
// in it into data.
func (c *checker) file(dst *string, data *[]byte) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		s, ok := c.scalar(path, n, allowedPath)
		if !ok {
			return
		}
		if s == "" {
			c.fail(n, path+" is empty", allowedPath)
			return
		}
		if !filepath.IsAbs(s) {
			s = filepath.Join(c.dir, s)
		}
		*dst = s
		if c.open == nil {
			return
		}
		b, err := c.open(s)
		if err != nil {
			c.fail(n, fmt.Sprintf("%s is %q, which can't be read", path, s), allowedPath)
			return
		}
		*data = b
	}
}

func (c *checker) authority(dst *string) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		var data []byte
		c.file(dst, &data)(path, n)
		if data != nil && !x509.NewCertPool().AppendCertsFromPEM(data) {
			c.fail(n, path+" holds no certificate", "allowed is a PEM file of certificates")
		}
	}
}

// secret reads the path of the shared peer key. A short key could be guessed
// from a recorded handshake.
func (c *checker) secret(dst *string) func(string, ast.Node) {
	return func(path string, n ast.Node) {
		var data []byte
		c.file(dst, &data)(path, n)
		if data != nil && len(data) < minSecret {
			c.fail(n, fmt.Sprintf("%s holds %d bytes", path, len(data)), fmt.Sprintf("allowed are %d bytes or more", minSecret))
		}
	}
}
