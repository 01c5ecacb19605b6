package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"raventrestle/internal/control/host"
)

func TestEachErrorHasItsStatus(t *testing.T) {
	cases := []struct {
		err  error
		want int
	}{
		{ErrUndecided, http.StatusServiceUnavailable},
		{ErrTooManyLargeChanges, http.StatusServiceUnavailable},
		{ErrVersionUnknown, http.StatusServiceUnavailable},
		{ErrNoQuorumContact, http.StatusServiceUnavailable},
		{&UnavailableError{Err: host.ErrRejected}, http.StatusServiceUnavailable},
		{&UnavailableError{Err: ErrMalformed}, http.StatusServiceUnavailable},
		{fmt.Errorf("%w: %w", ErrUndecided, &RejectedError{Reason: "r"}), http.StatusServiceUnavailable},
		{fmt.Errorf("%w: %w", ErrUndecided, context.DeadlineExceeded), http.StatusServiceUnavailable},
		{errors.New("an error that errors.go does not know"), http.StatusServiceUnavailable},
		{fmt.Errorf("%w: %w", ErrBodyIncomplete, context.Canceled), http.StatusRequestTimeout},
		{&BodyTooLargeError{Content: "c", Max: 1}, http.StatusRequestEntityTooLarge},
		{&VersionMismatchError{Current: 2, Base: 1}, http.StatusPreconditionFailed},
		{ErrNoConfiguration, http.StatusNotFound},
		{fmt.Errorf("heartbeat of i: %w", ErrMalformed), http.StatusBadRequest},
		{ErrNotJSON, http.StatusBadRequest},
		{&IfMatchError{}, http.StatusBadRequest},
		{&RejectedError{Reason: "r"}, http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.err.Error(), func(t *testing.T) {
			if got := statusOf(c.err); got != c.want {
				t.Errorf("status of %T: got %d, want %d", c.err, got, c.want)
			}
		})
	}
}
