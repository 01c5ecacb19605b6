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

// atSize is the table of one of 15 instances with 2,900 endpoints, of which it hears its part.
func atSize() (*Registry, time.Time, []protocol.Endpoint) {
	now := time.Unix(0, 0)
	r := New(Config{Origin: origin(0), Heartbeat: sizetest.Heartbeat}, now)
	var others []string
	for i := 1; i < sizetest.Instances; i++ {
		others = append(others, instanceAddress(i))
		r.Step(now, PeerMessage{Content: &protocol.RegistryDigest{Origin: origin(i)}})
	}
	r.Step(now, Peers{Reachable: others})
	table := sizetest.Table()
	for i := range table {
		if i < perInstance {
			r.Step(now, Heartbeat{RequestID: uint64(i), Endpoint: table[i]})
			continue
		}
		r.Step(now, PeerMessage{Content: &protocol.RegistryDelta{
			Origin:  origin(1 + i%(sizetest.Instances-1)),
			Records: []protocol.Record{{Endpoint: table[i]}},
		}})
	}
	confirmDeltas(r, r.Step(now.Add(ordinaryFlushDelay)), now)
	return r, now, table
}

// confirmDeltas has the other instances confirm what they were sent.
func confirmDeltas(r *Registry, out Output, now time.Time) {
	for _, send := range out.Send {
		delta, is := send.Message.(*protocol.RegistryDelta)
		if !is || delta.Sequence == 0 {
			continue
		}
		for i := 1; i < sizetest.Instances; i++ {
			if send.To == instanceAddress(i) {
				r.Step(now, PeerMessage{Content: &protocol.RegistryAck{
					Origin:            origin(i),
					SenderIncarnation: r.config.Origin.Incarnation, Received: []uint64{delta.Sequence},
				}})
			}
		}
	}
}

func instanceAddress(number int) string { return fmt.Sprintf("10.0.0.%d:7500", number+1) }

func origin(number int) protocol.Origin {
	return protocol.Origin{Address: instanceAddress(number), Incarnation: uint64(number) + 1}
}

// BenchmarkSecondAtSize is one calm second: the heartbeats of the own part, a digest of each other instance, the tick.
// Its time in ns is the part of a core in thousand millionths. Bytes are those of the messages sent.
func BenchmarkSecondAtSize(b *testing.B) {
	r, now, table := atSize()
	codec := protocol.NewCodec()
	protocol.RegisterPeerMessages(codec)
	var alive [sizetest.Instances][]uint32
	for i := range table[perInstance:] {
		at := 1 + i%(sizetest.Instances-1)
		alive[at] = append(alive[at], NameHash(table[perInstance+i].ID))
	}
	bytes, messages, beat := 0, 0, 0
	count := func(out Output) {
		for _, send := range out.Send {
			frame, err := codec.Encode(send.Message)
			if err != nil {
				b.Fatal(err)
			}
			messages++
			bytes += len(frame)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		const beats = int(perInstance * time.Second / sizetest.Heartbeat)
		for range beats {
			beat++
			now = now.Add(time.Second / time.Duration(beats))
			e := table[beat%perInstance]
			e.Sequence = uint64(beat)
			count(r.Step(now, Heartbeat{RequestID: uint64(beat), Endpoint: e}))
		}
		for i := 1; i < sizetest.Instances; i++ {
			digest := &protocol.RegistryDigest{Origin: origin(i), AliveHashes: alive[i], TableHash: r.table.contentHash()}
			count(r.Step(now, PeerMessage{Content: digest}))
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/s")
	b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
}

// BenchmarkChangeAtSize is one endpoint whose models change: told to all other instances.
func BenchmarkChangeAtSize(b *testing.B) {
	r, now, table := atSize()
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		e := table[sequence%perInstance]
		e.Sequence = sequence
		e.Models = []protocol.LoadedModel{{Name: sizetest.ModelName(int(sequence % sizetest.Models)), Generation: 1}}
		r.Step(now, Heartbeat{RequestID: sequence, Endpoint: e})
		confirmDeltas(r, r.Step(now.Add(ordinaryFlushDelay)), now)
	}
}

// BenchmarkWholeTableAtSize is what a router that subscribes is sent, and what the placer looks at in each step.
func BenchmarkWholeTableAtSize(b *testing.B) {
	r, now, _ := atSize()
	b.ReportAllocs()
	for b.Loop() {
		r.Endpoints(now)
	}
}

// BenchmarkMemoryAtSize tells the heap of the table.
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
