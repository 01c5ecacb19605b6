package call

import (
	"errors"
	"fmt"
)

// Step is where in a call an error arose.
type Step string

// The steps of a call.
const (
	Dialling    Step = "dial"
	Writing     Step = "write"
	ReadingHead Step = "read head"
	ReadingBody Step = "read body"
)

// Causes of errors.
var (
	ErrAbandoned = errors.New("dispatcher has abandoned the call")
	ErrNoTime    = errors.New("no time is left")
	ErrForeign   = errors.New("answer belongs to another request")
	ErrEncoded   = errors.New("answer has a content encoding")
	ErrUnsigned  = errors.New("success without a signature")
	ErrFraming   = errors.New("end of another request's answer can't be told")
	ErrSwitching = errors.New("endpoint wants to switch protocols")
	ErrNoStream  = errors.New("answer is no stream")
)

// Error is a call that failed. Unless Written, no byte of the request was handed to the connection, and it surely has
// not run.
type Error struct {
	Step    Step
	Peer    string // the endpoint's id
	Written bool
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("call endpoint %s: %s: %v", e.Peer, e.Step, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun says whether a request whose call failed may have run.
func MayHaveRun(err error) bool {
	if err == nil {
		return false
	}
	var failed *Error
	return !errors.As(err, &failed) || failed.Written
}
