package emulator

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"raventrestle/internal/emulator/model"
)

// The model's words, for those who describe worlds.
type (
	Mode        = model.Mode
	EffectLimit = model.EffectLimit
	ChannelSpec = model.ChannelSpec
)

// Modes and allowances, as the model explains them.
const (
	ModeHealthy         = model.ModeHealthy
	ModeErrors          = model.ModeErrors
	ModeUnavailable     = model.ModeUnavailable
	ModeNoResponse      = model.ModeNoResponse
	ModeSlow            = model.ModeSlow
	ModeResetAfterCall  = model.ModeResetAfterCall
	ModeResetDuringCall = model.ModeResetDuringCall
	ModeMalformed       = model.ModeMalformed
	Unlimited           = model.Unlimited
	OncePerFloor        = model.OncePerFloor
	OnceOverall         = model.OnceOverall
)

// Channel is a destination at work: the model behind listeners.
type Channel struct {
	ChannelSpec
	ledger    *Ledger
	classOf   func(id string) (string, EffectLimit)
	Endpoints []*Endpoint
	onResend  func(courier int)

	mu    sync.Mutex // of the model
	model *model.Channel
}

// Endpoint serves calls on a listener for each courier, so that it knows who calls.
type Endpoint struct {
	Name, Floor string
	channel     *Channel
	listeners   []net.Listener
	model       *model.Endpoint
	via         []string                        // in place of the listeners' addresses, where relays are before them
	delay       func(courier int) time.Duration // of what the courier sends it, one way

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewChannel listens for so many couriers.
func NewChannel(spec ChannelSpec, couriers int, ledger *Ledger, seed uint64, classOf func(string) (string, EffectLimit)) (*Channel, error) {
	c := &Channel{ChannelSpec: spec, ledger: ledger, classOf: classOf, onResend: func(int) {}, model: model.New(spec, seed)}
	for _, m := range c.model.Endpoints {
		e := &Endpoint{
			Name: m.Name, Floor: m.Floor, channel: c, model: m, conns: map[net.Conn]bool{},
			delay: func(int) time.Duration { return 0 },
		}
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
	return c, nil
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
func (e *Endpoint) Addr(courier int) string {
	if e.via != nil {
		return e.via[courier]
	}
	return e.listeners[courier].Addr().String()
}

// Set changes what is the matter with all endpoints of the channel.
func (c *Channel) Set(m Mode, at time.Time) {
	for _, e := range c.Endpoints {
		e.Set(m, at)
	}
}

// Set changes what is the matter with the endpoint.
func (e *Endpoint) Set(m Mode, at time.Time) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.SetMode(m, at)
}

// Drain notes that the courier has been told that the endpoint takes nothing new.
func (e *Endpoint) Drain(courier int, told time.Time) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.NoteDraining(courier, told)
}

// Serving notes that the courier has been told that the endpoint takes work again.
func (e *Endpoint) Serving(courier int) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.NoteServing(courier)
}

// Drains says whether the courier has been told so of the endpoint.
func (e *Endpoint) Drains(courier int) bool {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	return e.model.KnownDraining(courier)
}

// Restarted ends the waits that the courier was told.
func (e *Endpoint) Restarted(courier int) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.ClearWaits(courier)
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
		e.channel.mu.Lock()
		torn := e.model.Mode() == ModeResetDuringCall
		e.channel.mu.Unlock()
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
	time.Sleep(e.delay(courier))
	now := time.Now()
	codes, calls, whole := make([]int, len(parts)), make([]int, len(parts)), make([]model.Message, len(parts))
	for i, p := range parts {
		call, code, resend := e.channel.ledger.Begin(p.id, e.channel.Dest, e.Name, e.Floor, courier, now)
		codes[i], calls[i] = code, call
		whole[i] = model.Message{Key: p.key, Rejected: code != 0, Resend: resend}
		whole[i].Class, whole[i].EffectLimit = e.channel.classOf(p.id)
		if resend {
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
	e.channel.mu.Lock()
	fate, broken := e.model.Call(courier, whole, began, now)
	e.channel.mu.Unlock()
	e.channel.ledger.Broken(broken, parts[0].id)
	head := ""
	if r := fate.Report; r.Limit > 0 {
		head = fmt.Sprintf("X-Pressure: {\"x0\":%.3f,\"x1\":%g}\r\n", r.UnusedShare, r.Limit)
	}
	if fate.RejectCode != 0 {
		if fate.RetryAfter > 0 {
			head += fmt.Sprintf("X-Come-Back-Ms: %d\r\n", fate.RetryAfter.Milliseconds())
		}
		end(fate.RejectCode) // before it is written: a courier may be quick
		time.Sleep(e.delay(courier))
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", fate.RejectCode, head)
		return err == nil
	}
	time.Sleep(time.Until(fate.EndsAt))
	if fate.TakesEffect {
		for i, p := range parts {
			if codes[i] == 0 {
				e.channel.ledger.Effect(p.id, e.Name, e.Floor, fate.Duplicate[i], time.Now())
			}
		}
	}
	time.Sleep(e.delay(courier))
	switch fate.Outcome {
	case model.OutcomeReset:
		end(0)
		reset(c)
		return false
	case model.OutcomeNoResponse:
		<-gone // until the courier gives up
		end(0)
		return false
	case model.OutcomeMalformed:
		end(0)
		io.WriteString(c, "HTTP/x.1 tw\x00 hundred\r\n\r\n")
		return false
	case model.OutcomeError:
		end(500)
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	text := e.answer(parts, codes, head, bulk)
	// Whether the courier read the whole answer can't be seen from here: what was written counts.
	_, err := c.Write(text)
	if err != nil {
		end(0)
		return false
	}
	end(200)
	return true
}

func (e *Endpoint) answer(parts []part, codes []int, head string, bulk bool) []byte {
	if !bulk {
		code := 200
		if codes[0] != 0 {
			code = codes[0]
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, head)
	}
	var b strings.Builder
	for i, p := range parts {
		word := "done"
		if codes[i] != 0 {
			word = "void"
		}
		fmt.Fprintf(&b, "%s %s\r\n", p.id, word)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", head, b.Len(), b.String())
}
