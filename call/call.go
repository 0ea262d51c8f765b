// Package call sends calls with an idempotency key at most once.
package call

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// MaxBody is the largest body kept in a row, in bytes. Larger ones go to the object
// store, and the outcome names the object.
const MaxBody = 16 << 10

// ErrTooLarge reports an outcome whose body exceeds MaxBody.
var ErrTooLarge = errors.New("call: body of the outcome exceeds 16 KiB")

// ErrClosed reports an attempt whose row already holds a different result.
var ErrClosed = errors.New("call: attempt is already closed differently")

// ErrContended reports a key under which too many other attempts came and went.
var ErrContended = errors.New("call: too many attempts under the same key")

// ErrInvalid reports a call without an account or a key.
var ErrInvalid = errors.New("call: account and key must not be empty")

// Digest is the SHA-256 of a request or of an idempotency key.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Outcome is an endpoint's answer to a call.
type Outcome struct {
	Status int    `json:"status"` // HTTP status
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`   // at most MaxBody bytes
	Object string `json:"object,omitempty"` // name of the object that holds a larger body
}

// Attempt is the right to send a call once. It must be ended by exactly one of
// Finish, Abandon and Lose.
type Attempt struct {
	ID       string // unique over all hosts; it names the attempt to the endpoint
	row      string
	revision int64 // of the row with the intent
	host     string
	request  string
}

// Decision tells what to do with a call.
type Decision interface{ decision() }

// Proceed means that the call may be sent once.
type Proceed struct{ Attempt Attempt }

// Replay means that the call was answered before; Outcome is the first answer.
type Replay struct{ Outcome Outcome }

// Busy means that Host recorded the intent to send the call and no outcome yet.
type Busy struct{ Host string }

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

// Unknown means that a call under the key may have been sent and is not sent again.
// Cause is nil when the row itself says so.
type Unknown struct{ Cause error }

// Refused means that this request certainly was not and will not be sent. When the
// table service could not be asked (Cause is not nil), an earlier request under the
// same key may have been sent.
type Refused struct{ Cause error }

// Unrecorded means that the attempt is not sent because the table service does not say
// whether its intent was recorded. Settle makes sure that the intent does not stay.
type Unrecorded struct {
	Attempt Attempt
	Cause   error
}

func (Unrecorded) decision() {}

func (Proceed) decision()  {}
func (Replay) decision()   {}
func (Busy) decision()     {}
func (Mismatch) decision() {}
func (Unknown) decision()  {}
func (Refused) decision()  {}
