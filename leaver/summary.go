package leaver

import (
	"fmt"
	"strings"
	"time"
)

// maxNamed bounds how many cut sessions the text names.
const maxNamed = 20

// String returns the summary as one line for the log.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s after %s by %s: %d sessions ended between requests, %d requests finished",
		s.Reason, s.Ended.Sub(s.Began).Round(time.Millisecond), s.Cause, s.Sessions, s.Finished)
	if len(s.Groups) > 0 {
		fmt.Fprintf(&b, ", handed over %s", strings.Join(s.Groups, " "))
	}
	if len(s.Kept) > 0 {
		fmt.Fprintf(&b, ", not handed over %s", strings.Join(s.Kept, " "))
	}
	if !s.Shares {
		b.WriteString(", connection shares not given back")
	}
	if s.Unsaid {
		b.WriteString(", platform not told")
	}
	if s.Idle > 0 {
		fmt.Fprintf(&b, ", %d idle sessions ended at once", s.Idle)
	}
	fmt.Fprintf(&b, ", %d cut", len(s.Interrupted))
	for i, c := range s.Interrupted {
		if i == maxNamed {
			fmt.Fprintf(&b, " and %d more", len(s.Interrupted)-maxNamed)
			break
		}
		fmt.Fprintf(&b, " %s", c)
	}
	return b.String()
}

// String returns the tenant and id, and whether it was in a transaction.
func (s Session) String() string {
	text := s.Tenant + "/" + s.ID
	if s.Transaction {
		text += "(transaction)"
	}
	return text
}
