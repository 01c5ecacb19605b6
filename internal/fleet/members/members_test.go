package members

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

const patience = 20 * time.Second

// store is an exchange of numbers: each is passed on a few times.
type store struct {
	mu    sync.Mutex
	left  map[uint64]int // sends to go
	fresh func(n uint64) // a number not had before; nil for nobody to be told
	size  int            // of a number on the wire
}

func (s *store) put(n uint64) {
	s.mu.Lock()
	_, had := s.left[n]
	if !had {
		s.left[n] = 10
	}
	s.mu.Unlock()
	if !had && s.fresh != nil {
		s.fresh(n)
	}
}

func (s *store) wire(to []byte, n uint64) []byte {
	return append(binary.BigEndian.AppendUint64(to, n), make([]byte, s.size-8)...)
}

func (s *store) has(n uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, had := s.left[n]
	return had
}

func (s *store) Changes(limit, overhead int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for n, left := range s.left {
		if left > 0 && limit >= overhead+s.size {
			s.left[n]--
			limit -= overhead + s.size
			out = append(out, s.wire(nil, n))
		}
	}
	return out
}

func (s *store) Take(_ string, b []byte) error {
	if len(b)%s.size != 0 {
		return errors.New("no numbers")
	}
	for ; len(b) > 0; b = b[s.size:] {
		s.put(binary.BigEndian.Uint64(b))
	}
	return nil
}

func (s *store) Whole() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []byte
	for n := range s.left {
		out = s.wire(out, n)
	}
	return out
}

func (s *store) TakeWhole(b []byte) error { return s.Take("", b) }

// running is a group that runs in the test.
type running struct {
	*Group
	store  *store
	events chan Event
	stop   func()
	kill   func() // without a word to the others
}

var seed = rand.New(rand.NewPCG(1, 2))

func config(name string, epoch uint64, seeds ...*running) Config {
	c := Config{
		Name: name, Epoch: epoch, Site: "here", Bind: netip.MustParseAddrPort("127.0.0.1:0"), MaxMembers: 16, MaxBytes: 1 << 16,
		GossipInterval: 20 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SeedsInterval: 200 * time.Millisecond,
	}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, s.Alive()[0].Addr)
	}
	return c
}

func run(t testing.TB, c Config) *running {
	t.Helper()
	return runWith(t, c, &store{left: map[uint64]int{}, size: 8})
}

func runWith(t testing.TB, c Config, s *store) *running {
	t.Helper()
	r := &running{store: s, events: make(chan Event, 1024)}
	if c.Events == nil {
		c.Events = func(e Event) { r.events <- e }
	}
	g, err := New(c, r.store, rand.New(rand.NewPCG(seed.Uint64(), 0)), slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug})))
	if err != nil {
		t.Fatal(err)
	}
	r.Group = g
	ctx, cancel := context.WithCancelCause(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.Run(ctx); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	r.stop = func() { cancel(nil); <-done }
	r.kill = func() { cancel(ErrAtOnce); <-done }
	t.Cleanup(r.stop)
	within(t, g.Ready(), "address open")
	return r
}

func within[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("not within %v: %s", patience, what)
		panic("")
	}
}

// expect waits for an event, past others.
func (r *running) expect(t testing.TB, what Happening, name string) Event {
	t.Helper()
	for {
		if e := within(t, r.events, fmt.Sprintf("%v of %s", what, name)); e.What == what && e.Member.Name == name {
			return e
		}
	}
}

// counts waits until a counter has grown: memberlist counts in goroutines of its own, and has no event for it.
func counts(t testing.TB, what string, ok func() bool) {
	t.Helper()
	countsIn(t, patience, what, ok)
}

func countsIn(t testing.TB, patience time.Duration, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for end := time.After(patience); !ok(); {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (r *running) dropped(t testing.TB, why Reason) {
	t.Helper()
	counts(t, "dropped as "+why.String(), func() bool { return r.Counters.Dropped[why].Load() > 0 })
}

func names(g *Group) string {
	var all []string
	for _, m := range g.Alive() {
		all = append(all, fmt.Sprintf("%s/%d", m.Name, m.Epoch))
	}
	return strings.Join(all, " ")
}

// Members join, tell one another, send, leave, fail and come back; under keys as without.
func TestMembers(t *testing.T) {
	for _, keys := range [][][]byte{nil, {make([]byte, 32), []byte("0123456789abcdef")}} {
		t.Run(fmt.Sprint(len(keys)), func(t *testing.T) {
			ca := config("a", 1)
			ca.Keys = keys
			a := run(t, ca)
			a.store.put(7)
			cb := config("b", 2, a)
			if slices.Reverse(keys); keys != nil {
				cb.Keys = slices.Clone(keys) // another of the ring is its primary
			}
			b := run(t, cb)
			a.expect(t, Joined, "b")
			b.expect(t, Joined, "a")
			if got := names(a.Group); got != "a/1 b/2" || a.Alive()[1].Site != "here" || a.Version() == 0 {
				t.Fatal(got)
			}
			a.store.put(8)
			counts(t, "numbers by table and gossip", func() bool { return b.store.has(7) && b.store.has(8) })
			for _, n := range []int{1, 2000} { // in a datagram, by TCP
				piece := make([]byte, 8*n)
				for i := range n {
					binary.BigEndian.PutUint64(piece[8*i:], uint64(100*n+i))
				}
				before := a.Counters.StreamsOut.Load()
				if err := a.Send("b", piece); err != nil {
					t.Fatal(err)
				}
				counts(t, "sent piece", func() bool { return b.store.has(uint64(101*n - 1)) })
				if tcp := a.Counters.StreamsOut.Load() > before; n == 2000 && !tcp {
					t.Fatal("16 KB went by UDP")
				}
			}
			if err := a.Send("c", nil); !errors.Is(err, ErrNotAlive) {
				t.Fatal(err)
			}
			if err := a.Send("b", make([]byte, 1<<17)); err == nil {
				t.Fatal("sent above the bound")
			}
			b.stop()
			a.expect(t, Left, "b")
			cb.Epoch = 3
			b = run(t, cb)
			a.expect(t, Joined, "b")
			b.kill()
			a.expect(t, Failed, "b")
			if got := names(a.Group); got != "a/1" {
				t.Fatal(got)
			}
		})
	}
}

// A new life at its predecessor's address is seen at once, and a smaller epoch never takes a larger one's place.
func TestNewLife(t *testing.T) {
	a := run(t, config("a", 1))
	cb := config("b", 5, a)
	b := run(t, cb)
	a.expect(t, Joined, "b")
	b.expect(t, Joined, "a")
	cb.Bind = b.Alive()[1].Addr
	b.kill()
	heard := make(chan uint64, 8)
	cb.Epoch, cb.Outgrown = 4, func(n uint64) { heard <- n }
	b = run(t, cb)
	if n := within(t, heard, "its earlier epoch"); n != 5 {
		t.Fatal(n)
	}
	if got := names(a.Group); got != "a/1 b/5" {
		t.Fatal(got)
	}
	b.Renew(6)
	b.Renew(2) // never back
	if e := a.expect(t, NewLife, "b"); e.Member.Epoch != 6 || e.Member.Addr != cb.Bind {
		t.Fatal(e)
	}
	counts(t, "list", func() bool { return names(a.Group) == "a/1 b/6" && names(b.Group) == "a/1 b/6" })
}

// Of two processes of one name the one with the larger epoch stands in the list; the other is told, and not heard.
func TestNameTwice(t *testing.T) {
	a := run(t, config("a", 1))
	told := make(chan Member, 8)
	c := config("b", 2, a)
	c.Superseded = func(by Member) { told <- by }
	older := run(t, c)
	a.expect(t, Joined, "b")
	c.Epoch, c.Superseded = 9, func(Member) { t.Error("the larger epoch gave way") }
	c.Outgrown = func(uint64) { t.Error("a smaller epoch was to be outgrown") }
	newer := run(t, c)
	if by := within(t, told, "superseded"); by.Epoch != 9 {
		t.Fatal(by)
	}
	counts(t, "lists", func() bool { return names(a.Group) == "a/1 b/9" && names(newer.Group) == "a/1 b/9" })
	if older.Counters.Conflicts.Load() == 0 || newer.Counters.Conflicts.Load() == 0 {
		t.Fatal("conflict not counted")
	}
	older.store.put(77)
	a.dropped(t, Stranger)
	if a.store.has(77) {
		t.Fatal("a superseded life's fact was taken")
	}
}

// What is no member's, or no message, changes nothing and is counted.
func TestDrop(t *testing.T) {
	key := make([]byte, 32)
	garbage := [][]byte{
		{},
		{6},
		{9, 1, 2},
		{7, 255, 0},
		{7, 1, 0, 9, 1},
		{12, 0, 0, 0, 0, 8},
		{8},
		{4},
		{0, 0x81},
		{200},
		{244, 9},
		{10, 255, 255, 255, 255, 1},
		append([]byte{6}, "\x83\xa5Nodes\xce\x00\x0f\xff\xff\xacUserStateLen\x00\xa4Join\xc3"...),
		append([]byte{8}, "\x81\xaaUserMsgLen\xce\x01\x00\x00\x00"...),
	}
	for i := range 200 {
		b := make([]byte, i+1)
		for j := range b {
			b[j] = byte(seed.Uint32())
		}
		b[0] %= 14
		garbage = append(garbage, b)
	}
	forged := func(body string) []byte { return append([]byte{msgUser, format, kindPieces}, body...) }
	for name, c := range map[string]struct {
		keys    [][]byte
		packets [][]byte
		streams [][]byte
		why     []Reason
	}{
		"garbled":           {packets: garbage, streams: garbage, why: []Reason{Garbled, Oversized, WrongKey}},
		"garbled, keyed":    {keys: [][]byte{key}, packets: garbage, streams: garbage, why: []Reason{WrongKey}},
		"empty, keyed":      {keys: [][]byte{key}, streams: [][]byte{append([]byte{10, 0, 0, 0, 29, 1}, make([]byte, 28)...)}, why: []Reason{WrongKey}},
		"oversized":         {packets: [][]byte{make([]byte, 1400+slack+1)}, why: []Reason{Oversized}},
		"other format":      {packets: [][]byte{{msgUser, format + 1, kindPieces, 0}}, why: []Reason{OtherVersion}},
		"stranger":          {packets: [][]byte{forged("\x0aa~00000000\x08\x00\x00\x00\x00\x00\x00\x00\x09")}, why: []Reason{Stranger}},
		"reflected":         {packets: [][]byte{append([]byte{0}, "\x84\xa5SeqNo\x01\xa4Node\xa0\xaaSourceAddr\xa4\x08\x08\x08\x08\xaaSourcePort\x35"...)}, why: []Reason{Away}},
		"silent and slow":   {streams: slices.Repeat([][]byte{nil}, 2*streamsOpen), why: []Reason{Busy}},
		"member of version": {packets: [][]byte{append([]byte{4}, "\x86\xabIncarnation\x01\xa4Node\xaax~00000000\xa4Addr\xa4\x7f\x00\x00\x01\xa4Port\x35\xa4Meta\xa2\x81\x02\xa3Vsn\xa6\x01\x05\x05\x00\x00\x00"...)}, why: []Reason{OtherVersion}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := config("a", 1)
			cfg.Keys = c.keys
			a := run(t, cfg)
			to := a.Alive()[0].Addr.String()
			udp, err := net.Dial("udp", to)
			if err != nil {
				t.Fatal(err)
			}
			defer udp.Close()
			for _, p := range c.packets {
				if _, err := udp.Write(p); err != nil {
					t.Fatal(err)
				}
			}
			for _, s := range c.streams {
				tcp, err := net.Dial("tcp", to)
				if err != nil {
					t.Fatal(err)
				}
				defer tcp.Close()
				_, _ = tcp.Write(s) // it may have been closed
				if s != nil {
					_ = tcp.(*net.TCPConn).CloseWrite()
				}
			}
			for _, why := range c.why {
				a.dropped(t, why)
			}
			if a.store.has(9) || names(a.Group) != "a/1" {
				t.Fatal("something was taken: ", names(a.Group))
			}
			b := config("b", 1, a) // and it serves on
			b.Keys = c.keys
			run(t, b).expect(t, Joined, "a")
		})
	}
}

// Another key, another format and one too many do not get in.
func TestOutsiders(t *testing.T) {
	ca := config("a", 1)
	ca.Keys, ca.MaxMembers = [][]byte{make([]byte, 16)}, 2
	a := run(t, ca)
	cb := config("b", 1, a)
	for _, keys := range [][][]byte{nil, {[]byte("0123456789abcdef")}} {
		cb.Keys = keys
		b := run(t, cb)
		counts(t, "tries", func() bool { return b.Counters.JoinsTried.Load() > 1 && a.Counters.Dropped[WrongKey].Load() > 0 })
		if names(a.Group) != "a/1" || names(b.Group) != "b/1" {
			t.Fatal(names(a.Group), names(b.Group))
		}
		b.stop()
		a.Counters.Dropped[WrongKey].Store(0)
	}
	cb.Keys = ca.Keys
	run(t, cb)
	a.expect(t, Joined, "b")
	cc := config("c", 1, a)
	cc.Keys = ca.Keys
	run(t, cc)
	a.dropped(t, Full)
	if names(a.Group) != "a/1 b/1" {
		t.Fatal(names(a.Group))
	}
}

// Seeds that come up later are found; and again after all members were lost.
func TestSeedsLater(t *testing.T) {
	first := run(t, config("first", 1))
	cs := config("seed", 1)
	cs.Bind = first.Alive()[0].Addr
	first.stop()
	c := config("a", 1)
	c.Seeds = []netip.AddrPort{cs.Bind}
	a := run(t, c)
	counts(t, "tries", func() bool { return a.Counters.JoinsTried.Load() >= 3 })
	for epoch := range uint64(2) {
		cs.Epoch = epoch + 1
		s := run(t, cs)
		a.expect(t, Joined, "seed")
		s.kill()
		a.expect(t, Failed, "seed")
	}
}

// Two parts that know nothing of one another come together by the seeds that are not up in one of them.
func TestPartsHeal(t *testing.T) {
	a, b := run(t, config("a", 1)), run(t, config("b", 1))
	run(t, config("a2", 1, a, b)).expect(t, Joined, "a")
	run(t, config("b2", 1, b)).expect(t, Joined, "b")
	for _, g := range []*running{a, b} {
		counts(t, "one fleet", func() bool { return len(g.Alive()) == 4 })
	}
}

// Tries of seeds that are down stay one a period for all, whatever the number of couriers.
func TestHealingRate(t *testing.T) {
	g := &Group{cfg: Config{SeedsInterval: time.Second}, chance: rand.New(rand.NewPCG(3, 4))}
	for _, n := range []int{2, 32, 300} {
		var sum time.Duration
		for range 20000 {
			sum += g.healing(n)
		}
		if per := sum / time.Duration(20000*n); per < 950*time.Millisecond || per > 1050*time.Millisecond {
			t.Errorf("%d members: one in %v", n, per)
		}
	}
}

func TestConfig(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Name":        func(c *Config) { c.Name = "a~b" },
		"Site":        func(c *Config) { c.Site = strings.Repeat("x", 65) },
		"Bind":        func(c *Config) { c.Bind = netip.MustParseAddrPort("0.0.0.0:1") },
		"Advertise":   func(c *Config) { c.Advertise = netip.MustParseAddrPort("1.1.1.1:1") },
		"MaxDatagram": func(c *Config) { c.MaxDatagram = 100 },
		"Keys":        func(c *Config) { c.Keys = [][]byte{make([]byte, 15)} },
		"above 0":     func(c *Config) { c.ProbeInterval = -1 },
	} {
		c := config("a", 1)
		change(&c)
		if _, err := New(c, &store{}, seed, slog.Default()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	path := filepath.Join(t.TempDir(), "keys")
	good := base64.StdEncoding.EncodeToString(make([]byte, 24))
	for text, want := range map[string]string{"# ours\n" + good + "\n\n" + good + "\n": "", "": "no key in it", good + "\nabc": ":2: no base64", "AAAA": ":1: no base64"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := Keys(path)
		if want == "" && (err != nil || len(keys) != 2) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

var _ memberlist.NodeAwareTransport = (*guard)(nil)

// TCP connections leave from the address that the courier is bound to, as its packets do.
func TestDialsFromBind(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cfg := config("a", 1).defaults()
	cfg.Bind = netip.MustParseAddrPort("127.9.8.7:0")
	g, err := newGuard(cfg, false, &Counters{}, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	defer g.wait()
	defer g.Shutdown()
	out, err := g.DialTimeout(l.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if ip := in.RemoteAddr().(*net.TCPAddr).IP.String(); ip != "127.9.8.7" {
		t.Errorf("the dial left from %s", ip)
	}
}
