package messenger

import (
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// What a call can end with besides an answer.
var (
	// ErrRefused means that one side of a connection couldn't prove that it
	// knows the shared key. Nothing was asked.
	ErrRefused = errors.New("messenger: peer refused")
	// ErrPeer means that another process than the one asked for answered there.
	ErrPeer = errors.New("messenger: not the peer that was asked for")
	// ErrBusy means that too many requests are under way. This one didn't run.
	ErrBusy = errors.New("messenger: too many requests in flight")
	// ErrSize means that a message is above the size limit. It wasn't sent or,
	// if it was received, the connection is closed.
	ErrSize = errors.New("messenger: message too large")
	// ErrLarge means that the peer serves too many large requests. This one didn't
	// run.
	ErrLarge = errors.New("messenger: too many large requests")
	// ErrAnswer means that the peer's answer is above the size limit. The request
	// ran.
	ErrAnswer = errors.New("messenger: answer too large")
	// ErrMethod means that the peer doesn't answer this method.
	ErrMethod = errors.New("messenger: unknown method")
	// ErrRequest means that the peer couldn't read the request.
	ErrRequest = errors.New("messenger: malformed request")
	// ErrDeadline means that no answer came before the deadline. The request may
	// have run.
	ErrDeadline = errors.New("messenger: deadline passed")
	// ErrClosed means that the messenger or the connection was closed. The
	// request may have run.
	ErrClosed = errors.New("messenger: closed")
	// ErrUnsent means that there was no connection to the peer, and none could be
	// opened. The request didn't run. It comes beside the cause.
	ErrUnsent = errors.New("messenger: not sent")
	// ErrRemote is the peer's own error. It carries the peer's text.
	ErrRemote = errors.New("messenger: peer answered with an error")
	// ErrKey means that neither a shared key nor mutual TLS is set, so that a
	// stranger could join the fleet.
	ErrKey = errors.New("messenger: no key and no mutual TLS")
)

// The JSON-RPC error codes for ErrBusy, ErrAnswer and ErrLarge.
const (
	codeBusy   = -32000
	codeAnswer = -32001
	codeLarge  = -32002
)

// encodeError turns the error of a handler into what travels.
func encodeError(err error) *jsonrpc2.Error {
	code := int64(jsonrpc2.CodeInternalError)
	switch {
	case errors.Is(err, ErrBusy):
		code = codeBusy
	case errors.Is(err, ErrAnswer):
		code = codeAnswer
	case errors.Is(err, ErrLarge):
		code = codeLarge
	case errors.Is(err, ErrMethod):
		code = jsonrpc2.CodeMethodNotFound
	case errors.Is(err, ErrRequest):
		code = jsonrpc2.CodeInvalidParams
	}
	return &jsonrpc2.Error{Code: code, Message: err.Error()}
}

// decodeError turns what a call returned into an error of this package.
func decodeError(err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jsonrpc2.ErrClosed):
		return ErrClosed
	case !errors.As(err, &remote):
		return err
	}
	switch remote.Code {
	case codeBusy:
		return ErrBusy
	case codeLarge:
		return ErrLarge
	case codeAnswer:
		return errors.Wrap(ErrAnswer, remote.Message)
	case jsonrpc2.CodeMethodNotFound:
		return errors.Wrap(ErrMethod, remote.Message)
	case jsonrpc2.CodeInvalidParams:
		return errors.Wrap(ErrRequest, remote.Message)
	default:
		return errors.Wrap(ErrRemote, remote.Message)
	}
}
