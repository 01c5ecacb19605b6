package ingress

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"raventrestle/internal/configuration"
)

// changeIndex puts a view in force whose routes and tenants are changed.
func (w *testRouter) changeIndex(change func(i *index)) {
	view := *testView()
	changed := *view.Index.(*index)
	changed.routes = slices.Clone(changed.routes)
	changed.tenants = maps.Clone(changed.tenants)
	change(&changed)
	view.Index = &changed
	w.view.Store(&view)
}

// routeOf returns the route with a path prefix.
func (x *index) routeOf(prefix string) *configuration.Route {
	at := slices.IndexFunc(x.routes, func(r configuration.Route) bool { return r.PathPrefix == prefix })
	return &x.routes[at]
}

// A request on a kept connection is judged by the routes and tenants in force when it comes, whether the connection was idle
// or busy when they changed: none is refused by what is no longer in force, and none served.
func TestRoutesAndTenantsApplyToKeptConnections(t *testing.T) {
	unchanged := func(*index) {}
	withoutTenant := func(i *index) { delete(i.tenants, testKey) }
	withoutRoute := func(i *index) {
		i.routes = slices.DeleteFunc(i.routes, func(r configuration.Route) bool { return r.PathPrefix == "/again/" })
	}
	for name, c := range map[string]struct {
		path          string
		before, after func(i *index)
		want          int
	}{
		"tenant is added":          {"/again/x", withoutTenant, unchanged, http.StatusOK},
		"tenant is removed":        {"/again/x", unchanged, withoutTenant, http.StatusUnauthorized},
		"route is added":           {"/again/x", withoutRoute, unchanged, http.StatusOK},
		"route is removed":         {"/again/x", unchanged, withoutRoute, http.StatusNotFound},
		"route becomes public":     {"/again/x", withoutTenant, func(i *index) { withoutTenant(i); i.routeOf("/again/").Public = true }, http.StatusOK},
		"route is no more public":  {"/public/x", withoutTenant, func(i *index) { withoutTenant(i); i.routeOf("/public/").Public = false }, http.StatusUnauthorized},
		"route moves to a host":    {"/again/x", func(i *index) { i.routeOf("/again/").Hostname = "elsewhere.example" }, unchanged, http.StatusOK},
		"route leaves its host":    {"/again/x", unchanged, func(i *index) { i.routeOf("/again/").Hostname = "elsewhere.example" }, http.StatusNotFound},
		"path prefix is shortened": {"/again/x", func(i *index) { i.routeOf("/again/").PathPrefix = "/again/x/y/" }, unchanged, http.StatusOK},
		"timeout is raised":        {"/short/slow", unchanged, func(i *index) { i.routeOf("/short/").TimeoutMS = 8000 }, http.StatusOK},
	} {
		for _, busy := range []bool{false, true} {
			state := "idle"
			if busy {
				state = "busy"
			}
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				const slow = 150 * time.Millisecond // longer than the timeout of /short/
				began, release := make(chan struct{}), make(chan struct{})
				w := newTestRouter(t, newEndpoint(t, func(connection net.Conn, r *receivedRequest) bool {
					switch r.URL.Path {
					case "/once/held":
						close(began)
						<-release
					case "/short/slow":
						time.Sleep(slow)
					}
					return echo(connection, r)
				}))
				served := func(i *index) { // by which the connection's first request is served
					c.before(i)
					i.tenants["key of the first"] = &configuration.Tenant{Name: "first"}
				}
				w.changeIndex(served)
				kept := w.client()
				if busy {
					kept.send(requestWithKey("POST", "/once/held", "first", "b", "key of the first"))
					<-began
					w.changeIndex(c.after)
					close(release)
				} else {
					kept.send(requestWithKey("POST", "/once/x", "first", "b", "key of the first"))
				}
				if got := kept.receive(); got.StatusCode != http.StatusOK {
					t.Fatalf("first request: got %v, want 200", got.Response)
				}
				w.changeIndex(c.after)
				kept.send(request("POST", c.path, "second", "b"))
				if got := kept.receive(); got.StatusCode != c.want {
					t.Errorf("got %v, want %d", got.Response, c.want)
				}
			})
		}
	}
}

// A key that moves to another tenant counts for that tenant from the next request on.
func TestKeyOfAnotherTenantAppliesToKeptConnections(t *testing.T) {
	tenants := make(chan string, 2)
	w := newTestRouter(t, newEndpoint(t, func(c net.Conn, r *receivedRequest) bool {
		tenants <- r.Header.Get("X-Tenant")
		return echo(c, r)
	}))
	kept := w.keptClient()
	w.changeIndex(func(i *index) { i.tenants[testKey] = &configuration.Tenant{Name: "another"} })
	kept.send(request("POST", "/once/x", "second", "b"))
	kept.receive()
	if first, second := <-tenants, <-tenants; first != testTenant || second != "another" {
		t.Errorf("got tenants %q and %q, want %q and another", first, second, testTenant)
	}
}
