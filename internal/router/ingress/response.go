package ingress

import (
	"io"
	"net/http"
	"strconv"

	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
)

const (
	maxBufferedBytes   = 64 << 10 // an answer up to this size is complete before the client gets any of it
	initialBufferBytes = 2 << 10
)

// completeAnswer is an endpoint's answer that was read to its end.
type completeAnswer struct {
	answer *call.Answer
	body   []byte
}

// forwardAnswer forwards an answer that is no event stream.
func (p *proxiedRequest) forwardAnswer(connection *attemptConnection, answer *call.Answer) (answered bool) {
	if p.headSent { // the continuation of a stream must be a stream as well
		connection.close()
		return p.streamNotResumed(answer)
	}
	body, err := readUpTo(answer, maxBufferedBytes)
	switch {
	case isEnd(err):
		return p.forwardComplete(connection, &completeAnswer{answer: answer, body: body})
	case err != nil:
		connection.close()
		return p.attemptFailed(err)
	}
	return p.forwardLarge(connection, answer, body)
}

// readUpTo reads up to maxBytes of a body. The error is io.EOF if the body ended with what is returned, nil if there may be
// more.
func readUpTo(answer *call.Answer, maxBytes int) ([]byte, error) {
	size := initialBufferBytes
	if answer.ContentLength >= 0 {
		size = int(min(answer.ContentLength, int64(maxBytes)))
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if len(body) >= maxBytes {
				return body, nil
			}
			if answer.ContentLength < 0 || len(body) == 0 {
				grown := make([]byte, len(body), min(maxBytes, max(initialBufferBytes, 2*cap(body))))
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

// isEnd reports whether an error of reading an answer is its end. A wrapped io.EOF is not: it would be a failure that must
// not look like a complete answer.
func isEnd(err error) bool {
	return err == io.EOF //nolint:errorlint // see above
}

// forwardComplete gives the client a complete answer. A failure is kept instead while another endpoint may do better.
func (p *proxiedRequest) forwardComplete(connection *attemptConnection, complete *completeAnswer) (answered bool) {
	status := complete.answer.StatusCode
	outcome := connection.release(complete.answer, dispatch.Succeeded)
	outcome.FirstByteUnreported = true
	if status < http.StatusInternalServerError && !promisesNotRun(status) {
		p.finishAttempt(outcome)
		complete.writeTo(p)
		return true
	}
	p.mayHaveRun = true
	outcome.Result = dispatch.Failed
	outcome.NeedsRetry = p.retryable() && !p.deadlinePassed()
	if !promisesNotRun(status) {
		p.keptFailure = complete
	}
	p.finishAttempt(outcome)
	if outcome.NeedsRetry {
		return false
	}
	p.answerWithoutRetry()
	return true
}

// promisesNotRun reports whether a status tells the client that its request has not run and will not. An endpoint that
// sends one without X-Not-Executed does not prove that, so it is answered 502 instead.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeHead sends the client the status and the headers of the endpoint's answer, without those that concern the
// endpoint's connection. contentLength is empty if net/http should frame the body.
func (p *proxiedRequest) writeHead(answer *call.Answer, contentLength string) {
	header := p.w.Header()
	connectionOptions := answer.Header["Connection"]
	for name, values := range answer.Header {
		if !call.OneConnectionOnly(name, connectionOptions) {
			header[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} { // net/http must neither guess nor add them
		if _, stated := header[name]; !stated {
			header[name] = nil
		}
	}
	if contentLength != "" {
		header["Content-Length"] = []string{contentLength}
	}
	if p.handler.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	p.headSent = true
	p.w.WriteHeader(answer.StatusCode)
}

// writeTo gives the client the complete answer.
func (c *completeAnswer) writeTo(p *proxiedRequest) {
	contentLength := ""
	switch {
	case p.r.Method == http.MethodHead:
		contentLength = c.answer.Header.Get("Content-Length")
	case statusHasBody(c.answer.StatusCode):
		contentLength = strconv.Itoa(len(c.body))
	}
	p.writeHead(c.answer, contentLength)
	if len(c.body) == 0 {
		return
	}
	if len(c.body) > copyBufferBytes {
		p.setWriteDeadline()
	}
	if _, err := p.w.Write(c.body); err != nil {
		abortConnection()
	}
}

func statusHasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// setWriteDeadline ends the connection of a client that does not read its answer by the request's deadline.
func (p *proxiedRequest) setWriteDeadline() {
	if err := http.NewResponseController(p.w).SetWriteDeadline(p.deadline.Add(writeDeadlineMargin)); err != nil {
		abortConnection()
	}
}

// streamNotResumed handles the answer of an endpoint that was asked to continue a stream and sent something else.
func (p *proxiedRequest) streamNotResumed(answer *call.Answer) (answered bool) {
	result := dispatch.ConnectionLost
	if answer.StatusCode >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	needsRetry := !p.deadlinePassed()
	p.finishAttempt(dispatcher.Outcome{Result: result, NeedsRetry: needsRetry, Load: answer.Load()})
	if needsRetry {
		return false
	}
	p.answerWithoutRetry()
	return true
}
