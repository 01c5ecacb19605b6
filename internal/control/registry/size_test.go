package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/sizetest"
)

const perInstance = sizetest.Endpoints / sizetest.Instances

// atSize returns the registry of one of 15 instances with 2,900 endpoints, of which it receives its share of heartbeats.
func atSize() (r *Registry, now time.Time, endpoints []protocol.Endpoint) {
	now = time.Unix(0, 0)
	r = New(Config{Origin: origin(0), Heartbeat: sizetest.HeartbeatInterval}, now)
	var peers []string
	for i := 1; i < sizetest.Instances; i++ {
		peers = append(peers, instanceAddress(i))
		r.Step(now, PeerMessage{Content: &protocol.RegistryDigest{Origin: origin(i)}})
	}
	r.Step(now, Peers{Reachable: peers})
	endpoints = sizetest.EndpointTable()
	for i := range endpoints {
		if i < perInstance {
			r.Step(now, Heartbeat{RequestID: uint64(i), Endpoint: endpoints[i]})
			continue
		}
		r.Step(now, PeerMessage{Content: &protocol.RegistryDelta{
			Origin:  origin(1 + i%(sizetest.Instances-1)),
			Records: []protocol.Record{{Endpoint: endpoints[i]}},
		}})
	}
	acknowledgeDeltas(r, r.Step(now.Add(ordinaryFlushDelay)), now)
	return r, now, endpoints
}

// acknowledgeDeltas has the peers acknowledge the deltas that they were sent.
func acknowledgeDeltas(r *Registry, out Output, now time.Time) {
	for _, send := range out.Send {
		delta, isDelta := send.Message.(*protocol.RegistryDelta)
		if !isDelta || delta.Sequence == 0 {
			continue
		}
		for i := 1; i < sizetest.Instances; i++ {
			if send.To == instanceAddress(i) {
				r.Step(now, PeerMessage{Content: &protocol.RegistryAck{
					Origin:            origin(i),
					SenderIncarnation: r.config.Origin.Incarnation,
					Received:          []uint64{delta.Sequence},
				}})
			}
		}
	}
}

func instanceAddress(number int) string { return fmt.Sprintf("10.0.0.%d:7500", number+1) }

func origin(number int) protocol.Origin {
	return protocol.Origin{Address: instanceAddress(number), Incarnation: uint64(number) + 1}
}

// BenchmarkSecondAtSize is one second without changes: the heartbeats of the instance's share, a digest of each peer, and
// the tick. ns/op is the share of a core in thousand millionths; B-sent/s counts encoded messages.
func BenchmarkSecondAtSize(b *testing.B) {
	r, now, endpoints := atSize()
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	var alive [sizetest.Instances][]uint32
	for i := range endpoints[perInstance:] {
		at := 1 + i%(sizetest.Instances-1)
		alive[at] = append(alive[at], NameHash(endpoints[perInstance+i].ID))
	}
	bytes, messages, sequence := 0, 0, 0
	count := func(out Output) {
		for _, send := range out.Send {
			frame, err := codec.Encode(send.Message)
			if err != nil {
				b.Fatalf("encode: got %v, want no error", err)
			}
			messages++
			bytes += len(frame)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		const heartbeats = int(perInstance * time.Second / sizetest.HeartbeatInterval)
		for range heartbeats {
			sequence++
			now = now.Add(time.Second / time.Duration(heartbeats))
			e := endpoints[sequence%perInstance]
			e.Sequence = uint64(sequence)
			count(r.Step(now, Heartbeat{RequestID: uint64(sequence), Endpoint: e}))
		}
		for i := 1; i < sizetest.Instances; i++ {
			digest := &protocol.RegistryDigest{Origin: origin(i), AliveHashes: alive[i], TableHash: r.table.contentHash()}
			count(r.Step(now, PeerMessage{Content: digest}))
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/s")
	b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
}

// BenchmarkChangeAtSize is one endpoint whose models change, with the deltas to all peers.
func BenchmarkChangeAtSize(b *testing.B) {
	r, now, endpoints := atSize()
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		e := endpoints[sequence%perInstance]
		e.Sequence = sequence
		e.Models = []protocol.LoadedModel{{Name: sizetest.ModelName(int(sequence % sizetest.Models)), Generation: 1}}
		r.Step(now, Heartbeat{RequestID: sequence, Endpoint: e})
		acknowledgeDeltas(r, r.Step(now.Add(ordinaryFlushDelay)), now)
	}
}

// BenchmarkFullTableAtSize is the table that a router gets when it subscribes and the placer reads in each step.
func BenchmarkFullTableAtSize(b *testing.B) {
	r, now, _ := atSize()
	b.ReportAllocs()
	for b.Loop() {
		r.Endpoints(now)
	}
}

// BenchmarkMemoryAtSize reports the heap of the table.
func BenchmarkMemoryAtSize(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, _, _ := atSize()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
}
