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
	table := sizetest.Table()
	whole := func(bool) []protocol.Endpoint { return table }
	now := time.Unix(0, 0)
	h := New(now)
	h.Step(now, whole, Configuration{Generation: 1, Document: protocol.PackDocument(sizetest.Document())})
	h.Step(now, whole, Endpoints{Revision: 1, Routers: sizetest.Routers, Whole: true})
	for i := range routersPerInstance {
		router := protocol.Subscribe{Node: sizetest.RouterName(i)}
		h.Step(now, whole, Subscribed{Connection: ConnectionID(i + 1), Router: router})
	}
	h.Step(now, whole, BarrierPassed{Barrier: routersPerInstance})
	confirmAll(h, now, whole)
	return h, now, whole
}

func confirmAll(h *Hub, now time.Time, whole Table) {
	for _, s := range h.order {
		h.Step(now, whole, Confirmed{Connection: s.connection, Sequence: s.sequence})
	}
}

// encoded is how the host sends: each message on its own.
func encoded(b *testing.B, out Output) (bytes int) {
	codec := protocol.NewCodec()
	for _, send := range out.Send {
		frame, err := codec.Encode(send.Message)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(frame)
	}
	return bytes
}

// BenchmarkBeaconsAtSize is a round of beacons, of which there are four a second.
func BenchmarkBeaconsAtSize(b *testing.B) {
	h, now, whole := hubAtSize(b)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(BeaconEvery)
		bytes += encoded(b, h.Step(now, whole))
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkEndpointChangeAtSize is one endpoint's change sent to all routers of the instance and confirmed by them.
func BenchmarkEndpointChangeAtSize(b *testing.B) {
	h, now, whole := hubAtSize(b)
	table := whole(false)
	bytes := 0
	revision := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		e := table[revision%sizetest.Endpoints]
		out := h.Step(now, whole, Endpoints{
			Changed: []protocol.Endpoint{e}, Revision: revision, Urgent: true,
			Routers: sizetest.Routers, Whole: true,
		})
		bytes += encoded(b, out)
		confirmAll(h, now, whole)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkConfigurationAtSize is a new version sent to all routers of the instance and confirmed by them.
func BenchmarkConfigurationAtSize(b *testing.B) {
	h, now, whole := hubAtSize(b)
	document := sizetest.Document()
	bytes := 0
	generation := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		generation++
		packed := protocol.PackDocument(document)
		bytes += encoded(b, h.Step(now, whole, Configuration{Generation: generation, Document: packed}))
		confirmAll(h, now, whole)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}

// BenchmarkSubscribeAtSize is a router that comes: the whole table and the whole configuration.
func BenchmarkSubscribeAtSize(b *testing.B) {
	h, now, whole := hubAtSize(b)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		router := protocol.Subscribe{Node: sizetest.RouterName(0)}
		bytes += encoded(b, h.Step(now, whole, Subscribed{Connection: 1, Router: router}))
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
}
