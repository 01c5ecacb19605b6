package call

import (
	"errors"
	"fmt"
)

// Step is the step of a call in which an error arose.
type Step string

// The steps of a call.
const (
	Dialling    Step = "dial"
	Writing     Step = "write"
	ReadingHead Step = "read head"
	ReadingBody Step = "read body"
)

// Causes of a failed attempt, found by errors.Is.
var (
	ErrAbandoned = errors.New("dispatcher has abandoned the call")
	ErrNoTime    = errors.New("no time is left")
	ErrForeign   = errors.New("answer belongs to another request")
	ErrEncoded   = errors.New("answer has a content encoding")
	ErrUnsigned  = errors.New("success without a signature")
	ErrFraming   = errors.New("another request's answer states no end")
	ErrInterim   = errors.New("endpoint sends too many interim answers")
	ErrSwitching = errors.New("endpoint asks to switch protocols")
	ErrNoStream  = errors.New("answer is no stream")
)

// Error is a failed attempt. Unless Written is set, the connection took no byte of the request, and it has surely not
// run.
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

// MayHaveRun reports whether the request of a failed attempt may have run. It is false only if that is certain.
func MayHaveRun(err error) bool {
	if err == nil {
		return false
	}
	var failed *Error
	return !errors.As(err, &failed) || failed.Written
}
