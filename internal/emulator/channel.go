package emulator

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Mode is what is the matter with an endpoint.
type Mode string

const (
	Well   Mode = "well"
	Errors Mode = "errors" // most calls fail; half of those have run
	Shut   Mode = "shut"   // every call is turned away
	Hang   Mode = "hang"   // calls are taken and not answered; half run
	Slow   Mode = "slow"   // answers take ten times as long
	Cut    Mode = "cut"    // connections break after the call; half have run
	Torn   Mode = "torn"   // connections break while the call is read; none has run
	Broken Mode = "broken" // the answer can't be read; all have run
)

// outage says that the mode leaves the endpoint cold when it ends.
func (m Mode) outage() bool { return m != Well && m != Slow }

// ChannelSpec is one channel. Times are ranges from which each call draws.
type ChannelSpec struct {
	Dest        int64
	Kind        string
	Floors      []string // one endpoint on each
	Service     map[string][2]time.Duration
	Limit       float64 // calls a second from all couriers, to the channel, or to a route apart; 0 for none
	Capacity    int     // calls served at once by an endpoint
	Queue       int     // calls that wait for that
	TellsWait   float64 // share of refusals that tell a wait
	Wait        time.Duration
	Apart       bool // its endpoints are routes with limits, waits and outages of their own
	Connections int  // that an endpoint holds; 0 for any number
	ColdFor     time.Duration
	StartShare  float64 // of its capacity, just after an outage
	Window      time.Duration
	Bulk        int
	Weight      float64 // of its part of the messages, against other channels'; 0 is 1
	Fails       float64 // share of the calls that run and are answered with an error, when it is well
}

// Channel is a destination at work.
type Channel struct {
	ChannelSpec
	ledger    *Ledger
	classOf   func(id string) (string, Allowed)
	Endpoints []*Endpoint
	onResend  func(courier int)

	mu   sync.Mutex
	seen map[string]time.Time // floor and key of what took effect there, and when
}

// Endpoint serves calls on a listener for each courier, so that it knows who calls.
type Endpoint struct {
	Name, Floor string
	channel     *Channel
	listeners   []net.Listener
	slots       chan struct{}

	mu       sync.Mutex
	rnd      *rand.Rand
	mode     Mode
	recover  time.Time // end of the last outage
	limiter  *rate.Limiter
	cold     *rate.Limiter
	waiting  int
	conns    map[net.Conn]bool
	waits    map[int]wait // by courier
	drained  map[int]time.Time
	sawFail  map[int]bool // couriers that saw a call fail here in the last outage
	came     []arrivalAt  // calls since the end of the outage
	fell     bool
	draining bool
}

type wait struct{ told, until time.Time }

type arrivalAt struct {
	at      time.Time
	courier int
	resend  bool
}

// Rules of a returning channel.
const (
	fallMultiple = 2.5
	fallAfter    = 2 * time.Second
)

// NewChannel listens for so many couriers.
func NewChannel(spec ChannelSpec, couriers int, ledger *Ledger, seed uint64, classOf func(string) (string, Allowed)) (*Channel, error) {
	c := &Channel{ChannelSpec: spec, ledger: ledger, classOf: classOf, seen: map[string]time.Time{}, onResend: func(int) {}}
	for i, floor := range spec.Floors {
		e := &Endpoint{Name: fmt.Sprintf("s-%d-%d", spec.Dest, i), Floor: floor, channel: c, mode: Well,
			rnd: rand.New(rand.NewPCG(seed, uint64(spec.Dest)<<8|uint64(i))), slots: make(chan struct{}, spec.Capacity),
			conns: map[net.Conn]bool{}, waits: map[int]wait{}, drained: map[int]time.Time{}, sawFail: map[int]bool{}}
		limit := rate.Inf
		if spec.Limit > 0 {
			limit = rate.Limit(spec.Limit)
		}
		e.limiter = rate.NewLimiter(limit, max(int(spec.Limit), 1))
		e.cold = rate.NewLimiter(rate.Limit(e.rate()), 1)
		for n := range couriers {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, errors.Join(err, c.Close())
			}
			e.listeners = append(e.listeners, l)
			go e.accept(l, n)
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	if !spec.Apart { // one limit for all
		for _, e := range c.Endpoints[1:] {
			e.limiter = c.Endpoints[0].limiter
		}
	}
	return c, nil
}

// rate is about what the endpoint can do, in calls a second.
func (e *Endpoint) rate() float64 {
	mean, n := 0.0, 0.0
	for _, r := range e.channel.Service {
		mean, n = mean+(r[0]+r[1]).Seconds()/2, n+1
	}
	return float64(e.channel.Capacity) * n / mean
}

// Close ends the channel's listeners and connections.
func (c *Channel) Close() (err error) {
	for _, e := range c.Endpoints {
		for _, l := range e.listeners {
			err = errors.Join(err, l.Close())
		}
		e.hangUp()
	}
	return err
}

func (e *Endpoint) hangUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// Addr is where the courier reaches the endpoint.
func (e *Endpoint) Addr(courier int) string { return e.listeners[courier].Addr().String() }

// Set changes what is the matter with all endpoints of the channel.
func (c *Channel) Set(m Mode, at time.Time) {
	for _, e := range c.Endpoints {
		e.Set(m, at)
	}
}

// Set changes what is the matter with the endpoint.
func (e *Endpoint) Set(m Mode, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mode.outage() && !m.outage() {
		e.recover, e.came = at, nil
	}
	if m.outage() && !e.mode.outage() {
		clear(e.sawFail)
		e.recover, e.fell = time.Time{}, false
	}
	e.mode = m
}

// Drain notes that the courier has been told that the endpoint takes nothing new.
func (e *Endpoint) Drain(courier int, told time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drained[courier].IsZero() {
		e.drained[courier] = told
	}
}

// Restarted ends the waits that the courier was told.
func (e *Endpoint) Restarted(courier int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waits, courier)
}

func (e *Endpoint) accept(l net.Listener, courier int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		full := e.channel.Connections > 0 && len(e.conns) >= e.channel.Connections
		if !full {
			e.conns[c] = true
		}
		e.mu.Unlock()
		if full {
			io.WriteString(c, "HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			c.Close()
			continue
		}
		go e.serve(c, courier)
	}
}

type part struct {
	id, key string
	body    []byte
}

func (e *Endpoint) serve(c net.Conn, courier int) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	_, err := r.Peek(1)
	for err == nil {
		began := time.Now()
		e.mu.Lock()
		torn := e.mode == Torn
		e.mu.Unlock()
		if torn {
			reset(c)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, 64<<10+1))
		if err != nil {
			return
		}
		// While the call is served, the connection's end is its end.
		gone, next := make(chan struct{}), make(chan error, 1)
		go func() {
			_, err := r.Peek(1)
			if err != nil {
				close(gone)
			}
			next <- err
		}()
		parts, code := parts(req, body, max(e.channel.Bulk, 1))
		if code != 0 {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", code); err != nil {
				return
			}
		} else if !e.call(c, gone, courier, parts, began, strings.HasSuffix(req.URL.Path, "/bulk")) {
			return
		}
		if err = <-next; err != nil {
			return
		}
	}
}

// parts are the messages of a call, or the code of what is wrong with it.
func parts(req *http.Request, body []byte, most int) ([]part, int) {
	switch {
	case req.Method != http.MethodPost:
		return nil, 404
	case len(body) > 64<<10:
		return nil, 413
	case req.URL.Path == "/inbox":
		return []part{{req.Header.Get("X-Txn"), req.Header.Get("Idempotency-Key"), body}}, 0
	case req.URL.Path != "/inbox/bulk":
		return nil, 404
	}
	var all []part
	for len(body) > 0 {
		line, rest, found := bytes.Cut(body, []byte("\r\n"))
		f := strings.Fields(string(line))
		if !found || len(f) != 3 {
			return nil, 400
		}
		n, err := strconv.Atoi(f[2])
		if err != nil || n < 0 || len(rest) < n+2 || string(rest[n:n+2]) != "\r\n" {
			return nil, 400
		}
		if f[1] == "-" {
			f[1] = ""
		}
		for _, p := range all {
			if p.id == f[0] {
				return nil, 400
			}
		}
		all, body = append(all, part{f[0], f[1], rest[:n]}), rest[n+2:]
	}
	if len(all) == 0 {
		return nil, 400
	}
	if len(all) > most {
		return nil, 413
	}
	return all, 0
}

// reset ends the connection so that the other side reads a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// call serves one call whose last byte has come, and says whether the connection goes on.
func (e *Endpoint) call(c net.Conn, gone <-chan struct{}, courier int, parts []part, began time.Time, bulk bool) bool {
	now := time.Now()
	e.told(courier, parts[0].id, began)
	codes, calls := make([]int, len(parts)), make([]int, len(parts))
	again := false
	for i, p := range parts {
		call, code, resend := e.channel.ledger.Begin(p.id, e.channel.Dest, e.Name, e.Floor, courier, now)
		codes[i], calls[i] = code, call
		if resend {
			again = true
			e.channel.onResend(courier)
		}
	}
	var once sync.Once
	end := func(code int) {
		once.Do(func() {
			at := time.Now()
			for i, p := range parts {
				e.channel.ledger.End(p.id, calls[i], cmp.Or(codes[i], code), at)
			}
		})
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-gone:
			end(0)
		case <-ended:
		}
	}()
	mode, code, after := e.admit(courier, again, now)
	if code != 0 {
		head := ""
		if after > 0 {
			head = fmt.Sprintf("X-Come-Back-Ms: %d\r\n", after.Milliseconds())
		}
		end(code) // before it is written: a courier may be quick
		e.wait(courier, after)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, head)
		return err == nil
	}
	e.mu.Lock()
	runs, fails, slips := e.rnd.Float64() < 0.5, e.rnd.Float64() < 0.8, e.rnd.Float64() < e.channel.Fails
	service := e.draw(parts[0].id)
	e.mu.Unlock()
	var repeat []bool
	if silent := mode == Cut || mode == Hang; !(silent || mode == Errors && fails) || runs {
		repeat = e.register(parts, codes, now)
	}
	switch mode {
	case Cut:
		if runs {
			e.effect(parts, codes, repeat)
		}
		e.failed(courier)
		end(0)
		reset(c)
		return false
	case Hang:
		if runs {
			e.effect(parts, codes, repeat)
		}
		e.failed(courier)
		<-gone // until the courier gives up
		end(0)
		return false
	case Slow:
		service *= 10
	}
	e.slots <- struct{}{}
	time.Sleep(service)
	<-e.slots
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	if mode == Errors && fails {
		if runs {
			e.effect(parts, codes, repeat)
		}
		e.failed(courier)
		end(500)
		_, err := io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	e.effect(parts, codes, repeat)
	if mode == Broken {
		e.failed(courier)
		end(0)
		io.WriteString(c, "HTTP/x.1 tw\x00 hundred\r\n\r\n")
		return false
	}
	if slips {
		end(500)
		_, err := io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	text := e.answer(parts, codes, bulk)
	// Whether the courier read the whole answer can't be seen from here: what was written counts.
	_, err := c.Write(text)
	if err != nil {
		end(0)
		return false
	}
	end(200)
	return true
}

func (e *Endpoint) answer(parts []part, codes []int, bulk bool) []byte {
	if !bulk {
		code := 200
		if codes[0] != 0 {
			code = codes[0]
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", code)
	}
	var b strings.Builder
	for i, p := range parts {
		word := "done"
		if codes[i] != 0 {
			word = "void"
		}
		fmt.Fprintf(&b, "%s %s\r\n", p.id, word)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", b.Len(), b.String())
}

func (e *Endpoint) draw(id string) time.Duration {
	class, _ := e.channel.classOf(id)
	r, ok := e.channel.Service[class]
	if !ok {
		r = [2]time.Duration{50 * time.Millisecond, 100 * time.Millisecond}
	}
	return r[0] + time.Duration(e.rnd.Float64()*float64(r[1]-r[0]))
}

// told checks what the courier was told before: waits and drains.
func (e *Endpoint) told(courier int, id string, at time.Time) {
	e.mu.Lock()
	drained := e.drained[courier]
	e.mu.Unlock()
	if !drained.IsZero() && at.After(drained.Add(drainLeeway)) {
		e.channel.ledger.Told("drains kept", id, "n%d called %s %.3f s after it was told that it drains", courier, e.Name, at.Sub(drained).Seconds())
	}
	for _, o := range e.channel.Endpoints {
		if e.channel.Apart && o != e {
			continue
		}
		o.mu.Lock()
		w := o.waits[courier]
		o.mu.Unlock()
		if at.After(w.told.Add(waitLeeway)) && at.Before(w.until.Add(-5*time.Millisecond)) {
			e.channel.ledger.Told("waits heeded", id, "n%d called %s %.3f s before the end of a wait that %s told it", courier, e.Name,
				w.until.Sub(at).Seconds(), o.Name)
		}
	}
}

func (e *Endpoint) wait(courier int, d time.Duration) {
	if d <= 0 {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waits[courier] = wait{now, now.Add(d)}
}

// admit says whether the call is served, or with what it is turned away.
func (e *Endpoint) admit(courier int, resend bool, now time.Time) (Mode, int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tell := func() time.Duration {
		if e.rnd.Float64() < e.channel.TellsWait {
			return e.channel.Wait
		}
		return 0
	}
	if e.mode == Shut || e.fell {
		e.sawFail[courier] = true
		return e.mode, 503, tell()
	}
	if e.mode == Hang || e.mode == Cut {
		return e.mode, 0, 0
	}
	if share := e.share(now); share < 1 {
		e.pushed(arrivalAt{now, courier, resend}, share)
		if e.fell {
			return e.mode, 503, 0
		}
		e.cold.SetLimitAt(now, rate.Limit(share*e.rate()))
		if !e.cold.AllowN(now, 1) {
			return e.mode, 503, 0
		}
	}
	if !e.limiter.AllowN(now, 1) {
		return e.mode, 429, tell()
	}
	if e.waiting >= e.channel.Capacity+e.channel.Queue {
		return e.mode, 503, 0
	}
	e.waiting++
	return e.mode, 0, 0
}

// share is what the endpoint can do now, as a part of its capacity.
func (e *Endpoint) share(now time.Time) float64 {
	if e.recover.IsZero() || e.channel.ColdFor == 0 {
		return 1
	}
	return min(e.channel.StartShare+(1-e.channel.StartShare)*now.Sub(e.recover).Seconds()/e.channel.ColdFor.Seconds(), 1)
}

// pushed counts what a cold endpoint is sent. Too much for too long and it falls over; the rule is
// broken if most of that came from couriers that saw it fail.
func (e *Endpoint) pushed(call arrivalAt, share float64) {
	now := call.at
	e.came = append(e.came, call)
	for len(e.came) > 0 && now.Sub(e.came[0].at) > fallAfter {
		e.came = e.came[1:]
	}
	if now.Sub(e.recover) < fallAfter || float64(len(e.came)) <= fallMultiple*share*e.rate()*fallAfter.Seconds()+4 {
		return
	}
	e.fell = true
	knew, resends := 0, 0
	for _, a := range e.came {
		if e.sawFail[a.courier] {
			knew++
		}
		if a.resend {
			resends++
		}
	}
	if 3*knew >= 2*len(e.came) {
		e.channel.ledger.Told("no returning channel pushed over", "", "%s had %d calls in %v at %.0f%% of %.1f a second, %d of them resends, %d from couriers that had seen it fail",
			e.Name, len(e.came), fallAfter, 100*share, e.rate(), resends, knew)
	}
}

func (e *Endpoint) failed(courier int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sawFail[courier] = true
}

// register notes a call's guarded messages on their floor as it comes, and says which are repeats: a
// repeat is known by when the first call that ran was sent, however long that takes.
func (e *Endpoint) register(parts []part, codes []int, now time.Time) []bool {
	c := e.channel
	repeat := make([]bool, len(parts))
	for i, p := range parts {
		if _, allowed := c.classOf(p.id); codes[i] != 0 || allowed != OnceByFloor {
			continue
		}
		place := e.Floor + " " + p.key
		c.mu.Lock()
		if first, ok := c.seen[place]; ok && now.Sub(first) < c.Window {
			repeat[i] = true
		} else {
			c.seen[place] = now
		}
		c.mu.Unlock()
	}
	return repeat
}

// effect lets the messages run, but for the repeats.
func (e *Endpoint) effect(parts []part, codes []int, repeat []bool) {
	now := time.Now()
	for i, p := range parts {
		if codes[i] == 0 {
			e.channel.ledger.Effect(p.id, e.Name, e.Floor, repeat[i], now)
		}
	}
}
