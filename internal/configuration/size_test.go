package configuration_test

import (
	"testing"

	"raventrestle/internal/configuration"
	"raventrestle/internal/sizetest"
)

// BenchmarkParseAtSize parses and indexes a version of the planned size, as each router and instance does.
func BenchmarkParseAtSize(b *testing.B) {
	text := sizetest.Document()
	b.ReportAllocs()
	for b.Loop() {
		document, err := configuration.ParseDocument(text)
		if err != nil {
			b.Fatal(err)
		}
		configuration.NewIndex(document.Configuration())
	}
	b.ReportMetric(float64(len(text)), "document-B")
}

// BenchmarkApplyAtSize applies a change of one route to such a version, as each member of the chain does.
func BenchmarkApplyAtSize(b *testing.B) {
	document, err := configuration.ParseDocument(sizetest.Document())
	if err != nil {
		b.Fatal(err)
	}
	patch, err := configuration.ParsePatch([]byte(`{"generation":2,"upsert":{"routes":[{"name":"route-0001",
		"hostname":"host01.example","path_prefix":"/path0001/","type":"streaming","timeout_ms":9000,
		"target_latency_ms":510,"priority":1,"backend":"service-01","max_retries":2}]}}`))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := configuration.Apply(document, patch); err != nil {
			b.Fatal(err)
		}
	}
}
