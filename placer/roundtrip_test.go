package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a delay that counts as a round trip for as long as no connection is opened,
// against exchanges that contain work and count as measurements, and against a distance that
// has grown and is not noticed.
func TestRoundTripIsBoundedByExchanges(t *testing.T) {
	is := is.New(t)
	var d Distance
	trips := make([]RoundTrip, 1)
	r := &trips[0]
	is.True(!r.Bound(time.Millisecond)) // nothing is measured
	r.Record(40 * time.Millisecond)
	is.True(r.Bound(30 * time.Millisecond)) // with 29 ms of work
	is.True(!d.Update(trips))               // one measurement
	r.Record(50 * time.Millisecond)
	is.True(d.Update(trips))
	is.True(!r.Bound(35 * time.Millisecond))
	is.True(r.Bound(time.Millisecond))
	is.True(!d.Update(trips))
	for range keptRoundTrips {
		r.Record(7 * time.Millisecond)
	}
	is.True(d.Update(trips))
}
