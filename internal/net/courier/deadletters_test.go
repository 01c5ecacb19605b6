package courier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/deadletter"
	"raventrestle/internal/deadletter/rule"
	"raventrestle/internal/journal"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/stats"
)

// writeStopper blocks a process at its nth write to the journal or the dead letters. That write and all later ones fail, as
// if the process had been killed there.
type writeStopper struct {
	remaining atomic.Int64
	wrote     atomic.Int64
	started   atomic.Bool // the process runs; before that, a write that must not happen fails at once
	hit       chan struct{}
	once      sync.Once
	ended     chan struct{}
}

var errProcessEnded = errors.New("the process has ended")

func newWriteStopper(n int64) *writeStopper {
	s := &writeStopper{hit: make(chan struct{}), ended: make(chan struct{})}
	s.remaining.Store(n)
	return s
}

func (s *writeStopper) beforeWrite() error {
	if s.remaining.Add(-1) >= 0 {
		s.wrote.Add(1)
		return nil
	}
	s.once.Do(func() { close(s.hit) })
	if s.started.Load() {
		<-s.ended
	}
	return errProcessEnded
}

// resendSite is the environment that consecutive processes of a courier share.
type resendSite struct {
	t         *testing.T
	dir       string
	peers     []*nettest.Peer // one in zone a, one in zone b
	platform  *nettest.Peer
	mu        sync.Mutex
	calls     map[string]int // number of calls by dead letter
	effects   map[string]int // number of effects by dead letter, without repeats that a zone dropped
	ranInZone map[string]bool
}

var resendLimits = rule.Limits{
	Automatic: true, MaxResends: 8, MaxAge: time.Hour, InitialRate: 1000, MaxRate: 1000, Growth: 1,
	Backoff: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5, DelayMargin: maxSendJitter,
}

var siteClasses = []raventrestle.Class{
	{Name: "free", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 2},
	{Name: "guarded", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 1, Idempotency: raventrestle.Keyed, DedupScope: raventrestle.DedupZone, DedupWindow: 30 * time.Second},
	{Name: "single", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 5, Idempotency: raventrestle.NonIdempotent},
}

// newResendSite stores dead letters of every class, some of which never ran and some of which may have. The first letter of
// an id is its class (free, guarded or single). The rest says what the endpoint does at the first call: ok, 500 (after it
// ran), reset (after it ran) or busy (it did not run).
func newResendSite(t *testing.T) *resendSite {
	s := &resendSite{t: t, dir: t.TempDir(), calls: map[string]int{}, effects: map[string]int{}, ranInZone: map[string]bool{}}
	for i := range 2 {
		zone := string("ab"[i])
		s.peers = append(s.peers, nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
			return s.answer(c, call.Header.Get("X-Txn"), zone)
		}))
	}
	s.platform = nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
	store, err := deadletter.Open(filepath.Join(s.dir, "letters"), deadletter.Options{MaxBytes: 1 << 20, MaxMessages: 100}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, id := range []string{"f-ok", "f-500", "f-reset", "f-ran", "g-ok", "g-reset", "g-ran", "g-old", "s-ok", "s-reset", "s-busy", "s-ran"} {
		class := siteClasses[strings.IndexByte("fgs", id[0])]
		l := &deadletter.Message{
			ID: id, Key: "k-" + id, Class: class.Name, Dest: 7, FailedAt: now.UnixNano(), Idempotency: class.Idempotency,
			DedupScope: class.DedupScope, DedupWindow: int64(class.DedupWindow), Deadline: int64(class.Deadline), Body: []byte(id),
		}
		if strings.HasSuffix(id, "ran") || strings.HasSuffix(id, "old") {
			l.FirstRun = &deadletter.Attempt{Peer: "s-0", Zone: "a", At: now.Add(-time.Second).UnixNano(), Outcome: "reset"}
			l.Attempts = []deadletter.Attempt{*l.FirstRun}
			s.effects[id], s.ranInZone["a"+id] = 1, true
		}
		if strings.HasSuffix(id, "old") {
			l.FirstRun.At = now.Add(-time.Minute).UnixNano()
		}
		if _, err := store.Put(l); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *resendSite) answer(c net.Conn, id, zone string) bool {
	s.mu.Lock()
	s.calls[id]++
	first := s.calls[id] == 1
	_, behavior, _ := strings.Cut(id, "-")
	if !first || behavior != "busy" {
		if id[0] != 'g' || !s.ranInZone[zone+id] { // a zone drops repeats of a guarded message
			s.effects[id]++
		}
		s.ranInZone[zone+id] = true
	}
	s.mu.Unlock()
	code := 200
	switch {
	case first && behavior == "500":
		code = 500
	case first && behavior == "busy":
		code = 503
	case first && behavior == "reset":
		return false
	}
	_, err := io.WriteString(c, nettest.Plain(code, "", ""))
	return err == nil
}

// runProcess runs a courier until all dead letters are settled, or its writes stop; done says which.
func (s *resendSite) runProcess(stopper *writeStopper) (done bool) {
	t := s.t
	conf := &config.Config{
		Discovery: s.platform.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
			`{"name":"s-0","address":%q,"zone":"a","type":"k","group":7,"status":"SERVING"},`+
			`{"name":"s-1","address":%q,"zone":"b","type":"k","group":7,"status":"SERVING"}]}`, s.peers[0].Addr(), s.peers[1].Addr())),
		Names: &config.Names{
			Classes: map[string]int{"free": 0, "guarded": 1, "single": 2}, Kinds: map[string]int{"k": 0},
			Zones: map[string]int{"a": 0, "b": 1}, Tenants: map[string]int{},
		},
		Settings: raventrestle.Settings{
			Forwarders: 1, CallSlots: 12, MaxMessages: 60, Kinds: []raventrestle.DestinationKind{{MaxBatch: 1}},
			Zones: []raventrestle.Zone{{Name: "a"}, {Name: "b"}}, Classes: siteClasses, ConnectTimeout: time.Second,
			IdleTimeout: 5 * time.Second, MinBatchInterval: time.Millisecond, MaxAttempts: 8,
		},
	}
	state := filepath.Join(s.dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		t.Fatal(err)
	}
	store, kept, err := journal.Open(state, journal.Options{MaxBytes: 1 << 20, RecordAttempts: true, BeforeWrite: stopper.beforeWrite}, nettest.Log)
	if err != nil {
		return false // stopped while it started
	}
	var c *Courier
	k, live, stale, err := deadletter.Start(deadletter.Config{
		Dir: filepath.Join(s.dir, "letters"), Limits: resendLimits,
		Options: deadletter.Options{MaxBytes: 1 << 20, MaxMessages: 100, BeforeWrite: stopper.beforeWrite}, MaxAge: time.Hour, MaxFinalAge: time.Hour,
		Log: nettest.Log, Seed: 1, AppendJournal: store.Append, SubmitResend: func(a deadletter.ResendRequest) bool { return c.Resend(a) },
		LookupClass: func(name string) (raventrestle.Class, bool) { return siteClasses[conf.Names.Classes[name]], true },
	},
		kept, store.Intact())
	if err != nil {
		store.Close()
		return false
	}
	stopper.started.Store(true)
	for _, id := range stale {
		if err := store.Append([]journal.Record{journal.Done(id)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if c, err = New(conf, store, live, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.UseDeadLetters(k)
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go k.Run(ctx)
	go func() { defer close(ran); c.Run(ctx) }()
	deadline := time.Now().Add(nettest.Timeout)
	for tick := time.NewTicker(5 * time.Millisecond); !done; {
		select {
		case <-stopper.hit:
		case <-tick.C:
			k.RecordCalls([]deadletter.CallEnd{{Dest: 7, Delivered: true}}) // as if fresh messages were delivered
			if done = s.noneUnsettled(ctx, k); !done && time.Now().Before(deadline) {
				continue
			}
		}
		tick.Stop()
		break
	}
	if !done && time.Now().After(deadline) {
		t.Errorf("dead letters not settled in time: %v", s.unsettled(ctx, k))
	}
	// The process ends: calls in flight may still reach their endpoint, but their outcome is lost.
	stop()
	<-ran
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(time.Millisecond) {
		if p := &c.Counts.Peers; p.Calls.Load() == p.Answers.Load()+p.Failures.Load() {
			break
		}
	}
	close(stopper.ended)
	k.Wait()
	store.Close()
	return done
}

func (s *resendSite) unsettled(ctx context.Context, k *deadletter.Manager) (left []string) {
	items, err := k.List(ctx, deadletter.Filter{})
	if err != nil {
		return []string{err.Error()}
	}
	for _, it := range items {
		if !it.Permanent {
			left = append(left, it.ID+" "+it.StateName+" "+string(it.Reason))
		}
	}
	return left
}

// noneUnsettled uses a short timeout, since the keeper may be blocked at a write.
func (s *resendSite) noneUnsettled(ctx context.Context, k *deadletter.Manager) bool {
	ctx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	return len(s.unsettled(ctx, k)) == 0
}

// checkDeadLetters checks the dead letters that the last process left.
func (s *resendSite) checkDeadLetters() {
	t := s.t
	store, err := deadletter.Open(filepath.Join(s.dir, "letters"), deadletter.Options{ReadOnly: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range []string{"f-ok", "f-500", "f-reset", "f-ran", "g-ok", "g-reset", "g-ran", "g-old", "s-ok", "s-reset", "s-busy", "s-ran"} {
		l, err := store.Get(id)
		if err != nil {
			t.Errorf("%s is lost: %v", id, err)
			continue
		}
		n := s.effects[id]
		switch {
		case l.State != rule.Delivered && l.State != rule.Held:
			t.Errorf("%s is %s at the end", id, l.State)
		case id[0] != 'f' && n > 1:
			t.Errorf("%s took effect %d times (%d calls): %+v", id, n, s.calls[id], l)
		case (id == "s-ran" || id == "g-old") && s.calls[id] > 0:
			t.Errorf("%s was sent", id)
		case l.State == rule.Delivered && n == 0:
			t.Errorf("%s is delivered but had no effect", id)
		case id[0] != 's' && id != "g-old" && l.State != rule.Delivered:
			t.Errorf("%s is not delivered: %+v", id, l)
		case id[0] == 's' && l.State == rule.Held && l.FirstRun == nil:
			t.Errorf("%s is held, but not marked as one that may have run", id)
		}
	}
}

// A courier that resends dead letters of every class is killed at each write to its journal and its store in turn, and then
// started again. No message takes effect more often than its class allows, none is lost, and all are settled. Every third
// run is killed a second time.
func TestResendSurvivesKillAtEveryWrite(t *testing.T) {
	s := newResendSite(t)
	w := newWriteStopper(1 << 40)
	if !s.runProcess(w) {
		t.Fatal("dead letters not settled in a run without a kill")
	}
	s.checkDeadLetters()
	n := w.wrote.Load()
	if n < 30 {
		t.Fatalf("only %d writes: the test covers too little", n)
	}
	t.Logf("%d writes", n)
	for at := range n {
		t.Run(fmt.Sprint("write ", at), func(t *testing.T) {
			t.Parallel()
			s := newResendSite(t)
			done := s.runProcess(newWriteStopper(at))
			if !done && at%3 == 0 {
				done = s.runProcess(newWriteStopper(at * 7 % n))
			}
			if !done {
				done = s.runProcess(newWriteStopper(1 << 40))
			}
			if !done {
				t.Fatal("dead letters not settled")
			}
			s.checkDeadLetters()
		})
	}
}

// The dead letter of a message that is given up is on disk with all its attempts before the platform is notified, and the
// journal ends the message only after that.
func TestDeadLetterIsStoredBeforeNotification(t *testing.T) {
	s := newResendSite(t)
	notifications := make(chan string, 8)
	s.platform = nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		if call.Path == "/v1/outcomes" {
			notifications <- call.Body
			return nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n")(c, call)
		}
		return true
	})
	store, _, err := journal.Open(t.TempDir(), journal.Options{MaxBytes: 1 << 20, RecordAttempts: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{
		Discovery: s.platform.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
			`{"name":"s-0","address":%q,"zone":"a","type":"k","group":7,"status":"SERVING"}]}`, s.peers[0].Addr())),
		Names: &config.Names{Classes: map[string]int{"single": 0}, Kinds: map[string]int{"k": 0}, Zones: map[string]int{"a": 0}},
		Settings: raventrestle.Settings{
			Forwarders: 1, CallSlots: 4, MaxMessages: 60, Kinds: []raventrestle.DestinationKind{{MaxBatch: 1}},
			Zones: []raventrestle.Zone{{Name: "a"}}, Classes: siteClasses[2:], ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
			MinBatchInterval: time.Millisecond,
		},
	}
	var c *Courier
	order := make(chan string, 8)
	k, _, _, err := deadletter.Start(deadletter.Config{
		Dir: t.TempDir(), Options: deadletter.Options{
			MaxBytes: 1 << 20, MaxMessages: 9,
			BeforeWrite: func() error { order <- "letter"; return nil },
		}, MaxAge: time.Hour, MaxFinalAge: time.Hour, Log: nettest.Log, Limits: resendLimits,
		AppendJournal: store.Append, SubmitResend: func(a deadletter.ResendRequest) bool { return c.Resend(a) },
		LookupClass: func(string) (raventrestle.Class, bool) { return siteClasses[2], true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	nettest.Wait(t, "creation of the store", order)
	if c, err = New(conf, store, nil, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.UseDeadLetters(k)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() { stop(); k.Wait() })
	go k.Run(ctx)
	go c.Run(ctx)
	m := &journal.Message{
		ID: "s-reset", Key: "k", Class: "single", Dest: 7, AcceptedAt: 1, ExpiresAt: time.Now().Add(4 * time.Second).UnixNano(),
		Body: []byte("pay"),
	}
	if err := c.Take(m); err != nil {
		t.Fatal(err)
	}
	c.Admit(m, false, false)
	if got := nettest.Wait(t, "notice", notifications); got != `{"id":"s-reset","status":"undeliverable"}`+"\n" {
		t.Fatal(got)
	}
	if got := nettest.Wait(t, "letter", order); got != "letter" {
		t.Fatal(got)
	}
	it, err := k.Show(t.Context(), "s-reset")
	if err != nil {
		t.Fatal(err)
	}
	if it.Reason != rule.MayHaveRun || !it.Permanent || string(it.Content) != "pay" || len(it.Attempts) != 1 || it.FailureReason != "may have run" ||
		it.Attempts[0].Peer != "s-0" || it.Attempts[0].Zone != "a" || it.Attempts[0].Outcome != "reset" || it.FirstRun == nil {
		t.Fatalf("%+v %+v", it, it.Message)
	}
	answers, err := k.Resend(t.Context(), deadletter.Filter{}, false)
	if err != nil || len(answers) != 1 || answers[0].Done || answers[0].Reason != rule.MayHaveRun {
		t.Fatalf("%+v %v", answers, err)
	}
	k.RecordCalls([]deadletter.CallEnd{{Dest: 7, Delivered: true}})
	time.Sleep(150 * time.Millisecond) // time in which a wrong resend would arrive
	if s.mu.Lock(); s.calls["s-reset"] != 1 {
		t.Errorf("sent %d times", s.calls["s-reset"])
	}
	s.mu.Unlock()
}

// newResendCourier returns a courier with one listed endpoint and its dead letters; neither runs.
func newResendCourier(t *testing.T, endpoint *nettest.Peer) (*Courier, *deadletter.Manager) {
	t.Helper()
	discovery := nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
	store, _, err := journal.Open(t.TempDir(), journal.Options{MaxBytes: 1 << 20, RecordAttempts: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{
		Discovery: discovery.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
			`{"name":"s-0","address":%q,"zone":"a","type":"k","group":7,"status":"SERVING"}]}`, endpoint.Addr())),
		Names: &config.Names{Classes: map[string]int{"free": 0}, Kinds: map[string]int{"k": 0}, Zones: map[string]int{"a": 0}},
		Settings: raventrestle.Settings{
			Forwarders: 1, CallSlots: 8, MaxMessages: 60, Kinds: []raventrestle.DestinationKind{{MaxBatch: 1}},
			Zones: []raventrestle.Zone{{Name: "a"}}, Classes: siteClasses[:1], ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
			MinBatchInterval: time.Millisecond,
		},
	}
	var c *Courier
	k, _, _, err := deadletter.Start(deadletter.Config{
		Dir: t.TempDir(), Options: deadletter.Options{MaxBytes: 1 << 20, MaxMessages: 9},
		MaxAge: time.Hour, MaxFinalAge: time.Hour, Log: nettest.Log, Limits: resendLimits, AppendJournal: store.Append,
		SubmitResend: func(a deadletter.ResendRequest) bool { return c.Resend(a) },
		LookupClass:  func(string) (raventrestle.Class, bool) { return siteClasses[0], true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = New(conf, store, nil, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.UseDeadLetters(k)
	return c, k
}

// A resend and a fresh message for its destination that come in one step: the resend goes back to the store.
func TestResendYieldsToFreshMessageOfTheSameStep(t *testing.T) {
	endpoint := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	resend := deadletter.ResendRequest{Message: &journal.Message{
		ID: "resend", Class: "free", Dest: 7, AcceptedAt: 1, ExpiresAt: time.Now().Add(time.Minute).UnixNano(), ResendNumber: 1,
	}}
	fresh := func(dest int64) arrival {
		return arrival{Message: &journal.Message{
			ID: "fresh", Class: "free", Dest: dest, AcceptedAt: 1, ExpiresAt: time.Now().Add(time.Minute).UnixNano(),
		}}
	}
	for name, test := range map[string]struct {
		queued []any
		yields bool
	}{
		"the resend first":              {[]any{resend, fresh(7)}, true},
		"the fresh message first":       {[]any{fresh(7), resend}, true},
		"another destination's message": {[]any{resend, fresh(8)}, false},
		"alone":                         {[]any{resend}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c, k := newResendCourier(t, endpoint)
			ctx, stop := context.WithCancel(t.Context())
			t.Cleanup(func() { stop(); k.Wait() })
			go k.Run(ctx)
			c.step(ctx, test.queued)
			if _, active := c.msgs["resend"]; active == test.yields {
				t.Errorf("the resend is passed to the policy: %t, want %t", active, !test.yields)
			}
		})
	}
}

// A resend that waits in the policy because of a Retry-After wait goes back to the store when a fresh message for the same
// destination arrives, and is sent after it.
func TestResendYieldsToFreshMessage(t *testing.T) {
	order := make(chan string, 16)
	first := true
	endpoint := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		order <- call.Header.Get("X-Txn")
		if first {
			first = false
			return nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 700\r\n", ""))(c, call)
		}
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	c, k := newResendCourier(t, endpoint)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() { stop(); k.Wait() })
	go k.Run(ctx)
	go c.Run(ctx)
	fresh := func(id string, timeLeft time.Duration) {
		m := &journal.Message{ID: id, Class: "free", Dest: 7, AcceptedAt: 1, ExpiresAt: time.Now().Add(timeLeft).UnixNano()}
		if err := c.Take(m); err != nil {
			t.Fatal(err)
		}
		c.Admit(m, false, false)
	}
	fresh("told", 50*time.Millisecond) // gets a Retry-After wait longer than its deadline, and becomes the dead letter
	if got := nettest.Wait(t, "call", order); got != "told" {
		t.Fatal(got)
	}
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Since(began) > nettest.Timeout {
				t.Fatal("no ", what)
			}
		}
	}
	waitFor("letter", func() bool { return k.Counts.Added.Load() == 1 })
	waitFor("resend", func() bool {
		if k.Counts.ResendsBegun.Load() > 0 {
			return true
		}
		if a, err := k.Resend(t.Context(), deadletter.Filter{}, false); err != nil || len(a) != 1 {
			t.Fatal(a, err)
		}
		return false
	})
	fresh("fresh", 4*time.Second)
	waitFor("yielded resend", func() bool { return k.Counts.ResendsYielded.Load() > 0 })
	if got := nettest.Wait(t, "call", order); got != "fresh" {
		t.Fatalf("%s was sent first", got)
	}
	if got := nettest.Wait(t, "call", order); got != "told" {
		t.Fatal(got)
	}
	waitFor("end", func() bool { return k.Counts.ResendsDelivered.Load() == 1 })
	it, err := k.Show(t.Context(), "told")
	if err != nil || it.State != rule.Delivered || len(it.Resends) != 1 {
		t.Fatalf("%+v %v: a yielded resend must not count as a resend", it, err)
	}
}
