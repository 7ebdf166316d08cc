package tracker

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
