package ingress

import (
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
)

// Index answers lookups in a configuration. It is *configuration.Index, or a fake in tests.
type Index interface {
	Route(host, path string) (*configuration.Route, bool)
	Tenant(key string) (*configuration.Tenant, bool)
	Service(name string) (*configuration.Service, bool)
}

// View is a snapshot of one configuration version, as requests are handled by it. It does not change, but for what it
// learns of clients.
type View struct {
	Index                  Index
	Generation             int64
	Limits                 configuration.Limits
	AuthenticationRequired bool // requests need a tenant's key, unless their route is public

	// The longest timeout that a client of a route was seen with, in nanoseconds, by the route's name.
	longestTimeouts map[string]*atomic.Int64
}

// clientRetryFraction is the part of the usual timeout below which a request counts as a retry: a client that sends a
// request again states the time that is left.
const clientRetryFraction = 0.9

// CurrentView holds the view in force. It is safe for concurrent use.
type CurrentView struct{ view atomic.Pointer[View] }

// Load returns the view in force, nil before the first.
func (c *CurrentView) Load() *View { return c.view.Load() }

// Store puts a view in force.
func (c *CurrentView) Store(v *View) { c.view.Store(v) }

// NewView returns the view of a configuration, which must not be changed any more. The view takes over what the previous
// one learned of clients; previous may be nil.
func NewView(c *configuration.Configuration, previous *View) *View {
	v := &View{
		Index:                  configuration.NewIndex(c),
		Generation:             c.Generation,
		Limits:                 c.Limits,
		AuthenticationRequired: len(c.Tenants) > 0,
		longestTimeouts:        make(map[string]*atomic.Int64, len(c.Routes)),
	}
	for i := range c.Routes {
		name := c.Routes[i].Name
		if previous != nil && previous.longestTimeouts[name] != nil {
			v.longestTimeouts[name] = previous.longestTimeouts[name]
		} else {
			v.longestTimeouts[name] = new(atomic.Int64)
		}
	}
	return v
}

// isClientRetry reports whether a request with this timeout seems to be a retry of the client: other clients of the
// route wait longer. It also records the timeout.
func (v *View) isClientRetry(route *configuration.Route, timeout time.Duration) bool {
	longest := v.longestTimeouts[route.Name]
	if longest == nil {
		return false
	}
	known := longest.Load()
	for int64(timeout) > known {
		if longest.CompareAndSwap(known, int64(timeout)) {
			return false
		}
		known = longest.Load()
	}
	return float64(timeout) < clientRetryFraction*float64(known)
}
