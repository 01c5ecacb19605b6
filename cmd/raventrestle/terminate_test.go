package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// After SIGTERM, clients keep sending on every open connection and open new ones for 0.4 s. Each request on a new
// connection gets an answer. A request that is sent while the courier closes an idle connection sees a close without an
// answer, and the client can repeat it on a new connection.
func TestTerminateAnswersEveryRequest(t *testing.T) {
	end := nettest.NewPeer(t, nettest.Answer(nettest.Plain(200, "", "")))
	d := deploy(t, end)
	d.start()
	var unanswered, answered, rejected, crossed atomic.Int64
	ids := atomic.Int64{}
	// sendRequest sends one request and reads the answer. The argument newConn says whether the connection is new.
	sendRequest := func(c net.Conn, r *bufio.Reader, newConn bool) (reusable bool, err error) {
		id := fmt.Sprintf("t-%d", ids.Add(1))
		c.SetDeadline(time.Now().Add(nettest.Timeout))
		if _, err := fmt.Fprintf(c, "POST /free HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: 10\r\nX-Consignee: dest=7\r\nContent-Length: 2\r\n\r\nhi", id); err != nil {
			return false, err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			if newConn {
				unanswered.Add(1)
				t.Errorf("%s on a new connection: %v", id, err)
			} else {
				crossed.Add(1)
			}
			return false, err
		}
		io.Copy(io.Discard, res.Body)
		if answered.Add(1); res.StatusCode != http.StatusAccepted {
			rejected.Add(1)
		}
		return !res.Close, nil
	}
	var clients, warm sync.WaitGroup
	warm.Add(40)
	var until atomic.Int64 // until this time, clients open new connections
	until.Store(time.Now().Add(time.Hour).UnixNano())
	for range 40 {
		clients.Go(func() {
			warmed := sync.OnceFunc(warm.Done)
			defer warmed()
			for time.Now().UnixNano() < until.Load() {
				c, err := net.Dial("tcp", d.addr)
				if err != nil {
					t.Error(err)
					return
				}
				r := bufio.NewReader(c)
				for fresh, goesOn := true, true; goesOn; fresh = false {
					if goesOn, err = sendRequest(c, r, fresh); err != nil && fresh {
						return
					}
					warmed()
				}
				c.Close()
			}
		})
	}
	warm.Wait()
	began := time.Now()
	until.Store(began.Add(400 * time.Millisecond).UnixNano())
	if err := d.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	if err := nettest.Wait(t, "end", d.ended); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the shutdown took %v", took)
	}
	d.process = nil
	if rejected.Load() == 0 || answered.Load() < 80 {
		t.Errorf("%d answered, %d of them rejected: want at least 80, and at least one rejected during the shutdown", answered.Load(), rejected.Load())
	}
	t.Logf("%d answered, %d rejected, %d on a connection that was being closed", answered.Load(), rejected.Load(), crossed.Load())
	if _, err := net.Dial("tcp", d.addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after the exit: %v", err)
	}
}
