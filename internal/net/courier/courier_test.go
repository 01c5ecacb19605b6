package courier

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/journal"
	"raventrestle/internal/lifecycle"
	"raventrestle/internal/net/discovery"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/net/submission"
	"raventrestle/internal/stats"
)

func newTestCourier(t *testing.T, knownList string) *Courier {
	return newTestCourierOn(t, knownList, nil)
}

// newTestCourierOn returns a courier whose journal calls beforeWrite before each write.
func newTestCourierOn(t *testing.T, knownList string, beforeWrite func() error) *Courier {
	t.Helper()
	store, _, err := journal.Open(t.TempDir(), journal.Options{MaxBytes: 3e6, BeforeWrite: beforeWrite}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(&config.Config{
		Discovery: "127.0.0.1:1", InitialEndpoints: []byte(knownList),
		Names: &config.Names{Classes: map[string]int{"c": 0}, Kinds: map[string]int{"k": 0}},
		Settings: raventrestle.Settings{
			Forwarders: 1, CallSlots: 4, MaxMessages: 3, Kinds: []raventrestle.DestinationKind{{MaxBatch: 4}},
			Classes:        []raventrestle.Class{{Name: "c", SoftDeadline: time.Second, Deadline: 9 * time.Second, Value: 1}},
			ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
		},
	}, store, nil, &stats.Stats{}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Attempts of a step for one peer share calls up to the kind's batch size and the maximum body size: the endpoint would
// refuse a body of more than 64 KiB.
func TestAttemptsOfAStepShareCalls(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(500, "", "")))
	c := newTestCourier(t, "")
	c.applyList(t.Context(), discovery.Update{Entries: []discovery.Entry{{
		Addr:  endpoint.Addr(),
		Entry: raventrestle.Entry{Target: "p", Dest: 7, Zone: -1},
	}}})
	var sends []raventrestle.Action
	for i, size := range []int{40 << 10, 30 << 10, 64 << 10, 9, 9, 9, 9} {
		id := fmt.Sprint("m", i)
		c.msgs[raventrestle.MessageID(id)] = &message{Message: &journal.Message{ID: id, Dest: 7, ExpiresAt: 1 << 62, Body: make([]byte, size)}}
		sends = append(sends, raventrestle.Send{ID: raventrestle.MessageID(id), Target: "p", Timeout: nettest.Timeout})
	}
	c.applyActions(sends, nil)
	got := map[string]int{}
	for range 3 {
		call := nettest.Wait(t, "call", endpoint.Calls)
		if len(call.Body) > 64<<10 {
			t.Errorf("call body has %d bytes", len(call.Body))
		}
		ids := call.Header.Get("X-Txn")
		for field := range strings.FieldsSeq(call.Body) {
			if strings.HasPrefix(field, "m") {
				ids += field
			}
		}
		got[ids]++
	}
	if diff := cmp.Diff(map[string]int{"m0m3m4m5": 1, "m1m6": 1, "m2": 1}, got); diff != "" {
		t.Fatal(diff)
	}
}

// The pending messages are bounded, an admitted id is refused as known, and a withdrawn message frees its place.
func TestTakeBoundsPendingMessages(t *testing.T) {
	c := newTestCourier(t, "")
	take := func(id string) error { return c.Take(&journal.Message{ID: id, Class: "c"}) }
	for _, id := range []string{"a", "b", "c"} {
		if err := take(id); err != nil {
			t.Fatal(err)
		}
	}
	c.Admit(&journal.Message{ID: "a"}, false, false)
	if a, b, d := take("a"), take("b"), take("d"); !errors.Is(a, submission.ErrDuplicate) || !errors.Is(b, ErrFull) || !errors.Is(d, ErrFull) {
		t.Fatal(a, b, d)
	}
	c.Withdraw(&journal.Message{ID: "b"})
	if err := take("d"); err != nil {
		t.Fatal(err)
	}
}

// A message for a destination that the list has never named is refused. One for a destination that has just lost its last
// endpoint is accepted, since another may come.
func TestTakeRefusesUnknownDestination(t *testing.T) {
	c := newTestCourier(t, "")
	ready := discovery.Update{Entries: []discovery.Entry{{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: "p", Dest: 7}}}}
	c.applyList(t.Context(), ready)
	take := func(id string, dest int64) error { return c.Take(&journal.Message{ID: id, Class: "c", Dest: dest}) }
	if other, own := take("a", 8), take("b", 7); !errors.Is(other, submission.ErrUnknownDest) || own != nil {
		t.Fatal(other, own)
	}
	c.applyList(t.Context(), discovery.Update{Kind: raventrestle.ListSnapshot})
	if err := take("c", 7); err != nil {
		t.Fatal(err)
	}
	c.updateDestinations(time.Now().Add(time.Minute))
	c.applyList(t.Context(), discovery.Update{Entries: []discovery.Entry{{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{Target: "q", Dest: 9}}}})
	if err := take("d", 7); !errors.Is(err, submission.ErrUnknownDest) {
		t.Fatal(err)
	}
}

// A failed write is reported as a lifecycle event, and its recovery is reported without another message: an instance
// that is not ready because of its journal is sent none.
func TestJournalFailureAndRecoveryAreReported(t *testing.T) {
	var failing atomic.Bool
	c := newTestCourierOn(t, "", func() error {
		if failing.Load() {
			return errors.New("read-only file system")
		}
		return nil
	})
	events := make(chan lifecycle.Event, 8)
	c.OnLifecycleEvent = func(e lifecycle.Event) { events <- e }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(ctx)
	failing.Store(true)
	m := &journal.Message{ID: "a", Class: "c", Dest: 7, ExpiresAt: time.Now().Add(time.Hour).UnixNano()}
	if err := c.Take(m); err == nil {
		t.Fatal("message accepted although the journal fails")
	}
	if e := nettest.Wait(t, "start of the trouble", events); e != (lifecycle.FaultBegan{Fault: lifecycle.JournalUnwritable}) {
		t.Fatalf("%#v", e)
	}
	failing.Store(false)
	if e := nettest.Wait(t, "end of the trouble", events); e != (lifecycle.FaultEnded{Fault: lifecycle.JournalUnwritable}) {
		t.Fatalf("%#v", e)
	}
	if err := c.Take(m); err != nil {
		t.Fatal(err)
	}
}

// A Retry-After wait from one peer stops calls that are not written yet for all peers of the same route, and for no other
// route. A draining peer stops its own calls until it serves again.
func TestRouteWaitStopsUnwrittenCalls(t *testing.T) {
	for name, perTarget := range map[string]bool{"route per destination": false, "route per target": true} {
		t.Run(name, func(t *testing.T) {
			endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(500, "", "")))
			c := newTestCourier(t, "")
			c.conf.Settings.Kinds[0].RoutePerTarget = perTarget
			applyList := func(state raventrestle.Readiness) {
				u := discovery.Update{}
				for target, dest := range map[raventrestle.TargetID]raventrestle.DestID{"told": 7, "mate": 7, "other": 8, "drains": 9} {
					e := raventrestle.Entry{Target: target, Dest: dest, Zone: -1}
					if target == "drains" {
						e.State = state
					}
					u.Entries = append(u.Entries, discovery.Entry{Addr: endpoint.Addr(), Entry: e})
				}
				c.applyList(t.Context(), u)
			}
			n := 0
			sendStatus := func(target raventrestle.TargetID) raventrestle.Status {
				n++
				id := raventrestle.MessageID(fmt.Sprint("m", n))
				c.msgs[id] = &message{Message: &journal.Message{ID: string(id), Dest: int64(c.peers[target].entry.Dest)}}
				c.applyActions([]raventrestle.Action{raventrestle.Send{ID: id, Target: target, Timeout: nettest.Timeout}}, nil)
				return nettest.Wait(t, "outcome", c.mailbox).(raventrestle.Outcome).Status
			}
			applyList(raventrestle.Ready)
			<-c.mailbox // the initial list
			c.recordOutcome(raventrestle.Outcome{ID: "x", Target: "told", Status: raventrestle.Rejected, RetryAfter: time.Hour})
			applyList(raventrestle.Draining)
			got := map[raventrestle.TargetID]bool{}
			for target := range c.peers {
				got[target] = sendStatus(target) == raventrestle.NotSent
			}
			applyList(raventrestle.Ready)
			got["serves again"] = sendStatus("drains") == raventrestle.NotSent
			want := map[raventrestle.TargetID]bool{"told": true, "mate": !perTarget, "other": false, "drains": true, "serves again": false}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("targets whose calls are stopped (-want +got):\n%s", diff)
			}
		})
	}
}

// A retry with a send deadline is not written after it, however late its connection is established. Such a late retry ran
// outside the deduplication window and took effect twice, in the test day with a mass network split.
func TestRetryPastItsSendDeadlineIsNotWritten(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(500, "", "")))
	c := newTestCourier(t, "")
	c.applyList(t.Context(), discovery.Update{Entries: []discovery.Entry{{
		Addr:  endpoint.Addr(),
		Entry: raventrestle.Entry{Target: "p", Dest: 7, Zone: -1},
	}}})
	<-c.mailbox
	for id, maxDelay := range map[raventrestle.MessageID]time.Duration{"late": time.Nanosecond, "in time": nettest.Timeout, "free": 0} {
		c.msgs[id] = &message{Message: &journal.Message{ID: string(id), Dest: 7}}
		c.applyActions([]raventrestle.Action{raventrestle.Send{ID: id, Target: "p", Timeout: nettest.Timeout, MaxSendDelay: maxDelay}}, nil)
		o := nettest.Wait(t, "outcome", c.mailbox).(raventrestle.Outcome)
		if late := o.Status == raventrestle.NotSent; late != (id == "late") {
			t.Errorf("%s: %+v", id, o)
		}
	}
}
