package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// The tests run the test program itself as the courier, in a new process.
func TestMain(m *testing.M) {
	if os.Getenv("RAVENTRESTLE_TEST_COURIER") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const platformSettings = `{"az":"a","failure_domains":["a","b"],"models":["k"],"balancers":1,"granularity_us":5000,` +
	`"membership_mode":"on_request","classes":[` +
	`{"name":"free","aim_us":2000000,"deadline_us":20000000,"effect":"free","group":"all","credit":1},` +
	`{"name":"guarded","aim_us":2000000,"deadline_us":20000000,"effect":"guarded","group":"zone","window_us":15000000,"credit":1},` +
	`{"name":"single","aim_us":2000000,"deadline_us":20000000,"effect":"single_shot","group":"all","credit":1}],` +
	`"limits":{"most_held":50,"send_cap":8,"connect_timeout_us":1000000,"idle_close_us":5000000},` +
	`"rules":{"answer_slack_us":20000,"ask_within_us":10000000},"specifics":{"call_slots":12,"bundle_max":[1]}}`

// deployment is the environment of a courier and its current process.
type deployment struct {
	t           *testing.T
	addr, admin string
	config      string
	state       string
	discovery   *nettest.Peer
	notices     chan string
	process     *exec.Cmd
	log         io.Writer
	ended       chan error
}

func deploy(t *testing.T, peers ...*nettest.Peer) *deployment {
	d := &deployment{t: t, state: t.TempDir(), notices: make(chan string, 64), log: os.Stderr}
	d.discovery = startDiscovery(t, d.notices, "")
	d.addr, d.admin = freeAddress(t), freeAddress(t)
	d.config = filepath.Join(t.TempDir(), "config.json")
	d.write(fmt.Sprintf(`{"name":"n0","listen":%q,"admin":%q,"discovery":%q,"seed":"8c1f30d27a5be964","state":%q,`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`,
		d.addr, d.admin, d.discovery.Addr(), d.state, endpointList(peers), platformSettings))
	t.Cleanup(d.kill)
	return d
}

// addressCount is how many addresses freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an address at which nobody listens. Each one is on a loopback host of its own: a port that is free
// now may otherwise be taken by any other socket before the address is used.
func freeAddress(t *testing.T) string {
	const hostsPerNet = 250
	number := int(addressCount.Add(1))
	host := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, number/hostsPerNet, 1+number%hostsPerNet)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDiscovery starts a discovery service that answers a poll with the list, unless it is empty, never answers a watch,
// and passes on the notices.
func startDiscovery(t *testing.T, notices chan string, list string) *nettest.Peer {
	return nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		switch {
		case call.Path == "/v1/outcomes":
			for line := range strings.Lines(call.Body) {
				notices <- strings.TrimSpace(line)
			}
			return nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n")(c, call)
		case call.Query == "" && list != "":
			return nettest.Answer(nettest.Plain(200, "", list))(c, call)
		}
		return true // a watch
	})
}

func endpointList(peers []*nettest.Peer) string {
	var entries []string
	for i, p := range peers { // zones a, b, a, ...
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":%q,"type":"k","group":7,"status":"SERVING",`+
			`"weight":1,"since_ms":0}`, i, p.Addr(), string("ab"[i%2])))
	}
	return fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
}

func (d *deployment) write(config string) {
	d.t.Helper()
	if err := os.WriteFile(d.config, []byte(config), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) start() {
	d.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		d.t.Fatal(err)
	}
	d.process = exec.Command(exe)
	d.process.Env = append(os.Environ(), "RAVENTRESTLE_TEST_COURIER=1", "EDGE_CONFIG="+d.config,
		"EDGE_DISCOVERY="+d.discovery.Addr())
	d.process.Stderr = d.log
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	p, ended := d.process, make(chan error, 1)
	d.ended = ended
	go func() {
		ended <- p.Wait()
		close(ended) // the cleanup may wait for an exit that the test has already received
	}()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) { // until it is ready
		if res, err := http.Get("http://" + d.addr + "/healthz"); err == nil {
			res.Body.Close()
			return
		}
		if time.Since(began) > nettest.Timeout {
			d.t.Fatal("the courier does not become ready")
		}
	}
}

func (d *deployment) kill() {
	if d.process != nil {
		d.process.Process.Kill()
		<-d.ended
		d.process = nil
	}
}

func (d *deployment) submit(class, id string, remaining float64) int {
	d.t.Helper()
	req, err := http.NewRequest("POST", "http://"+d.addr+"/"+class, strings.NewReader("body of "+id))
	if err != nil {
		d.t.Fatal(err)
	}
	for k, v := range map[string]string{
		"X-Txn": id, "X-Consignee": "dest=7", "X-Remaining": fmt.Sprint(remaining),
		"Idempotency-Key": "key-" + id,
	} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

// A courier is killed with calls in flight and restarted. Of the messages that may have been executed, a single shot is not
// sent again, a guarded message only to the same zone and a free one to any zone. A message whose deadline has passed gets
// its notice. No message is lost and none has two outcomes.
func TestKillAndRestart(t *testing.T) {
	first := map[string]string{} // the peer of the first call, by message ID
	again := make(chan string, 64)
	killed := make(chan struct{})
	newPeer := func(name string) *nettest.Peer {
		return nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
			select {
			case <-killed:
				again <- call.Header.Get("X-Txn") + " " + name
				return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
			default:
				return true // no answer to the first process
			}
		})
	}
	a, b := newPeer("s-0"), newPeer("s-1")
	d := deploy(t, a, b)
	d.start()
	for _, m := range []struct {
		class, id string
		left      float64
	}{{"guarded", "g", 10}, {"single", "s", 10}, {"free", "f", 10}, {"free", "short", 0.7}} {
		if code := d.submit(m.class, m.id, m.left); code != 202 {
			t.Fatalf("%s answered %d", m.id, code)
		}
		select {
		case c := <-a.Calls:
			first[c.Header.Get("X-Txn")] = "s-0"
		case c := <-b.Calls:
			first[c.Header.Get("X-Txn")] = "s-1"
		case <-time.After(nettest.Timeout):
			t.Fatalf("%s is not sent", m.id)
		}
	}
	d.kill()
	close(killed)
	time.Sleep(800 * time.Millisecond) // past the deadline of the message short
	d.start()
	notices := map[string]bool{nettest.Wait(t, "notice", d.notices): true, nettest.Wait(t, "notice", d.notices): true}
	if !notices[`{"id":"s","status":"undeliverable"}`] || !notices[`{"id":"short","status":"deferred"}`] {
		t.Fatalf("notices %v", notices)
	}
	sent := map[string]string{}
	for range 2 {
		id, peer, _ := strings.Cut(nettest.Wait(t, "second try", again), " ")
		sent[id] = peer
	}
	if sent["g"] != first["g"] || sent["f"] == "" {
		t.Fatalf("first sent %v, then %v", first, sent)
	}
	time.Sleep(50 * time.Millisecond) // time in which a wrong call would arrive
	d.kill()
	d.start()
	if len(again)+len(d.notices) > 0 {
		t.Fatal("the third process sent a message that had its outcome")
	}
}

// After SIGHUP, an unreadable file changes nothing. If the file has another discovery address, the list is requested and
// watched there, and notices go there. Calls in flight continue in the same process: when they fail after the change, the
// single shot's notice goes to the new discovery and the free message to the new peer.
func TestReload(t *testing.T) {
	release := make(chan struct{})
	unresponsive := nettest.NewPeer(t, func(net.Conn, nettest.Call) bool { <-release; return false })
	end := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	d := deploy(t, unresponsive)
	d.start()
	out := func(class, id string) {
		t.Helper()
		if code := d.submit(class, id, 10); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
		if call := nettest.Wait(t, "call", unresponsive.Calls); call.Header.Get("X-Txn") != id {
			t.Fatalf("%s is sent instead of %s", call.Header.Get("X-Txn"), id)
		}
	}
	out("single", "owed")
	if call := nettest.Wait(t, "watch", d.discovery.Calls); call.Query == "" {
		t.Fatal("no watch")
	}
	good, err := os.ReadFile(d.config)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(config string) {
		d.write(config)
		if err := d.process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	reload(`{"discovery":`)
	out("free", "more")
	fresh := make(chan string, 64)
	moved := startDiscovery(t, fresh, strings.Replace(endpointList([]*nettest.Peer{end}), "s-0", "s-9", 1))
	reload(strings.ReplaceAll(string(good), d.discovery.Addr(), moved.Addr()))
	d.discovery.Close()
	for _, want := range []string{"", "index=1&"} {
		if call := nettest.Wait(t, "request for the list", moved.Calls); !strings.HasPrefix(call.Query, want) {
			t.Fatalf("asked for %q, want %q", call.Query, want)
		}
	}
	if code := d.submit("free", "new", 10); code != 202 {
		t.Fatalf("answered %d", code)
	}
	if id := nettest.Wait(t, "call to the new peer", end.Calls).Header.Get("X-Txn"); id != "new" {
		t.Fatalf("%s is sent to the new peer while its call is in flight", id)
	}
	close(release)
	if got := nettest.Wait(t, "notice", fresh); got != `{"id":"owed","status":"undeliverable"}` {
		t.Fatal(got)
	}
	if id := nettest.Wait(t, "call to the new peer", end.Calls).Header.Get("X-Txn"); id != "more" {
		t.Fatalf("%s is sent to the new peer", id)
	}
	if len(d.notices) > 0 {
		t.Fatal("notices at the old discovery")
	}
}

// After SIGTERM, new submissions are rejected with an answer, the call in flight gets its answer, and the program exits
// with 0 within 3 s. The next process does not send the answered message again.
func TestTerminate(t *testing.T) {
	answer := make(chan struct{})
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		<-answer
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	d := deploy(t, end)
	d.start()
	if code := d.submit("single", "out", 10); code != 202 {
		t.Fatalf("answered %d", code)
	}
	nettest.Wait(t, "call", end.Calls)
	conn, err := net.Dial("tcp", d.addr) // stays idle after one request
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != 200 {
		t.Fatalf("%v %v", res, err)
	}
	began := time.Now()
	if err := d.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(nettest.Timeout))
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("an idle client connection: %v", err)
	}
	if code := d.submit("free", "late", 10); code != 503 {
		t.Fatalf("a late submission got %d", code)
	}
	close(answer)
	if err := nettest.Wait(t, "end", d.ended); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Fatalf("the shutdown took %v", took)
	}
	d.process = nil
	d.start()
	time.Sleep(50 * time.Millisecond) // time in which a wrong call would arrive
	if len(d.notices)+len(end.Calls) > 0 {
		t.Fatal("the answered message was sent or reported again")
	}
}
