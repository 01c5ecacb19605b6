package configuration

import (
	"fmt"
	"strings"
)

// Validate checks a configuration that is to follow current, which is nil before the first, against the rules of the
// operators' page (PROTOCOL.md, "The operator's API"): a higher generation, unique names, routes that name known services
// and don't share host and prefix, weights, timeouts, and keys of one tenant each. The error is an *InvalidError with all
// reasons.
func Validate(next, current *Configuration) error {
	var found itemErrors
	validateGeneration(next, current, &found)
	services := make(map[string]bool, len(next.Services))
	for i := range next.Services {
		validateName("service", next.Services[i].Name, services, &found)
	}
	validateRoutes(next.Routes, services, &found)
	validateTenants(next.Tenants, &found)
	return found.err()
}

func validateGeneration(next, current *Configuration, found *itemErrors) {
	before := int64(0)
	if current != nil {
		before = current.Generation
	}
	if next.Generation <= before {
		found.add(keyGeneration, "%d is not above %d", next.Generation, before)
	}
}

// validateName checks that a name is there and not yet known, and adds it to the known ones.
func validateName(kind, name string, known map[string]bool, found *itemErrors) {
	if name == "" {
		found.add(kind, "has an empty name")
		return
	}
	if known[name] {
		found.add(fmt.Sprintf("%s %q", kind, name), "is there twice")
	}
	known[name] = true
}

// hostAndPrefix is what two routes must not share. Hosts are compared without case.
type hostAndPrefix struct{ host, prefix string }

func validateRoutes(routes []Route, services map[string]bool, found *itemErrors) {
	names := make(map[string]bool, len(routes))
	routeAt := make(map[hostAndPrefix]string, len(routes))
	for i := range routes {
		route := &routes[i]
		validateName("route", route.Name, names, found)
		item := fmt.Sprintf("route %q", route.Name)
		validateRoute(route, item, found)
		validateTargets(route, item, services, found)
		at := hostAndPrefix{host: strings.ToLower(route.Hostname), prefix: route.PathPrefix}
		if other, taken := routeAt[at]; taken {
			found.add(item, "shares host %q and prefix %q with route %q", route.Hostname, route.PathPrefix, other)
		}
		routeAt[at] = route.Name
	}
}

// validateRoute checks what concerns one route alone.
func validateRoute(route *Route, item string, found *itemErrors) {
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

// validateTargets checks the services of a route, and the weights between them.
func validateTargets(route *Route, item string, services map[string]bool, found *itemErrors) {
	if route.Backend != "" && !services[route.Backend] {
		found.add(item, "its backend %q is no service", route.Backend)
	}
	if len(route.TrafficSplit) == 0 {
		if route.Backend == "" {
			found.add(item, "has neither backend nor traffic_split")
		}
		return
	}
	sum := 0.0 // a sum of integers, as a float so that it can't overflow
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

func validateTenants(tenants []Tenant, found *itemErrors) {
	names := make(map[string]bool, len(tenants))
	owners := make(map[string]int)
	for i := range tenants {
		tenant := &tenants[i]
		validateName("tenant", tenant.Name, names, found)
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
