package distribution

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

const routersPerInstance = (sizetest.Routers + sizetest.Instances - 1) / sizetest.Instances

// hubAtSize is one of 15 instances with its 56 of 830 routers.
func hubAtSize(b *testing.B) (*Hub, time.Time, Table) {
	b.Helper()
	endpoints := sizetest.EndpointTable()
	table := func(bool) []protocol.Endpoint { return endpoints }
	now := time.Unix(0, 0)
	h := New(now)
	h.Step(now, table, Configuration{Generation: 1, Document: protocol.CompressDocument(sizetest.Document())})
	h.Step(now, table, Endpoints{Revision: 1, RouterCount: sizetest.Routers, Complete: true})
	for i := range routersPerInstance {
		router := protocol.Subscribe{Node: sizetest.RouterName(i)}
		h.Step(now, table, Subscribed{Connection: ConnectionID(i + 1), Router: router})
	}
	h.Step(now, table, BarrierPassed{Barrier: routersPerInstance})
	confirmAll(h, now, table)
	return h, now, table
}

func confirmAll(h *Hub, now time.Time, table Table) {
	for _, s := range h.sorted {
		h.Step(now, table, UpdateConfirmed{Connection: s.connection, Sequence: s.sequence})
	}
}

// encoded is how the host sends: each message on its own.
func encoded(b *testing.B, out Output) (bytes int) {
	b.Helper()
	codec := protocol.NewCodec()
	for _, send := range out.Messages {
		frame, err := codec.Encode(send.Content)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(frame)
	}
	return bytes
}

// BenchmarkBeaconsAtSize is a round of beacons, of which there are four a second.
func BenchmarkBeaconsAtSize(b *testing.B) {
	h, now, table := hubAtSize(b)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(BeaconInterval)
		bytes += encoded(b, h.Step(now, table))
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkEndpointChangeAtSize is one endpoint's change sent to all routers of the instance and confirmed by them.
func BenchmarkEndpointChangeAtSize(b *testing.B) {
	h, now, table := hubAtSize(b)
	endpoints := table(false)
	bytes := 0
	revision := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		e := endpoints[revision%sizetest.Endpoints]
		out := h.Step(now, table, Endpoints{
			Changed: []protocol.Endpoint{e}, Revision: revision, Urgent: true,
			RouterCount: sizetest.Routers, Complete: true,
		})
		bytes += encoded(b, out)
		confirmAll(h, now, table)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkConfigurationAtSize is a new version sent to all routers of the instance and confirmed by them.
func BenchmarkConfigurationAtSize(b *testing.B) {
	h, now, table := hubAtSize(b)
	document := sizetest.Document()
	bytes := 0
	generation := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		generation++
		packed := protocol.CompressDocument(document)
		bytes += encoded(b, h.Step(now, table, Configuration{Generation: generation, Document: packed}))
		confirmAll(h, now, table)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkSubscribeAtSize is a router that comes: the table of endpoints and the configuration.
func BenchmarkSubscribeAtSize(b *testing.B) {
	h, now, table := hubAtSize(b)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		router := protocol.Subscribe{Node: sizetest.RouterName(0)}
		bytes += encoded(b, h.Step(now, table, Subscribed{Connection: 1, Router: router}))
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}
