package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of this process, for a request that was not passed on or whose fate is not known.
type refusal struct {
	status     int
	retryAfter time.Duration // 0: not stated
	close      bool          // what follows on the connection can't be told apart
}

// refuse writes it.
func (h *Handler) refuse(w http.ResponseWriter, what refusal) {
	header := w.Header()
	header["Content-Type"] = nil // none is guessed
	header["Date"] = nil
	header["Content-Length"] = []string{"0"}
	if what.retryAfter > 0 {
		header["Retry-After"] = []string{formatSeconds(what.retryAfter)}
	}
	if what.close || h.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	w.WriteHeader(what.status)
}

// formatSeconds states a time in seconds with fractions, rounded up to milliseconds.
func formatSeconds(d time.Duration) string {
	milliseconds := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(milliseconds)/1000, 'f', -1, 64)
}
