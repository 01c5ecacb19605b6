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

// stopper ends a life at its nth write, of the journal or of the dead letters: that write and all after
// it never happen, as if the process had been killed there.
type stopper struct {
	left   atomic.Int64
	wrote  atomic.Int64
	served atomic.Bool // the life has begun; before, a write that must not happen fails at once
	hit    chan struct{}
	once   sync.Once
	dead   chan struct{}
}

var errDead = errors.New("the process has ended")

func stopAt(n int64) *stopper {
	s := &stopper{hit: make(chan struct{}), dead: make(chan struct{})}
	s.left.Store(n)
	return s
}

func (s *stopper) before() error {
	if s.left.Add(-1) >= 0 {
		s.wrote.Add(1)
		return nil
	}
	s.once.Do(func() { close(s.hit) })
	if s.served.Load() {
		<-s.dead
	}
	return errDead
}

// site is what the lives of a courier share.
type site struct {
	t       *testing.T
	dir     string
	peers   []*nettest.Peer // zones a, b
	notices *nettest.Peer
	mu      sync.Mutex
	seen    map[string]int // calls by dead letter
	effects map[string]int // by dead letter, repeats in one zone dropped
	zones   map[string]bool
}

var resendLimits = rule.Limits{
	Automatic: true, MaxResends: 8, LastDate: time.Hour, FirstRate: 1000, MaxRate: 1000, Growth: 1,
	Backoff: 5 * time.Millisecond, MaxBackoff: 20 * time.Millisecond, SlotsShare: 0.5, HeldShare: 0.5, Lag: lag,
}

var siteClasses = []raventrestle.Class{
	{Name: "free", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 2},
	{Name: "guarded", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 1, Idempotency: raventrestle.Keyed, DedupScope: raventrestle.DedupZone, DedupWindow: 30 * time.Second},
	{Name: "single", SoftDeadline: time.Second, Deadline: 5 * time.Second, Value: 5, Idempotency: raventrestle.NonIdempotent},
}

// newSite has the dead letters of one failure: of every class some that never ran and some that may have.
// The first dead letter of an id is its class; what follows says what its endpoint does at the first call:
// ok, 500 (after it ran), reset (after it ran) or busy (it never ran).
func newSite(t *testing.T) *site {
	s := &site{t: t, dir: t.TempDir(), seen: map[string]int{}, effects: map[string]int{}, zones: map[string]bool{}}
	for i := range 2 {
		zone := string("ab"[i])
		s.peers = append(s.peers, nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
			return s.answer(c, call.Header.Get("X-Txn"), zone)
		}))
	}
	s.notices = nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
	store, err := deadletter.Open(filepath.Join(s.dir, "letters"), deadletter.Options{MaxBytes: 1 << 20, MaxLetters: 100}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, id := range []string{"f-ok", "f-500", "f-reset", "f-ran", "g-ok", "g-reset", "g-ran", "g-old", "s-ok", "s-reset", "s-busy", "s-ran"} {
		class := siteClasses[strings.IndexByte("fgs", id[0])]
		l := &deadletter.Letter{
			ID: id, Key: "k-" + id, Class: class.Name, Dest: 7, Failed: now.UnixNano(), Effect: class.Idempotency,
			Group: class.DedupScope, Window: int64(class.DedupWindow), Deadline: int64(class.Deadline), Body: []byte(id),
		}
		if strings.HasSuffix(id, "ran") || strings.HasSuffix(id, "old") {
			l.Ran = &deadletter.Try{Peer: "s-0", Floor: "a", At: now.Add(-time.Second).UnixNano(), Outcome: "reset"}
			l.Tries = []deadletter.Try{*l.Ran}
			s.effects[id], s.zones["a"+id] = 1, true
		}
		if strings.HasSuffix(id, "old") {
			l.Ran.At = now.Add(-time.Minute).UnixNano()
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

func (s *site) answer(c net.Conn, id, zone string) bool {
	s.mu.Lock()
	s.seen[id]++
	first := s.seen[id] == 1
	_, how, _ := strings.Cut(id, "-")
	if !first || how != "busy" {
		if id[0] != 'g' || !s.zones[zone+id] { // a repeat of a guarded one is dropped in its zone
			s.effects[id]++
		}
		s.zones[zone+id] = true
	}
	s.mu.Unlock()
	code := 200
	switch {
	case first && how == "500":
		code = 500
	case first && how == "busy":
		code = 503
	case first && how == "reset":
		return false
	}
	_, err := io.WriteString(c, nettest.Plain(code, "", ""))
	return err == nil
}

// life runs a courier until it has settled all dead letters or meets its last write, and says which.
func (s *site) life(w *stopper) (done bool) {
	t := s.t
	conf := &config.Config{
		Discovery: s.notices.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
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
	store, kept, err := journal.Open(state, journal.Options{Limit: 1 << 20, Tries: true, Before: w.before}, nettest.Log)
	if err != nil {
		return false // it ended at its start
	}
	var c *Courier
	k, live, stale, err := deadletter.Start(deadletter.Config{
		Folder: filepath.Join(s.dir, "letters"), Limits: resendLimits,
		Options: deadletter.Options{MaxBytes: 1 << 20, MaxLetters: 100, Before: w.before}, MaxAge: time.Hour, Settled: time.Hour,
		Log: nettest.Log, Seed: 1, Append: store.Append, Begin: func(a deadletter.Again) bool { return c.Again(a) },
		Class: func(name string) (raventrestle.Class, bool) { return siteClasses[conf.Names.Classes[name]], true },
	},
		kept, store.Sound())
	if err != nil {
		store.Close()
		return false
	}
	w.served.Store(true)
	for _, id := range stale {
		if err := store.Append([]journal.Record{journal.Over(id)}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if c, err = New(conf, store, live, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.Keep(k)
	ctx, stop := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go k.Run(ctx)
	go func() { defer close(ran); c.Run(ctx) }()
	deadline := time.Now().Add(nettest.Patience)
	for tick := time.NewTicker(5 * time.Millisecond); !done; {
		select {
		case <-w.hit:
		case <-tick.C:
			k.Saw([]deadletter.Seen{{Dest: 7, Delivered: true}}) // by fresh messages
			if done = s.settled(ctx, k); !done && time.Now().Before(deadline) {
				continue
			}
		}
		tick.Stop()
		break
	}
	if !done && time.Now().After(deadline) {
		t.Errorf("not settled in time: %v", s.left(ctx, k))
	}
	// The end: what is out reaches its endpoint or does not, and nobody hears of it.
	stop()
	<-ran
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
		if p := &c.Counts.Peers; p.Calls.Load() == p.Answers.Load()+p.Failures.Load() {
			break
		}
	}
	close(w.dead)
	k.Wait()
	store.Close()
	return done
}

func (s *site) left(ctx context.Context, k *deadletter.Keeper) (left []string) {
	items, err := k.List(ctx, deadletter.Filter{})
	if err != nil {
		return []string{err.Error()}
	}
	for _, it := range items {
		if !it.Never {
			left = append(left, it.ID+" "+it.StateWord+" "+string(it.Reason))
		}
	}
	return left
}

// settled asks without waiting for a keeper that is stopped at a write.
func (s *site) settled(ctx context.Context, k *deadletter.Keeper) bool {
	ctx, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	return len(s.left(ctx, k)) == 0
}

// check reads the dead letters as the last life left them.
func (s *site) check() {
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
			t.Errorf("%s took effect %d times (%d calls): %+v", id, n, s.seen[id], l)
		case (id == "s-ran" || id == "g-old") && s.seen[id] > 0:
			t.Errorf("%s was sent", id)
		case l.State == rule.Delivered && n == 0:
			t.Errorf("%s counts as delivered and had no effect", id)
		case id[0] != 's' && id != "g-old" && l.State != rule.Delivered:
			t.Errorf("%s is not delivered: %+v", id, l)
		case id[0] == 's' && l.State == rule.Held && l.Ran == nil:
			t.Errorf("%s is held, and nothing says that it may have run", id)
		}
	}
}

// Dead letters of every class are sent again by a courier that is killed at every write boundary in turn,
// in its journal and in its store, and then started again: none takes effect more often than its
// class allows, none is lost, and all come to their end. Every third run is killed a second time.
func TestEveryWriteBoundary(t *testing.T) {
	s := newSite(t)
	w := stopAt(1 << 40)
	if !s.life(w) {
		t.Fatal("not settled without a stop")
	}
	s.check()
	n := w.wrote.Load()
	if n < 30 {
		t.Fatalf("%d writes: too few to enumerate anything", n)
	}
	t.Logf("%d writes", n)
	for at := range n {
		t.Run(fmt.Sprint("write ", at), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			done := s.life(stopAt(at))
			if !done && at%3 == 0 {
				done = s.life(stopAt(at * 7 % n))
			}
			if !done {
				done = s.life(stopAt(1 << 40))
			}
			if !done {
				t.Fatal("not settled")
			}
			s.check()
		})
	}
}

// The courier's own way to a dead letter: what is given up is on disk with all its tries before the
// platform hears of it, and the journal forgets it only then.
func TestGivenUp(t *testing.T) {
	s := newSite(t)
	told := make(chan string, 8)
	s.notices = nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		if call.Path == "/v1/outcomes" {
			told <- call.Body
			return nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n")(c, call)
		}
		return true
	})
	store, _, err := journal.Open(t.TempDir(), journal.Options{Limit: 1 << 20, Tries: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{
		Discovery: s.notices.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
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
		Folder: t.TempDir(), Options: deadletter.Options{
			MaxBytes: 1 << 20, MaxLetters: 9,
			Before: func() error { order <- "letter"; return nil },
		}, MaxAge: time.Hour, Settled: time.Hour, Log: nettest.Log, Limits: resendLimits,
		Append: store.Append, Begin: func(a deadletter.Again) bool { return c.Again(a) },
		Class: func(string) (raventrestle.Class, bool) { return siteClasses[2], true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	nettest.Wait(t, "making of the store", order)
	if c, err = New(conf, store, nil, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.Keep(k)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() { stop(); k.Wait() })
	go k.Run(ctx)
	go c.Run(ctx)
	m := &journal.Message{
		ID: "s-reset", Key: "k", Class: "single", Dest: 7, Since: 1, Until: time.Now().Add(4 * time.Second).UnixNano(),
		Body: []byte("pay"),
	}
	if err := c.Take(m); err != nil {
		t.Fatal(err)
	}
	c.Admit(m, false, false)
	if got := nettest.Wait(t, "notice", told); got != `{"id":"s-reset","status":"undeliverable"}`+"\n" {
		t.Fatal(got)
	}
	if got := nettest.Wait(t, "letter", order); got != "letter" {
		t.Fatal(got)
	}
	it, err := k.Show(t.Context(), "s-reset")
	if err != nil {
		t.Fatal(err)
	}
	if it.Reason != rule.MayHaveRun || !it.Never || string(it.Content) != "pay" || len(it.Tries) != 1 || it.Why != "may have run" ||
		it.Tries[0].Peer != "s-0" || it.Tries[0].Floor != "a" || it.Tries[0].Outcome != "reset" || it.Ran == nil {
		t.Fatalf("%+v %+v", it, it.Letter)
	}
	answers, err := k.Resend(t.Context(), deadletter.Filter{}, false)
	if err != nil || len(answers) != 1 || answers[0].Done || answers[0].Reason != rule.MayHaveRun {
		t.Fatalf("%+v %v", answers, err)
	}
	k.Saw([]deadletter.Seen{{Dest: 7, Delivered: true}})
	time.Sleep(150 * time.Millisecond) // room for what must not come
	if s.mu.Lock(); s.seen["s-reset"] != 1 {
		t.Errorf("sent %d times", s.seen["s-reset"])
	}
	s.mu.Unlock()
}

// Fresh messages first: a dead letter that the module holds, since its endpoint told a wait, goes back to
// the store when a fresh message for the same channel comes, and is sent after it.
func TestLetterMakesWay(t *testing.T) {
	order := make(chan string, 16)
	first := true
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		order <- call.Header.Get("X-Txn")
		if first {
			first = false
			return nettest.Answer(nettest.Plain(429, "X-Come-Back-Ms: 700\r\n", ""))(c, call)
		}
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	discovery := nettest.NewPeer(t, nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n"))
	store, _, err := journal.Open(t.TempDir(), journal.Options{Limit: 1 << 20, Tries: true}, nettest.Log)
	if err != nil {
		t.Fatal(err)
	}
	conf := &config.Config{
		Discovery: discovery.Addr(), InitialEndpoints: []byte(fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[`+
			`{"name":"s-0","address":%q,"zone":"a","type":"k","group":7,"status":"SERVING"}]}`, end.Addr())),
		Names: &config.Names{Classes: map[string]int{"free": 0}, Kinds: map[string]int{"k": 0}, Zones: map[string]int{"a": 0}},
		Settings: raventrestle.Settings{
			Forwarders: 1, CallSlots: 8, MaxMessages: 60, Kinds: []raventrestle.DestinationKind{{MaxBatch: 1}},
			Zones: []raventrestle.Zone{{Name: "a"}}, Classes: siteClasses[:1], ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second,
			MinBatchInterval: time.Millisecond,
		},
	}
	var c *Courier
	k, _, _, err := deadletter.Start(deadletter.Config{
		Folder: t.TempDir(), Options: deadletter.Options{MaxBytes: 1 << 20, MaxLetters: 9},
		MaxAge: time.Hour, Settled: time.Hour, Log: nettest.Log, Limits: resendLimits, Append: store.Append,
		Begin: func(a deadletter.Again) bool { return c.Again(a) },
		Class: func(string) (raventrestle.Class, bool) { return siteClasses[0], true },
	}, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = New(conf, store, nil, &stats.Stats{}, nettest.Log); err != nil {
		t.Fatal(err)
	}
	c.Keep(k)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() { stop(); k.Wait() })
	go k.Run(ctx)
	go c.Run(ctx)
	fresh := func(id string, left time.Duration) {
		m := &journal.Message{ID: id, Class: "free", Dest: 7, Since: 1, Until: time.Now().Add(left).UnixNano()}
		if err := c.Take(m); err != nil {
			t.Fatal(err)
		}
		c.Admit(m, false, false)
	}
	fresh("told", 50*time.Millisecond) // is told the wait, and runs out of time: it becomes the dead letter
	if got := nettest.Wait(t, "call", order); got != "told" {
		t.Fatal(got)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
			if time.Since(began) > nettest.Patience {
				t.Fatal("no ", what)
			}
		}
	}
	until("letter", func() bool { return k.Counts.Kept.Load() == 1 })
	until("resend", func() bool {
		if k.Counts.Begun.Load() > 0 {
			return true
		}
		if a, err := k.Resend(t.Context(), deadletter.Filter{}, false); err != nil || len(a) != 1 {
			t.Fatal(a, err)
		}
		return false
	})
	fresh("fresh", 4*time.Second)
	until("way made", func() bool { return k.Counts.Yielded.Load() > 0 })
	if got := nettest.Wait(t, "call", order); got != "fresh" {
		t.Fatalf("%s went first", got)
	}
	if got := nettest.Wait(t, "call", order); got != "told" {
		t.Fatal(got)
	}
	until("end", func() bool { return k.Counts.Delivered.Load() == 1 })
	it, err := k.Show(t.Context(), "told")
	if err != nil || it.State != rule.Delivered || len(it.Resends) != 1 {
		t.Fatalf("%+v %v: what made way does not count as a resend", it, err)
	}
}
