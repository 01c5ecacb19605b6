package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/deadletter"
	"raventrestle/internal/net/nettest"
	"raventrestle/internal/settings"
)

// buildHelper builds the settings helper into the directory of the test program, where the commands look for it.
var buildHelper = sync.OnceValue(func() error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	out, err := exec.Command("go", "build", "-o", filepath.Join(filepath.Dir(exe), settings.HelperProgram), "raventrestle/cmd/raventrestle-settings").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// runCommand runs the program with the arguments and returns its output, its error message and its exit code.
func runCommand(t *testing.T, env []string, args ...string) (out, complaint string, code int) {
	t.Helper()
	if err := buildHelper(); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(exe, args...)
	c.Env = append(append(os.Environ(), "RAVENTRESTLE_TEST_COURIER=1", "EDGE_CONFIG=", "RAVENTRESTLE_SETTINGS="), env...)
	var o, e bytes.Buffer
	c.Stdout, c.Stderr = &o, &e
	var exit *exec.ExitError
	if err := c.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return o.String(), e.String(), c.ProcessState.ExitCode()
}

// The exit codes of failures and of wrong usage differ, and an error message is one line on standard error.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good.cue", "log: level: \"warn\"\n"), write("bad.cue", "log: {\n\tlevle: \"warn\"\n}\n")
	for _, c := range []struct {
		args           []string
		code           int
		out, complaint string
	}{
		{[]string{"version"}, 0, "raventrestle", ""},
		{[]string{"version", "--json"}, 0, `"program": "raventrestle"`, ""},
		{[]string{"settings", "check", good}, 0, "valid", ""},
		{[]string{"settings", "check", bad}, 2, "", "bad.cue:2:2: field log.levle: no such field"},
		{[]string{"settings", "check", "--json", bad}, 2, `"valid": false`, "no such field"},
		{[]string{"settings", "check", filepath.Join(dir, "none")}, 2, "", "no such file"},
		{[]string{"settings", "show", good}, 0, `"level": "warn"`, ""},
		{[]string{"settings", "schema"}, 0, "#Settings", ""},
		{[]string{"settings", "check"}, 2, "", "accepts 1 arg"},
		{[]string{"run", "--settings", bad}, 2, "", "log.levle"},
		{[]string{"run"}, 1, "", "EDGE_CONFIG is not set"},
		{nil, 1, "", "EDGE_CONFIG is not set"},
		{[]string{"nonsense"}, 2, "", "unknown command"},
		{[]string{"completion", "bash"}, 0, "bash completion", ""},
		{[]string{"undeliverable", "list"}, 1, "", "no directory is given"},
		{[]string{"undeliverable", "list", "--state", "lost"}, 2, "", "unknown state"},
		{[]string{"undeliverable", "list", "--reason", "because"}, 2, "", "unknown reason"},
		{[]string{"undeliverable", "list", "--folder", dir}, 1, "", "no such file"},
		{[]string{"undeliverable", "discard", "--folder", dir, "--offline"}, 2, "", "--all"},
		{[]string{"undeliverable", "discard", "--folder", dir, "--all"}, 1, "", "--offline"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			out, complaint, code := runCommand(t, nil, c.args...)
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(complaint, c.complaint) {
				t.Fatalf("code %d\nout: %s\ncomplaint: %s", code, out, complaint)
			}
			if code != 0 && strings.Count(complaint, "\n") != 1 {
				t.Fatalf("not one line: %q", complaint)
			}
		})
	}
}

// logBuffer collects a courier's log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) await(t *testing.T, want string) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		text := l.text.String()
		l.mu.Unlock()
		if strings.Contains(text, want) {
			return
		}
		if time.Since(began) > nettest.Timeout {
			t.Fatalf("no %q in the log:\n%s", want, text)
		}
	}
}

// Covers the dead letter commands. A payment whose answer was lost is stored, listed as never to be sent again, and
// rejected by resend. A rate change that was not executed is sent again when its channel works again. A truncated
// settings file changes nothing. The directory of a stopped courier can be read, and changed only with --offline. Two
// couriers can't use one store.
func TestDeadLetterCommands(t *testing.T) {
	if err := buildHelper(); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	healthy := false
	calls := map[string]int{}
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		mu.Lock()
		defer mu.Unlock()
		id := call.Header.Get("X-Txn")
		calls[id]++
		if id == "pay" {
			return false // reset after the last byte of the request
		}
		code := 503
		if healthy {
			code = 200
		}
		return nettest.Answer(nettest.Plain(code, "", ""))(c, call)
	})
	d := deploy(t, end)
	socket := filepath.Join(t.TempDir(), "admin.sock")
	file := filepath.Join(t.TempDir(), "settings.cue")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := fmt.Sprintf("log: format: \"json\"\nadmin: socket: %q\nundeliverable: {keep: true, resend: {backoff_s: 0.1, max_backoff_s: 0.1}}\n", socket)
	write(good)
	t.Setenv("RAVENTRESTLE_SETTINGS", file)
	log := &logBuffer{}
	d.log = log
	d.start()
	for _, m := range []struct {
		class, id string
	}{{"single", "pay"}, {"free", "rate"}} {
		if code := d.submit(m.class, m.id, 1.5); code != 202 {
			t.Fatalf("%s answered %d", m.id, code)
		}
	}
	got := map[string]bool{nettest.Wait(t, "notice", d.notices): true, nettest.Wait(t, "notice", d.notices): true}
	if !got[`{"id":"pay","status":"undeliverable"}`] {
		t.Fatal(got)
	}
	var items []deadletter.Item
	list := func(args ...string) {
		t.Helper()
		out, complaint, code := runCommand(t, []string{"RAVENTRESTLE_SETTINGS=" + file, "EDGE_CONFIG=" + d.config}, append([]string{"undeliverable", "list", "--json"}, args...)...)
		items = nil
		if err := json.Unmarshal([]byte(out), &items); err != nil || code != 0 {
			t.Fatalf("%v %d %s %s", err, code, out, complaint)
		}
	}
	list("--class", "single")
	if len(items) != 1 || items[0].ID != "pay" || items[0].Reason != "may_have_run" || len(items[0].Attempts) != 1 || items[0].Attempts[0].Outcome != "reset" {
		t.Fatalf("%+v", items)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatal(info, err)
	}
	env := []string{"RAVENTRESTLE_SETTINGS=" + file}
	out, _, code := runCommand(t, env, "undeliverable", "resend", "pay")
	if code != 0 || !strings.Contains(out, "must never be sent again") || !strings.Contains(out, "0 of 1 dead letters") {
		t.Fatal(code, out)
	}
	out, _, code = runCommand(t, env, "undeliverable", "show", "pay")
	if code != 0 || !strings.Contains(out, "may have run") || !strings.Contains(out, `"body of pay"`) {
		t.Fatal(code, out)
	}
	if _, complaint, code := runCommand(t, env, "undeliverable", "show", "none"); code != 1 || !strings.Contains(complaint, "no such dead letter") {
		t.Fatal(code, complaint)
	}

	// Reload the settings: a truncated file, then an unknown field, then a valid file.
	for _, c := range []struct{ text, logged string }{
		{good[:len(good)/2], "settings: not reloaded, the old ones stay in use"},
		{good + "undeliverable: max_age_ms: 5\n", "max_age_ms: no such field"},
		{good + "log: level: \"debug\"\n", "settings: reloaded"},
	} {
		write(c.text)
		if err := d.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		log.await(t, c.logged)
	}
	list()
	n := len(items)

	// Two couriers with one store: the second accepts messages and stores no dead letters.
	second := deploy(t, end)
	other := filepath.Join(t.TempDir(), "second.cue")
	if err := os.WriteFile(other, []byte(fmt.Sprintf("undeliverable: {keep: true, folder: %q}\n", filepath.Join(d.state, "undeliverable"))), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RAVENTRESTLE_SETTINGS", other)
	second.log = &logBuffer{}
	second.start()
	second.log.(*logBuffer).await(t, "another process has the store open")
	if code := second.submit("free", "x", 1); code != 202 {
		t.Fatal(code)
	}
	second.kill()

	// The courier is stopped: its directory can be read, and changed only with --offline.
	d.kill()
	list()
	if len(items) != n {
		t.Fatalf("%d dead letters, and %d before", len(items), n)
	}
	if _, complaint, code := runCommand(t, env, "undeliverable", "discard", "pay", "--settings", file); code != 1 ||
		!strings.Contains(complaint, "--offline") && !strings.Contains(complaint, "no courier answers") {
		t.Fatal(code, complaint)
	}
	dir := filepath.Join(d.state, "undeliverable")
	if out, complaint, code := runCommand(t, env, "undeliverable", "discard", "pay", "--offline", "--folder", dir); code != 0 || !strings.Contains(out, "1 of 1") {
		t.Fatal(code, out, complaint)
	}
	if out, complaint, code := runCommand(t, env, "undeliverable", "check", "--folder", dir); code != 0 {
		t.Fatal(code, out, complaint)
	}
	mu.Lock()
	healthy = true
	before := calls["rate"]
	mu.Unlock()
	if out, complaint, code := runCommand(t, env, "undeliverable", "resend", "rate", "--offline", "--folder", dir); code != 0 || n == 2 && !strings.Contains(out, "1 of 1") {
		t.Fatal(code, out, complaint)
	}
	t.Setenv("RAVENTRESTLE_SETTINGS", file)
	d.start()
	if n == 2 { // the rate change is a dead letter too, and was not deferred
		for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			list("--state", "delivered")
			if len(items) == 1 && items[0].ID == "rate" {
				break
			}
			if time.Since(began) > nettest.Timeout {
				list()
				t.Fatalf("%+v", items)
			}
		}
	}
	list("--state", "discarded")
	if len(items) != 1 || items[0].ID != "pay" {
		t.Fatalf("%+v", items)
	}
	mu.Lock()
	defer mu.Unlock()
	if calls["pay"] != 1 || n == 2 && calls["rate"] != before+1 {
		t.Fatal(calls)
	}
	if len(d.notices) > 0 {
		t.Fatal("an outcome was reported twice: ", <-d.notices)
	}
}

// A payment that timed out, was reset after its last byte, or was in flight at a SIGKILL is stored as a dead letter and
// listed as never to be sent again. The resend command rejects it, and it is not resent automatically when its channel
// delivers other messages.
func TestNonIdempotentDeadLettersAreNotResent(t *testing.T) {
	if err := buildHelper(); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	calls := map[string]int{}
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		id := call.Header.Get("X-Txn")
		mu.Lock()
		calls[id]++
		mu.Unlock()
		switch id {
		case "reset":
			return false
		case "timeout", "killed":
			return true // no answer
		}
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	d := deploy(t, end)
	file := filepath.Join(t.TempDir(), "settings.cue")
	socket := filepath.Join(t.TempDir(), "admin.sock")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("admin: socket: %q\nundeliverable: {keep: true, resend: {backoff_s: 0.05, max_backoff_s: 0.05}}\n", socket)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RAVENTRESTLE_SETTINGS", file)
	d.start()
	submit := func(class, id string, left float64) {
		t.Helper()
		if code := d.submit(class, id, left); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
	}
	submit("single", "reset", 10)
	submit("single", "timeout", 1)
	nettest.Wait(t, "notice", d.notices)
	nettest.Wait(t, "notice", d.notices)
	submit("single", "killed", 10)
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		n := calls["killed"]
		mu.Unlock()
		if n > 0 {
			break
		}
		if time.Since(began) > nettest.Timeout {
			t.Fatal("not sent")
		}
	}
	d.kill()
	d.start()
	if got := nettest.Wait(t, "notice", d.notices); got != `{"id":"killed","status":"undeliverable"}` {
		t.Fatal(got)
	}
	submit("free", "well", 10) // the channel delivers
	time.Sleep(400 * time.Millisecond)
	env := []string{"RAVENTRESTLE_SETTINGS=" + file}
	out, complaint, code := runCommand(t, env, "undeliverable", "list", "--json")
	var items []deadletter.Item
	if err := json.Unmarshal([]byte(out), &items); err != nil || code != 0 {
		t.Fatal(err, complaint)
	}
	want := map[string]string{"reset": "reset", "timeout": "timed_out", "killed": ""}
	for _, it := range items {
		outcome, known := want[it.ID]
		if !known || it.Reason != "may_have_run" || !it.Permanent || len(it.Attempts) != 1 || it.Attempts[0].Outcome != outcome || len(it.Resends) > 0 {
			t.Errorf("%+v", it)
		}
		delete(want, it.ID)
	}
	if len(want) > 0 {
		t.Errorf("no dead letters of %v", want)
	}
	if out, _, code := runCommand(t, env, "undeliverable", "resend", "--all"); code != 0 || !strings.Contains(out, "0 of 3 dead letters") {
		t.Error(out)
	}
	time.Sleep(400 * time.Millisecond) // time in which a wrong resend would arrive
	mu.Lock()
	defer mu.Unlock()
	for _, id := range []string{"reset", "timeout", "killed"} {
		if calls[id] != 1 {
			t.Errorf("%s was sent %d times", id, calls[id])
		}
	}
}
