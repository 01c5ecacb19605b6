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

// metrics returns the values at the admin address, by name.
func (d *deployment) metrics() map[string]string {
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

// awaitMetric waits until the metric has the value.
func (d *deployment) awaitMetric(name, value string) {
	d.t.Helper()
	for began := time.Now(); d.metrics()[name] != value; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > nettest.Timeout {
			d.t.Fatalf("%s is %q, want %q", name, d.metrics()[name], value)
		}
	}
}

// The configuration is reloaded while messages are in flight. Messages of an added class are accepted and those of a
// removed class are rejected. An invalid file changes nothing. A message in flight keeps the terms of its class, in this
// process and in the next one, even if the class of that name has other terms by then.
func TestReloadWithMessagesInFlight(t *testing.T) {
	var healthy atomic.Bool
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		return !healthy.Load() || nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	d := deploy(t, end)
	d.start()
	reload := func(config, metric, value string) {
		t.Helper()
		d.write(config)
		if err := d.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		d.awaitMetric(metric, value)
	}
	file, err := os.ReadFile(d.config)
	if err != nil {
		t.Fatal(err)
	}
	validFile := string(file)
	if code := d.submit("free", "old-terms", 15); code != 202 {
		t.Fatal(code)
	}
	nettest.Wait(t, "call", end.Calls)
	// The class free becomes single_shot, guarded is removed and more is added.
	next := strings.Replace(strings.Replace(validFile, `"name":"guarded"`, `"name":"more"`, 1), `"effect":"free"`, `"effect":"single_shot"`, 1)
	reload(next, "app.config_reloads", "1")
	if added, removed := d.submit("more", "m", 15), d.submit("guarded", "g", 15); added != 202 || removed != 400 {
		t.Fatal(added, removed)
	}
	nettest.Wait(t, "call", end.Calls)
	for i, broken := range []string{
		"", validFile[:len(validFile)/2], strings.Replace(validFile, `"deadline_us":20000000`, `"deadline_us":-5`, 1),
		strings.Replace(validFile, `"send_cap":8`, `"send_cap":0`, 1),
	} {
		reload(broken, "app.config_reload_errors", string(rune('1'+i)))
	}
	if code := d.submit("guarded", "g", 15); code != 400 {
		t.Fatal("an invalid file was accepted:", code)
	}
	if code := d.submit("free", "new-terms", 15); code != 202 {
		t.Fatal(code)
	}
	nettest.Wait(t, "call", end.Calls)
	d.kill()
	healthy.Store(true)
	d.write(next)
	d.start()
	// All three may have been executed. The first one can still be repeated, the last one can't.
	if got := nettest.Wait(t, "notice", d.notices); got != `{"id":"new-terms","status":"undeliverable"}` {
		t.Fatal(got)
	}
	d.awaitMetric("app.downstream_requests.free.completed", "1")
	d.awaitMetric("app.downstream_requests.more.completed", "1")
	d.awaitMetric("app.downstream_requests.free.failed", "1")
	d.awaitMetric("app.pending", "0")
	if got := d.metrics()["app.upstream_requests"]; got != "2" {
		t.Errorf("%s messages written", got)
	}
}
