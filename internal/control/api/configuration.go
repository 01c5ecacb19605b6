package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Callers wait for a second, longer with large bodies (PROTOCOL.md, The operator's API), and the answer has to reach
// them.
const (
	changeTimeout       = 800 * time.Millisecond
	changeTimeoutPerMiB = 250 * time.Millisecond // added for each MiB of the body
	readTimeout         = 800 * time.Millisecond
)

// Large changes are bounded in number: a machine's memory is small, and a change is in it several times.
const (
	largeChangeBytes   = 256 << 10 // a body above this, or of unknown length, counts as large
	maxLargeChanges    = 2
	largeChangeTimeout = 500 * time.Millisecond // longest wait for one of the others to end
)

// changeConfiguration has a change decided: 200, 400 or 412 once it is decided, 503 as long as it may be decided either
// way. What is rejected before the chain is asked is rejected for the request's own bytes alone, so no other instance can
// have accepted it.
func (a *API) changeConfiguration(w http.ResponseWriter, r *http.Request) error {
	base, err := baseVersion(r.Header)
	if err != nil {
		return err
	}
	if r.ContentLength > largeChangeBytes || r.ContentLength < 0 {
		if !a.acquireLargeChange(r.Context()) {
			return ErrTooManyLargeChanges
		}
		defer a.releaseLargeChange()
	}
	body, err := readConfigurationBody(w, r)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return ErrNotJSON
	}
	timeout := changeTimeout + time.Duration(len(body))*changeTimeoutPerMiB/(1<<20)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	result, err := a.configurations.Change(ctx, r.Method, base, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUndecided, err)
	}
	if err := decisionError(base, result); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, map[string]int64{"generation": result.Generation})
	return nil
}

// decisionError returns the error of a change that was decided against, or nil.
func decisionError(base int64, result ChangeResult) error {
	switch result.Kind {
	case Accepted:
		return nil
	case VersionMismatch:
		return &VersionMismatchError{Current: result.Generation, Base: base}
	default:
		return &RejectedError{Reason: result.Reason}
	}
}

// acquireLargeChange waits until a large change may be read, and returns whether it may.
func (a *API) acquireLargeChange(ctx context.Context) bool {
	timer := time.NewTimer(largeChangeTimeout)
	defer timer.Stop()
	select {
	case a.largeChanges <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (a *API) releaseLargeChange() { <-a.largeChanges }

// getConfiguration returns the newest version, which the chain is asked for.
func (a *API) getConfiguration(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	generation, document, err := a.configurations.Read(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVersionUnknown, err)
	}
	if generation == 0 {
		return ErrNoConfiguration
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(generation, 10)))
	writeBody(w, http.StatusOK, document)
	return nil
}
