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
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/net/upstream"
)

// Whatever becomes of messages (answered, refused, failed, lost, out of time, withdrawn by clients that left,
// handed over to a next process), each taken one stands under one end or is pending, at any instant and to the
// last one at the end, and every call written in full is counted.
func TestFiguresAddUp(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 0))
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rnd.IntN(n) }
			wrote := 0
			end := nettest.NewPeer(t, func(c net.Conn, _ nettest.Call) bool {
				mu.Lock()
				wrote++
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
					return true // no answer
				}
				return nettest.Answer(nettest.Plain(200, "", ""))(c, nettest.Call{})
			})
			platform := nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
			c := open(t, "")
			c.notices.Move(platform.Addr())
			c.conf.Settings.MaxMessages, c.most = 40, 40
			if err := c.policy.Reconfigure(c.conf.Settings); err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go c.Run(ctx)
			c.mail <- upstream.Update{How: raventrestle.ListSnapshot, Entries: []upstream.Entry{{Addr: end.Addr(), Entry: raventrestle.Entry{Target: "p", Dest: 7, Zone: -1}}}}
			f := c.Figures.Class("c")
			taken, handed := int64(0), int64(0)
			check := func(slack int64) {
				t.Helper()
				if got := f.Completed.Load() + f.Rejected.Load() + f.Failed.Load() + c.Figures.Pending.Load(); got < taken-slack || got > taken+slack {
					t.Fatalf("%d taken, %d under an end or pending (%d handed over)", taken, got, handed)
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
				taken++
				c.Admit(m, false, false)
				if draw(10) == 0 {
					time.Sleep(time.Duration(draw(20)) * time.Millisecond)
				}
				check(2) // one may be on its way from one count to another
			}
			if seed%2 == 1 { // what is not out goes to the next process, and leaves the figures of this one
				nettest.Wait(t, "end of handing over", c.Pass())
				c.mu.Lock()
				handed = int64(c.handed)
				c.mu.Unlock()
				taken -= handed
			}
			for began := time.Now(); c.Figures.Pending.Load() != 0; time.Sleep(5 * time.Millisecond) {
				if check(2); time.Since(began) > nettest.Patience {
					t.Fatalf("%d are pending for good", c.Figures.Pending.Load())
				}
			}
			check(0)
			mu.Lock()
			defer mu.Unlock()
			if got := int(c.Figures.UpstreamRequests.Load()); got < wrote || wrote == 0 {
				t.Errorf("%d messages written by the figures, %d calls came", got, wrote)
			}
		})
	}
}
