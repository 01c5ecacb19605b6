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

const testTimeout = 5 * time.Second // limit for an event that must happen

func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// openTCPRelay returns a relay and both ends of a connection through it.
func openTCPRelay(t *testing.T) (r *Relay, clientConn, targetConn *net.TCPConn) {
	t.Helper()
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	r = must[*Relay](t)(Open(Options{Listen: "127.0.0.1:0", Target: l.Addr().String(), Protos: []Proto{TCP}, Seed: 1}))
	clientConn = must[net.Conn](t)(net.Dial("tcp", r.Addr())).(*net.TCPConn)
	targetConn = must[net.Conn](t)(l.Accept()).(*net.TCPConn)
	t.Cleanup(func() { clientConn.Close(); targetConn.Close(); l.Close(); r.Close() })
	return r, clientConn, targetConn
}

// expectNoData checks that no data arrives within the duration.
func expectNoData(t *testing.T, c net.Conn, d time.Duration) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(d))
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v, want no data", n, err)
	}
	c.SetReadDeadline(time.Now().Add(testTimeout))
}

func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
}

func TestPartitionDelaysBytesUntilItEnds(t *testing.T) {
	r, near, far := openTCPRelay(t)
	near.Write([]byte("before"))
	expectRead(t, far, "before")
	must[int](t)(0, r.Set(TCP, Forward, Fault{Cut: true}))
	near.Write([]byte("held"))
	far.Write([]byte("the other way"))
	expectRead(t, near, "the other way")
	expectNoData(t, far, 50*time.Millisecond)
	near.CloseWrite()
	r.Set(TCP, Forward, Fault{})
	expectRead(t, far, "held")
	if rest, err := io.ReadAll(far); err != nil || len(rest) > 0 {
		t.Fatalf("after the cut: got %q, %v, want EOF", rest, err)
	}
}

func TestNewConnectionsDuringPartition(t *testing.T) {
	r, _, _ := openTCPRelay(t)
	r.Set(TCP, Reverse, Fault{Cut: true, Refuse: true})
	if c, err := net.Dial("tcp", r.Addr()); err == nil { // otherwise it was reset before Dial returned
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read on a refused connection: %v", err)
		}
	}
	r.Set(TCP, Reverse, Fault{Cut: true})
	c := must[net.Conn](t)(net.Dial("tcp", r.Addr()))
	defer c.Close()
	expectNoData(t, c, 50*time.Millisecond)
	if n := r.Counts(TCP, Forward).Refused; n != 1 {
		t.Fatalf("%d connections refused, want 1", n)
	}
}

func TestDelayAndRateLimit(t *testing.T) {
	r, near, far := openTCPRelay(t)
	for name, c := range map[string]struct {
		f           Fault
		minDuration time.Duration
	}{
		"delay": {Fault{Delay: 80 * time.Millisecond}, 80 * time.Millisecond},
		"rate":  {Fault{Rate: 400}, 150 * time.Millisecond}, // 5 writes of 20 bytes with 4 pauses between them
	} {
		r.Set(TCP, Forward, c.f)
		begin := time.Now()
		near.Write(bytes.Repeat([]byte("x"), 100))
		expectRead(t, far, strings.Repeat("x", 100))
		if took := time.Since(begin); took < c.minDuration {
			t.Errorf("%s: took %v, want at least %v", name, took, c.minDuration)
		}
	}
}

func TestBackpressure(t *testing.T) {
	r, near, _ := openTCPRelay(t)
	r.Set(TCP, Forward, Fault{Cut: true})
	near.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	sent := 0
	for {
		n, err := near.Write(make([]byte, 1<<20))
		if sent += n; err != nil {
			break
		}
		if sent > 64<<20 {
			t.Fatalf("a cut link accepted %d bytes", sent)
		}
	}
	if near.Close(); !errors.Is(r.Close(), nil) {
		t.Fatal("closing the relay failed")
	}
}

func TestHalfOpen(t *testing.T) {
	for name, closeConn := range map[string]func(c *net.TCPConn){
		"FIN": func(c *net.TCPConn) { c.Close() },
		"RST": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r, near, far := openTCPRelay(t)
			r.Set(TCP, Forward, Fault{HalfOpen: true})
			near.Write([]byte("x"))
			expectRead(t, far, "x")
			closeConn(near)
			expectNoData(t, far, 50*time.Millisecond)
			for range 20 { // what it sends is discarded, and no FIN or RST comes back
				if _, err := far.Write(make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
			}
			expectNoData(t, far, 50*time.Millisecond)
			if n := r.Counts(TCP, Forward).Swallowed; n != 1 {
				t.Fatalf("%d discarded, want 1", n)
			}
		})
	}
}

func TestReset(t *testing.T) {
	r, near, far := openTCPRelay(t)
	near.Write([]byte("x"))
	expectRead(t, far, "x")
	r.Reset()
	for _, c := range []net.Conn{near, far} {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got %v, want a reset", err)
		}
	}
}

// checkPackets sends n numbered packets through a relay with the fault and checks that exactly those in want arrive,
// in that order.
func checkPackets(t *testing.T, seed uint64, f Fault, n int, want []byte) {
	t.Helper()
	target := must[*net.UDPConn](t)(net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	defer target.Close()
	r := must[*Relay](t)(Open(Options{Listen: "127.0.0.1:0", Target: target.LocalAddr().String(), Protos: []Proto{UDP}, Seed: seed}))
	defer r.Close()
	c := must[net.Conn](t)(net.Dial("udp", r.Addr()))
	defer c.Close()
	must[int](t)(0, r.Set(UDP, Forward, f))
	for i := range n {
		c.Write([]byte{byte(i)})
	}
	var got []byte
	buf := make([]byte, 10)
	target.SetReadDeadline(time.Now().Add(testTimeout))
	for range want {
		must[int](t)(target.Read(buf))
		got = append(got, buf[0])
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	expectNoData(t, target, 30*time.Millisecond)
}

func TestUDPFaults(t *testing.T) {
	order := []byte{0, 1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		f    Fault
		want []byte
	}{
		"no fault":    {Fault{}, order},
		"cut":         {Fault{Cut: true}, nil},
		"loss":        {Fault{Loss: 1}, nil},
		"duplication": {Fault{Double: 1}, []byte{0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5}},
		"reordering":  {Fault{Reorder: 1}, []byte{1, 0, 3, 2, 5, 4}},
		"jitter":      {Fault{Jitter: 5 * time.Millisecond}, order},
		"rate":        {Fault{Rate: 1000}, order},
	} {
		t.Run(name, func(t *testing.T) { checkPackets(t, 1, c.f, 6, c.want) })
	}
	for seed := range uint64(3) { // the same decisions as those of a sampler with the seed
		var want []byte
		f, sampler := Fault{Loss: 0.3, Double: 0.3}, NewSampler(seed, 0)
		for i := range 100 {
			if d := sampler.Decide(f); d.Double && !d.Drop {
				want = append(want, byte(i), byte(i))
			} else if !d.Drop {
				want = append(want, byte(i))
			}
		}
		checkPackets(t, seed, f, 100, want)
	}
}

func TestDecisionsDependOnSeedAndPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 50).Draw(t, "before")
		f := Fault{Loss: 0.5, Double: 0.5, Reorder: 0.5, Jitter: time.Second}
		a, b := NewSampler(seed, 3), NewSampler(seed, 3)
		for range n {
			a.Decide(Fault{Cut: rapid.Bool().Draw(t, "cut")})
			b.Decide(f)
		}
		for range 20 {
			if x, y := a.Decide(f), b.Decide(f); x != y {
				t.Fatalf("decisions differ after different faults: %+v and %+v", x, y)
			}
		}
	})
}

func TestInvalidFaultsAreRejected(t *testing.T) {
	r, _, _ := openTCPRelay(t)
	for field, f := range map[string]Fault{"reorder": {Reorder: 0.1}, "loss": {Loss: 0.1}, "double": {Double: 1}, "bytes_s": {Rate: -1}} {
		if err := r.Set(TCP, Forward, f); err == nil || !strings.Contains(err.Error(), "field "+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	if err := r.Set(UDP, Forward, Fault{}); err == nil {
		t.Error("a relay without UDP accepts a UDP fault")
	}
	if _, err := Open(Options{Listen: "192.0.2.1:0", Target: "127.0.0.1:1", Protos: []Proto{TCP}}); err == nil {
		t.Error("a relay listens on an address that is not a loopback address")
	}
}

// startNodes opens the sockets of couriers in two sites, of an endpoint in each site, and of discovery.
func startNodes(t *testing.T, couriers int) (nodes []Node, sockets []net.PacketConn) {
	t.Helper()
	add := func(name, site string, role Role, ip string) {
		l := must[net.Listener](t)(net.Listen("tcp", ip+":0"))
		t.Cleanup(func() { l.Close() })
		if role == Courier {
			u := must[net.PacketConn](t)(net.ListenPacket("udp", l.Addr().String()))
			t.Cleanup(func() { u.Close() })
			sockets = append(sockets, u)
		}
		nodes = append(nodes, Node{Name: name, Site: site, Role: role, Addr: l.Addr().String()})
	}
	for n := range couriers {
		add(fmt.Sprint("n", n), string(rune('a'+n%2)), Courier, fmt.Sprintf("127.77.0.%d", n+2))
	}
	add("e0", "a", Endpoint, "127.0.0.1")
	add("e1", "b", Endpoint, "127.0.0.1")
	add("disco", "", Discovery, "127.0.0.1")
	return nodes, sockets
}

func countDescriptors(t *testing.T) int {
	return len(must[[]os.DirEntry](t)(os.ReadDir("/proc/self/fd")))
}

func TestMeshOf32Couriers(t *testing.T) {
	nodes, sockets := startNodes(t, 32)
	before := countDescriptors(t)
	m := must[*Mesh](t)(NewMesh(nodes, 1, slog.New(slog.DiscardHandler)))
	if n := countDescriptors(t) - before; n > 70 {
		t.Errorf("32 couriers use %d descriptors, want at most 70", n)
	}
	buf := make([]byte, 10)
	for i, from := range sockets {
		for j, to := range sockets {
			if i == j {
				continue
			}
			at := must[string](t)(m.Addr(nodes[i].Name, nodes[j].Name))
			must[int](t)(from.WriteTo([]byte{byte(i), byte(j)}, must[*net.UDPAddr](t)(net.ResolveUDPAddr("udp", at))))
			to.SetReadDeadline(time.Now().Add(testTimeout))
			n, source, err := to.ReadFrom(buf)
			if frontend, _ := m.FrontendAddr(nodes[i].Name); err != nil || !bytes.Equal(buf[:n], []byte{byte(i), byte(j)}) || source.String() != frontend {
				t.Fatalf("%d to %d: got %v from %v, %v", i, j, buf[:n], source, err)
			}
		}
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	if n := countDescriptors(t) - before; n > 0 {
		t.Errorf("%d descriptors remain open after Close", n)
	}
}

func TestMeshIdentifiesSenderByAddress(t *testing.T) {
	nodes, _ := startNodes(t, 3)
	m := must[*Mesh](t)(NewMesh(nodes, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	at := must[string](t)(m.Addr("n0", "n1"))
	must[int](t)(0, m.Set("n0", "n1", Fault{Cut: true, Refuse: true, Loss: 0.5}))
	closed := func(ip string) bool {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp", at)
		if err != nil { // reset before Dial returned
			return true
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	if !closed("127.77.0.2") || closed("127.77.0.4") || !closed("127.0.0.1") || m.UnknownSources() != 1 {
		t.Fatalf("closed connections differ from those expected, or %d unknown sources, want 1", m.UnknownSources())
	}
	if err := m.Set("n0", "disco", Fault{Loss: 0.5}); err == nil {
		t.Fatal("a TCP link accepts packet loss")
	}
}

// recordedProcesses implements Processes and records the calls.
type recordedProcesses struct {
	dir     string
	actions chan string
}

func (h recordedProcesses) Suspend(c string) error { h.actions <- "suspend " + c; return nil }
func (h recordedProcesses) Resume(c string) error  { h.actions <- "resume " + c; return nil }
func (h recordedProcesses) Kill(c string) error    { h.actions <- "kill " + c; return nil }
func (h recordedProcesses) Start(_ context.Context, c string) error {
	h.actions <- "start " + c
	return nil
}
func (h recordedProcesses) StateDir(c string) string    { return filepath.Join(h.dir, c) }
func (h recordedProcesses) SnapshotDir(c string) string { return filepath.Join(h.dir, c+".old") }

func TestDrawPlan(t *testing.T) {
	nodes, _ := startNodes(t, 4)
	var r FaultSpec
	if err := json.Unmarshal([]byte(`{"links": [
		{"between": "site:? <-> others", "at_s": [1, 2], "for_s": [3, 3], "cut": true},
		{"between": "courier -> discovery", "at_s": [5, 5], "for_s": [1, 1], "up_s": [1, 1], "times": 3, "cut": true},
		{"between": "courier@a <-> courier@b", "at_s": [0, 9], "for_s": [1, 1], "bytes_s": [100, 200]}],
		"processes": [{"how": "stop", "couriers": 2, "at_s": [10, 11], "for_s": [1, 2], "spread_s": [0, 1]},
		{"how": "empty", "couriers": 1, "site": "b", "at_s": [20, 20], "for_s": [1, 1]}]}`), &r); err != nil {
		t.Fatal(err)
	}
	p := must[Plan](t)(Draw(r, nodes, 5))
	if diff := cmp.Diff(p, must[Plan](t)(Draw(r, nodes, 5))); diff != "" {
		t.Fatal(diff)
	}
	if cmp.Equal(p, must[Plan](t)(Draw(r, nodes, 6))) {
		t.Fatal("another seed gives the same plan")
	}
	if len(p.Links) != 5 || len(p.Processes) != 3 {
		t.Fatalf("%+v", p)
	}
	for _, e := range p.Links {
		if e.For == 3*time.Second { // the cut between a site of 2 couriers and an endpoint, and 2 couriers, an endpoint and discovery
			if n := len(e.Pairs); n != 2*(2*2+2*1+2*1+2*1) {
				t.Errorf("the cut affects %d directions: %v", n, e.Pairs)
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
		var r FaultSpec
		json.Unmarshal([]byte(text), &r)
		if _, err := Draw(r, nodes, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestRunPlan(t *testing.T) {
	nodes, _ := startNodes(t, 2)
	m := must[*Mesh](t)(NewMesh(nodes, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	h := recordedProcesses{t.TempDir(), make(chan string, 20)}
	os.MkdirAll(h.StateDir("n1"), 0o700)
	os.WriteFile(filepath.Join(h.StateDir("n1"), "journal"), []byte("x"), 0o600)
	s := time.Second
	p := Plan{
		Links: []FaultEvent{
			{At: s, For: 4 * s, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Cut: true}},
			{At: 2 * s, For: s, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Rate: 10, Cut: true}},
		},
		Processes: []ProcessEvent{{At: 2 * s, For: 2 * s, How: SuspendProcess, Courier: "n0"}, {At: 6 * s, For: s, How: ClearDirectory, Courier: "n1"}},
	}
	seen := map[time.Duration]Fault{} // fault of the link before the steps at each time
	err := m.RunPlan(t.Context(), p, func(_ context.Context, at time.Duration) error {
		seen[at], _ = m.links[Pair{"n0", "n1"}].flows[1].get()
		return nil
	}, h)
	if err != nil {
		t.Fatal(err)
	}
	partition := Fault{Cut: true}
	want := map[time.Duration]Fault{s: {}, 2 * s: {Cut: true, Rate: 10}, 3 * s: {Cut: true, Rate: 10}, 4 * s: partition, 5 * s: partition, 6 * s: {}, 7 * s: {}}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Error(diff)
	}
	close(h.actions)
	var done []string
	for d := range h.actions {
		done = append(done, d)
	}
	if diff := cmp.Diff([]string{"suspend n0", "resume n0", "kill n1", "start n1"}, done); diff != "" {
		t.Error(diff)
	}
	if remaining := must[[]os.DirEntry](t)(os.ReadDir(h.StateDir("n1"))); len(remaining) > 0 {
		t.Error("the state directory is not empty")
	}
}

func TestInterruptedPlanLeavesNoFault(t *testing.T) {
	nodes, _ := startNodes(t, 2)
	m := must[*Mesh](t)(NewMesh(nodes, 1, slog.New(slog.DiscardHandler)))
	defer m.Close()
	h := recordedProcesses{t.TempDir(), make(chan string, 20)}
	errRunEnded := errors.New("the run has ended")
	p := Plan{
		Links:     []FaultEvent{{For: time.Hour, Pairs: []Pair{{"n0", "n1"}}, Fault: Fault{Cut: true}}},
		Processes: []ProcessEvent{{For: time.Hour, How: SuspendProcess, Courier: "n0"}, {At: time.Minute, For: time.Hour, How: SuspendProcess, Courier: "n1"}},
	}
	err := m.RunPlan(t.Context(), p, func(_ context.Context, at time.Duration) error {
		if at >= time.Minute {
			return errRunEnded
		}
		return nil
	}, h)
	f, _ := m.links[Pair{"n0", "n1"}].flows[1].get()
	if !errors.Is(err, errRunEnded) || f != (Fault{}) || len(h.actions) != 2 || <-h.actions != "suspend n0" || <-h.actions != "resume n0" {
		t.Fatalf("got error %v and active fault %+v", err, f)
	}
}

func TestDirectoryFaults(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	readFile := func(path string) string { x, _ := os.ReadFile(path); return string(x) }
	for _, d := range []string{a, b} {
		os.MkdirAll(filepath.Join(d, "sub"), 0o700)
		os.WriteFile(filepath.Join(d, "sub", "f"), []byte(filepath.Base(d)), 0o600)
	}
	must[int](t)(0, SaveSnapshot(a, a+".old"))
	must[int](t)(0, SwapDirs(a, b))
	if got := readFile(a + "/sub/f"); got != "b" {
		t.Fatalf("after the swap: %q", got)
	}
	must[int](t)(0, RestoreSnapshot(a+".old", a))
	if got := readFile(a + "/sub/f"); got != "a" {
		t.Fatalf("after the restore: %q", got)
	}
	undo := must[func() error](t)(SimulateFullDisk(a))
	if err := os.WriteFile(a+"/sub/f", []byte("more"), 0o600); err == nil {
		t.Fatal("a write to a full disk succeeded")
	}
	must[int](t)(0, undo())
	if got := readFile(a + "/sub/f"); got != "a" {
		t.Fatalf("after undo of the full disk: %q", got)
	}
	if err := RestoreSnapshot(filepath.Join(dir, "none"), a); err == nil || readFile(a+"/sub/f") != "a" {
		t.Fatalf("restore of a missing snapshot: %v", err)
	}
	must[int](t)(0, ClearDir(a))
	if remaining := must[[]os.DirEntry](t)(os.ReadDir(a)); len(remaining) > 0 {
		t.Fatal("the directory is not empty")
	}
}
