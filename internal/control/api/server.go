// Package api is the control plane's public interface over HTTP: endpoints register here, the operator
// changes and reads the configuration, and people look at the tables.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"raventrestle/internal/control/host"
	"raventrestle/internal/protocol"
)

// Bounds of what a caller may send, and of what it may wait for.
const (
	maximumHeaderBytes    = 16 << 10
	maximumHeartbeatBytes = 256 << 10
	headerTimeout         = 3 * time.Second
	readTimeout           = 20 * time.Second
	writeTimeout          = 30 * time.Second
	idleTimeout           = 10 * time.Second // several heartbeats: an endpoint that moved on leaves its connection
	retryAfter            = "0.2"            // seconds; callers of this interface read fractions
)

// Instances is the registry as endpoints reach it.
type Instances interface {
	Heartbeat(ctx context.Context, endpoint protocol.Endpoint) error
	Deregister(ctx context.Context, id string) error
	View(ctx context.Context) (host.View, error)
	// ConfirmedAt returns the newest moment of which this instance knows all that was acknowledged anywhere before;
	// zero: it knows of none.
	ConfirmedAt() time.Time
}

// ChangeKind says what became of a change.
type ChangeKind uint8

// What becomes of a change.
const (
	Accepted ChangeKind = iota
	VersionMismatch
	Rejected
)

// ChangeResult is a decided change.
type ChangeResult struct {
	Kind       ChangeKind
	Generation int64  // that is in force after it
	Reason     string // of a refusal, naming the items
}

// Configurations is the replicated configuration.
type Configurations interface {
	// Change has a change decided. An error means that it is not known what became of it.
	Change(ctx context.Context, method string, base int64, body []byte) (ChangeResult, error)
	// Read returns the newest version, 0 and nil before the first. An error means that it can't be known now.
	Read(ctx context.Context) (generation int64, document []byte, err error)
	// History returns the versions that were taken, oldest first, as far as they are known here.
	History() []VersionView
}

// Status gives people a view of the group; the value is shown as JSON.
type Status func() any

// API answers calls.
type API struct {
	instances      Instances
	configurations Configurations
	status         Status
	large          chan struct{} // places for large bodies: memory is small
}

// New makes the interface.
func New(instances Instances, configurations Configurations, status Status) *API {
	return &API{
		instances:      instances,
		configurations: configurations,
		status:         status,
		large:          make(chan struct{}, largeAtOnce),
	}
}

// Handler returns the calls of the interface.
func (a *API) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("PUT /-/instances/{id}", a.putInstance)
	calls.HandleFunc("DELETE /-/instances/{id}", a.deleteInstance)
	calls.HandleFunc("PUT /-/config", a.changeConfig)
	calls.HandleFunc("PATCH /-/config", a.changeConfig)
	calls.HandleFunc("GET /-/config", a.getConfig)
	calls.HandleFunc("GET /-/history", a.getHistory)
	calls.HandleFunc("GET /-/members", a.getMembers)
	calls.HandleFunc("GET /-/endpoints", a.getEndpoints)
	calls.HandleFunc("GET /-/models", a.getModels)
	return calls
}

// fail answers with an error as JSON.
func fail(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	answer(w, status, map[string]string{"error": reason})
}

// answer writes a value as JSON.
func answer(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, `{"error":"answer can't be written"}`, http.StatusInternalServerError)
		return
	}
	write(w, status, body)
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has gone asks again
}

// tooLarge says whether a body was cut off at its bound.
func tooLarge(err error) bool {
	var bound *http.MaxBytesError
	return errors.As(err, &bound)
}

// validAddress says whether text is host:port.
func validAddress(text string) bool {
	name, port, err := net.SplitHostPort(text)
	if err != nil || name == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}
