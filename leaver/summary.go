package leaver

import (
	"fmt"
	"strings"
	"time"
)

// maxNamedSessions bounds how many interrupted sessions the text lists.
const maxNamedSessions = 20

// String returns the summary as one line for the log.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s after %s by %s: %d sessions ended between requests, %d requests finished",
		s.Reason, s.Ended.Sub(s.Began).Round(time.Millisecond), s.Cause, s.SessionsEnded, s.RequestsFinished)
	if len(s.GroupsHandedOver) > 0 {
		fmt.Fprintf(&b, ", handed over %s", strings.Join(s.GroupsHandedOver, " "))
	}
	if len(s.GroupsNotHandedOver) > 0 {
		fmt.Fprintf(&b, ", not handed over %s", strings.Join(s.GroupsNotHandedOver, " "))
	}
	if !s.ConnectionSharesReturned {
		b.WriteString(", connection shares not given back")
	}
	if s.PlatformNotNotified {
		b.WriteString(", platform not told")
	}
	if s.IdleEnded > 0 {
		fmt.Fprintf(&b, ", %d idle sessions ended at once", s.IdleEnded)
	}
	fmt.Fprintf(&b, ", %d cut", len(s.Interrupted))
	for i, c := range s.Interrupted {
		if i == maxNamedSessions {
			fmt.Fprintf(&b, " and %d more", len(s.Interrupted)-maxNamedSessions)
			break
		}
		fmt.Fprintf(&b, " %s", c)
	}
	return b.String()
}

// String returns the tenant, the ID and whether the session was in a transaction.
func (s Session) String() string {
	text := s.Tenant + "/" + s.ID
	if s.Transaction {
		text += "(transaction)"
	}
	return text
}
