package conductor

import (
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

// scope is where a statement or transaction runs, and whose it is.
type scope struct {
	route     cataloger.Route
	workspace string
}

// enter returns the scope of a statement that begins now, by the configuration in
// force, or the refusal of a caller whose database or key it doesn't know.
func (s *Session) enter() (scope, Reply) {
	view := s.View()
	route, ok := view.Route(s.Database)
	if !ok {
		return scope{}, failure(carrier.NoDatabase, "no route to the database "+s.Database)
	}
	workspace, ok := view.Identify(&route, s.Key)
	if !ok {
		s.logUnknown(view.Config.Version)
		return scope{}, reply(forbidden())
	}
	return scope{route, workspace}, Reply{}
}

// revoked reports whether the key of the open transaction's caller isn't its workspace's
// any more. Left open until its end, a transaction could go on for as long as its
// caller sends something, with a key that was taken away.
func (s *Session) revoked() bool {
	view := s.View()
	workspace, ok := view.Identify(&s.scope.route, s.Key)
	if ok && workspace == s.scope.workspace {
		return false
	}
	s.Log.Info("conductor: key revoked in a transaction", zap.Stringer("key", s.Key), zap.String("database", s.Database),
		zap.String("workspace", s.scope.workspace), zap.Uint64("configuration", view.Config.Version))
	return true
}

func (s *Session) logUnknown(version uint64) {
	s.Log.Info("conductor: key unknown", zap.Stringer("key", s.Key), zap.String("database", s.Database), zap.Uint64("configuration", version))
}

func forbidden() carrier.Answer {
	return carrier.Answer{Code: carrier.Forbidden, Text: "the key is unknown"}
}

// admit takes the operation that a job begins off its workspace's quota.
func (s *Session) admit(job *carrier.Job) carrier.Answer {
	if s.Admit == nil || job.Workspace == "" {
		return carrier.Answer{}
	}
	return s.Admit(job.Workspace, job.Deadline)
}
