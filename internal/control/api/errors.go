package api

import (
	"errors"
	"fmt"
	"net/http"
)

// Why a request is not answered 200. The texts are bodies of answers and part of the wire.
//
// The status decides what a caller does next. An operator ends at once on 400, 409, 412, 413 or 422, so these are
// answered only for what is decided for good: by the request's own bytes, or by the chain. All else is answered 503 with
// Retry-After (408 for a body that did not arrive): the caller sends the same request again, to any instance. One 503
// stays however often the change is sent, that of configstore.ErrForgotten: the caller reads the newest version instead.

// A write of the configuration is answered 503 for one of these:
var (
	// ErrUndecided says that the chain has not decided a change in time, or can't tell any more: it may be decided
	// either way, now or later. It wraps the cause:
	//   - replica.ErrUnavailable: the command never left this instance before the caller left or changeTimeout (longer
	//     with a large body) was over. It has no view yet, is a head that is not complete, is sealed (a later view is being agreed) or has a failing disk,
	//     or the replica's loop was blocked by its disk;
	//   - replica.ErrOutcomeUnknown: the command may have been forwarded and was not seen to commit in that time, or a
	//     snapshot covered it before it was applied here;
	//   - replica.ErrStopped, beside one of these two: the replica has stopped;
	//   - configstore.ErrForgotten: the change builds on a version that is too old to tell. Permanent;
	//   - an error of encoding the command or of decoding its result.
	ErrUndecided = errors.New("not decided yet, send it again")
	// ErrTooManyLargeChanges says that the memory for large changes is in use: maxLargeChanges are under way here, and
	// none ended within largeChangeTimeout. The change was not read.
	ErrTooManyLargeChanges = errors.New("other large changes are under way")
)

// A read is answered 503 for one of these:
var (
	// ErrVersionUnknown says that the chain has not answered which version is the newest within readTimeout. It wraps
	// the replica's error.
	ErrVersionUnknown = errors.New("newest version is not known now")
	// ErrNoQuorumContact says that this instance has nothing to show yet that was ever confirmed by a majority.
	ErrNoQuorumContact = errors.New("instance has had no contact with a majority of the others yet")
)

// UnavailableError is answered 503. This instance can't acknowledge an endpoint's request or show a table: it has no
// contact with a majority or can't confirm a drain (host.ErrRejected), stops (host.ErrStopped), or did not get to it in
// time. Not to be confused with replica.ErrUnavailable, a cause of ErrUndecided and ErrVersionUnknown.
type UnavailableError struct{ Err error }

// Error is the text of the cause alone.
func (e *UnavailableError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Answered 400: no repetition helps.
var (
	// ErrMalformed says which part of a heartbeat is malformed, in the error that wraps it.
	ErrMalformed = errors.New("malformed")
	// ErrNotJSON says that a body arrived complete and is not JSON.
	ErrNotJSON = errors.New("body: not valid JSON")
)

// IfMatchError is answered 400: the header does not name the version that a change builds on.
type IfMatchError struct{ Value string }

// Error says what the header has.
func (e *IfMatchError) Error() string {
	if e.Value == "" {
		return "If-Match: missing; name the version that the change builds on, 0 for the first"
	}
	return fmt.Sprintf("If-Match: %q is not a version", e.Value)
}

// RejectedError is answered 400: the chain decided that a change is invalid.
type RejectedError struct{ Reason string }

// Error names the invalid items.
func (e *RejectedError) Error() string { return e.Reason }

// VersionMismatchError is answered 412: the chain decided that a change builds on another version than the current one.
type VersionMismatchError struct{ Current, Base int64 }

// Error names both versions.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("If-Match: version %d is in force, not %d", e.Current, e.Base)
}

// BodyTooLargeError is answered 413.
type BodyTooLargeError struct {
	Content string // what the body is
	Max     int64  // bytes
}

// Error names the bound.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("%s is over %d bytes", e.Content, e.Max)
}

// ErrBodyIncomplete is answered 408: the connection broke, or the body took too long. A 400 would say that the content is
// invalid, and the same change may have been accepted at another instance.
var ErrBodyIncomplete = errors.New("body can't be read whole")

// ErrNoConfiguration is answered 404.
var ErrNoConfiguration = errors.New("no configuration was taken yet")

// statusOf returns the status that an error is answered with. It looks for the errors answered 503 first: what they wrap
// does not change the status.
func statusOf(err error) int {
	var (
		unavailable *UnavailableError
		ifMatch     *IfMatchError
		rejected    *RejectedError
		mismatch    *VersionMismatchError
		tooLarge    *BodyTooLargeError
	)
	switch {
	case errors.Is(err, ErrUndecided), errors.Is(err, ErrTooManyLargeChanges),
		errors.Is(err, ErrVersionUnknown), errors.Is(err, ErrNoQuorumContact), errors.As(err, &unavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrBodyIncomplete):
		return http.StatusRequestTimeout
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &mismatch):
		return http.StatusPreconditionFailed
	case errors.Is(err, ErrNoConfiguration):
		return http.StatusNotFound
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrNotJSON), errors.As(err, &ifMatch), errors.As(err, &rejected):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable // nothing is known to be decided
}
