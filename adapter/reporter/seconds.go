package reporter

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Seconds is a duration that JSON shows as a number of seconds.
type Seconds time.Duration

// MarshalJSON writes the seconds, down to microseconds.
func (s Seconds) MarshalJSON() ([]byte, error) {
	v := time.Duration(s).Round(time.Microsecond).Seconds()
	return strconv.AppendFloat(nil, v, 'f', -1, 64), nil
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *Seconds) UnmarshalJSON(data []byte) error {
	v, err := strconv.ParseFloat(string(data), 64)
	if err != nil {
		return errors.Wrap(err, "seconds")
	}
	*s = Seconds(v * float64(time.Second))
	return nil
}

// Seconds returns s as a number.
func (s Seconds) Seconds() float64 { return time.Duration(s).Seconds() }
