package notify

import (
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/journal"
	"raventrestle/internal/net/nettest"
)

// A notification is repeated until the platform answers 204, and one that the platform can't read does not block the
// others.
func TestNotificationsAreSentUntilAcknowledged(t *testing.T) {
	platform := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		switch {
		case call.N == 1:
			return false // the connection is reset
		case call.N == 2:
			return nettest.Answer(nettest.Plain(503, "", ""))(c, call)
		case strings.Contains(call.Body, "bad"):
			return nettest.Answer(nettest.Plain(400, "", ""))(c, call)
		}
		return nettest.Answer("HTTP/1.1 204 No Content\r\n\r\n")(c, call)
	})
	acknowledged := make(chan string, 16)
	s := New(platform.Addr(), 16, nettest.Log, func(ids []string) {
		for _, id := range ids {
			acknowledged <- id
		}
	})
	s.Add(Notification{ID: "a", End: journal.End{Deferred: true, RetryAfterMS: 500}})
	s.Add(Notification{ID: "bad"})
	s.Add(Notification{ID: "b", End: journal.End{Deferred: true}})
	go s.Run(t.Context())
	got := map[string]bool{}
	for range 3 {
		got[nettest.Wait(t, "acknowledgment", acknowledged)] = true
	}
	if diff := cmp.Diff(map[string]bool{"a": true, "bad": true, "b": true}, got); diff != "" {
		t.Fatal(diff)
	}
	want := `{"id":"a","status":"deferred","again_ms":500}` + "\n" + `{"id":"bad","status":"undeliverable"}` + "\n" +
		`{"id":"b","status":"deferred"}` + "\n"
	if call := nettest.Wait(t, "call", platform.Calls); call.Path != "/v1/outcomes" || call.Body != want {
		t.Fatalf("%s %q", call.Path, call.Body)
	}
}
