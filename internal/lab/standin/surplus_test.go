package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A surplus answer comes where the next one is due, and is the answer before to the last byte; the next answer follows it.
func TestSurplusAnswerComesWhereTheNextOneIsDue(t *testing.T) {
	address, _, _ := startControl(t)
	e, err := Start(context.Background(), testOptions(address, func(o *Options) { o.RepeatAnswer = func(bool) bool { return true } }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.Stop(context.Background()) }()
	conn, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	for number, want := range [][]string{{"q0"}, {"q0", "q1"}, {"q1", "q2"}} {
		_, _ = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\n%s: q%d\r\n\r\n", headerID, number)
		for _, id := range want {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			answer, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := answer.Header.Get(headerID); got != id || answer.StatusCode != http.StatusOK {
				t.Errorf("request %d: got the answer %v to %q, want that to %q", number, answer.Status, got, id)
			}
			if answer.Body.Close() != nil {
				t.Errorf("request %d: the answer to %q is not complete", number, id)
			}
		}
	}
}
