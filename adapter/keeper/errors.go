package keeper

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// The outcomes of a call that did not succeed.
var (
	// ErrConflict reports a change that did not take effect because the object
	// had another version. The error is a *ConflictError.
	ErrConflict = errors.New("keeper: the object has changed")
	// ErrMissing reports that there is no such object.
	ErrMissing = errors.New("keeper: no such object")
	// ErrDown reports a call that certainly had no effect.
	ErrDown = errors.New("keeper: the platform is down")
	// ErrLost reports a change that may have taken effect.
	ErrLost = errors.New("keeper: the answer was lost")
	// ErrRefused reports a call that the platform holds to be wrong. It had no
	// effect and will have none when made again.
	ErrRefused = errors.New("keeper: the platform refuses the call")
	// ErrGone reports a watch from a version whose history the platform has
	// dropped: what has changed since can only be had from a new list.
	ErrGone = errors.New("keeper: the history is gone")
	// ErrEra reports an answer that states an earlier era than is known, or none. Nothing
	// follows from it; the call may be made again at once.
	ErrEra = errors.New("keeper: the answer is of no era that counts")
	// ErrLarge reports an answer over the bound.
	ErrLarge = errors.New("keeper: the answer is too large")
	// ErrUnread reports a value that can't be decoded, by itself or within what is sent on.
	ErrUnread = errors.New("keeper: the value can't be read")
)

// ConflictError is an ErrConflict with the object as it is now. Its Version is
// 0 when there is none.
type ConflictError struct {
	Current Object
}

// Error names the object and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("keeper: %s %s has changed, it is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
