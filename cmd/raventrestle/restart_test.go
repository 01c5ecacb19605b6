package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// Messages that a process had not yet sent when it was killed are sent by the next one. Of 40 messages queued behind calls
// without an answer, each that no endpoint has seen gets a call, and none is reported as failed before it.
func TestUntriedMessagesSurviveKill(t *testing.T) {
	killed, attempted := make(chan struct{}), make(chan string, 256)
	newPeer := func() *nettest.Peer {
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
				attempted <- id
			}
			select {
			case <-killed:
				return nettest.Answer(nettest.Plain(200, "", answer))(c, call)
			default:
				return true // no answer from the first process's calls
			}
		})
	}
	d := deploy(t, newPeer(), newPeer())
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
	for len(attempted) > 0 {
		delete(untried, <-attempted)
	}
	if len(untried) < 20 {
		t.Fatalf("only %d messages without an attempt at the kill", len(untried))
	}
	close(killed)
	d.start()
	n, late := len(untried), time.After(nettest.Timeout)
	for len(untried) > 0 {
		select {
		case id := <-attempted:
			delete(untried, id)
		case end := <-d.notices:
			for id := range untried {
				if strings.Contains(end, fmt.Sprintf("%q", id)) {
					t.Fatalf("reported without a call: %s", end)
				}
			}
		case <-late:
			t.Fatalf("%d of %d have neither a call nor an outcome", len(untried), n)
		}
	}
}
