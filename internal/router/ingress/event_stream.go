package ingress

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
	"raventrestle/internal/router/stream"
)

// A resumable stream whose endpoint sends no event for longer than both of these may be resumed at another endpoint.
const (
	minEventGapTimeout    = 1500 * time.Millisecond
	eventGapTimeoutFactor = 3 // of the route's target for the gap between two events
)

// isEventStream reports whether an answer is forwarded event by event.
func (p *proxiedRequest) isEventStream(answer *call.Answer) bool {
	if answer.StatusCode != http.StatusOK {
		return false
	}
	contentType := answer.Header.Get("Content-Type")
	return strings.HasPrefix(contentType, "text/event-stream") ||
		contentType == "" && p.route.Type == configuration.Streaming
}

// forwardStream forwards events as they come. The head is sent with the first event: until then, a failed attempt can
// still be retried or rejected.
func (p *proxiedRequest) forwardStream(connection *attemptConnection, answer *call.Answer) (answered bool) {
	if p.relay == nil {
		p.client = &streamClient{request: p, controller: http.NewResponseController(p.w)}
		p.relay = stream.NewRelay(p.client, p.eventIDStride())
	}
	p.client.answer = answer
	limits := stream.Limits{MaxGap: p.eventGapTimeout(), Deadline: p.deadline}
	if err := p.relay.Run(&streamSource{Answer: answer, connection: connection}, limits); err != nil {
		connection.close()
		return p.streamFailed(err)
	}
	if !p.headSent {
		p.writeHead(answer, "") // a stream without events
	}
	outcome := connection.release(answer, dispatch.Succeeded)
	outcome.LongestGap = p.relay.LongestGap()
	p.finishAttempt(outcome)
	return true
}

// streamFailed handles a stream that did not come to its end.
func (p *proxiedRequest) streamFailed(err error) (answered bool) {
	var clientError *stream.ClientError
	switch {
	case errors.As(err, &clientError):
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.Canceled})
		abortConnection()
	case errors.Is(err, stream.ErrGap):
		p.handler.events.AnswerLost(p.send.Endpoint, err)
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.ConnectionLost})
		abortConnection()
	}
	return p.attemptFailed(err)
}

// eventGapTimeout returns how long an endpoint may send no event before the stream is resumed elsewhere, 0 for streams
// that can't be resumed.
func (p *proxiedRequest) eventGapTimeout() time.Duration {
	if !p.resumable() {
		return 0
	}
	target := time.Duration(p.route.EventGapTargetMS) * time.Millisecond
	return max(p.handler.minEventGapTimeout, eventGapTimeoutFactor*target)
}

// eventIDStride returns by how much the ids of consecutive events differ.
func (p *proxiedRequest) eventIDStride() int {
	if p.service.Engine == nil {
		return 1
	}
	return p.service.Engine.TokensPerEvent
}

// streamSource is an answer as a relay reads it.
type streamSource struct {
	*call.Answer
	connection *attemptConnection
}

var _ stream.Source = (*streamSource)(nil)

// SetReadDeadline implements stream.Source.
func (s *streamSource) SetReadDeadline(t time.Time) error {
	return s.connection.pooled.SetReadDeadline(t)
}

// OnReadTimeout implements stream.Source.
func (s *streamSource) OnReadTimeout(extend func() time.Time) {
	s.connection.pooled.OnReadTimeout = extend
}

// streamClient is the client of a stream as a relay writes to it, over all attempts.
type streamClient struct {
	request    *proxiedRequest
	controller *http.ResponseController
	answer     *call.Answer // of the current attempt
}

var _ stream.Client = (*streamClient)(nil)

// Begin sends the head, unless an earlier attempt has.
func (c *streamClient) Begin() {
	p := c.request
	p.ticket.ReportFirstByte(p.send.Endpoint, c.answer.Load())
	if !p.headSent {
		p.setWriteDeadline()
		p.writeHead(c.answer, "")
	}
}

// Write implements stream.Client.
func (c *streamClient) Write(events []byte) error {
	_, err := c.request.w.Write(events)
	return err
}

// Flush implements stream.Client.
func (c *streamClient) Flush() error { return c.controller.Flush() }

// KeepWaiting reports the stalled endpoint to the dispatcher, and is false once that has abandoned the attempt.
func (c *streamClient) KeepWaiting() bool {
	return c.request.ticket.ReportStalled(c.request.send.Endpoint)
}

// Progress implements stream.Client.
func (c *streamClient) Progress(events int) {
	c.request.ticket.ReportProgress(c.request.send.Endpoint, events)
}
