package protocol_test

import (
	"math/rand/v2"
	"testing"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

// BenchmarkReportAtSize encodes and decodes one router's report of half a second.
func BenchmarkReportAtSize(b *testing.B) {
	codec := protocol.NewCodec()
	report := sizetest.Report(rand.New(rand.NewPCG(1, 1)), 1, 1)
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		frame, err := codec.Encode(&report)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(frame)
		if _, err := codec.Decode(frame[4], frame[5:]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes), "B/report")
}

// BenchmarkSnapshotAtSize encodes and decodes the complete table as a router gets it when it subscribes.
func BenchmarkSnapshotAtSize(b *testing.B) {
	codec := protocol.NewCodec()
	update := protocol.Update{Snapshot: true, Endpoints: sizetest.EndpointTable()}
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		frame, err := codec.Encode(&update)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(frame)
		if _, err := codec.Decode(frame[4], frame[5:]); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes), "B/table")
}
