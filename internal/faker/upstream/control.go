package upstream

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"basildale.example/basildale/tracker"
)

func stateColumns() []column {
	return []column{{"role", kindText}, {"term", kindText}, {"mark", kindText}, {"primary", kindText}}
}

func settleColumns() []column {
	return []column{{"outcome", kindText}, {"mark", kindText}}
}

func stateResult(st status) *result {
	primary := ""
	if st.primary.IsValid() {
		primary = st.primary.String()
	}
	line := []value{
		textValue(st.state.Role.String()),
		textValue(st.state.Term.String()),
		textValue(st.state.Mark.String()),
		textValue(primary),
	}
	return &result{columns: stateColumns(), rows: [][]value{line}, tag: "SELECT 1"}
}

// control runs one of the basildale_* functions.
func (u *Upstream) control(ctx context.Context, name string, args []value) (*result, error) {
	arg := func(i int) string {
		if i < len(args) {
			return args[i].text
		}
		return ""
	}
	switch name {
	case "state":
		return stateResult(u.store.status()), nil
	case "wait":
		return u.wait(ctx, arg(0), arg(1))
	case "settle":
		return u.store.settle(arg(0))
	case "fence", "promote", "follow":
		return u.change(name, arg(0), arg(1))
	default:
		return nil, fail("42883", "function "+controlPrefix+name+" does not exist")
	}
}

func (u *Upstream) change(name, termText, addrText string) (*result, error) {
	term, err := tracker.ParseTerm(termText)
	if err != nil {
		return nil, fail(codeBadParameter, "not a term")
	}
	switch name {
	case "fence":
		return u.store.fence(term)
	case "promote":
		return u.store.promote(term)
	}
	addr, err := netip.ParseAddrPort(addrText)
	if err != nil {
		return nil, fail(codeBadParameter, "not an address")
	}
	if addr == u.Addr() {
		return nil, fail(codeStaleTerm, "an upstream can't follow itself")
	}
	if err := u.store.follow(term, addr); err != nil {
		return nil, err
	}
	u.pull()
	return stateResult(u.store.status()), nil
}

func (u *Upstream) wait(ctx context.Context, markText, msText string) (*result, error) {
	mark, err := tracker.ParseMark(markText)
	if err != nil {
		return nil, fail(codeBadParameter, "not a mark")
	}
	ms, err := strconv.Atoi(msText)
	if err != nil {
		return nil, fail(codeBadParameter, "not a number of milliseconds")
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		st := u.store.status()
		if !st.state.Mark.Less(mark) {
			return stateResult(st), nil
		}
		select {
		case <-st.changed:
		case <-timer.C:
			return stateResult(u.store.status()), nil
		case <-ctx.Done():
			return nil, fail(codeCancelled, "canceling statement due to user request")
		}
	}
}

func (s *store) fence(term tracker.Term) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term == s.term && s.role == tracker.Fenced:
	case s.term.Less(term):
		s.term, s.role, s.primary = term, tracker.Fenced, netip.AddrPort{}
		s.signal()
	default:
		return nil, fail(codeStaleTerm, "the own term is "+s.term.String())
	}
	return stateResult(s.statusLocked()), nil
}

// promote appends an empty entry, so that the log's end carries the new term
// from the first moment on.
func (s *store) promote(term tracker.Term) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term != s.term:
		return nil, fail(codeStaleTerm, "the own term is "+s.term.String())
	case s.role == tracker.Primary:
	case s.role == tracker.Fenced:
		s.role = tracker.Primary
		s.append(entry{})
	default:
		return nil, fail(codeStaleTerm, "not fenced but "+s.role.String())
	}
	return stateResult(s.statusLocked()), nil
}

func (s *store) follow(term tracker.Term, primary netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term.Less(s.term) || (term == s.term && s.role == tracker.Primary) {
		return fail(codeStaleTerm, s.role.String()+" at term "+s.term.String())
	}
	s.term, s.role, s.primary = term, tracker.Replica, primary
	s.signal()
	return nil
}

func (s *store) settle(id string) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" {
		return nil, fail(codeBadParameter, "no request ID")
	}
	if err := s.writable(nil); err != nil {
		return nil, err
	}
	done, known := s.requests[id]
	if !known {
		done = settlement{mark: s.append(entry{request: id, refused: true}), refused: true}
	}
	outcome := "done"
	if done.refused {
		outcome = "not run"
	}
	line := []value{textValue(outcome), textValue(done.mark.String())}
	return &result{columns: settleColumns(), rows: [][]value{line}, tag: "SELECT 1"}, nil
}
