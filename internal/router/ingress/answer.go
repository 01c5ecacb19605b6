package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/stream"
)

const (
	wholeBytes     = 64 << 10 // an answer up to this size is read whole before the client gets any of it
	firstBodyBytes = 2 << 10
	copyBytes      = 16 << 10
	writeMargin    = 300 * time.Millisecond // for a client to take what came until its deadline
)

// whole is an answer that was read to its end.
type whole struct {
	answer *call.Answer
	body   []byte
}

func (x *exchange) isStream(answer *call.Answer) bool {
	if answer.StatusCode != http.StatusOK {
		return false
	}
	kind := answer.Header.Get("Content-Type")
	return strings.HasPrefix(kind, "text/event-stream") || kind == "" && x.route.Type == configuration.Streaming
}

// readSome reads a body up to a size. The error is io.EOF where the body ended with that.
func readSome(answer *call.Answer, most int) ([]byte, error) {
	room := firstBodyBytes
	if answer.ContentLength >= 0 {
		room = int(min(answer.ContentLength, int64(most)))
	}
	body := make([]byte, 0, room)
	for {
		if len(body) == cap(body) {
			if len(body) >= most {
				return body, nil
			}
			if answer.ContentLength < 0 || len(body) == 0 {
				grown := make([]byte, len(body), min(most, max(firstBodyBytes, 2*cap(body))))
				copy(grown, body)
				body = grown
			}
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
}

// passWhole passes on an answer that is no stream of events.
func (x *exchange) passWhole(l *lease, answer *call.Answer) bool {
	if x.headSent { // a second run of a stream must be one as well
		l.end()
		return x.notResumed(answer)
	}
	body, err := readSome(answer, wholeBytes)
	switch {
	case err == io.EOF:
		return x.answered(l, &whole{answer: answer, body: body})
	case err != nil:
		l.end()
		return x.lost(err)
	}
	return x.passLarge(l, answer, body)
}

// answered gives the client an endpoint's whole answer, or asks for another endpoint after a failure.
func (x *exchange) answered(l *lease, got *whole) bool {
	answer := got.answer
	ending := l.ending(answer, dispatch.Succeeded)
	ending.FirstByteUnreported = true
	if answer.StatusCode >= http.StatusInternalServerError || promises(answer.StatusCode) {
		x.mayHaveRun = true
		ending.Result = dispatch.Failed
		ending.NeedsRetry = x.repeatable() && !x.late()
		if !promises(answer.StatusCode) {
			x.kept = got
		}
		x.finish(ending)
		return !ending.NeedsRetry && x.end()
	}
	x.finish(ending)
	got.write(x)
	return true
}

// promises names the statuses that tell a client that its request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// notResumed ends a second run that brought no stream.
func (x *exchange) notResumed(answer *call.Answer) bool {
	result := dispatch.ConnectionLost
	if answer.StatusCode >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	more := !x.late()
	x.finish(dispatcher.Outcome{Result: result, NeedsRetry: more, Load: answer.Load()})
	return !more && x.end()
}

// writeHead gives the client the status and the headers of the endpoint.
func (x *exchange) writeHead(answer *call.Answer, length string) {
	h := x.w.Header()
	named := answer.Header["Connection"]
	for name, values := range answer.Header {
		if !call.OneConnectionOnly(name, named) {
			h[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} { // neither guessed nor added
		if _, stated := h[name]; !stated {
			h[name] = nil
		}
	}
	if length != "" {
		h["Content-Length"] = []string{length}
	}
	if x.handler.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	x.headSent = true
	x.w.WriteHeader(answer.StatusCode)
}

// write gives the client the whole answer.
func (g *whole) write(x *exchange) {
	length := ""
	switch {
	case x.r.Method == http.MethodHead:
		length = g.answer.Header.Get("Content-Length")
	case hasBody(g.answer.StatusCode):
		length = strconv.Itoa(len(g.body))
	}
	x.writeHead(g.answer, length)
	if len(g.body) == 0 {
		return
	}
	if len(g.body) > copyBytes {
		x.boundWrites()
	}
	if _, err := x.w.Write(g.body); err != nil {
		abort()
	}
}

func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// boundWrites ends the connection of a client that does not take what it asked for.
func (x *exchange) boundWrites() {
	if err := http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeMargin)); err != nil {
		abort()
	}
}

// passLarge passes on an answer that is larger than what is held back, as it comes.
func (x *exchange) passLarge(l *lease, answer *call.Answer, begun []byte) bool {
	x.ticket.ReportFirstByte(x.out.Endpoint, answer.Load())
	x.boundWrites()
	length := ""
	if answer.ContentLength >= 0 {
		length = strconv.FormatInt(answer.ContentLength, 10)
	}
	x.writeHead(answer, length)
	buffer := make([]byte, copyBytes)
	var failed error
	for piece := begun; failed == nil; {
		if _, err := x.w.Write(piece); err != nil {
			x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
			abort()
		}
		var n int
		n, failed = answer.Read(buffer)
		piece = buffer[:n]
		if failed == io.EOF && n > 0 {
			if _, err := x.w.Write(piece); err != nil {
				x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
				abort()
			}
		}
	}
	if failed != io.EOF {
		x.finish(dispatcher.Outcome{Result: x.brokenOff()})
		abort()
	}
	result := dispatch.Succeeded
	if answer.StatusCode >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	x.finish(l.ending(answer, result))
	return true
}

// brokenOff is the result of a call whose answer did not come to its end.
func (x *exchange) brokenOff() dispatch.Result {
	if x.r.Context().Err() != nil || x.late() {
		return dispatch.Canceled
	}
	return dispatch.ConnectionLost
}

// passStream passes on events as they come.
func (x *exchange) passStream(l *lease, answer *call.Answer) bool {
	if x.relay == nil {
		x.events = &eventClient{x: x, flusher: http.NewResponseController(x.w)}
		x.relay = stream.NewRelay(x.events, x.stride())
	}
	x.events.answer = answer
	pace := stream.Limits{MaxGap: x.silence(), Deadline: x.deadline}
	err := x.relay.Run(&source{Answer: answer, lease: l}, pace)
	if err != nil {
		l.end()
		return x.streamBroke(err)
	}
	if !x.headSent {
		x.writeHead(answer, "") // a stream without events
	}
	x.finish(l.ending(answer, dispatch.Succeeded))
	return true
}

// streamBroke decides about a stream that did not come to its end.
func (x *exchange) streamBroke(err error) bool {
	var client *stream.ClientError
	switch {
	case errors.As(err, &client):
		x.finish(dispatcher.Outcome{Result: dispatch.Canceled})
		abort()
	case errors.Is(err, stream.ErrGap):
		x.handler.losses.Lost(x.out.Endpoint, err)
		x.finish(dispatcher.Outcome{Result: dispatch.ConnectionLost})
		abort()
	}
	return x.lost(err)
}

// stride is the step that ids of events may take.
func (x *exchange) stride() int {
	if x.service.Engine == nil {
		return 1
	}
	return x.service.Engine.TokensPerEvent
}

// source is an answer with its connection's deadline.
type source struct {
	*call.Answer
	lease *lease
}

func (s *source) SetReadDeadline(t time.Time) error { return s.lease.connection.SetReadDeadline(t) }

func (s *source) OnReadTimeout(ask func() time.Time) { s.lease.connection.OnReadTimeout = ask }

// eventClient is the client of a relay.
type eventClient struct {
	x       *exchange
	flusher *http.ResponseController
	answer  *call.Answer // of the run at hand
}

func (c *eventClient) Begin() {
	x := c.x
	x.ticket.ReportFirstByte(x.out.Endpoint, c.answer.Load())
	if !x.headSent {
		x.boundWrites()
		x.writeHead(c.answer, "")
	}
}

func (c *eventClient) Write(events []byte) error {
	_, err := c.x.w.Write(events)
	return err
}

func (c *eventClient) Flush() error { return c.flusher.Flush() }

func (c *eventClient) KeepWaiting() bool { return c.x.ticket.ReportStalled(c.x.out.Endpoint) }

func (c *eventClient) Progress(events int) {
	c.x.ticket.ReportProgress(c.x.out.Endpoint, events)
}
