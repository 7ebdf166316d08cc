package proxier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: the calls to the store grow with the fleet. Sequence: one process reads a
// kind as a whole; the others hear of that only from it, each few seconds, and read
// for themselves meanwhile. Cause: what was heard isn't told on.
func TestWhatWasReadIsToldOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var reader, between, last checks
	reader.done("config", now)
	now = now.Add(300 * time.Millisecond)
	between.hear(reader.ages(now), now)
	now = now.Add(400 * time.Millisecond)
	last.hear(between.ages(now), now)
	is.Equal(now.Sub(last.last("config")), 700*time.Millisecond)
	last.hear(map[string]time.Duration{"config": time.Minute}, now) // older news changes nothing
	is.Equal(now.Sub(last.last("config")), 700*time.Millisecond)
}
