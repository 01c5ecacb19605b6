package configuration

import "strings"

// longestHost bounds the host names that are looked up; names on the wire are at most 253 bytes.
const longestHost = 255

// Index finds routes, tenants and services of one configuration. It is only read once made, and looking
// things up allocates nothing.
type Index struct {
	hosts    map[string]*hostRoutes // by the name in lower case
	tenants  map[string]*Tenant     // by key
	services map[string]*Service
}

type hostRoutes struct {
	prefixes map[string]*Route
	longest  int // bytes of the longest prefix
}

// NewIndex returns the index of a configuration, which must not change afterwards.
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
	host.longest = max(host.longest, len(route.PathPrefix))
}

// Route returns the route of the host, with or without a port, whose prefix begins the path and is longest.
func (x *Index) Route(host, path string) (*Route, bool) {
	routes := x.host(withoutPort(host))
	if routes == nil {
		return nil, false
	}
	end := min(len(path), routes.longest)
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

// Tenant returns the tenant that holds the key.
func (x *Index) Tenant(key string) (*Tenant, bool) {
	tenant, known := x.tenants[key]
	return tenant, known
}

// Service returns the service of that name.
func (x *Index) Service(name string) (*Service, bool) {
	service, known := x.services[name]
	return service, known
}

func (x *Index) host(name string) *hostRoutes {
	if routes, known := x.hosts[name]; known {
		return routes
	}
	if len(name) > longestHost {
		return nil
	}
	var lower [longestHost]byte
	for i := range len(name) {
		letter := name[i]
		if 'A' <= letter && letter <= 'Z' {
			letter += 'a' - 'A'
		}
		lower[i] = letter
	}
	return x.hosts[string(lower[:len(name)])]
}

// withoutPort takes ":port" off. The colons in brackets are those of an IPv6 address.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	return host[:colon]
}
