package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// figures are what the second address tells, by name.
func (d *deployment) figures() map[string]string {
	d.t.Helper()
	res, err := http.Get("http://" + d.admin + "/metrics")
	if err != nil {
		d.t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	all := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		all[name] = value
	}
	return all
}

// until waits for a figure.
func (d *deployment) until(name, value string) {
	d.t.Helper()
	for began := time.Now(); d.figures()[name] != value; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > nettest.Timeout {
			d.t.Fatalf("%s is %q, want %q", name, d.figures()[name], value)
		}
	}
}

// Settings that change in service: a class appears and is taken, one goes and is not, a broken file changes
// nothing, and what is under way keeps its class, in this life and in the next one, under whatever name.
func TestSettingsInService(t *testing.T) {
	var well atomic.Bool
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		return !well.Load() || nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	d := deploy(t, end)
	d.start()
	hangUp := func(config, figure, value string) {
		t.Helper()
		d.write(config)
		if err := d.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		d.until(figure, value)
	}
	file, err := os.ReadFile(d.config)
	if err != nil {
		t.Fatal(err)
	}
	whole := string(file)
	if code := d.submit("free", "old-terms", 15); code != 202 {
		t.Fatal(code)
	}
	nettest.Wait(t, "call", end.Calls)
	// free gets strict, guarded goes, more comes.
	next := strings.Replace(strings.Replace(whole, `"name":"guarded"`, `"name":"more"`, 1), `"effect":"free"`, `"effect":"single_shot"`, 1)
	hangUp(next, "app.config_reloads", "1")
	if more, gone := d.submit("more", "m", 15), d.submit("guarded", "g", 15); more != 202 || gone != 400 {
		t.Fatal(more, gone)
	}
	nettest.Wait(t, "call", end.Calls)
	for i, broken := range []string{
		"", whole[:len(whole)/2], strings.Replace(whole, `"deadline_us":20000000`, `"deadline_us":-5`, 1),
		strings.Replace(whole, `"send_cap":8`, `"send_cap":0`, 1),
	} {
		hangUp(broken, "app.config_reload_errors", string(rune('1'+i)))
	}
	if code := d.submit("guarded", "g", 15); code != 400 {
		t.Fatal("a broken file was taken:", code)
	}
	if code := d.submit("free", "new-terms", 15); code != 202 {
		t.Fatal(code)
	}
	nettest.Wait(t, "call", end.Calls)
	d.kill()
	well.Store(true)
	d.write(next)
	d.start()
	// All three may have run. The first one is as free to repeat as it was, the last one is not.
	if got := nettest.Wait(t, "notice", d.notices); got != `{"id":"new-terms","status":"undeliverable"}` {
		t.Fatal(got)
	}
	d.until("app.downstream_requests.free.completed", "1")
	d.until("app.downstream_requests.more.completed", "1")
	d.until("app.downstream_requests.free.failed", "1")
	d.until("app.pending", "0")
	if got := d.figures()["app.upstream_requests"]; got != "2" {
		t.Errorf("%s messages written", got)
	}
}
