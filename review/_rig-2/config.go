package main

import "encoding/json"

type object = map[string]any

func limits(maxHeaderBytes int) object {
	return object{"max_header_bytes": maxHeaderBytes, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func tenants() []object {
	return []object{{"name": "tenant-1", "api_keys": []string{"key-of-tenant-1"}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 35285, "burst": 35285}}
}

// pushRoute is like avail-push of the site hrl-trestle.
func pushRoute() object {
	return object{"name": "push", "hostname": "site.example", "path_prefix": "/push/", "type": "non_idempotent", "timeout_ms": 600,
		"target_latency_ms": 100, "priority": 2, "backend": "inventory-sync", "max_retries": 1, "public": false}
}

func pushService() object {
	return object{"name": "inventory-sync", "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

func document(generation, maxHeaderBytes int, routes, services []object) string {
	text, _ := json.Marshal(object{
		"generation": generation, "routes": routes, "services": services, "limits": limits(maxHeaderBytes), "tenants": tenants(),
	})
	return string(text)
}
