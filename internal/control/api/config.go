package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maximumConfigBytes = 4<<20 + 256<<10
	largeBytes         = 256 << 10
	largeAtOnce        = 2
	largeWait          = 500 * time.Millisecond
	decideWithin       = 800 * time.Millisecond // callers wait a second, and the answer has to reach them
	decidePerMiB       = 250 * time.Millisecond // and longer with large bodies
	readWithin         = 800 * time.Millisecond
)

// changeConfig has a change decided: 200, 400 or 412 when it is decided, 503 as long as it may be either way.
func (a *API) changeConfig(w http.ResponseWriter, r *http.Request) {
	base, err := baseVersion(r.Header)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if r.ContentLength > largeBytes || r.ContentLength < 0 {
		if !a.enter(r.Context()) {
			fail(w, http.StatusServiceUnavailable, "other large changes are under way")
			return
		}
		defer a.exit()
	}
	body, ok := readConfigBody(w, r)
	if !ok {
		return
	}
	wait := decideWithin + time.Duration(len(body))*decidePerMiB/(1<<20)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	result, err := a.configurations.Change(ctx, r.Method, base, body)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, "not decided yet, send it again: "+err.Error())
		return
	}
	answerChange(w, base, result)
}

func answerChange(w http.ResponseWriter, base int64, result ChangeResult) {
	switch result.Kind {
	case Accepted:
		answer(w, http.StatusOK, map[string]int64{"generation": result.Generation})
	case VersionMismatch:
		fail(w, http.StatusPreconditionFailed,
			fmt.Sprintf("If-Match: version %d is in force, not %d", result.Generation, base))
	default:
		fail(w, http.StatusBadRequest, result.Reason)
	}
}

// readConfigBody reads the body whole, or has answered why it can't.
func readConfigBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	limited := http.MaxBytesReader(w, r.Body, maximumConfigBytes)
	if r.ContentLength > maximumConfigBytes {
		fail(w, http.StatusRequestEntityTooLarge, "configuration is over "+byteCount(maximumConfigBytes))
		return nil, false
	}
	body, err := readAll(limited, r.ContentLength)
	switch {
	case tooLarge(err):
		fail(w, http.StatusRequestEntityTooLarge, "configuration is over "+byteCount(maximumConfigBytes))
	case err != nil: // the call was cut or held up on its way; the same change may have been taken elsewhere
		fail(w, http.StatusRequestTimeout, "body can't be read whole: "+err.Error())
	case !json.Valid(body):
		fail(w, http.StatusBadRequest, "body: not valid JSON")
	default:
		return body, true
	}
	return nil, false
}

// readAll reads into one buffer of the announced size, where there is one.
func readAll(from io.Reader, announced int64) ([]byte, error) {
	if announced < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, announced)
	_, err := io.ReadFull(from, body)
	return body, err
}

func (a *API) enter(ctx context.Context) bool {
	timer := time.NewTimer(largeWait)
	defer timer.Stop()
	select {
	case a.large <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (a *API) exit() { <-a.large }

// baseVersion reads If-Match: the version that the change builds on, plain or in quotes.
func baseVersion(header http.Header) (int64, error) {
	text := strings.TrimSpace(header.Get("If-Match"))
	if text == "" {
		return 0, errors.New("If-Match: missing; name the version that the change builds on, 0 for the first")
	}
	text = strings.TrimPrefix(text, "W/")
	base, err := strconv.ParseInt(strings.Trim(text, `"`), 10, 64)
	if err != nil || base < 0 {
		return 0, fmt.Errorf("If-Match: %q is not a version", text)
	}
	return base, nil
}

// getConfig returns the newest version, which the chain was asked for.
func (a *API) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readWithin)
	defer cancel()
	generation, document, err := a.configurations.Read(ctx)
	if err != nil {
		fail(w, http.StatusServiceUnavailable, "newest version is not known now: "+err.Error())
		return
	}
	if generation == 0 {
		fail(w, http.StatusNotFound, "no configuration was taken yet")
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(generation, 10)))
	write(w, http.StatusOK, document)
}
