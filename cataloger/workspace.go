package cataloger

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies an API key without revealing it. The zero value is the
// fingerprint of the empty key. Processes store, compare and send only fingerprints, so
// neither a log line nor a peer's answer can contain a key.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a key; that of the empty key is zero.
func NewFingerprint(key string) Fingerprint {
	if key == "" {
		return Fingerprint{}
	}
	return sha256.Sum256([]byte(key))
}

// String returns the first bytes in base64, enough to distinguish keys in a log.
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

// Workspace is a customer, with the keys of its callers and its quota. It is sent
// between peers as JSON.
type Workspace struct {
	Name string        `json:"name"`
	Keys []Fingerprint `json:"keys"`
	// Quota bounds its operations over the whole fleet; nil means no bound.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is a token bucket.
type Quota struct {
	// Rate is in operations per second, Burst in operations.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Authorize returns the workspace of a caller with a key on a route, and whether the
// route accepts the caller. The workspace is empty where no key is required.
func (v *View) Authorize(r *Route, key Fingerprint) (workspace string, ok bool) {
	if r.Public || !v.Config.KeysRequired {
		return "", true
	}
	workspace, ok = v.keys[key]
	return workspace, ok
}

// Quota returns the quota of a workspace, nil for one that has none.
func (v *View) Quota(workspace string) *Quota { return v.quotas[workspace] }
