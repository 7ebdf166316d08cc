package versioner

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Version is a point in a store's history. The zero value is before all changes.
type Version struct {
	_        struct{} `cbor:",toarray"`
	Era      uint64
	Revision uint64
}

// Compare orders versions: by the era, then by the revision.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Less reports whether v is before o.
func (v Version) Less(o Version) bool { return v.Compare(o) < 0 }

// Max returns the later of two versions.
func (v Version) Max(o Version) Version {
	if v.Less(o) {
		return o
	}
	return v
}

// String returns the version as era/revision.
func (v Version) String() string {
	return strconv.FormatUint(v.Era, 10) + "/" + strconv.FormatUint(v.Revision, 10)
}

// Parse parses the format of String.
func Parse(s string) (Version, error) {
	era, revision, ok := strings.Cut(s, "/")
	if !ok {
		return Version{}, errors.Newf("versioner: version %q does not have the form era/revision", s)
	}
	var v Version
	var err error
	if v.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return Version{}, errors.Wrap(err, "versioner: parse the era")
	}
	if v.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return Version{}, errors.Wrap(err, "versioner: parse the revision")
	}
	return v, nil
}

// MarshalText returns the format of String.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the format of String.
func (v *Version) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}
