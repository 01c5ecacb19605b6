package ingress

import (
	"net/http"
	"strconv"
	"time"

	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/dispatcher"
)

const (
	copyBufferBytes     = 16 << 10
	writeDeadlineMargin = 300 * time.Millisecond // for a client to read what came until the request's deadline
)

// forwardLarge forwards an answer that is too large to be buffered as it comes, beginning with what was read of it. From
// the first byte on, a failure closes the client's connection.
func (p *proxiedRequest) forwardLarge(connection *attemptConnection, answer *call.Answer, begin []byte) (answered bool) {
	p.ticket.ReportFirstByte(p.send.Endpoint, answer.Load())
	p.setWriteDeadline()
	contentLength := ""
	if answer.ContentLength >= 0 {
		contentLength = strconv.FormatInt(answer.ContentLength, 10)
	}
	p.writeHead(answer, contentLength)
	p.writeBody(begin)
	if err := p.copyBody(answer); !isEnd(err) {
		p.finishAttempt(dispatcher.Outcome{Result: p.brokenOffResult()})
		abortConnection()
	}
	result := dispatch.Succeeded
	if answer.StatusCode >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	p.finishAttempt(connection.release(answer, result))
	return true
}

// copyBody copies the rest of a body to the client. The error is the endpoint's: io.EOF at the end of the answer.
func (p *proxiedRequest) copyBody(answer *call.Answer) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if err != nil && !isEnd(err) {
			return err
		}
		if n > 0 {
			p.writeBody(buffer[:n])
		}
		if err != nil {
			return err
		}
	}
}

// writeBody writes part of a body. If the client's connection fails, it ends the attempt and the request.
func (p *proxiedRequest) writeBody(piece []byte) {
	if _, err := p.w.Write(piece); err != nil {
		p.finishAttempt(dispatcher.Outcome{Result: dispatch.Canceled})
		abortConnection()
	}
}

// brokenOffResult returns the result of an attempt whose answer began and did not come to its end.
func (p *proxiedRequest) brokenOffResult() dispatch.Result {
	if p.r.Context().Err() != nil || p.deadlinePassed() {
		return dispatch.Canceled
	}
	return dispatch.ConnectionLost
}
