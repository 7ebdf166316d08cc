package demonstrator

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// narrator prints what happens as it happens, with the time since the start.
type narrator struct {
	out   io.Writer
	start time.Time
	now   func() time.Time

	mu sync.Mutex
}

// say prints one line; who is a deployment, or empty for both.
func (n *narrator) say(who, format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if who != "" {
		who += ": "
	}
	fmt.Fprintf(n.out, "%6.2fs  %s%s\n", n.now().Sub(n.start).Seconds(), who, fmt.Sprintf(format, args...))
}
