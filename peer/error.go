package peer

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Errors of the client.
const (
	// ErrUnanswered says that no answer came; the call may have taken effect.
	ErrUnanswered = errors.ConstError("peer: no answer")
	// ErrSecret says that the peer refused the shared secret; the call had no effect.
	ErrSecret = errors.ConstError("peer: shared secret refused")
	// ErrFailed says that the peer answered with an error.
	ErrFailed = errors.ConstError("peer: call failed")
)

// MemberError says that another member answers at the address.
type MemberError struct {
	Want, Got string // ids; Got is empty when the answer names none
}

// Error names both members.
func (e *MemberError) Error() string {
	return fmt.Sprintf("peer: member %q is meant, member %q answers", e.Want, e.Got)
}

// translate turns an error of twirp into one of this package.
func translate(err error, want string) error {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return errors.WithType(err, ErrUnanswered)
	}
	if got := failure.Meta(memberMeta); failure.Code() == twirp.FailedPrecondition && got != "" && got != want {
		return &MemberError{Want: want, Got: got}
	}
	switch {
	case failure.Code() == twirp.Unauthenticated:
		return errors.WithType(err, ErrSecret)
	case failure.Meta("http_error_from_intermediary") != "", unanswered(failure):
		return errors.WithType(err, ErrUnanswered)
	}
	return errors.WithType(err, ErrFailed)
}

// unanswered reports whether the client made the error because no answer came: twirp then wraps the
// cause, while an error that the server sent wraps none.
func unanswered(failure twirp.Error) bool {
	return errors.Unwrap(failure) != nil
}
