package link

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const soon = 5 * time.Second // at most, for what is to happen

func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// wire is a relay with a connection through it, both of its ends.
func wire(t *testing.T) (r *Relay, near, far *net.TCPConn) {
	t.Helper()
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	r = must[*Relay](t)(Open(Options{Listen: "127.0.0.1:0", Target: l.Addr().String(), Protos: []Proto{TCP}, Seed: 1}))
	near = must[net.Conn](t)(net.Dial("tcp", r.Addr())).(*net.TCPConn)
	far = must[net.Conn](t)(l.Accept()).(*net.TCPConn)
	t.Cleanup(func() { near.Close(); far.Close(); l.Close(); r.Close() })
	return r, near, far
}

// silent holds that nothing comes within the time.
func silent(t *testing.T, c net.Conn, d time.Duration) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(d))
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v, where silence was to be", n, err)
	}
	c.SetReadDeadline(time.Now().Add(soon))
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(soon))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

func TestCutHoldsBytes(t *testing.T) {
	r, near, far := wire(t)
	near.Write([]byte("before"))
	expect(t, far, "before")
	must[int](t)(0, r.Set(TCP, There, Fault{Cut: true}))
	near.Write([]byte("held"))
	far.Write([]byte("the other way"))
	expect(t, near, "the other way")
	silent(t, far, 50*time.Millisecond)
	near.CloseWrite()
	r.Set(TCP, There, Fault{})
	expect(t, far, "held")
	if rest, err := io.ReadAll(far); err != nil || len(rest) > 0 {
		t.Fatalf("then %q, %v", rest, err)
	}
}

func TestCutAndNewConnections(t *testing.T) {
	r, _, _ := wire(t)
	r.Set(TCP, Back, Fault{Cut: true, Refuse: true})
	if c, err := net.Dial("tcp", r.Addr()); err == nil { // else it was reset before it was seen to be open
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(soon))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("refused: %v", err)
		}
	}
	r.Set(TCP, Back, Fault{Cut: true})
	c := must[net.Conn](t)(net.Dial("tcp", r.Addr()))
	defer c.Close()
	silent(t, c, 50*time.Millisecond)
	if n := r.Counts(TCP, There).Refused; n != 1 {
		t.Fatalf("%d refused", n)
	}
}

func TestDelayAndTrickle(t *testing.T) {
	r, near, far := wire(t)
	for name, c := range map[string]struct {
		f     Fault
		least time.Duration
	}{
		"delay":   {Fault{Delay: 80 * time.Millisecond}, 80 * time.Millisecond},
		"trickle": {Fault{Rate: 400}, 150 * time.Millisecond}, // the last of 100 bytes after 4 pauses
	} {
		r.Set(TCP, There, c.f)
		begin := time.Now()
		near.Write(bytes.Repeat([]byte("x"), 100))
		expect(t, far, strings.Repeat("x", 100))
		if took := time.Since(begin); took < c.least {
			t.Errorf("%s: took %v, want %v", name, took, c.least)
		}
	}
}

func TestBackpressure(t *testing.T) {
	r, near, _ := wire(t)
	r.Set(TCP, There, Fault{Cut: true})
	near.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	sent := 0
	for {
		n, err := near.Write(make([]byte, 1<<20))
		if sent += n; err != nil {
			break
		}
		if sent > 64<<20 {
			t.Fatalf("%d bytes went into a cut link", sent)
		}
	}
	if near.Close(); !errors.Is(r.Close(), nil) {
		t.Fatal("close")
	}
}

func TestHalfOpen(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"FIN": func(c *net.TCPConn) { c.Close() },
		"RST": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r, near, far := wire(t)
			r.Set(TCP, There, Fault{HalfOpen: true})
			near.Write([]byte("x"))
			expect(t, far, "x")
			end(near)
			silent(t, far, 50*time.Millisecond)
			for range 20 { // what it sends is thrown away, and no end comes back for it
				if _, err := far.Write(make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
			}
			silent(t, far, 50*time.Millisecond)
			if n := r.Counts(TCP, There).Swallowed; n != 1 {
				t.Fatalf("%d swallowed", n)
			}
		})
	}
}

func TestReset(t *testing.T) {
	r, near, far := wire(t)
	near.Write([]byte("x"))
	expect(t, far, "x")
	r.Reset()
	for _, c := range []net.Conn{near, far} {
		c.SetReadDeadline(time.Now().Add(soon))
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got %v, not a reset", err)
		}
	}
}

// talk sends n numbered packets through a fault and holds what comes of it, and that no more comes.
func talk(t *testing.T, seed uint64, f Fault, n int, want []byte) {
	t.Helper()
	target := must[*net.UDPConn](t)(net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	defer target.Close()
	r := must[*Relay](t)(Open(Options{Listen: "127.0.0.1:0", Target: target.LocalAddr().String(), Protos: []Proto{UDP}, Seed: seed}))
	defer r.Close()
	c := must[net.Conn](t)(net.Dial("udp", r.Addr()))
	defer c.Close()
	must[int](t)(0, r.Set(UDP, There, f))
	for i := range n {
		c.Write([]byte{byte(i)})
	}
	var got []byte
	buf := make([]byte, 10)
	target.SetReadDeadline(time.Now().Add(soon))
	for range want {
		must[int](t)(target.Read(buf))
		got = append(got, buf[0])
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	silent(t, target, 30*time.Millisecond)
}

func TestPackets(t *testing.T) {
	order := []byte{0, 1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		f    Fault
		want []byte
	}{
		"well":      {Fault{}, order},
		"cut":       {Fault{Cut: true}, nil},
		"loss":      {Fault{Loss: 1}, nil},
		"doubling":  {Fault{Double: 1}, []byte{0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5}},
		"reordered": {Fault{Reorder: 1}, []byte{1, 0, 3, 2, 5, 4}},
		"jitter":    {Fault{Jitter: 5 * time.Millisecond}, order},
		"trickle":   {Fault{Rate: 1000}, order},
	} {
		t.Run(name, func(t *testing.T) { talk(t, 1, c.f, 6, c.want) })
	}
	for seed := range uint64(3) { // what the chance of the seed says, and so the same each time
		var want []byte
		f, chance := Fault{Loss: 0.3, Double: 0.3}, NewChance(seed, 0)
		for i := range 100 {
			if d := chance.Decide(f); d.Double && !d.Drop {
				want = append(want, byte(i), byte(i))
			} else if !d.Drop {
				want = append(want, byte(i))
			}
		}
		talk(t, seed, f, 100, want)
	}
}

func TestChanceIsOfTheSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 50).Draw(t, "before")
		f := Fault{Loss: 0.5, Double: 0.5, Reorder: 0.5, Jitter: time.Second}
		a, b := NewChance(seed, 3), NewChance(seed, 3)
		for range n {
			a.Decide(Fault{Cut: rapid.Bool().Draw(t, "cut")})
			b.Decide(f)
		}
		for range 20 {
			if x, y := a.Decide(f), b.Decide(f); x != y {
				t.Fatalf("%+v and %+v", x, y)
			}
		}
	})
}

func TestFaultsThatCannotBe(t *testing.T) {
	r, _, _ := wire(t)
	for field, f := range map[string]Fault{"reorder": {Reorder: 0.1}, "loss": {Loss: 0.1}, "double": {Double: 1}, "bytes_s": {Rate: -1}} {
		if err := r.Set(TCP, There, f); err == nil || !strings.Contains(err.Error(), "field "+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	if err := r.Set(UDP, There, Fault{}); err == nil {
		t.Error("a relay without UDP takes its fault")
	}
	if _, err := Open(Options{Listen: "192.0.2.1:0", Target: "127.0.0.1:1", Protos: []Proto{TCP}}); err == nil {
		t.Error("it leaves the loopback")
	}
}

// world has couriers in two sites with real sockets, an endpoint in each, and discovery.
func world(t *testing.T, couriers int) (parties []Party, sockets []net.PacketConn) {
	t.Helper()
	add := func(name, site string, role Role, ip string) {
		l := must[net.Listener](t)(net.Listen("tcp", ip+":0"))
		t.Cleanup(func() { l.Close() })
		if role == Courier {
			u := must[net.PacketConn](t)(net.ListenPacket("udp", l.Addr().String()))
			t.Cleanup(func() { u.Close() })
			sockets = append(sockets, u)
		}
		parties = append(parties, Party{Name: name, Site: site, Role: role, Addr: l.Addr().String()})
	}
	for n := range couriers {
		add(fmt.Sprint("n", n), string(rune('a'+n%2)), Courier, fmt.Sprintf("127.77.0.%d", n+2))
	}
	add("e0", "a", Endpoint, "127.0.0.1")
	add("e1", "b", Endpoint, "127.0.0.1")
	add("disco", "", Discovery, "127.0.0.1")
	return parties, sockets
}

func descriptors(t *testing.T) int { return len(must[[]os.DirEntry](t)(os.ReadDir("/proc/self/fd"))) }

func TestMeshOf32(t *testing.T) {
	parties, sockets := world(t, 32)
	before := descriptors(t)
	m := must[*Mesh](t)(NewMesh(parties, 1, slog.New(slog.DiscardHandler)))
	if n := descriptors(t) - before; n > 70 {
		t.Errorf("32 couriers take %d descriptors", n)
	}
	buf := make([]byte, 10)
	for i, from := range sockets {
		for j, to := range sockets {
			if i == j {
				continue
			}
			at := must[string](t)(m.Addr(parties[i].Name, parties[j].Name))
			must[int](t)(from.WriteTo([]byte{byte(i), byte(j)}, must[*net.UDPAddr](t)(net.ResolveUDPAddr("udp", at))))
			to.SetReadDeadline(time.Now().Add(soon))
			n, source, err := to.ReadFrom(buf)
			if face, _ := m.Face(parties[i].Name); err != nil || !bytes.Equal(buf[:n], []byte{byte(i), byte(j)}) || source.String() != face {
				t.Fatalf("%d to %d: got %v from %v, %v", i, j, buf[:n], source, err)
			}
		}
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	if n := descriptors(t) - before; n > 0 {
		t.Errorf("%d descriptors are left", n)
	}
}

func TestMeshKnowsWhoDials(t *testing.T) {
	parties, _ := world(t, 3)
	m := must[*Mesh](t)(NewMesh(parties, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	at := must[string](t)(m.Addr("n0", "n1"))
	must[int](t)(0, m.Set("n0", "n1", Fault{Cut: true, Refuse: true, Loss: 0.5}))
	closed := func(ip string) bool {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp", at)
		if err != nil { // reset before it was seen to be open
			return true
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	if !closed("127.77.0.2") || closed("127.77.0.4") || !closed("127.0.0.1") || m.Unknown() != 1 {
		t.Fatalf("unknown: %d", m.Unknown())
	}
	if err := m.Set("n0", "disco", Fault{Loss: 0.5}); err == nil {
		t.Fatal("a TCP link takes loss")
	}
}

// hands records what is done to couriers.
type hands struct {
	dir  string
	done chan string
}

func (h hands) Pause(c string) error    { h.done <- "pause " + c; return nil }
func (h hands) Continue(c string) error { h.done <- "continue " + c; return nil }
func (h hands) Kill(c string) error     { h.done <- "kill " + c; return nil }
func (h hands) Start(_ context.Context, c string) error {
	h.done <- "start " + c
	return nil
}
func (h hands) Folder(c string) string   { return filepath.Join(h.dir, c) }
func (h hands) Snapshot(c string) string { return filepath.Join(h.dir, c+".old") }

func TestPlan(t *testing.T) {
	parties, _ := world(t, 4)
	var r Record
	if err := json.Unmarshal([]byte(`{"links": [
		{"between": "site:? <-> others", "at_s": [1, 2], "for_s": [3, 3], "cut": true},
		{"between": "courier -> discovery", "at_s": [5, 5], "for_s": [1, 1], "up_s": [1, 1], "times": 3, "cut": true},
		{"between": "courier@a <-> courier@b", "at_s": [0, 9], "for_s": [1, 1], "bytes_s": [100, 200]}],
		"processes": [{"how": "stop", "couriers": 2, "at_s": [10, 11], "for_s": [1, 2], "spread_s": [0, 1]},
		{"how": "empty", "couriers": 1, "site": "b", "at_s": [20, 20], "for_s": [1, 1]}]}`), &r); err != nil {
		t.Fatal(err)
	}
	p := must[Plan](t)(Draw(r, parties, 5))
	if diff := cmp.Diff(p, must[Plan](t)(Draw(r, parties, 5))); diff != "" {
		t.Fatal(diff)
	}
	if cmp.Equal(p, must[Plan](t)(Draw(r, parties, 6))) {
		t.Fatal("another seed gives the same plan")
	}
	if len(p.Links) != 5 || len(p.Processes) != 3 {
		t.Fatalf("%+v", p)
	}
	for _, e := range p.Links {
		if e.For == 3*time.Second { // a site of 2 couriers and an endpoint, from 2 couriers, an endpoint, discovery
			if n := len(e.Pairs); n != 2*(2*2+2*1+2*1+2*1) {
				t.Errorf("the cut is of %d directions: %v", n, e.Pairs)
			}
		}
	}
	for text, want := range map[string]string{
		`{"links": [{"between": "courier -> discovery", "loss": [0.1, 0.1]}]}`:          "loss",
		`{"links": [{"between": "courier, discovery", "cut": true}]}`:                   "arrow",
		`{"links": [{"between": "site:x <-> others", "cut": true}]}`:                    "names no link",
		`{"links": [{"between": "courier -> nobody", "cut": true}]}`:                    "nobody",
		`{"links": [{"between": "courier -> courier"}]}`:                                "no fault",
		`{"processes": [{"how": "kill", "couriers": 9}]}`:                               "couriers: 9",
		`{"processes": [{"how": "swap", "couriers": 3}]}`:                               "even",
		`{"processes": [{"how": "kill", "couriers": 1}, {"how": "no", "couriers": 1}]}`: "processes.1.how",
	} {
		var r Record
		json.Unmarshal([]byte(text), &r)
		if _, err := Draw(r, parties, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestPlay(t *testing.T) {
	parties, _ := world(t, 2)
	m := must[*Mesh](t)(NewMesh(parties, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	h := hands{t.TempDir(), make(chan string, 20)}
	os.MkdirAll(h.Folder("n1"), 0o700)
	os.WriteFile(filepath.Join(h.Folder("n1"), "journal"), []byte("x"), 0o600)
	s := time.Second
	p := Plan{
		Links: []Event{
			{At: s, For: 4 * s, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Cut: true}},
			{At: 2 * s, For: s, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Rate: 10, Cut: true}},
		},
		Processes: []ProcessEvent{{At: 2 * s, For: 2 * s, How: Stop, Courier: "n0"}, {At: 6 * s, For: s, How: Empty, Courier: "n1"}},
	}
	seen := map[time.Duration]Fault{} // in force before what is done at the time
	err := m.Play(t.Context(), p, func(_ context.Context, at time.Duration) error {
		seen[at], _ = m.links[Pair{"n0", "n1"}].lines[1].get()
		return nil
	}, h)
	if err != nil {
		t.Fatal(err)
	}
	cut := Fault{Cut: true}
	want := map[time.Duration]Fault{s: {}, 2 * s: {Cut: true, Rate: 10}, 3 * s: {Cut: true, Rate: 10}, 4 * s: cut, 5 * s: cut, 6 * s: {}, 7 * s: {}}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Error(diff)
	}
	close(h.done)
	var done []string
	for d := range h.done {
		done = append(done, d)
	}
	if diff := cmp.Diff([]string{"pause n0", "continue n0", "kill n1", "start n1"}, done); diff != "" {
		t.Error(diff)
	}
	if left := must[[]os.DirEntry](t)(os.ReadDir(h.Folder("n1"))); len(left) > 0 {
		t.Error("the folder is not empty")
	}
}

func TestBrokenPlayLeavesNoFault(t *testing.T) {
	parties, _ := world(t, 2)
	m := must[*Mesh](t)(NewMesh(parties, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	h := hands{t.TempDir(), make(chan string, 20)}
	over := errors.New("the run is over")
	p := Plan{
		Links:     []Event{{For: time.Hour, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Cut: true}}},
		Processes: []ProcessEvent{{For: time.Hour, How: Stop, Courier: "n0"}, {At: time.Minute, For: time.Hour, How: Stop, Courier: "n1"}},
	}
	err := m.Play(t.Context(), p, func(_ context.Context, at time.Duration) error {
		if at >= time.Minute {
			return over
		}
		return nil
	}, h)
	f, _ := m.links[Pair{"n0", "n1"}].lines[1].get()
	if !errors.Is(err, over) || f != (Fault{}) || len(h.done) != 2 || <-h.done != "pause n0" || <-h.done != "continue n0" {
		t.Fatalf("%v, in force %+v", err, f)
	}
}

func TestFolders(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	text := func(path string) string { x, _ := os.ReadFile(path); return string(x) }
	for _, d := range []string{a, b} {
		os.MkdirAll(filepath.Join(d, "sub"), 0o700)
		os.WriteFile(filepath.Join(d, "sub", "f"), []byte(filepath.Base(d)), 0o600)
	}
	must[int](t)(0, Save(a, a+".old"))
	must[int](t)(0, SwapFolders(a, b))
	if got := text(a + "/sub/f"); got != "b" {
		t.Fatalf("swapped: %q", got)
	}
	must[int](t)(0, Restore(a+".old", a))
	if got := text(a + "/sub/f"); got != "a" {
		t.Fatalf("restored: %q", got)
	}
	undo := must[func() error](t)(FillDisk(a))
	if err := os.WriteFile(a+"/sub/f", []byte("more"), 0o600); err == nil {
		t.Fatal("a full disk takes bytes")
	}
	must[int](t)(0, undo())
	if got := text(a + "/sub/f"); got != "a" {
		t.Fatalf("after a full disk: %q", got)
	}
	if err := Restore(filepath.Join(dir, "none"), a); err == nil || text(a+"/sub/f") != "a" {
		t.Fatalf("a missing snapshot: %v", err)
	}
	must[int](t)(0, EmptyFolder(a))
	if left := must[[]os.DirEntry](t)(os.ReadDir(a)); len(left) > 0 {
		t.Fatal("not empty")
	}
}
