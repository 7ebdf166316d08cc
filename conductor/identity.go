package conductor

import (
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

// scope is the route of a statement or transaction, and the workspace that it belongs to.
type scope struct {
	route     cataloger.Route
	workspace string
}

// resolveScope returns the scope of a statement that begins now, according to the
// configuration in force, or the refusal when the database or the key is unknown.
func (s *Session) resolveScope() (scope, Reply) {
	view := s.View()
	route, ok := view.Route(s.Database)
	if !ok {
		return scope{}, errorReply(carrier.NoDatabase, "no route to the database "+s.Database)
	}
	workspace, ok := view.Authorize(&route, s.Key)
	if !ok {
		s.logUnknownKey(view.Config.Version)
		return scope{}, replyFrom(forbiddenAnswer())
	}
	return scope{route, workspace}, Reply{}
}

// isKeyRevoked reports whether the key of the caller no longer belongs to the workspace of the
// open transaction. If this were not checked before the end of the transaction, a caller could
// keep it going with a revoked key as long as it sends statements.
func (s *Session) isKeyRevoked() bool {
	view := s.View()
	workspace, ok := view.Authorize(&s.scope.route, s.Key)
	if ok && workspace == s.scope.workspace {
		return false
	}
	s.Log.Info("conductor: key revoked in a transaction", zap.Stringer("key", s.Key), zap.String("database", s.Database),
		zap.String("workspace", s.scope.workspace), zap.Uint64("configuration", view.Config.Version))
	return true
}

func (s *Session) logUnknownKey(version uint64) {
	s.Log.Info("conductor: key unknown", zap.Stringer("key", s.Key), zap.String("database", s.Database), zap.Uint64("configuration", version))
}

func forbiddenAnswer() carrier.Answer {
	return carrier.Answer{Code: carrier.Forbidden, Text: "the key is unknown"}
}

// admit charges the operation that a job begins to the quota of its workspace.
func (s *Session) admit(job *carrier.Job) carrier.Answer {
	if s.Admit == nil || job.Workspace == "" {
		return carrier.Answer{}
	}
	return s.Admit(job)
}
