package peer

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Errors of the client.
const (
	// ErrNoResponse means that no response arrived; the call may have taken effect.
	ErrNoResponse = errors.ConstError("peer: no response")
	// ErrSecret means that the peer refused the shared secret; the call had no effect.
	ErrSecret = errors.ConstError("peer: shared secret refused")
	// ErrFailed means that the peer responded with an error.
	ErrFailed = errors.ConstError("peer: call failed")
)

// MemberError means that a member other than the target responded at the target's address.
type MemberError struct {
	Want, Got string // ids of the target and of the responding member; Got is empty when the response names no member
}

// Error returns a message that names both members.
func (e *MemberError) Error() string {
	return fmt.Sprintf("peer: expected a response from member %q, got one from %q", e.Want, e.Got)
}

// translateError returns the error of this package for an error of twirp. want is the id of the target.
func translateError(err error, want string) error {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return errors.WithType(err, ErrNoResponse)
	}
	if got := failure.Meta(memberMeta); failure.Code() == twirp.FailedPrecondition && got != "" && got != want {
		return &MemberError{Want: want, Got: got}
	}
	switch {
	case failure.Code() == twirp.Unauthenticated:
		return errors.WithType(err, ErrSecret)
	case failure.Meta("http_error_from_intermediary") != "", isNoResponse(failure):
		return errors.WithType(err, ErrNoResponse)
	}
	return errors.WithType(err, ErrFailed)
}

// isNoResponse reports whether the twirp client created the error because no response arrived. Such an error wraps its
// cause, while an error from the server wraps none.
func isNoResponse(failure twirp.Error) bool {
	return errors.Unwrap(failure) != nil
}
