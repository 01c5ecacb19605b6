package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
)

const (
	noRoomPause    = 250 * time.Millisecond // told to clients whose bodies find no memory
	stepBodyBytes  = 32 << 10               // memory for a body is taken as it comes, not as it is announced
	bodyTimeFactor = 4                      // of the header timeout, for a body
	leastBodyTime  = 10 * time.Second
)

// readBody reads the body whole, by its length or by its chunks.
func (h *Handler) readBody(
	w http.ResponseWriter, r *http.Request, limits configuration.Limits, arrived time.Time,
) (body []byte, no refusal, ok bool) {
	if r.ContentLength == 0 {
		return nil, refusal{}, true
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, refusal{status: http.StatusRequestEntityTooLarge, close: true}, false
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(arrived.Add(bodyTime(limits))); err != nil {
		return nil, refusal{status: http.StatusInternalServerError, close: true}, false
	}
	body, err := readAll(r.Body, r.ContentLength, limits.MaxBodyBytes, &h.bodies)
	switch {
	case err == nil:
		if err := controller.SetReadDeadline(time.Time{}); err != nil {
			return nil, refusal{status: http.StatusInternalServerError, close: true}, false
		}
		return body, refusal{}, true
	case errors.Is(err, errTooLarge):
		return nil, refusal{status: http.StatusRequestEntityTooLarge, close: true}, false
	case errors.Is(err, errNoRoom):
		return nil, refusal{status: http.StatusServiceUnavailable, retryAfter: noRoomPause, close: true}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal{status: http.StatusRequestTimeout, close: true}, false
	}
	return nil, refusal{status: http.StatusBadRequest, close: true}, false
}

func bodyTime(limits configuration.Limits) time.Duration {
	return max(leastBodyTime, bodyTimeFactor*time.Duration(limits.HeaderTimeoutMS)*time.Millisecond)
}

var (
	errTooLarge = errors.New("body is too large")
	errNoRoom   = errors.New("bodies take all memory that they may")
)

// room is the memory that large bodies may take, all together.
type room struct {
	most  int64
	taken atomic.Int64
}

func (r *room) take(bytes int) bool {
	if r.taken.Add(int64(bytes)) <= r.most {
		return true
	}
	r.give(bytes)
	return false
}

func (r *room) give(bytes int) { r.taken.Add(-int64(bytes)) }

// release gives back what readAll took for a body.
func (r *room) release(body []byte) {
	if largeBody(cap(body)) {
		r.give(cap(body))
	}
}

// largeBody says whether a body of that size counts against the room.
func largeBody(bytes int) bool { return bytes > stepBodyBytes }

// readAll reads a body of a stated length, or of any up to most where it is negative. A large one takes its memory from
// the room; whoever uses it gives that back.
func readAll(source io.Reader, length, most int64, memory *room) (body []byte, err error) {
	if length < 0 {
		length = most + 1
	}
	body = make([]byte, 0, min(length, stepBodyBytes))
	defer func() {
		if err != nil {
			memory.release(body)
		}
	}()
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			grown := int(min(length, int64(2*cap(body))))
			if !growInto(memory, cap(body), grown) {
				return body, errNoRoom
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
	if int64(len(body)) > most {
		return body, errTooLarge
	}
	return body, nil
}

// growInto takes the memory by which a body grows.
func growInto(memory *room, from, to int) bool {
	if !largeBody(to) {
		return true
	}
	if !largeBody(from) {
		from = 0
	}
	return memory.take(to - from)
}
