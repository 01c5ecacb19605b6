package discovery

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/net/nettest"
)

const cachedListJSON = `{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:1","zone":"b",` +
	`"type":"m2","group":3,"status":"SERVING","weight":1.5,"since_ms":1500,"new":{"a":[]}}]}`

// The watcher starts with the cached list. Changes and complete lists follow; each watch starts right after the last answer
// and from its version. A failure is reported, and the next watch starts only on request.
func TestWatchFollowsList(t *testing.T) {
	answers := []string{
		nettest.Plain(200, "", `{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","address":"127.0.0.1:1",`+
			`"zone":"?","type":"?","group":3,"status":"DRAINING"},{"name":"s-2","status":"DELETED"},{"name":"s-3","status":"NEW"}]}`),
		nettest.Plain(200, "", `{"index":44,"snapshot":true,"endpoints":[]}`),
		nettest.Plain(503, "", ""),
		nettest.Plain(200, "", `{"endpoints":`),
		nettest.Plain(200, "", `{"index":45,"snapshot":false,"endpoints":[]}`),
	}
	discovery := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		if call.N > len(answers) {
			return true // a watch without an answer
		}
		return nettest.Answer(answers[call.N-1])(c, call)
	})
	names := &config.Names{Kinds: map[string]int{"m1": 0, "m2": 1}, Zones: map[string]int{"a": 0, "b": 1}}
	updates := make(chan Update, 16)
	settings := &raventrestle.Settings{ListOnRequest: true, ListRequestTimeout: 10 * time.Second}
	w := New(discovery.Addr(), []byte(cachedListJSON), settings, names, nettest.Log, func(u Update) { updates <- u })
	go w.Run(t.Context())
	entry := func(name string, state raventrestle.Readiness) Entry {
		return Entry{Entry: raventrestle.Entry{Target: raventrestle.TargetID(name), State: state, Kind: -1, Zone: -1}}
	}
	draining := entry("s-1", raventrestle.Draining)
	draining.Addr, draining.Dest = "127.0.0.1:1", 3
	want := []Update{
		{raventrestle.ListCached, []Entry{{Addr: "127.0.0.1:1", Entry: raventrestle.Entry{
			Target: "s-1", Dest: 3,
			Kind: 1, Zone: 1, RateLimit: 1.5, JoinedAt: 1500 * time.Millisecond,
		}}}, 41},
		{raventrestle.ListChanges, []Entry{draining, entry("s-2", raventrestle.Removed), entry("s-3", raventrestle.Draining)}, 43},
		{raventrestle.ListSnapshot, nil, 44},
		{Kind: raventrestle.ListFailed},
		{Kind: raventrestle.ListFailed},
		{raventrestle.ListChanges, nil, 45},
	}
	for i, expected := range want {
		if i == 0 || i >= 4 { // at the start and after each failure
			w.Subscribe()
		}
		if diff := cmp.Diff(expected, nettest.Wait(t, "update", updates)); diff != "" {
			t.Fatalf("update %d: %s", i, diff)
		}
		if expected.Kind == raventrestle.ListFailed {
			if n := len(discovery.Calls); n != i {
				t.Fatalf("%d calls after update %d: a watch started without a request", n, i)
			}
		}
	}
	var last time.Time
	for i, index := range []string{"41", "43", "44", "44", "44", "45"} {
		call := nettest.Wait(t, "watch", discovery.Calls)
		if !strings.HasPrefix(call.Query, "index="+index+"&wait=") {
			t.Errorf("watch %d: %s", i, call.Query)
		}
		// Discovery ends a watch whose next call comes more than 200 ms after its answer. The bound is wider, so that it detects
		// a pause in the code but not a busy machine.
		if gap := call.At.Sub(last); i == 1 && gap > time.Second {
			t.Errorf("the next watch came after %v", gap)
		}
		last = call.At
	}
}

// A cached list that can't be read does not prevent the start: the watcher fetches the complete list.
func TestUnreadableCachedListIsIgnored(t *testing.T) {
	for _, text := range []string{`{"index":`, `[]`, `{"endpoints":[]}`, `{"index":41,"endpoints":[{"name":7}]}`, "null"} {
		discovery := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", cachedListJSON)))
		updates := make(chan Update, 16)
		w := New(discovery.Addr(), []byte(text), &raventrestle.Settings{ListOnRequest: true}, &config.Names{}, nettest.Log, func(u Update) { updates <- u })
		go w.Run(t.Context())
		w.Subscribe()
		first, second := nettest.Wait(t, "update", updates), nettest.Wait(t, "update", updates)
		if first.Kind != raventrestle.ListCached || len(first.Entries) > 0 || second.Kind != raventrestle.ListSnapshot || len(second.Entries) != 1 {
			t.Errorf("%s: %+v, then %+v", text, first, second)
		}
		if call := nettest.Wait(t, "call", discovery.Calls); call.Query != "" {
			t.Errorf("%s: called with query %q", text, call.Query)
		}
	}
}
