package ingress

import (
	"sync/atomic"

	"raventrestle/internal/configuration"
)

// Index finds what a configuration says of a request.
type Index interface {
	// Route is the route with the longest prefix of the path, nil for none.
	Route(host, path string) *configuration.Route
	// Tenant is the one that holds the key, nil for none.
	Tenant(key string) *configuration.Tenant
	// Service is the one with that name, nil for none.
	Service(name string) *configuration.Service
}

// View is the configuration that is in force in this process.
type View struct {
	Index      Index
	Generation int64
	Limits     configuration.Limits
	Tenants    bool // requests need a key, unless their route is public
}

// Holder hands the view in force to whoever handles a request.
type Holder struct{ view atomic.Pointer[View] }

// Load is the view in force, nil before the first.
func (h *Holder) Load() *View { return h.view.Load() }

// Store puts a view in force.
func (h *Holder) Store(v *View) { h.view.Store(v) }
