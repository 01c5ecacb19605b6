// Package api is the control plane's public interface over HTTP/1.1 (PROTOCOL.md, Service discovery and The operator's
// API). Endpoints send heartbeats and deregister here (instances.go), the operator changes and reads the configuration
// (configuration.go), and people and tools read the tables of one instance (tables.go). Bodies are JSON.
//
// Every answer other than 200 is an error of errors.go, which maps it to its status. Paths, headers, bodies and error
// texts are a wire that others depend on: testdata/golden keeps them byte for byte.
package api

import (
	"context"
	"net/http"
	"time"

	"raventrestle/internal/control/host"
	"raventrestle/internal/protocol"
)

// Instances is the registry as endpoints reach it. Its methods are safe for concurrent use and wait until the endpoint
// may be answered; an error means that the endpoint is to call another instance.
type Instances interface {
	Heartbeat(ctx context.Context, endpoint protocol.Endpoint) error
	Deregister(ctx context.Context, id string) error
	View(ctx context.Context) (host.View, error)
	// ConfirmedAt returns the newest moment of which this instance has everything that was acknowledged anywhere before;
	// the zero time if none is known.
	ConfirmedAt() time.Time
}

// Configurations is the replicated configuration. Its methods are safe for concurrent use.
type Configurations interface {
	// Change submits a change that builds on version base. The method is PUT for a complete configuration and PATCH for
	// single items. An error means that the outcome is unknown: the change may be decided either way, now or later.
	Change(ctx context.Context, method string, base int64, body []byte) (ChangeResult, error)
	// Read returns the newest version, 0 and nil before the first. An error means that it can't be known now.
	Read(ctx context.Context) (generation int64, document []byte, err error)
	// History returns the accepted versions that this instance remembers, oldest first.
	History() []VersionView
}

// ChangeKind says how a change was decided.
type ChangeKind uint8

// Decisions on a change.
const (
	Accepted        ChangeKind = iota // now, or before if it was submitted again
	VersionMismatch                   // it builds on another version than the current one
	Rejected                          // it is invalid
)

// ChangeResult is the decision on a change.
type ChangeResult struct {
	Kind       ChangeKind
	Generation int64  // in force after the decision; 0 if Rejected
	Reason     string // if Rejected: names the invalid items
}

// Status returns a view of the replicated group, which is shown as JSON.
type Status func() any

// Quotas returns how this instance divides tenants' limits. An error means that it stops, or the context has ended.
type Quotas func(ctx context.Context) (QuotaView, error)

// API serves the interface. It is safe for concurrent use.
type API struct {
	instances      Instances
	configurations Configurations
	status         Status
	quotas         Quotas
	largeChanges   chan struct{} // semaphore: an element for each large change in memory
}

// New returns an API. Handler or Server makes it answer requests.
func New(instances Instances, configurations Configurations, status Status, quotas Quotas) *API {
	return &API{
		instances:      instances,
		configurations: configurations,
		status:         status,
		quotas:         quotas,
		largeChanges:   make(chan struct{}, maxLargeChanges),
	}
}

// Handler returns the routes of the interface.
func (a *API) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("PUT /-/instances/{id}", handler(a.putInstance))
	routes.Handle("DELETE /-/instances/{id}", handler(a.deleteInstance))
	routes.Handle("PUT /-/config", handler(a.changeConfiguration))
	routes.Handle("PATCH /-/config", handler(a.changeConfiguration))
	routes.Handle("GET /-/config", handler(a.getConfiguration))
	routes.Handle("GET /-/history", handler(a.getHistory))
	routes.Handle("GET /-/members", handler(a.getMembers))
	routes.Handle("GET /-/endpoints", handler(a.getEndpoints))
	routes.Handle("GET /-/models", handler(a.getModels))
	routes.Handle("GET /-/quota", handler(a.getQuota))
	return routes
}

// handler answers a request, or returns why it can't: an error that statusOf maps to a status. It has written nothing
// then.
type handler func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h(w, r); err != nil {
		writeError(w, err)
	}
}
