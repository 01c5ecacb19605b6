package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"raventrestle/internal/configuration"
)

const (
	bodyTimeoutFactor = 4 // of the header timeout
	minBodyTimeout    = 10 * time.Second
)

var (
	errBodyTooLarge = errors.New("read body: it is larger than the configuration allows")
	errNoBodyMemory = errors.New("read body: large bodies use all the memory that they may")
)

// readBody reads the body to its end, by its length or by its chunks. It returns the rejection if that fails.
func (h *Handler) readBody(
	w http.ResponseWriter, r *http.Request, limits configuration.Limits, arrivedAt time.Time,
) ([]byte, *rejection) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, &rejection{reason: reasonBodyTooLarge}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(arrivedAt.Add(bodyTimeout(limits))); err != nil {
		return nil, &rejection{reason: reasonNoReadDeadline}
	}
	body, err := readAll(r.Body, r.ContentLength, limits.MaxBodyBytes, &h.bodyMemory)
	if err != nil {
		return nil, &rejection{reason: bodyErrorReason(err)}
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, &rejection{reason: reasonNoReadDeadline}
	}
	return body, nil
}

// bodyErrorReason returns why a body that could not be read is rejected.
func bodyErrorReason(err error) rejectionReason {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return reasonBodyTooLarge
	case errors.Is(err, errNoBodyMemory):
		return reasonNoBodyMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonBodyTimeout
	}
	return reasonBodyUnreadable
}

// bodyTimeout returns how long a body may take, from the arrival of its request.
func bodyTimeout(limits configuration.Limits) time.Duration {
	return max(minBodyTimeout, bodyTimeoutFactor*time.Duration(limits.HeaderTimeoutMS)*time.Millisecond)
}

// readAll reads a body of length bytes, or of up to maxBytes if length is negative. A large body is charged to the
// budget; the caller releases it, unless readAll fails.
func readAll(source io.Reader, length, maxBytes int64, budget *memoryBudget) (body []byte, err error) {
	if length < 0 {
		length = maxBytes + 1
	}
	body = make([]byte, 0, min(length, uncountedBodyBytes))
	defer func() {
		if err != nil {
			budget.release(body)
		}
	}()
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			grown := int(min(length, int64(2*cap(body))))
			if !budget.grow(cap(body), grown) {
				return body, errNoBodyMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return body, err
		}
	}
	if int64(len(body)) > maxBytes {
		return body, errBodyTooLarge
	}
	return body, nil
}
