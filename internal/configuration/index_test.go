package configuration

import (
	"strings"
	"testing"
)

func TestIndexFindsTheLongestPrefix(t *testing.T) {
	view := &Configuration{
		Routes: []Route{
			{Name: "root", Hostname: "a.example", PathPrefix: "/"},
			{Name: "x", Hostname: "a.example", PathPrefix: "/x/"},
			{Name: "xy", Hostname: "A.example", PathPrefix: "/x/y/"},
			{Name: "b", Hostname: "b.example", PathPrefix: "/x/"},
			{Name: "v6", Hostname: "[::1]", PathPrefix: "/"},
		},
	}
	index := NewIndex(view)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/yy", "x"},
		{"a.example", "/x/y/z/w", "xy"},
		{"a.example:8080", "/x/y/", "xy"},
		{"A.EXAMPLE:80", "/x/y", "x"},
		{"b.example", "/x/y/", "b"},
		{"b.example", "/", ""},
		{"b.example", "/x", ""},
		{"b.example", "", ""},
		{"c.example", "/", ""},
		{"", "/", ""},
		{"[::1]", "/q", "v6"},
		{"[::1]:80", "/q", "v6"},
		{strings.Repeat("A", 300), "/", ""},
		{"a.example", strings.Repeat("/", 10_000), "root"},
	} {
		route, known := index.Route(test.host, test.path)
		if known != (test.want != "") || known && route.Name != test.want {
			t.Errorf("%s%s: got route %v, want %q", test.host, test.path, route, test.want)
		}
	}
}

func TestIndexFindsTenantsAndServices(t *testing.T) {
	view := mustParse(t, sample).Configuration()
	index := NewIndex(view)
	if tenant, known := index.Tenant("k2"); !known || tenant.Name != "t1" {
		t.Errorf("key k2: got %v, want t1", tenant)
	}
	for _, key := range []string{"", "k", "K1", "t1"} {
		if tenant, known := index.Tenant(key); known {
			t.Errorf("key %q: got %v, want none", key, tenant)
		}
	}
	if service, known := index.Service("s2"); !known || service.MaxConnections != 110 {
		t.Errorf("got %v, want s2 with 110 connections", service)
	}
	if _, known := index.Service("s3"); known {
		t.Error("service s3: got one, want none")
	}
}

func TestIndexLookupsDoNotAllocate(t *testing.T) {
	index := NewIndex(mustParse(t, sample).Configuration())
	allocations := testing.AllocsPerRun(100, func() {
		index.Route("A.example:8080", "/x/y/z/a/b/c/d/e")
		index.Tenant("k3")
	})
	if allocations != 0 {
		t.Errorf("got %v allocations, want none", allocations)
	}
}
