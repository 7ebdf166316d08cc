package tracker

import (
	"encoding/json"
	"unicode/utf8"
)

// MarshalText returns the text form "epoch.seq", so that JSON carries a term as
// a short string.
func (t Term) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the text form "epoch.seq". Its error wraps ErrSyntax.
func (t *Term) UnmarshalText(b []byte) error {
	term, err := ParseTerm(string(b))
	if err != nil {
		return err
	}
	*t = term
	return nil
}

// MarshalText returns the text form "epoch.seq/position".
func (m Mark) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads the text form "epoch.seq/position". Its error wraps
// ErrSyntax.
func (m *Mark) UnmarshalText(b []byte) error {
	mark, err := ParseMark(string(b))
	if err != nil {
		return err
	}
	*m = mark
	return nil
}

// keyFields is how a key travels as JSON. A string of JSON can't hold every
// byte, so a session name that is no UTF-8 goes as Bytes.
type keyFields struct {
	Tenant  string `json:"tenant,omitempty"`
	Session string `json:"session"`
	Bytes   []byte `json:"bytes,omitempty"`
	Group   string `json:"group"`
}

// MarshalJSON returns the key as an object that keeps each byte of its session
// name.
func (k Key) MarshalJSON() ([]byte, error) {
	f := keyFields{Tenant: k.Tenant, Session: k.Session, Group: k.Group}
	if !utf8.ValidString(k.Session) {
		f.Session, f.Bytes = "", []byte(k.Session)
	}
	return json.Marshal(f)
}

// UnmarshalJSON reads what [Key.MarshalJSON] returned.
func (k *Key) UnmarshalJSON(b []byte) error {
	var f keyFields
	if err := json.Unmarshal(b, &f); err != nil {
		return err
	}
	*k = Key{Tenant: f.Tenant, Session: f.Session, Group: f.Group}
	if len(f.Bytes) > 0 {
		k.Session = string(f.Bytes)
	}
	return nil
}
