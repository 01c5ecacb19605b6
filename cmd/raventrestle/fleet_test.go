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

// fellow is a courier of a fleet.
type fellow struct {
	*deployment
	name, bind, file string
	client           admin.Client
}

// quick are the settings' times for a story; the defaults are for a day.
const quick = "gossip_interval_s: 0.05, probe_interval_s: 0.2, seeds_interval_s: 0.2, "

// apart is a free address that no client connection of a test is given.
func apart(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newFellow deploys a courier with a fleet record; it does not start it.
func newFellow(t *testing.T, name, record string, peers ...*nettest.Peer) *fellow {
	t.Helper()
	if err := helper(); err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "fleet") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	f := &fellow{deployment: deploy(t, peers...), name: name, bind: apart(t), file: filepath.Join(dir, "settings.cue")}
	f.client.Path = filepath.Join(dir, "admin")
	conf, err := os.ReadFile(f.config)
	if err != nil {
		t.Fatal(err)
	}
	f.write(strings.Replace(string(conf), `"name":"n0"`, fmt.Sprintf(`"name":%q`, name), 1))
	f.settings(record)
	return f
}

func (f *fellow) settings(record string) {
	f.t.Helper()
	text := fmt.Appendf(nil, "admin: socket: %q\n", f.client.Path)
	if record != "" {
		text = fmt.Appendf(text, "fleet: {bind: %q, site: \"here\", %s}\n", f.bind, record)
	}
	if err := os.WriteFile(f.file, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fellow) begin() {
	f.t.Helper()
	f.t.Setenv("RAVENTRESTLE_SETTINGS", f.file)
	f.start()
}

// until waits for a status, which has no event.
func (f *fellow) until(what string, ok func(admin.Status) bool) admin.Status {
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

func (f *fellow) up(n int) admin.Status {
	f.t.Helper()
	return f.until(fmt.Sprint(n, " members"), func(s admin.Status) bool { return s.Fleet != nil && len(s.Fleet.Members) == n })
}

// heeds waits until the only endpoint is waited for so long.
func (f *fellow) heeds(least time.Duration) {
	f.t.Helper()
	f.until("waiting", func(s admin.Status) bool {
		return len(s.Courier.Channels) > 0 && len(s.Courier.Channels[0].Targets) > 0 && s.Courier.Channels[0].Targets[0].WaitRemaining > least
	})
}

func keyFile(t *testing.T, key string) string {
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Three couriers of a fleet, and what one of them is told: the others keep the wait without having called. One that is
// killed begins a larger epoch, and what its earlier life told is dead to whoever comes after. One with another key, and
// one whose seeds are not there, serve alone.
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
	submit := func(f *fellow, id string) {
		t.Helper()
		if code := f.submit("free", id, 15); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
	}
	key := keyFile(t, "0123456789abcdef")
	record := fmt.Sprintf(quick+"key_file: %q, seeds: [", key)
	var fleet []*fellow
	seeds := ""
	for _, name := range []string{"a", "b", "c"} {
		f := newFellow(t, name, "", end)
		fleet = append(fleet, f)
		seeds += fmt.Sprintf("%q, ", f.bind)
	}
	for _, f := range fleet {
		f.settings(record + seeds + "]")
		f.begin()
	}
	a, b, c := fleet[0], fleet[1], fleet[2]
	wrong := newFellow(t, "d", fmt.Sprintf(quick+"key_file: %q, seeds: [%s]", keyFile(t, "fedcba9876543210"), seeds), end)
	wrong.begin()
	alone := newFellow(t, "e", fmt.Sprintf(quick+"seeds: [%q]", free(t)), end)
	alone.begin()
	for _, f := range fleet {
		f.up(3)
	}

	submit(a, "short")
	first := called("short")
	b.heeds(0)
	c.heeds(0)
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
			t.Errorf("%s is called %v after a wait of %v was told", id, at, short)
		case !late[id] && at < short:
			early++
		}
		delete(late, id)
	}
	if early != 2 {
		t.Errorf("%d of the two that no one told were called at once", early)
	}
	wrong.up(1)
	alone.up(1)

	submit(a, "long")
	called("long")
	b.heeds(long / 2)
	c.heeds(long / 2)
	old := a.up(3).Fleet.Epoch
	a.kill()
	a.begin()
	epoch := a.up(3).Fleet.Epoch
	if epoch <= old {
		t.Errorf("epoch %d after %d", epoch, old)
	}
	for _, f := range fleet {
		f.until("aware of the new life", func(s admin.Status) bool { return len(s.Fleet.Members) == 3 && s.Fleet.Members[0].Epoch == epoch })
	}
	f := newFellow(t, "f", record+seeds+"]", end)
	f.begin()
	f.up(4)
	submit(f, "of-f")
	called("of-f")
	b.heeds(long / 2) // what it had heeded it keeps

	began := time.Now()
	if err := c.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := nettest.Wait(t, "end", c.ended); err != nil || time.Since(began) > 3*time.Second {
		t.Errorf("the end took %v: %v", time.Since(began), err)
	}
	c.process = nil
	b.up(3)
	if _, err := os.Stat(filepath.Join(c.state, "facts.snapshot")); err != nil {
		t.Error(err)
	}
	if out, complaint, code := command(t, nil, "status", "--socket", b.client.Path); code != 0 || !strings.Contains(out, "3 up: a (here, life ") {
		t.Error(code, complaint, out)
	}
}
