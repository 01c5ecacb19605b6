package api

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// retryAfter is sent with 503, in seconds; callers of this interface read fractions.
const retryAfter = "0.2"

// writeError answers with an error as JSON.
func writeError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, `{"error":"answer can't be written"}`, http.StatusInternalServerError)
		return
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller whose connection broke sends its request again
}
