package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// outcome is what a fault may lead to.
type outcome struct {
	falseDeaths int // most that are allowed
	suspicions  int // most that are allowed; -1 for any number
}

// TestFaults runs each fault on a fleet of known size and demands that all
// processes agree on who runs when it is over.
func TestFaults(t *testing.T) {
	minute := time.Minute
	tests := []struct {
		name  string
		tells string // symptom, sequence, cause
		size  int
		run   func(*fleet)
		want  outcome
	}{
		{
			"nothing", "Symptom: members flap although nothing happens.", 30,
			func(f *fleet) { f.RunFor(5 * minute) },
			outcome{0, 0},
		},
		{
			"host vanishes", "Symptom: a vanished member stays in the views. Sequence: it never answers again. Cause: no deadline for suspicions.", 30,
			func(f *fleet) { f.vanish(f.procs[4]); f.RunFor(30 * time.Second) },
			outcome{0, -1},
		},
		{
			"process dies", "Symptom: as above. Sequence: connections to it are refused.", 30,
			func(f *fleet) { f.stop(f.procs[4]); f.RunFor(20 * time.Second) },
			outcome{0, -1},
		},
		{
			"planned stop", "Symptom: a planned stop looks like a failure. Cause: its announcement isn't heard or spread.", 30,
			func(f *fleet) {
				f.give(f.procs[4], Leave{})
				f.RunFor(10 * time.Second)
				f.give(f.procs[4], Stop{})
				f.RunFor(10 * time.Millisecond)
				f.stop(f.procs[4])
				f.RunFor(20 * time.Second)
			},
			outcome{0, 0},
		},
		{
			"restart at the same address", "Symptom: the new process is taken for the old one. Sequence: it comes back before anybody noticed. Cause: only the address tells them apart.", 30,
			func(f *fleet) { f.boot(f.procs[4], 2000); f.RunFor(20 * time.Second) },
			outcome{0, -1},
		},
		{
			"restart with a clock that went back", "Symptom: the new process is unknown for good. Sequence: its start is lower than the one before. Cause: the others take what it says for old.", 30,
			func(f *fleet) { f.boot(f.procs[4], 10); f.RunFor(30 * time.Second) },
			outcome{0, -1},
		},
		{
			"two in a hundred messages lost", "Symptom: healthy members are declared dead.", 30,
			func(f *fleet) { f.loss = 0.02; f.RunFor(10 * minute); f.loss = 0; f.RunFor(20 * time.Second) },
			outcome{0, -1},
		},
		{
			"a fifth of the messages lost", "Symptom: as above.", 30,
			func(f *fleet) { f.loss = 0.2; f.RunFor(5 * minute); f.loss = 0; f.RunFor(minute) },
			outcome{0, -1},
		},
		{
			"short pause", "Symptom: a short stall costs a member its place. Cause: suspicion without a chance to contradict.", 30,
			func(f *fleet) { f.pause(f.procs[4], 3*time.Second); f.RunFor(minute) },
			outcome{0, -1},
		},
		{
			"long pause", "Symptom: a process that was paused declares others dead when it wakes. Sequence: its deadlines have passed while answers lay unread. Cause: it judges by them.", 30,
			func(f *fleet) {
				p := f.procs[4]
				f.pause(p, 40*time.Second)
				f.RunFor(2 * minute)
				f.forbid("a death declared by it", func(c change) bool { return c.by == p })
			},
			outcome{4, -1},
		},
		{
			"one direction between two is cut", "Symptom: a member that all others reach is suspected. Cause: judged by one path.", 30,
			func(f *fleet) {
				a, b := f.watcher(4), f.procs[4]
				f.cut = func(from, to *proc) bool { return from == a && to == b }
				f.RunFor(5 * minute)
				f.cut = nil
				f.RunFor(20 * time.Second)
			},
			outcome{0, 0},
		},
		{
			"one hears nothing", "Symptom: a process that hears nothing declares all dead. Sequence: what it says still arrives. Cause: silence of all taken for the death of all.", 30,
			func(f *fleet) {
				p := f.procs[4]
				f.cut = func(_, to *proc) bool { return to == p }
				f.RunFor(50 * time.Second)
				f.cut = nil
				f.RunFor(minute)
				f.forbid("a death declared by it", func(c change) bool { return c.by == p })
			},
			outcome{4, -1},
		},
		{
			"one is heard by nobody", "Symptom: as above, the other way round.", 30,
			func(f *fleet) {
				p := f.procs[4]
				f.cut = func(from, _ *proc) bool { return from == p }
				f.RunFor(50 * time.Second)
				f.cut = nil
				f.RunFor(minute)
			},
			outcome{4, -1},
		},
		{
			"flapping link", "Symptom: one bad link makes members around it flap. Sequence: a member is cut off for 8 s in every 16.", 30,
			func(f *fleet) {
				p, begin := f.procs[4], f.Now
				f.cut = func(from, to *proc) bool {
					return (from == p || to == p) && f.Now.Sub(begin)/(8*time.Second)%2 == 0
				}
				f.RunFor(4 * minute)
				f.cut = nil
				f.RunFor(minute)
				f.forbid("a death of another one", func(c change) bool { return c.by != p && f.at[c.Member.Addr] != p })
			},
			outcome{120, -1},
		},
		{
			"rolling restart of all", "Symptom: views disagree for long after a change of version. Sequence: one restart a second, each announced.", 30,
			func(f *fleet) {
				for i, p := range f.procs {
					f.give(p, Leave{})
					f.RunFor(500 * time.Millisecond)
					f.give(p, Stop{})
					f.RunFor(500 * time.Millisecond)
					f.boot(p, uint64(2000+i))
				}
				f.RunFor(minute)
			},
			outcome{0, -1},
		},
		{
			"all restart at once", "Symptom: nobody finds anybody. Sequence: all start together with only the list.", 30,
			func(f *fleet) {
				for _, p := range f.procs {
					f.boot(p, 2000)
				}
				f.RunFor(minute)
			},
			outcome{0, -1},
		},
		{
			"last of two dies", "Symptom: the survivor waits for good. Cause: it takes itself for cut off.", 2,
			func(f *fleet) { f.vanish(f.procs[1]); f.RunFor(2 * minute) },
			outcome{0, -1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				is := is.New(t)
				f := newFleet(tt.size, seed)
				f.warm()
				f.RunFor(10 * time.Second)
				tt.run(f)
				is.Equal(f.agree(all), "") // all see exactly those that run
				is.Equal(f.wrong, "")
				deaths, suspicions := f.deaths(), f.reasons(Silent)
				if deaths > tt.want.falseDeaths {
					t.Errorf("seed %d: %d false deaths, at most %d", seed, deaths, tt.want.falseDeaths)
				}
				if tt.want.suspicions >= 0 && suspicions > tt.want.suspicions {
					t.Errorf("seed %d: %d suspicions, at most %d", seed, suspicions, tt.want.suspicions)
				}
			}
		})
	}
}

// forbid takes note of the first declared death to which bad applies.
func (f *fleet) forbid(what string, bad func(change) bool) {
	for _, c := range f.changes {
		if c.Reason == Expired && bad(c) && f.wrong == "" {
			f.wrong = what + ": " + c.Member.String()
		}
	}
}

// pause keeps a process from running for d; what arrives waits.
func (f *fleet) pause(p *proc, d time.Duration) { p.paused = f.Now.Add(d) }

// watcher returns a process that watches process i.
func (f *fleet) watcher(i int) *proc {
	for _, p := range f.procs {
		for _, a := range p.view.subjects {
			if a == f.procs[i].view.Self.Addr {
				return p
			}
		}
	}
	panic("nobody watches it")
}

func TestPartition(t *testing.T) {
	// Symptom: after a partition two fleets go on side by side, or during it
	// none. Sequence: a part is cut off for three minutes, members restart and
	// die in it, then the cut ends.
	// Cause: nobody looks for the dead, or what one half says of the other stays.
	tests := []struct {
		name string
		part func(i int) bool
	}{
		{"two halves", func(i int) bool { return i%2 == 0 }},
		{"one zone of three", func(i int) bool { return i%3 == 0 }},
		{"three against the others", func(i int) bool { return i < 3 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				is := is.New(t)
				f := newFleet(30, seed)
				f.warm()
				side := make(map[*proc]bool)
				for i, p := range f.procs {
					side[p] = tt.part(i)
				}
				f.cut = func(from, to *proc) bool { return side[from] != side[to] }
				f.RunFor(2 * time.Minute)
				is.Equal(f.agree(func(a, b *proc) bool { return side[a] == side[b] }), "")
				f.boot(f.procs[0], 2000)
				f.vanish(f.procs[1])
				f.RunFor(time.Minute)
				f.cut = nil
				f.RunFor(time.Minute)
				is.Equal(f.agree(all), "")
			}
		})
	}
}

func TestListIsWrong(t *testing.T) {
	// Symptom: a vanished instance counts as a member, or a running one doesn't.
	// Sequence: the list still has one that is gone, and lacks one that runs.
	// Cause: the list is taken for the truth, but it lags.
	is := is.New(t)
	f := newFleet(12, 1)
	f.warm()
	listed := f.list()[:11] // without the last one
	f.stop(f.procs[3])
	f.RunFor(30 * time.Second)
	for _, p := range f.procs {
		f.give(p, Listed{Instances: listed})
	}
	f.RunFor(time.Minute)
	is.Equal(f.agree(all), "")
	view := f.procs[0].view
	is.Equal(len(view.Fleet().Unlisted()), 1)
	is.Equal(view.Fleet().Unlisted()[0].Addr, f.procs[11].view.Self.Addr)
	is.Equal(len(view.Gone()), 1)
	is.Equal(view.Gone()[0], f.procs[3].view.Self.Addr)
	f.boot(f.procs[3], 3000)
	f.RunFor(30 * time.Second)
	is.Equal(f.agree(all), "")
	is.Equal(len(view.Gone()), 0)
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 1)
	f.warm()
	view := f.procs[0].view
	before := view.Order("billet-db-2", 3)
	is.Equal(len(before), 3)
	for _, p := range f.procs {
		is.Equal(p.view.Order("billet-db-2", 3), before) // all agree without asking
	}
	leader := f.at[before[0].Addr]
	f.give(leader, Leave{})
	f.RunFor(10 * time.Second)
	after := view.Order("billet-db-2", 3)
	is.Equal(after[0].Addr, before[1].Addr) // the deputy follows, the rest moves up
	is.Equal(after[1].Addr, before[2].Addr)
	for _, m := range view.Fleet().OrderZone("zone-1", "watch", 100) {
		is.Equal(m.Zone, "zone-1")
	}
	listed := f.list()
	for i := range listed {
		listed[i].Leaving = listed[i].Addr == after[0].Addr
	}
	f.give(f.procs[0], Listed{Instances: listed})
	is.Equal(view.Order("billet-db-2", 1)[0].Addr, after[1].Addr) // the platform says it leaves
	is.Equal(len(view.Order("x", 0)), 0)
}

func TestPausedWhileItSuspects(t *testing.T) {
	// Symptom: a process that was paused declares a healthy member dead.
	// Sequence: it suspects a member that stalls for a moment; before the
	// suspicion's deadline it is itself paused; the member recovers; the process
	// wakes after the deadline, before it has read anything.
	// Cause: the deadline counts although the process couldn't hear meanwhile.
	is := is.New(t)
	for _, past := range []time.Duration{0, 10 * time.Second, 90 * time.Second} {
		for seed := range uint64(3) {
			f := newFleet(30, seed)
			f.warm()
			f.RunFor(10 * time.Second)
			p := f.watcher(4)
			f.pause(f.procs[4], 5*time.Second)
			for len(p.view.suspicions) == 0 {
				f.RunFor(10 * time.Millisecond)
			}
			p.paused = p.view.suspicions[0].deadline.Add(past)
			f.RunFor(past + time.Minute)
			f.forbid("a death declared by it", func(c change) bool { return c.by == p })
			is.Equal(f.wrong, "")
			is.Equal(f.agree(all), "")
		}
	}
}
