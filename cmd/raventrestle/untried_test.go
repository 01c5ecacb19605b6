package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// What a life was killed with before any try is still tried by the next one: of 40 messages behind calls that hang, those
// that the endpoints never saw each get their call, and none is told to have ended before it.
func TestWhatIsUntriedOutlivesAKill(t *testing.T) {
	killed, tried := make(chan struct{}), make(chan string, 256)
	scripted := func() *nettest.Peer {
		return nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
			ids := []string{call.Header.Get("X-Txn")}
			answer := ""
			if call.Path == "/inbox/bulk" {
				ids = nil
				for line := range strings.Lines(call.Body) {
					if word := strings.Fields(line); len(word) == 3 && strings.HasPrefix(word[0], "u-") {
						ids = append(ids, word[0])
						answer += word[0] + " done\r\n"
					}
				}
			}
			for _, id := range ids {
				tried <- id
			}
			select {
			case <-killed:
				return nettest.Answer(nettest.Plain(200, "", answer))(c, call)
			default:
				return true // no answer in this life
			}
		})
	}
	d := deploy(t, scripted(), scripted())
	d.start()
	untried := map[string]bool{}
	for i := range 40 {
		id := fmt.Sprintf("u-%d", i)
		if code := d.submit("free", id, 9); code != 202 {
			t.Fatalf("%s answered %d", id, code)
		}
		untried[id] = true
	}
	d.kill()
	for len(tried) > 0 {
		delete(untried, <-tried)
	}
	if len(untried) < 20 {
		t.Fatalf("%d untried: the story does not reach its point", len(untried))
	}
	close(killed)
	d.start()
	n, late := len(untried), time.After(nettest.Timeout)
	for len(untried) > 0 {
		select {
		case id := <-tried:
			delete(untried, id)
		case end := <-d.notices:
			for id := range untried {
				if strings.Contains(end, fmt.Sprintf("%q", id)) {
					t.Fatalf("given up with no call: %s", end)
				}
			}
		case <-late:
			t.Fatalf("%d of %d have neither a call nor an end", len(untried), n)
		}
	}
}
