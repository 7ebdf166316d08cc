package daemon

import (
	"runtime"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/leaver"
)

// ended returns how a daemon's Run ended, and keeps the clean-up from waiting.
func (f *fleet) ended(i int) error {
	err := <-f.ends[i]
	f.ends[i] <- nil
	return err
}

// Symptom: a process that is to end at once waits for its deadline, or ends as if
// nothing had been cut. Sequence: a caller holds a transaction open, the process
// is drained and then told again. Cause: the second signal reached nobody, or the
// names of what is left were thrown away.
func TestSecondSignalNamesWhatItCuts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	c := f.connect(1, "")
	_, err := c.Begin(t.Context())
	is.NoErr(err)
	for !rests(f.daemons[1]) {
		runtime.Gosched() // the caller has its answer before the session comes to rest
	}
	is.True(f.daemons[1].Drain())
	for !f.daemons[1].left.Load() {
		runtime.Gosched() // only the test run's bound ends the wait
	}
	f.daemons[1].Hasten()
	var cut *CutError
	is.True(errors.As(f.ended(1), &cut))
	is.Equal(cut.Summary.Reason, leaver.SecondSignal)
	is.Equal(len(cut.Summary.Interrupted), 1)
	is.True(cut.Summary.Interrupted[0].Transaction)
}

// rests reports whether the only busy session of a process rests in a transaction.
func rests(d *Daemon) bool {
	busy := d.server.Load().Busy
	return len(busy) == 1 && busy[0].Transaction
}

// Symptom: the fleet can't be restarted, or a stop without a platform hangs until
// its deadline. Sequence: all proxies are drained one after another, with the
// platform up and down. Cause: a stop waits for somebody to take the leadership
// when nobody can.
func TestAllStopOneAfterAnother(t *testing.T) {
	for _, down := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(t, 0)
		is.NoErr(book(t, f.connect(0, ""), 900))
		if down {
			is.NoErr(f.platform.Close())
		}
		for i, d := range f.daemons {
			_ = f.connect(i, "") // an idle caller
			is.True(d.Drain())
			is.NoErr(f.ended(i))
			is.Equal(len(d.server.Load().Busy), 0)
		}
	}
}
