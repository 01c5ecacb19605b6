package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/admin"
	"raventrestle/internal/net/nettest"
)

// fleetCourier is a courier that is a member of a fleet.
type fleetCourier struct {
	*deployment
	name, bind, settingsFile string
	client                   admin.Client
}

// fastIntervals are settings with short intervals, so that tests take less time.
const fastIntervals = "gossip_interval_s: 0.05, probe_interval_s: 0.2, seeds_interval_s: 0.2, "

// freeFleetAddress returns a free address on 127.0.0.2, which no client connection of a test gets as its local address.
func freeFleetAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newFleetCourier deploys a courier with the fleet settings but does not start it.
func newFleetCourier(t *testing.T, name, record string, peers ...*nettest.Peer) *fleetCourier {
	t.Helper()
	if err := buildHelper(); err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "fleet") // the length of a Unix socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	f := &fleetCourier{deployment: deploy(t, peers...), name: name, bind: freeFleetAddress(t), settingsFile: filepath.Join(dir, "settings.cue")}
	f.client.Path = filepath.Join(dir, "admin")
	conf, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	f.write(strings.Replace(string(conf), `"name":"n0"`, fmt.Sprintf(`"name":%q`, name), 1))
	f.writeSettings(record)
	return f
}

func (f *fleetCourier) writeSettings(record string) {
	f.t.Helper()
	text := fmt.Appendf(nil, "admin: socket: %q\n", f.client.Path)
	if record != "" {
		text = fmt.Appendf(text, "fleet: {bind: %q, site: \"here\", %s}\n", f.bind, record)
	}
	if err := os.WriteFile(f.settingsFile, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleetCourier) startWithSettings() {
	f.t.Helper()
	f.t.Setenv("RAVENTRESTLE_SETTINGS", f.settingsFile)
	f.start()
}

// awaitStatus polls the status until ok returns true.
func (f *fleetCourier) awaitStatus(what string, ok func(admin.Status) bool) admin.Status {
	f.t.Helper()
	ctx, stop := context.WithTimeout(f.t.Context(), nettest.Timeout)
	defer stop()
	for last := (admin.Status{}); ; time.Sleep(5 * time.Millisecond) {
		s, err := f.client.Status(ctx)
		if err == nil && ok(s) {
			return s
		}
		if ctx.Err() != nil {
			f.t.Fatalf("%s: not %s: %+v %+v %v", f.name, what, last.Courier, last.Fleet, err)
		}
		last = s
	}
}

func (f *fleetCourier) awaitMembers(n int) admin.Status {
	f.t.Helper()
	return f.awaitStatus(fmt.Sprint(n, " members"), func(s admin.Status) bool { return s.Fleet != nil && len(s.Fleet.Members) == n })
}

// awaitWait waits until the courier delays calls to its only endpoint by more than minWait.
func (f *fleetCourier) awaitWait(minWait time.Duration) {
	f.t.Helper()
	f.awaitStatus("waiting", func(s admin.Status) bool {
		return len(s.Courier.Channels) > 0 && len(s.Courier.Channels[0].Targets) > 0 && s.Courier.Channels[0].Targets[0].WaitRemaining > minWait
	})
}

func keyFile(t *testing.T, key string) string {
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Three couriers form a fleet. When an endpoint requests a wait from one, the others observe it without having called the
// endpoint. A courier that was killed restarts with a larger epoch, and couriers that join later ignore the facts of its
// earlier epoch. A courier with another key and one with unreachable seeds run alone.
func TestFleet(t *testing.T) {
	const short, long = 2500 * time.Millisecond, time.Minute
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		answer := nettest.Plain(200, "", "")
		switch call.Header.Get("X-Txn") {
		case "short":
			if call.N == 1 {
				answer = nettest.Plain(429, fmt.Sprintf("X-Come-Back-Ms: %d\r\n", short.Milliseconds()), "")
			}
		case "long":
			answer = nettest.Plain(429, fmt.Sprintf("X-Come-Back-Ms: %d\r\n", long.Milliseconds()), "")
		}
		return nettest.Answer(answer)(c, call)
	})
	called := func(id string) nettest.Call {
		t.Helper()
		for {
			if call := nettest.Wait(t, "call of "+id, end.Calls); call.Header.Get("X-Txn") == id {
				return call
			}
		}
	}
	submit := func(f *fleetCourier, id string) {
		t.Helper()
		if code := f.submit("free", id, 15); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
	}
	key := keyFile(t, "0123456789abcdef")
	record := fmt.Sprintf(fastIntervals+"key_file: %q, seeds: [", key)
	var fleet []*fleetCourier
	seeds := ""
	for _, name := range []string{"a", "b", "c"} {
		f := newFleetCourier(t, name, "", end)
		fleet = append(fleet, f)
		seeds += fmt.Sprintf("%q, ", f.bind)
	}
	for _, f := range fleet {
		f.writeSettings(record + seeds + "]")
		f.startWithSettings()
	}
	a, b, c := fleet[0], fleet[1], fleet[2]
	wrong := newFleetCourier(t, "d", fmt.Sprintf(fastIntervals+"key_file: %q, seeds: [%s]", keyFile(t, "fedcba9876543210"), seeds), end)
	wrong.startWithSettings()
	alone := newFleetCourier(t, "e", fmt.Sprintf(fastIntervals+"seeds: [%q]", freeAddress(t)), end)
	alone.startWithSettings()
	for _, f := range fleet {
		f.awaitMembers(3)
	}

	submit(a, "short")
	first := called("short")
	b.awaitWait(0)
	c.awaitWait(0)
	submit(b, "of-b")
	submit(c, "of-c")
	submit(wrong, "of-d")
	submit(alone, "of-e")
	early, late := 0, map[string]bool{"short": true, "of-b": true, "of-c": true}
	for len(late) > 0 {
		call := nettest.Wait(t, "call", end.Calls)
		id := call.Header.Get("X-Txn")
		switch at := call.At.Sub(first.At); {
		case late[id] && at < short:
			t.Errorf("%s is called %v after a wait of %v was requested", id, at, short)
		case !late[id] && at < short:
			early++
		}
		delete(late, id)
	}
	if early != 2 {
		t.Errorf("%d of the two calls of couriers outside the fleet came at once", early)
	}
	wrong.awaitMembers(1)
	alone.awaitMembers(1)

	submit(a, "long")
	called("long")
	b.awaitWait(long / 2)
	c.awaitWait(long / 2)
	old := a.awaitMembers(3).Fleet.Epoch
	a.kill()
	a.startWithSettings()
	epoch := a.awaitMembers(3).Fleet.Epoch
	if epoch <= old {
		t.Errorf("epoch %d after %d", epoch, old)
	}
	for _, f := range fleet {
		f.awaitStatus("aware of the new epoch", func(s admin.Status) bool { return len(s.Fleet.Members) == 3 && s.Fleet.Members[0].Epoch == epoch })
	}
	f := newFleetCourier(t, "f", record+seeds+"]", end)
	f.startWithSettings()
	f.awaitMembers(4)
	submit(f, "of-f")
	called("of-f")
	b.awaitWait(long / 2) // it still observes the wait that it already knew

	began := time.Now()
	if err := c.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := nettest.Wait(t, "end", c.ended); err != nil || time.Since(began) > 3*time.Second {
		t.Errorf("the shutdown took %v: %v", time.Since(began), err)
	}
	c.process = nil
	b.awaitMembers(3)
	if _, err := os.Stat(filepath.Join(c.state, "facts.snapshot")); err != nil {
		t.Error(err)
	}
	if out, complaint, code := runCommand(t, nil, "status", "--socket", b.client.Path); code != 0 || !strings.Contains(out, "3 up: a (here, life ") {
		t.Error(code, complaint, out)
	}
}
