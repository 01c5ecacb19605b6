package courier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"raventrestle"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/discovery"
	"raventrestle/internal/net/nettest"
)

// However messages end (answered, refused, failed, lost, expired, withdrawn by clients that left, handed over to the next
// process), each accepted one is counted under one end or as pending at any time, exactly once they all have ended. Every
// call that was written in full is counted.
func TestMetricsAddUp(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 0))
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
			callsReceived := 0
			endpoint := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
				mu.Lock()
				callsReceived++
				mu.Unlock()
				switch draw(8) {
				case 0:
					return nettest.Answer(nettest.Plain(500, "", ""))(c, nettest.Call{})
				case 1:
					return nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 30\r\n", ""))(c, nettest.Call{})
				case 2:
					return nettest.Answer(nettest.Plain(410, "", ""))(c, nettest.Call{})
				case 3:
					return false
				case 4:
					return true // never answers
				}
				return nettest.Answer(nettest.Plain(200, "", ""))(c, nettest.Call{})
			})
			platform := nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
			c := newTestCourier(t, "")
			c.notifier.SetAddress(platform.Addr())
			c.conf.Settings.MaxMessages, c.maxMessages = 40, 40
			if err := c.policy.Reconfigure(c.conf.Settings); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go c.Run(ctx)
			c.mailbox <- discovery.Update{Kind: raventrestle.ListSnapshot, Entries: []discovery.Entry{{Addr: endpoint.Addr(), Entry: raventrestle.Entry{Target: "p", Dest: 7, Zone: -1}}}}
			class := c.Metrics.Class("c")
			accepted, handedOver := int64(0), int64(0)
			check := func(slack int64) {
				t.Helper()
				if got := class.Completed.Load() + class.Rejected.Load() + class.Failed.Load() + c.Metrics.Pending.Load(); got < accepted-slack || got > accepted+slack {
					t.Fatalf("%d accepted, but %d ended or pending (%d handed over)", accepted, got, handedOver)
				}
			}
			for i := range 150 {
				m := &journal.Message{ID: fmt.Sprint("m", i), Class: "c", Dest: 7, ExpiresAt: time.Now().Add(time.Duration(100+draw(900)) * time.Millisecond).UnixNano()}
				if err := c.Take(m); err != nil {
					continue
				}
				if draw(6) == 0 { // its client has left
					c.Withdraw(m)
					continue
				}
				accepted++
				c.Admit(m, false, false)
				if draw(10) == 0 {
					time.Sleep(time.Duration(draw(20)) * time.Millisecond)
				}
				check(2) // messages may be between two counters
			}
			if seed%2 == 1 { // messages without an attempt in flight go to the next process and leave these metrics
				nettest.Wait(t, "end of the handover", c.HandOver())
				c.mu.Lock()
				handedOver = int64(c.handedOver)
				c.mu.Unlock()
				accepted -= handedOver
			}
			for start := time.Now(); c.Metrics.Pending.Load() != 0; time.Sleep(5 * time.Millisecond) {
				if check(2); time.Since(start) > nettest.Timeout {
					t.Fatalf("%d messages stay pending", c.Metrics.Pending.Load())
				}
			}
			check(0)
			mu.Lock()
			defer mu.Unlock()
			if got := int(c.Metrics.UpstreamRequests.Load()); got < callsReceived || callsReceived == 0 {
				t.Errorf("metrics count %d messages written, endpoint received %d calls", got, callsReceived)
			}
		})
	}
}
