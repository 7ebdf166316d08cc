package cataloger

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies an API key without revealing it. The zero value is the
// fingerprint of no key. Processes keep, compare and pass on fingerprints only, so that
// neither a log line nor a peer's answer can hold a key.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a key; that of the empty key is zero.
func NewFingerprint(key string) Fingerprint {
	if key == "" {
		return Fingerprint{}
	}
	return sha256.Sum256([]byte(key))
}

// String returns the first bytes, enough to tell the keys of a log apart.
func (f Fingerprint) String() string {
	const shown = 6
	return base64.RawURLEncoding.EncodeToString(f[:shown])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(b))
	if err != nil {
		return errors.Wrap(err, "cataloger: fingerprint")
	}
	if len(raw) != len(f) {
		return errors.Newf("cataloger: fingerprint of %d bytes", len(raw))
	}
	copy(f[:], raw)
	return nil
}

// Workspace is a customer: whom keys belong to, and how much it may ask for. It travels
// between peers as JSON.
type Workspace struct {
	Name string        `json:"name"`
	Keys []Fingerprint `json:"keys"`
	// Quota bounds its operations over the whole fleet; nil leaves them unbounded.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is a token bucket.
type Quota struct {
	// Rate is in operations a second, Burst in operations.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Identify returns whose statements are those of a caller with a key on a route, and
// whether the route takes them. The name is empty where anyone may ask.
func (v *View) Identify(r *Route, key Fingerprint) (workspace string, ok bool) {
	if r.Public || !v.Config.KeysRequired {
		return "", true
	}
	workspace, ok = v.keys[key]
	return workspace, ok
}

// Quota returns the quota of a workspace, nil for one that has none.
func (v *View) Quota(workspace string) *Quota { return v.quotas[workspace] }
