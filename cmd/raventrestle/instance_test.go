package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"raventrestle/internal/net/admin"
	"raventrestle/internal/net/nettest"
)

// Covers the status and drain commands. An instance becomes ready and shows its messages by channel. After drain, it
// rejects new messages and still delivers those that it has; after undrain, it accepts messages again. A second courier
// can't start in the same state directory.
func TestStatusAndDrainCommands(t *testing.T) {
	var healthy atomic.Bool
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		code := 503
		if healthy.Load() {
			code = 200
		}
		return nettest.Answer(nettest.Plain(code, "", ""))(c, call)
	})
	d := deploy(t, end)
	socket, file := filepath.Join(t.TempDir(), "admin.sock"), filepath.Join(t.TempDir(), "settings.cue")
	if err := os.WriteFile(file, fmt.Appendf(nil, "admin: socket: %q", socket), 0o600); err != nil {
		t.Fatal(err)
	}
	env := []string{"RAVENTRESTLE_SETTINGS=" + file, "EDGE_CONFIG=" + d.config}
	if out, complaint, code := runCommand(t, env, "status"); code != exitFailed || !strings.Contains(complaint, "no courier answers") {
		t.Errorf("no courier is running: %d %s%s", code, out, complaint)
	}
	t.Setenv("RAVENTRESTLE_SETTINGS", file)
	d.start()
	status := func() (s admin.Status) {
		t.Helper()
		out, complaint, code := runCommand(t, env, "status", "--json")
		if err := json.Unmarshal([]byte(out), &s); err != nil || code != 0 {
			t.Fatalf("%v %d %s%s", err, code, out, complaint)
		}
		return s
	}
	probe := func(path string) int {
		t.Helper()
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", socket)
		}
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
		res, err := client.Get("http://courier" + path)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	healthz := func() int {
		t.Helper()
		res, err := http.Get("http://" + d.addr + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if s := status(); s.Report.State != "ready" || !s.Report.Ready || s.Courier.MaxHeld != 50 || s.Name != "n0" {
		t.Fatalf("%+v", s)
	}
	if probe("/livez") != 200 || probe("/readyz") != 200 || healthz() != 200 {
		t.Error("a probe does not report the instance as ready")
	}
	if code := d.submit("free", "one", 8); code != 202 {
		t.Fatal(code)
	}
	s := status()
	if len(s.Courier.Channels) != 1 || s.Courier.Channels[0].Dest != 7 || s.Courier.Held != 1 || s.Courier.Pending != 1 || s.JournalBytes == 0 {
		t.Errorf("%+v", s.Courier)
	}
	if out, _, code := runCommand(t, env, "status"); code != 0 || !strings.Contains(out, "1 held of 50") || !strings.Contains(out, "s-0") {
		t.Errorf("%d %s", code, out)
	}

	if out, complaint, code := runCommand(t, env, "drain"); code != 0 || strings.TrimSpace(out) != "draining" {
		t.Fatalf("%d %s%s", code, out, complaint)
	}
	if code := d.submit("free", "two", 8); code != 503 || healthz() != 503 || probe("/readyz") != 503 || probe("/livez") != 200 {
		t.Errorf("after drain, a submission got %d", code)
	}
	if s := status(); s.Report.State != "draining" || !slices.Equal(s.Report.Reasons, []string{"it was asked to drain"}) {
		t.Errorf("%+v", s.Report)
	}
	if _, complaint, code := runCommand(t, env, "drain", "--wait", "300ms"); code != exitFailed || !strings.Contains(complaint, "still owes 1 messages") {
		t.Errorf("%d %s", code, complaint)
	}
	healthy.Store(true)
	if out, complaint, code := runCommand(t, env, "drain", "--wait", "20s"); code != 0 || !strings.Contains(out, "owes nothing") {
		t.Errorf("%d %s%s", code, out, complaint)
	}
	if out, _, code := runCommand(t, env, "undrain"); code != 0 || strings.TrimSpace(out) != "ready" {
		t.Errorf("%d %s", code, out)
	}
	if code := d.submit("free", "three", 8); code != 202 || healthz() != 200 {
		t.Errorf("after undrain, a submission got %d", code)
	}

	began := time.Now()
	if _, complaint, code := runCommand(t, env, "run"); code != exitLocked || !strings.Contains(complaint, "is in use by another courier") {
		t.Errorf("a second courier in the state directory: %d %s", code, complaint)
	}
	if time.Since(began) > 5*time.Second {
		t.Error("the second courier took more than 5 s to exit")
	}
	d.kill()
	d.start() // the lock ended with the process
	if s := status(); s.Report.State != "ready" {
		t.Errorf("%+v", s.Report)
	}
}
