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

// Types of package model that are used to describe a run.
type (
	Mode        = model.Mode
	EffectLimit = model.EffectLimit
	ChannelSpec = model.ChannelSpec
)

// Modes and effect limits; package model documents them.
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

// Channel serves a destination on the network; package model decides how it behaves.
type Channel struct {
	ChannelSpec
	recorder  *Recorder
	classOf   func(id string) (string, EffectLimit)
	Endpoints []*Endpoint
	onResend  func(courier int)

	mu    sync.Mutex // protects the model
	model *model.Channel
}

// Endpoint serves calls. It has a separate listener for each courier, which identifies the caller.
type Endpoint struct {
	Name, Floor string
	channel     *Channel
	listeners   []net.Listener
	model       *model.Endpoint
	relayAddrs  []string                        // by courier, used instead of the listeners' addresses; nil without relays
	delay       func(courier int) time.Duration // one-way network delay to the courier

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewChannel opens the endpoints' listeners for the number of couriers.
func NewChannel(spec ChannelSpec, couriers int, recorder *Recorder, seed uint64, classOf func(string) (string, EffectLimit)) (*Channel, error) {
	c := &Channel{ChannelSpec: spec, recorder: recorder, classOf: classOf, onResend: func(int) {}, model: model.New(spec, seed)}
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

// Close closes the channel's listeners and connections.
func (c *Channel) Close() (err error) {
	for _, e := range c.Endpoints {
		for _, l := range e.listeners {
			err = errors.Join(err, l.Close())
		}
		e.closeConns()
	}
	return err
}

func (e *Endpoint) closeConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// Addr returns the address at which the courier reaches the endpoint.
func (e *Endpoint) Addr(courier int) string {
	if e.relayAddrs != nil {
		return e.relayAddrs[courier]
	}
	return e.listeners[courier].Addr().String()
}

// SetMode changes the mode of all endpoints of the channel.
func (c *Channel) SetMode(m Mode, at time.Time) {
	for _, e := range c.Endpoints {
		e.SetMode(m, at)
	}
}

// SetMode changes the mode of the endpoint.
func (e *Endpoint) SetMode(m Mode, at time.Time) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.SetMode(m, at)
}

// NoteDraining records that the courier has been told that the endpoint accepts no new calls.
func (e *Endpoint) NoteDraining(courier int, at time.Time) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.NoteDraining(courier, at)
}

// NoteServing records that the courier has been told that the endpoint accepts calls again.
func (e *Endpoint) NoteServing(courier int) {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	e.model.NoteServing(courier)
}

// KnownDraining reports whether the courier has been told that the endpoint drains.
func (e *Endpoint) KnownDraining(courier int) bool {
	e.channel.mu.Lock()
	defer e.channel.mu.Unlock()
	return e.model.KnownDraining(courier)
}

// ClearWaits forgets the wait that the courier was told; it does not know it any more after a restart.
func (e *Endpoint) ClearWaits(courier int) {
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

// message is one message of a call as received.
type message struct {
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
		firstByteAt := time.Now()
		e.channel.mu.Lock()
		resetNow := e.model.Mode() == ModeResetDuringCall
		e.channel.mu.Unlock()
		if resetNow {
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
		// While the call is served, the end of the connection ends the call.
		clientClosed, nextPeek := make(chan struct{}), make(chan error, 1)
		go func() {
			_, err := r.Peek(1)
			if err != nil {
				close(clientClosed)
			}
			nextPeek <- err
		}()
		messages, code := parseMessages(req, body, max(e.channel.Bulk, 1))
		if code != 0 {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", code); err != nil {
				return
			}
		} else if !e.call(c, clientClosed, courier, messages, firstByteAt, strings.HasSuffix(req.URL.Path, "/bulk")) {
			return
		}
		if err = <-nextPeek; err != nil {
			return
		}
	}
}

// parseMessages returns the messages of a call, or the status code with which an invalid call is rejected.
func parseMessages(req *http.Request, body []byte, maxMessages int) ([]message, int) {
	switch {
	case req.Method != http.MethodPost:
		return nil, 404
	case len(body) > 64<<10:
		return nil, 413
	case req.URL.Path == "/inbox":
		return []message{{req.Header.Get("X-Txn"), req.Header.Get("Idempotency-Key"), body}}, 0
	case req.URL.Path != "/inbox/bulk":
		return nil, 404
	}
	var messages []message
	for len(body) > 0 {
		line, rest, found := bytes.Cut(body, []byte("\r\n"))
		fields := strings.Fields(string(line))
		if !found || len(fields) != 3 {
			return nil, 400
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n < 0 || len(rest) < n+2 || string(rest[n:n+2]) != "\r\n" {
			return nil, 400
		}
		if fields[1] == "-" {
			fields[1] = ""
		}
		for _, m := range messages {
			if m.id == fields[0] {
				return nil, 400
			}
		}
		messages, body = append(messages, message{fields[0], fields[1], rest[:n]}), rest[n+2:]
	}
	if len(messages) == 0 {
		return nil, 400
	}
	if len(messages) > maxMessages {
		return nil, 413
	}
	return messages, 0
}

// reset closes the connection with an RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// call serves a call that has been received completely. It reports whether the connection stays open.
func (e *Endpoint) call(c net.Conn, clientClosed <-chan struct{}, courier int, messages []message, firstByteAt time.Time, bulk bool) bool {
	time.Sleep(e.delay(courier))
	now := time.Now()
	codes, callIDs, modelMessages := make([]int, len(messages)), make([]int, len(messages)), make([]model.Message, len(messages))
	for i, m := range messages {
		call, code, resend := e.channel.recorder.BeginCall(m.id, e.channel.Dest, e.Name, e.Floor, courier, now)
		codes[i], callIDs[i] = code, call
		modelMessages[i] = model.Message{Key: m.key, Rejected: code != 0, Resend: resend}
		modelMessages[i].Class, modelMessages[i].EffectLimit = e.channel.classOf(m.id)
		if resend {
			e.channel.onResend(courier)
		}
	}
	var once sync.Once
	endCalls := func(code int) {
		once.Do(func() {
			at := time.Now()
			for i, m := range messages {
				e.channel.recorder.EndCall(m.id, callIDs[i], cmp.Or(codes[i], code), at)
			}
		})
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-clientClosed:
			endCalls(0)
		case <-ended:
		}
	}()
	e.channel.mu.Lock()
	result, violations := e.model.Call(courier, modelMessages, firstByteAt, now)
	e.channel.mu.Unlock()
	e.channel.recorder.AddViolations(violations, messages[0].id)
	headers := ""
	if r := result.Report; r.Limit > 0 {
		headers = fmt.Sprintf("X-Pressure: {\"x0\":%.3f,\"x1\":%g}\r\n", r.UnusedShare, r.Limit)
	}
	if result.RejectCode != 0 {
		if result.RetryAfter > 0 {
			headers += fmt.Sprintf("X-Come-Back-Ms: %d\r\n", result.RetryAfter.Milliseconds())
		}
		endCalls(result.RejectCode) // recorded before the response is written, because the courier may react at once
		time.Sleep(e.delay(courier))
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", result.RejectCode, headers)
		return err == nil
	}
	time.Sleep(time.Until(result.EndsAt))
	if result.TakesEffect {
		for i, m := range messages {
			if codes[i] == 0 {
				e.channel.recorder.RecordEffect(m.id, e.Name, e.Floor, result.Duplicate[i], time.Now())
			}
		}
	}
	time.Sleep(e.delay(courier))
	switch result.Outcome {
	case model.OutcomeReset:
		endCalls(0)
		reset(c)
		return false
	case model.OutcomeNoResponse:
		<-clientClosed // wait until the courier gives up
		endCalls(0)
		return false
	case model.OutcomeMalformed:
		endCalls(0)
		io.WriteString(c, "HTTP/x.1 tw\x00 hundred\r\n\r\n")
		return false
	case model.OutcomeError:
		endCalls(500)
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%sContent-Length: 0\r\n\r\n", headers)
		return err == nil
	}
	response := e.response(messages, codes, headers, bulk)
	// It cannot be seen here whether the courier read the whole response; the call counts as delivered once it is written.
	_, err := c.Write(response)
	if err != nil {
		endCalls(0)
		return false
	}
	endCalls(200)
	return true
}

// response returns the response to a call that was served without a failure.
func (e *Endpoint) response(messages []message, codes []int, headers string, bulk bool) []byte {
	if !bulk {
		code := 200
		if codes[0] != 0 {
			code = codes[0]
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", code, headers)
	}
	var b strings.Builder
	for i, m := range messages {
		status := "done"
		if codes[i] != 0 {
			status = "void"
		}
		fmt.Fprintf(&b, "%s %s\r\n", m.id, status)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", headers, b.Len(), b.String())
}
