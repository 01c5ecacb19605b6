package configuration

import "strings"

// maxHostBytes bounds the host names that are looked up without regard to case; valid names have up to 253 bytes.
const maxHostBytes = 255

// Index finds the routes, tenants and services of one configuration. It does not change once it has been made, any number of
// goroutines may use it, and lookups don't allocate.
type Index struct {
	hosts    map[string]*hostRoutes // by the name in lower case
	tenants  map[string]*Tenant     // by key
	services map[string]*Service
}

// hostRoutes is the routes of one host.
type hostRoutes struct {
	prefixes      map[string]*Route
	longestPrefix int // bytes of the longest prefix
}

// NewIndex returns the index of a configuration, which must not change afterwards. The configuration should be valid.
func NewIndex(from *Configuration) *Index {
	index := &Index{
		hosts:    make(map[string]*hostRoutes),
		tenants:  make(map[string]*Tenant),
		services: make(map[string]*Service, len(from.Services)),
	}
	for i := range from.Routes {
		index.addRoute(&from.Routes[i])
	}
	for i := range from.Services {
		index.services[from.Services[i].Name] = &from.Services[i]
	}
	for i := range from.Tenants {
		for _, key := range from.Tenants[i].APIKeys {
			if key != "" {
				index.tenants[key] = &from.Tenants[i]
			}
		}
	}
	return index
}

func (x *Index) addRoute(route *Route) {
	name := strings.ToLower(route.Hostname)
	host := x.hosts[name]
	if host == nil {
		host = &hostRoutes{prefixes: make(map[string]*Route)}
		x.hosts[name] = host
	}
	host.prefixes[route.PathPrefix] = route
	host.longestPrefix = max(host.longestPrefix, len(route.PathPrefix))
}

// Route returns the route of a host, with or without a port and in any case, whose prefix is the longest that begins the
// path.
func (x *Index) Route(host, path string) (*Route, bool) {
	routes := x.host(stripPort(host))
	if routes == nil {
		return nil, false
	}
	end := min(len(path), routes.longestPrefix)
	for {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if route, known := routes.prefixes[path[:slash+1]]; known {
			return route, true
		}
		end = slash
	}
}

// Tenant returns the tenant that has the API key.
func (x *Index) Tenant(key string) (*Tenant, bool) {
	tenant, known := x.tenants[key]
	return tenant, known
}

// Service returns the service with this name.
func (x *Index) Service(name string) (*Service, bool) {
	service, known := x.services[name]
	return service, known
}

// host returns the routes of a host name, in any case; nil where there are none.
func (x *Index) host(name string) *hostRoutes {
	if routes, known := x.hosts[name]; known {
		return routes
	}
	if len(name) > maxHostBytes {
		return nil
	}
	var lower [maxHostBytes]byte
	for i := range len(name) {
		char := name[i]
		if 'A' <= char && char <= 'Z' {
			char += 'a' - 'A'
		}
		lower[i] = char
	}
	return x.hosts[string(lower[:len(name)])]
}

// stripPort removes ":port". Colons in brackets are those of an IPv6 address.
func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}
