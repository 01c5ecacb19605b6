package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"raventrestle/internal/net/nettest"
)

// service is one courier whose clients' socket the platform owns, with its clients and the record of its endpoint.
type service struct {
	*deployment
	t          *testing.T
	socket     *os.File
	mu         sync.Mutex
	effects    map[string]int // number of completely received calls, by message ID
	duplicated []string
	accepted   map[string]bool // IDs of messages that were answered with 202
	broken     atomic.Int64    // submissions on a connection that was refused, reset or closed without an answer
	refused    atomic.Int64
	stop       chan struct{}
	clients    sync.WaitGroup
}

// process is one of the courier's processes.
type process struct {
	*exec.Cmd
	admin string
	ended chan error
	log   *bytes.Buffer
}

func serviceUnderLoad(t *testing.T, seed uint64, clients int) *service {
	s := &service{t: t, effects: map[string]int{}, accepted: map[string]bool{}, stop: make(chan struct{})}
	var drawing sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 1))
	draw := func() float64 { drawing.Lock(); defer drawing.Unlock(); return rnd.Float64() }
	end := nettest.NewPeer(t, func(c net.Conn, call nettest.Call) bool {
		id := call.Header.Get("X-Txn")
		s.mu.Lock()
		s.effects[id]++
		if s.effects[id] > 1 && strings.HasPrefix(id, "single") {
			s.duplicated = append(s.duplicated, id)
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(draw()*200) * time.Millisecond)
		return nettest.Answer(nettest.Plain(200, "", ""))(c, call)
	})
	go func() {
		for range end.Calls {
		}
	}()
	s.deployment = deploy(t, end)
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if s.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.socket.Close() })
	for i := range clients {
		rnd := rand.New(rand.NewPCG(seed, 2+uint64(i)))
		s.clients.Go(func() { s.client(i, rnd) })
	}
	return s
}

// client submits one message after another, over a connection that it keeps open while the courier does.
func (s *service) client(i int, rnd *rand.Rand) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() * 150 * float64(time.Millisecond))):
		}
		id := fmt.Sprintf("%s-%d-%d", []string{"free", "guarded", "single"}[rnd.IntN(3)], i, n)
		class, _, _ := strings.Cut(id, "-")
		req, err := http.NewRequest("POST", "http://"+s.addr+"/"+class, strings.NewReader("body of "+id))
		if err != nil {
			panic(err)
		}
		req.GetBody = nil // a submission on a closing connection is counted and not repeated
		for k, v := range map[string]string{"X-Txn": id, "X-Consignee": "dest=7", "X-Remaining": "15", "Idempotency-Key": "key-" + id} {
			req.Header.Set(k, v)
		}
		res, err := client.Do(req)
		if err != nil {
			s.broken.Add(1)
			continue
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode != 202 {
			s.refused.Add(1)
			continue
		}
		s.mu.Lock()
		s.accepted[id] = true
		s.mu.Unlock()
	}
}

// launch starts a process of the courier; it does not wait until the process is ready.
func (s *service) launch() *process {
	s.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(exe), admin: freeAddress(s.t), ended: make(chan error, 1), log: &bytes.Buffer{}}
	p.Env = append(os.Environ(), "RAVENTRESTLE_TEST_COURIER=1", "EDGE_CONFIG="+s.config, "EDGE_ADMIN="+p.admin, "EDGE_SOCKET_FD=4")
	p.ExtraFiles = []*os.File{s.socket, s.socket} // 3 and 4
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	s.t.Cleanup(func() { p.Process.Kill() })
	return p
}

func (p *process) isReady() bool {
	res, err := http.Get("http://" + p.admin + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

func (s *service) awaitReady(p *process) {
	s.t.Helper()
	for began := time.Now(); !p.isReady(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 6*time.Second {
			s.t.Fatalf("not ready within 6 s\n%s", p.log)
		}
	}
}

// finishAndCheck stops the clients and checks that each accepted message has one outcome, that none was lost and that no
// single shot took effect twice.
func (s *service) finishAndCheck(last *process, mayFail bool) {
	s.t.Helper()
	close(s.stop)
	s.clients.Wait()
	ended := map[string]int{}
	failed := 0
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		for len(s.notices) > 0 {
			_, rest, _ := strings.Cut(<-s.notices, `"id":"`)
			id, _, _ := strings.Cut(rest, `"`)
			ended[id]++
			failed++
		}
		s.admin = last.admin
		if f := s.metrics(); f["app.pending"] == "0" {
			break
		}
		if time.Since(began) > nettest.Timeout {
			s.t.Fatalf("%v\n%s", s.metrics(), last.log)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.accepted {
		if s.effects[id] == 0 && ended[id] == 0 {
			s.t.Errorf("%s is lost", id)
		}
		if ended[id] > 1 {
			s.t.Errorf("%s has %d notices", id, ended[id])
		}
	}
	if len(s.duplicated) > 0 {
		s.t.Errorf("took effect twice: %v", s.duplicated)
	}
	if !mayFail {
		for id, n := range s.effects {
			if n > 1 {
				s.t.Errorf("%s was called %d times", id, n)
			}
		}
		if failed > 0 {
			s.t.Errorf("%d notices: %v", failed, ended)
		}
	}
	if len(s.accepted) < 20 {
		s.t.Errorf("only %d submitted", len(s.accepted))
	}
}

// In two consecutive upgrades under load, no submission is rejected or meets a refused, reset or closed connection. Every
// message takes effect once and gets no notice. The old process exits before the platform would send SIGKILL.
func TestUpgrade(t *testing.T) {
	s := serviceUnderLoad(t, 1, 8)
	old := s.launch()
	s.awaitReady(old)
	for range 2 {
		time.Sleep(400 * time.Millisecond)
		next := s.launch()
		s.awaitReady(next)
		began := time.Now()
		old.Process.Signal(syscall.SIGTERM)
		if err := nettest.Wait(t, "end of the old process", old.ended); err != nil {
			t.Fatalf("%v\n%s", err, old.log)
		}
		if took := time.Since(began); took > 3500*time.Millisecond {
			t.Errorf("the old process took %v", took)
		}
		old = next
	}
	time.Sleep(200 * time.Millisecond)
	s.finishAndCheck(old, false)
	if b, r := s.broken.Load(), s.refused.Load(); b+r > 0 {
		t.Errorf("%d submissions met a closed connection, %d were rejected", b, r)
	}
}

// One of the two processes is killed with SIGKILL at a random time: the old one before its SIGTERM, during the handover
// or at its end; or the new one before or just after it becomes ready, and then another is started. Accepted messages
// still get their outcome, a single shot takes effect at most once, and only submissions that the killed process had
// read meet a closed connection.
func TestUpgradeKilled(t *testing.T) {
	seeds := uint64(8)
	if n, err := strconv.ParseUint(os.Getenv("RAVENTRESTLE_UPGRADE_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 0))
			s := serviceUnderLoad(t, seed, 8)
			old := s.launch()
			s.awaitReady(old)
			time.Sleep(300 * time.Millisecond)
			next := s.launch()
			if seed%4 == 0 { // the new process is killed, before or after it becomes ready
				time.Sleep(time.Duration(rnd.Float64() * 100 * float64(time.Millisecond)))
				next.Process.Kill()
				<-next.ended
				next = s.launch()
			}
			s.awaitReady(next)
			if seed%4 == 1 { // the old process is killed before its SIGTERM
				old.Process.Kill()
			} else {
				old.Process.Signal(syscall.SIGTERM)
				if seed%4 == 2 {
					time.Sleep(time.Duration(rnd.Float64() * 30 * float64(time.Millisecond)))
					old.Process.Kill()
				} else if seed%4 == 3 {
					time.Sleep(time.Duration(rnd.Float64() * 1000 * float64(time.Millisecond)))
					old.Process.Kill()
				}
			}
			select {
			case <-old.ended:
			case <-time.After(3700 * time.Millisecond):
				t.Errorf("the old process did not exit in time; its log:\n%s", old.log)
			}
			time.Sleep(500 * time.Millisecond)
			s.finishAndCheck(next, true)
			if b := s.broken.Load(); b > 8 { // a client has one connection
				t.Errorf("%d submissions met a closed connection", b)
			}
		})
	}
}
