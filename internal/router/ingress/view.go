package ingress

import (
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
)

// Index finds what a configuration says of a request. It is *configuration.Index, or a stand-in for tests.
type Index interface {
	Route(host, path string) (*configuration.Route, bool)
	Tenant(key string) (*configuration.Tenant, bool)
	Service(name string) (*configuration.Service, bool)
}

// View is the configuration that is in force in this process.
type View struct {
	Index      Index
	Generation int64
	Limits     configuration.Limits
	Tenants    bool // requests need a key, unless their route is public

	longest map[string]*atomic.Int64 // by route: the longest that a client waits, as far as seen
}

// againPart of the usual wait: a client that waits for less has tried before.
const againPart = 0.9

// Holder hands the view in force to whoever handles a request.
type Holder struct{ view atomic.Pointer[View] }

// Load is the view in force, nil before the first.
func (h *Holder) Load() *View { return h.view.Load() }

// Store puts a view in force.
func (h *Holder) Store(v *View) { h.view.Store(v) }

// NewView makes the view of a configuration, which must not change any more. What was learned of clients under the
// view before, which may be nil, goes on.
func NewView(c *configuration.Configuration, before *View) *View {
	v := &View{
		Index:      configuration.NewIndex(c),
		Generation: c.Generation,
		Limits:     c.Limits,
		Tenants:    len(c.Tenants) > 0,
		longest:    make(map[string]*atomic.Int64, len(c.Routes)),
	}
	for i := range c.Routes {
		name := c.Routes[i].Name
		if before != nil && before.longest[name] != nil {
			v.longest[name] = before.longest[name]
		} else {
			v.longest[name] = new(atomic.Int64)
		}
	}
	return v
}

// again says whether a client that waits so long seems to have tried before: others on the route wait longer.
func (v *View) again(route *configuration.Route, within time.Duration) bool {
	longest := v.longest[route.Name]
	if longest == nil {
		return false
	}
	known := longest.Load()
	for int64(within) > known {
		if longest.CompareAndSwap(known, int64(within)) {
			return false
		}
		known = longest.Load()
	}
	return float64(within) < againPart*float64(known)
}
