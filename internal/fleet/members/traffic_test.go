package members

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkTraffic measures whole fleets over loopback in one process, with the default settings and the facts of 60
// endpoints (300 facts of 60 bytes): the time until a change has reached each other member, and the traffic, memory and
// allocations per member. Run it with -benchtime 1x.
func BenchmarkTraffic(b *testing.B) {
	const facts, size, changes = 300, 60, 60
	for _, c := range []struct {
		n           int
		every, wait time.Duration // between changes; after all have joined
	}{{32, 500 * time.Millisecond, 0}, {300, 500 * time.Millisecond, 0}, {300, 500 * time.Millisecond, 40 * time.Second}} {
		b.Run(fmt.Sprintf("members=%d/change_every=%v/settled=%v", c.n, c.every, c.wait), func(b *testing.B) {
			for range b.N {
				measure(b, c.n, facts, size, changes, c.every, c.wait)
			}
		})
	}
}

func measure(b *testing.B, n, facts, size, changes int, every, wait time.Duration) {
	heap := func() (m runtime.MemStats) { runtime.GC(); runtime.GC(); runtime.ReadMemStats(&m); return }
	before := heap()
	var mu sync.Mutex
	changedAt := map[uint64]time.Time{}
	var delays []float64
	complete := make(chan struct{})
	arrived := func(k uint64) {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := changedAt[k]; ok {
			if delays = append(delays, time.Since(at).Seconds()); len(delays) == changes*(n-1) {
				close(complete)
			}
		}
	}
	var fleet []*testGroup
	for i := range n {
		s := &numberExchange{sendsLeft: map[uint64]int{}, size: size, onNew: arrived}
		for k := range facts {
			s.sendsLeft[uint64(k)] = 0
		}
		c := Config{Name: fmt.Sprintf("courier-%03d", i), Epoch: 1, Site: "lazimpat", Bind: netip.MustParseAddrPort("127.0.0.1:0")}
		for j := range min(3, i) {
			c.Seeds = append(c.Seeds, fleet[j].Alive()[0].Addr)
		}
		fleet = append(fleet, startGroupWith(b, c, s))
		<-time.After(time.Duration(testRand.Int64N(int64(1e9 / n)))) // otherwise all would gossip at the same times
	}
	joined := time.Now()
	for _, g := range fleet {
		waitUpTo(b, 2*time.Minute, "complete list", func() bool { return len(g.Alive()) == n })
	}
	b.ReportMetric(time.Since(joined).Seconds(), "s-to-join")
	sent := func() (sum, packets uint64) {
		for _, g := range fleet {
			sum += g.Counters.PacketBytesOut.Load() + g.Counters.StreamBytesOut.Load()
			packets += g.Counters.PacketsOut.Load()
		}
		return
	}
	<-time.After(wait)
	bytes0, packets0 := sent()
	begin, start := heap(), time.Now()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for k := range changes {
		<-tick.C
		id := uint64(1<<32 + k)
		mu.Lock()
		changedAt[id] = time.Now()
		mu.Unlock()
		s := fleet[testRand.IntN(n)].numbers
		s.mu.Lock()
		s.sendsLeft[id] = 10
		s.mu.Unlock()
	}
	took := time.Since(start).Seconds() // traffic while there are changes, without the wait for the last of them
	bytes1, packets1 := sent()
	var end runtime.MemStats
	runtime.ReadMemStats(&end)
	select {
	case <-complete:
	case <-time.After(10 * time.Second): // a change that only arrives later by a full state counts as missing
	}
	now := heap()
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(delays)
	expected := float64(changes * (n - 1))
	at := func(q float64) float64 { return delays[min(len(delays)-1, int(q*expected))] }
	member := float64(n)
	b.ReportMetric(at(0.5), "s-p50")
	b.ReportMetric(at(0.99), "s-p99")
	b.ReportMetric(100*(1-float64(len(delays))/expected), "%-missing")
	b.ReportMetric(float64(bytes1-bytes0)/took/member, "B/s/member")
	b.ReportMetric(float64(packets1-packets0)/took/member, "packets/s/member")
	b.ReportMetric(float64(end.Mallocs-begin.Mallocs)/took/member, "allocs/s/member")
	b.ReportMetric(float64(end.TotalAlloc-begin.TotalAlloc)/took/member/1024, "KB-alloc/s/member")
	b.ReportMetric(float64(now.HeapAlloc-before.HeapAlloc)/member/1024, "KB-heap/member")
	b.ReportMetric(float64(now.StackInuse-before.StackInuse)/member/1024, "KB-stack/member")
	var wg sync.WaitGroup
	for _, g := range fleet {
		wg.Go(g.kill)
	}
	wg.Wait()
}
