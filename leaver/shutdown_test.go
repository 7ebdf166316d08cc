package leaver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shutdownTrace runs a shutdown of six seconds and returns its commands, each with its time;
// load states what is left at a time, and whether the listener is closed by then.
func shutdownTrace(load func(at time.Duration, closed bool) Load) string {
	began := time.Unix(1_800_000_000, 0)
	s := NewShutdown(began, 6*time.Second)
	closed := false
	var trace []string
	last := ""
	for at := time.Duration(0); ; at += ShutdownStepInterval {
		for _, c := range s.Next(began.Add(at), load(at, closed)) {
			_, isClose := c.(CloseListener)
			closed = closed || isClose
			text := fmt.Sprintf("%T", c)
			exit, isExit := c.(Exit)
			if isExit {
				text += " " + string(exit.Summary.Reason)
			}
			if text != last {
				trace = append(trace, at.String()+" "+strings.TrimPrefix(text, "leaver."))
			}
			last = text
			if isExit {
				return strings.Join(trace, ", ")
			}
		}
	}
}

func TestShutdown(t *testing.T) {
	for _, test := range []struct {
		name, want string
		load       func(at time.Duration, closed bool) Load
	}{
		{
			"nobody is there", "2.3s CloseListener, 2.325s Exit all work done",
			func(time.Duration, bool) Load { return Load{} },
		},
		{
			"sessions end", "2.3s EndIdle, 3s CloseListener, 3.025s Exit all work done",
			func(at time.Duration, _ bool) Load {
				if at < 3*time.Second {
					return Load{Sessions: 9}
				}
				return Load{}
			},
		},
		{
			"callers come again and again", "2.3s EndIdle, 4.15s CloseListener, 4.15s RejectNew, 4.175s EndIdle, 4.5s Exit all work done",
			func(at time.Duration, _ bool) Load {
				if at < 4500*time.Millisecond {
					return Load{Sessions: 1}
				}
				return Load{}
			},
		},
		{
			"a statement doesn't end", "2.3s EndIdle, 4.15s CloseListener, 4.15s RejectNew, 4.175s EndIdle, 5.525s AnswerRest, 5.525s Exit deadline",
			func(time.Duration, bool) Load { return Load{Sessions: 1} },
		},
		{
			"a peer's statement lasts longer than all sessions", "2.3s EndIdle, 4s CloseListener, 4.025s Exit all work done",
			func(at time.Duration, _ bool) Load {
				if at < 4*time.Second {
					return Load{Forwarded: 1}
				}
				return Load{}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(shutdownTrace(test.load), test.want) })
	}
}

// Guards against a caller that is cut because it connects between the last count of the sessions
// and the end of the process.
func TestShutdownWaitsForCallerOfTheLastMoment(t *testing.T) {
	is := is.New(t)
	got := shutdownTrace(func(at time.Duration, closed bool) Load {
		if closed && at < 2500*time.Millisecond {
			return Load{Sessions: 1}
		}
		return Load{}
	})
	is.Equal(got, "2.3s CloseListener, 2.325s EndIdle, 2.5s Exit all work done")
}

// Guards against idle sessions that are left at the deadline because a process has more of them
// than a fixed pace ends.
func TestShutdownEndsAllIdleSessionsInTime(t *testing.T) {
	for _, sessions := range []int{9, 520, 5200, 10400} {
		t.Run(fmt.Sprint(sessions), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := NewShutdown(now, 6*time.Second)
			left, most := sessions, 0
			for ; left > 0; now = now.Add(ShutdownStepInterval) {
				for _, c := range s.Next(now, Load{Sessions: left}) {
					end, ok := c.(EndIdle)
					is.True(ok)
					left -= min(left, end.Limit)
					most = max(most, end.Limit)
				}
			}
			is.True(now.Before(s.RejectFrom.Add(ShutdownStepInterval)))
			steps := int(s.RejectFrom.Sub(s.ServeUntil) / ShutdownStepInterval)
			is.True(most <= max(minIdleBatch, sessions/steps+1))
		})
	}
}
