// Package call makes sure that a call with an idempotency key is sent at most once. It records each call in a row of the
// table service: the intent before the call is sent, and the outcome after it.
package call

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// MaxBodyBytes is the largest size of a body that is stored in a row, in bytes. Larger bodies are stored in the object store,
// and the outcome names the object.
const MaxBodyBytes = 16 << 10

// ErrTooLarge reports an outcome whose body is larger than MaxBodyBytes.
var ErrTooLarge = errors.New("call: body of the outcome exceeds 16 KiB")

// ErrResultConflict reports an attempt whose row already contains a different result.
var ErrResultConflict = errors.New("call: unable to record the result: the row already contains a different one")

// ErrContended reports a key whose row other attempts changed too often while the call tried to write its intent.
var ErrContended = errors.New("call: too many attempts under the same key")

// ErrInvalid reports a call without an account or a key.
var ErrInvalid = errors.New("call: account and key must not be empty")

// Digest is the SHA-256 of a request or of an idempotency key.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Outcome is the response of an endpoint to a call.
type Outcome struct {
	Status int    `json:"status"`           // HTTP status
	Type   string `json:"type,omitempty"`   // content type
	Body   []byte `json:"body,omitempty"`   // at most MaxBodyBytes
	Object string `json:"object,omitempty"` // name of the object that contains a larger body
}

// Attempt is the right to send a call once. It must be ended by exactly one of Finish, Abandon and FinishUnknown.
type Attempt struct {
	ID       string // unique over all hosts; sent to the endpoint
	row      string
	revision int64 // of the row with the intent; of an unrecorded attempt, the one that the intent was conditional on
	host     string
	request  string
}

// Decision tells what to do with a call. It is one of Proceed, Replay, Busy, Mismatch, Unknown, Refused and Unrecorded.
type Decision interface{ decision() }

// Proceed means that the call may be sent once; its intent is recorded.
type Proceed struct{ Attempt Attempt }

// Replay means that a call under the key was finished before; Outcome is the recorded response.
type Replay struct{ Outcome Outcome }

// Busy means that a host recorded the intent to send the call, but hasn't recorded an outcome yet.
type Busy struct{ Host string }

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

// Unknown means that a call under the key may have been sent, so that it must not be sent again. Cause is nil when the row
// records that the outcome is unknown.
type Unknown struct{ Cause error }

// Refused means that this call was not sent and must not be sent. When Cause is not nil, the attempt could not
// be recorded, and an earlier call under the same key may have been sent.
type Refused struct{ Cause error }

// Unrecorded means that the call must not be sent because the table service didn't tell whether the intent was recorded.
// ClearIntent makes sure that the intent does not remain.
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
