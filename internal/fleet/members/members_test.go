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

const testTimeout = 20 * time.Second

// numberExchange is an Exchange of numbers; each is sent a few times.
type numberExchange struct {
	mu        sync.Mutex
	sendsLeft map[uint64]int // remaining sends by number
	onNew     func(n uint64) // called for each new number; may be nil
	size      int            // bytes of a number on the wire
}

func (s *numberExchange) put(n uint64) {
	s.mu.Lock()
	_, known := s.sendsLeft[n]
	if !known {
		s.sendsLeft[n] = 10
	}
	s.mu.Unlock()
	if !known && s.onNew != nil {
		s.onNew(n)
	}
}

func (s *numberExchange) appendEncoded(to []byte, n uint64) []byte {
	return append(binary.BigEndian.AppendUint64(to, n), make([]byte, s.size-8)...)
}

func (s *numberExchange) has(n uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.sendsLeft[n]
	return known
}

func (s *numberExchange) Updates(limit, overhead int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for n, remaining := range s.sendsLeft {
		if remaining > 0 && limit >= overhead+s.size {
			s.sendsLeft[n]--
			limit -= overhead + s.size
			out = append(out, s.appendEncoded(nil, n))
		}
	}
	return out
}

func (s *numberExchange) ReceiveUpdate(_ string, b []byte) error {
	if len(b)%s.size != 0 {
		return errors.New("malformed numbers")
	}
	for ; len(b) > 0; b = b[s.size:] {
		s.put(binary.BigEndian.Uint64(b))
	}
	return nil
}

func (s *numberExchange) FullState() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []byte
	for n := range s.sendsLeft {
		out = s.appendEncoded(out, n)
	}
	return out
}

func (s *numberExchange) ReceiveFullState(b []byte) error { return s.ReceiveUpdate("", b) }

// testGroup is a running Group.
type testGroup struct {
	*Group
	numbers *numberExchange
	events  chan Event
	stop    func()
	kill    func() // stop without leaving
}

var testRand = rand.New(rand.NewPCG(1, 2))

func testConfig(name string, epoch uint64, seeds ...*testGroup) Config {
	c := Config{
		Name: name, Epoch: epoch, Site: "here", Bind: netip.MustParseAddrPort("127.0.0.1:0"), MaxMembers: 16, MaxBytes: 1 << 16,
		GossipInterval: 20 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SeedsInterval: 200 * time.Millisecond,
	}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, s.Alive()[0].Addr)
	}
	return c
}

func startGroup(t testing.TB, c Config) *testGroup {
	t.Helper()
	return startGroupWith(t, c, &numberExchange{sendsLeft: map[uint64]int{}, size: 8})
}

func startGroupWith(t testing.TB, c Config, s *numberExchange) *testGroup {
	t.Helper()
	r := &testGroup{numbers: s, events: make(chan Event, 1024)}
	if c.Events == nil {
		c.Events = func(e Event) { r.events <- e }
	}
	g, err := New(c, r.numbers, rand.New(rand.NewPCG(testRand.Uint64(), 0)), slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug})))
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
	r.kill = func() { cancel(ErrWithoutLeaving); <-done }
	t.Cleanup(r.stop)
	receive(t, g.Ready(), "address open")
	return r
}

func receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("not within %v: %s", testTimeout, what)
		panic("")
	}
}

// expectEvent waits for an event and skips others.
func (r *testGroup) expectEvent(t testing.TB, kind EventKind, name string) Event {
	t.Helper()
	for {
		if e := receive(t, r.events, fmt.Sprintf("%v of %s", kind, name)); e.Kind == kind && e.Member.Name == name {
			return e
		}
	}
}

// waitFor waits for a condition without an event: memberlist counts in its own goroutines.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	waitUpTo(t, testTimeout, what, ok)
}

func waitUpTo(t testing.TB, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for end := time.After(timeout); !ok(); {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}

func (r *testGroup) waitForDropped(t testing.TB, reason Reason) {
	t.Helper()
	waitFor(t, "dropped as "+reason.String(), func() bool { return r.Counters.Dropped[reason].Load() > 0 })
}

func listString(g *Group) string {
	var all []string
	for _, m := range g.Alive() {
		all = append(all, fmt.Sprintf("%s/%d", m.Name, m.Epoch))
	}
	return strings.Join(all, " ")
}

// Members join, share data, send, leave, fail and return, with and without keys.
func TestMembers(t *testing.T) {
	for _, keys := range [][][]byte{nil, {make([]byte, 32), []byte("0123456789abcdef")}} {
		t.Run(fmt.Sprint(len(keys)), func(t *testing.T) {
			ca := testConfig("a", 1)
			ca.Keys = keys
			a := startGroup(t, ca)
			a.numbers.put(7)
			cb := testConfig("b", 2, a)
			if slices.Reverse(keys); keys != nil {
				cb.Keys = slices.Clone(keys) // another key of the ring is the primary one
			}
			b := startGroup(t, cb)
			a.expectEvent(t, Joined, "b")
			b.expectEvent(t, Joined, "a")
			if got := listString(a.Group); got != "a/1 b/2" || a.Alive()[1].Site != "here" || a.Version() == 0 {
				t.Fatal(got)
			}
			a.numbers.put(8)
			waitFor(t, "numbers by full state and gossip", func() bool { return b.numbers.has(7) && b.numbers.has(8) })
			for _, n := range []int{1, 2000} { // by datagram, by TCP
				update := make([]byte, 8*n)
				for i := range n {
					binary.BigEndian.PutUint64(update[8*i:], uint64(100*n+i))
				}
				before := a.Counters.StreamsOut.Load()
				if err := a.Send("b", update); err != nil {
					t.Fatal(err)
				}
				waitFor(t, "sent update", func() bool { return b.numbers.has(uint64(101*n - 1)) })
				if tcp := a.Counters.StreamsOut.Load() > before; n == 2000 && !tcp {
					t.Fatal("16 KB were sent by UDP")
				}
			}
			if err := a.Send("c", nil); !errors.Is(err, ErrNotAlive) {
				t.Fatal(err)
			}
			if err := a.Send("b", make([]byte, 1<<17)); err == nil {
				t.Fatal("Send accepted more than MaxBytes")
			}
			b.stop()
			a.expectEvent(t, Left, "b")
			cb.Epoch = 3
			b = startGroup(t, cb)
			a.expectEvent(t, Joined, "b")
			b.kill()
			a.expectEvent(t, Failed, "b")
			if got := listString(a.Group); got != "a/1" {
				t.Fatal(got)
			}
		})
	}
}

// A new incarnation at its predecessor's address is seen at once, and a smaller epoch never replaces a larger one.
func TestRestartIsSeenAtOnce(t *testing.T) {
	a := startGroup(t, testConfig("a", 1))
	cb := testConfig("b", 5, a)
	b := startGroup(t, cb)
	a.expectEvent(t, Joined, "b")
	b.expectEvent(t, Joined, "a")
	cb.Bind = b.Alive()[1].Addr
	b.kill()
	heard := make(chan uint64, 8)
	cb.Epoch, cb.EpochTooLow = 4, func(n uint64) { heard <- n }
	b = startGroup(t, cb)
	if n := receive(t, heard, "its earlier epoch"); n != 5 {
		t.Fatal(n)
	}
	if got := listString(a.Group); got != "a/1 b/5" {
		t.Fatal(got)
	}
	b.Renew(6)
	b.Renew(2) // a smaller epoch has no effect
	if e := a.expectEvent(t, Restarted, "b"); e.Member.Epoch != 6 || e.Member.Addr != cb.Bind {
		t.Fatal(e)
	}
	waitFor(t, "list", func() bool { return listString(a.Group) == "a/1 b/6" && listString(b.Group) == "a/1 b/6" })
}

// Of two processes with the same name, the one with the larger epoch is in the list; the other is notified and ignored.
func TestLargerEpochOwnsName(t *testing.T) {
	a := startGroup(t, testConfig("a", 1))
	superseded := make(chan Member, 8)
	c := testConfig("b", 2, a)
	c.Superseded = func(by Member) { superseded <- by }
	older := startGroup(t, c)
	a.expectEvent(t, Joined, "b")
	c.Epoch, c.Superseded = 9, func(Member) { t.Error("the incarnation with the larger epoch was superseded") }
	c.EpochTooLow = func(uint64) { t.Error("EpochTooLow was called because of a smaller epoch") }
	newer := startGroup(t, c)
	if by := receive(t, superseded, "superseded"); by.Epoch != 9 {
		t.Fatal(by)
	}
	waitFor(t, "lists", func() bool { return listString(a.Group) == "a/1 b/9" && listString(newer.Group) == "a/1 b/9" })
	if older.Counters.Conflicts.Load() == 0 || newer.Counters.Conflicts.Load() == 0 {
		t.Fatal("conflict not counted")
	}
	older.numbers.put(77)
	a.waitForDropped(t, UnknownSender)
	if a.numbers.has(77) {
		t.Fatal("an update of a superseded incarnation was accepted")
	}
}

// Input that is not from a member or not a valid message changes nothing and is counted.
func TestInvalidInputIsDropped(t *testing.T) {
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
			b[j] = byte(testRand.Uint32())
		}
		b[0] %= 14
		garbage = append(garbage, b)
	}
	forged := func(body string) []byte { return append([]byte{msgUser, formatVersion, kindUpdates}, body...) }
	for name, c := range map[string]struct {
		keys    [][]byte
		packets [][]byte
		streams [][]byte
		why     []Reason
	}{
		"malformed":          {packets: garbage, streams: garbage, why: []Reason{Garbled, Oversized, WrongKey}},
		"malformed, keyed":   {keys: [][]byte{key}, packets: garbage, streams: garbage, why: []Reason{WrongKey}},
		"empty, keyed":       {keys: [][]byte{key}, streams: [][]byte{append([]byte{10, 0, 0, 0, 29, 1}, make([]byte, 28)...)}, why: []Reason{WrongKey}},
		"oversized":          {packets: [][]byte{make([]byte, 1400+datagramSlack+1)}, why: []Reason{Oversized}},
		"other format":       {packets: [][]byte{{msgUser, formatVersion + 1, kindUpdates, 0}}, why: []Reason{OtherVersion}},
		"unknown sender":     {packets: [][]byte{forged("\x0aa~00000000\x08\x00\x00\x00\x00\x00\x00\x00\x09")}, why: []Reason{UnknownSender}},
		"foreign source":     {packets: [][]byte{append([]byte{0}, "\x84\xa5SeqNo\x01\xa4Node\xa0\xaaSourceAddr\xa4\x08\x08\x08\x08\xaaSourcePort\x35"...)}, why: []Reason{ForeignNetwork}},
		"idle connections":   {streams: slices.Repeat([][]byte{nil}, 2*maxInboundStreams), why: []Reason{TooManyConnections}},
		"other node version": {packets: [][]byte{append([]byte{4}, "\x86\xabIncarnation\x01\xa4Node\xaax~00000000\xa4Addr\xa4\x7f\x00\x00\x01\xa4Port\x35\xa4Meta\xa2\x81\x02\xa3Vsn\xa6\x01\x05\x05\x00\x00\x00"...)}, why: []Reason{OtherVersion}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig("a", 1)
			cfg.Keys = c.keys
			a := startGroup(t, cfg)
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
				_, _ = tcp.Write(s) // the connection may already be closed
				if s != nil {
					_ = tcp.(*net.TCPConn).CloseWrite()
				}
			}
			for _, why := range c.why {
				a.waitForDropped(t, why)
			}
			if a.numbers.has(9) || listString(a.Group) != "a/1" {
				t.Fatal("input was accepted: ", listString(a.Group))
			}
			b := testConfig("b", 1, a) // the group still works
			b.Keys = c.keys
			startGroup(t, b).expectEvent(t, Joined, "a")
		})
	}
}

// Members with another key or without one, and members beyond max_members, do not join.
func TestOutsidersDoNotJoin(t *testing.T) {
	ca := testConfig("a", 1)
	ca.Keys, ca.MaxMembers = [][]byte{make([]byte, 16)}, 2
	a := startGroup(t, ca)
	cb := testConfig("b", 1, a)
	for _, keys := range [][][]byte{nil, {[]byte("0123456789abcdef")}} {
		cb.Keys = keys
		b := startGroup(t, cb)
		waitFor(t, "join attempts", func() bool { return b.Counters.JoinAttempts.Load() > 1 && a.Counters.Dropped[WrongKey].Load() > 0 })
		if listString(a.Group) != "a/1" || listString(b.Group) != "b/1" {
			t.Fatal(listString(a.Group), listString(b.Group))
		}
		b.stop()
		a.Counters.Dropped[WrongKey].Store(0)
	}
	cb.Keys = ca.Keys
	startGroup(t, cb)
	a.expectEvent(t, Joined, "b")
	cc := testConfig("c", 1, a)
	cc.Keys = ca.Keys
	startGroup(t, cc)
	a.waitForDropped(t, TooManyMembers)
	if listString(a.Group) != "a/1 b/1" {
		t.Fatal(listString(a.Group))
	}
}

// A seed that starts later is joined, and joined again after it was lost.
func TestLateSeedsAreJoined(t *testing.T) {
	first := startGroup(t, testConfig("first", 1))
	cs := testConfig("seed", 1)
	cs.Bind = first.Alive()[0].Addr
	first.stop()
	c := testConfig("a", 1)
	c.Seeds = []netip.AddrPort{cs.Bind}
	a := startGroup(t, c)
	waitFor(t, "join attempts", func() bool { return a.Counters.JoinAttempts.Load() >= 3 })
	for epoch := range uint64(2) {
		cs.Epoch = epoch + 1
		s := startGroup(t, cs)
		a.expectEvent(t, Joined, "seed")
		s.kill()
		a.expectEvent(t, Failed, "seed")
	}
}

// Two fleets that do not know each other merge because one of them has a seed in the other.
func TestPartitionHeals(t *testing.T) {
	a, b := startGroup(t, testConfig("a", 1)), startGroup(t, testConfig("b", 1))
	startGroup(t, testConfig("a2", 1, a, b)).expectEvent(t, Joined, "a")
	startGroup(t, testConfig("b2", 1, b)).expectEvent(t, Joined, "b")
	for _, g := range []*testGroup{a, b} {
		waitFor(t, "merged fleets", func() bool { return len(g.Alive()) == 4 })
	}
}

// The attempts to join absent seeds stay at one per interval for the whole fleet, whatever its size.
func TestSeedRetryRate(t *testing.T) {
	g := &Group{cfg: Config{SeedsInterval: time.Second}, rng: rand.New(rand.NewPCG(3, 4))}
	for _, n := range []int{2, 32, 300} {
		var sum time.Duration
		for range 20000 {
			sum += g.seedRetryWait(n)
		}
		if per := sum / time.Duration(20000*n); per < 950*time.Millisecond || per > 1050*time.Millisecond {
			t.Errorf("%d members: one attempt per %v", n, per)
		}
	}
}

func TestConfigAndKeyFileErrors(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Name":        func(c *Config) { c.Name = "a~b" },
		"Site":        func(c *Config) { c.Site = strings.Repeat("x", 65) },
		"Bind":        func(c *Config) { c.Bind = netip.MustParseAddrPort("0.0.0.0:1") },
		"Advertise":   func(c *Config) { c.Advertise = netip.MustParseAddrPort("1.1.1.1:1") },
		"MaxDatagram": func(c *Config) { c.MaxDatagram = 100 },
		"Keys":        func(c *Config) { c.Keys = [][]byte{make([]byte, 15)} },
		"above 0":     func(c *Config) { c.ProbeInterval = -1 },
	} {
		c := testConfig("a", 1)
		change(&c)
		if _, err := New(c, &numberExchange{}, testRand, slog.Default()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	path := filepath.Join(t.TempDir(), "keys")
	good := base64.StdEncoding.EncodeToString(make([]byte, 24))
	for text, want := range map[string]string{"# ours\n" + good + "\n\n" + good + "\n": "", "": "no key in it", good + "\nabc": ":2: no base64", "AAAA": ":1: no base64"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := ReadKeys(path)
		if want == "" && (err != nil || len(keys) != 2) || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

var _ memberlist.NodeAwareTransport = (*boundedTransport)(nil)

// TCP connections originate from the address that the member is bound to, like its packets.
func TestDialsFromBind(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cfg := testConfig("a", 1).withDefaults()
	cfg.Bind = netip.MustParseAddrPort("127.9.8.7:0")
	g, err := newBoundedTransport(cfg, false, &Counters{}, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	defer g.wait()
	defer g.Shutdown()
	out, err := g.DialTimeout(l.Addr().String(), testTimeout)
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
		t.Errorf("the connection comes from %s", ip)
	}
}
