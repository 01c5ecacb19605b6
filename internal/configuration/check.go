package configuration

import (
	"fmt"
	"strings"
)

// Validate says whether next may follow current, which is nil before the first. The error is an *Invalid that
// lists all faults.
func Validate(next, current *Configuration) error {
	var found faults
	checkGeneration(next, current, &found)
	services := make(map[string]bool, len(next.Services))
	for i := range next.Services {
		checkName("service", next.Services[i].Name, services, &found)
	}
	checkRoutes(next.Routes, services, &found)
	checkTenants(next.Tenants, &found)
	return found.err()
}

func checkGeneration(next, current *Configuration, found *faults) {
	before := int64(0)
	if current != nil {
		before = current.Generation
	}
	if next.Generation <= before {
		found.add(memberGeneration, "%d is not above %d", next.Generation, before)
	}
}

// checkName notes the name among those of its kind.
func checkName(kind, name string, known map[string]bool, found *faults) {
	if name == "" {
		found.add(kind, "has an empty name")
		return
	}
	if known[name] {
		found.add(fmt.Sprintf("%s %q", kind, name), "is there twice")
	}
	known[name] = true
}

type place struct{ host, prefix string }

func checkRoutes(routes []Route, services map[string]bool, found *faults) {
	names := make(map[string]bool, len(routes))
	places := make(map[place]string, len(routes))
	for i := range routes {
		route := &routes[i]
		checkName("route", route.Name, names, found)
		item := fmt.Sprintf("route %q", route.Name)
		checkRoute(route, item, found)
		checkTargets(route, item, services, found)
		at := place{host: strings.ToLower(route.Hostname), prefix: route.PathPrefix}
		if other, taken := places[at]; taken {
			found.add(item, "shares host %q and prefix %q with route %q", route.Hostname, route.PathPrefix, other)
		}
		places[at] = route.Name
	}
}

func checkRoute(route *Route, item string, found *faults) {
	switch route.Type {
	case Idempotent, NonIdempotent, Streaming:
	default:
		found.add(item, "its type %q is unknown", route.Type)
	}
	if route.Hostname == "" {
		found.add(item, "has an empty hostname")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		found.add(item, "its path_prefix %q does not begin and end with a slash", route.PathPrefix)
	}
	if route.TimeoutMS <= 0 {
		found.add(item, "its timeout_ms is %d", route.TimeoutMS)
	}
}

func checkTargets(route *Route, item string, services map[string]bool, found *faults) {
	if route.Backend != "" && !services[route.Backend] {
		found.add(item, "its backend %q is no service", route.Backend)
	}
	if len(route.TrafficSplit) == 0 {
		if route.Backend == "" {
			found.add(item, "has neither backend nor traffic_split")
		}
		return
	}
	sum := 0.0 // of whole numbers; as a float it can't overflow
	for _, split := range route.TrafficSplit {
		if !services[split.Backend] {
			found.add(item, "its backend %q is no service", split.Backend)
		}
		if split.Weight < 0 {
			found.add(item, "the weight of %q is %d", split.Backend, split.Weight)
		}
		sum += float64(split.Weight)
	}
	if sum <= 0 {
		found.add(item, "its weights sum to %g", sum)
	}
}

func checkTenants(tenants []Tenant, found *faults) {
	names := make(map[string]bool, len(tenants))
	owners := make(map[string]int)
	for i := range tenants {
		tenant := &tenants[i]
		checkName("tenant", tenant.Name, names, found)
		for _, key := range tenant.APIKeys {
			other, taken := owners[key]
			if taken && other != i {
				// The key itself is a secret, and stays out of the error.
				found.add(fmt.Sprintf("tenant %q", tenant.Name), "shares a key with tenant %q", tenants[other].Name)
			}
			owners[key] = i
		}
	}
}
