package ingress

import (
	"fmt"
	"strings"
)

// shape is an answer of an endpoint, complete.
type shape struct {
	text      func(id string) string
	body      string
	unframed  bool // only the end of the connection marks the end of the answer
	rejection bool // it says that the request has not run
	failure   bool // a failure of the endpoint itself
	events    bool
}

func answerText(status, id, body string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

const (
	signedLine = "X-Response-Signature: bad"
	eventsLine = "Content-Type: text/event-stream"
	chunksLine = "Transfer-Encoding: chunked"
)

func inChunks(pieces ...string) string {
	var b strings.Builder
	for _, piece := range append(pieces, "") {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	return b.String()
}

// shapes are the answers that are cut off after any byte; streamShapes are for routes with streams besides.
var shapes = map[string]shape{
	"length": {body: "four", text: func(id string) string {
		return answerText("200 OK", id, "four", signedLine, "Content-Length: 4")
	}},
	"chunks": {body: "fourmore", text: func(id string) string {
		return answerText("200 OK", id, inChunks("four", "more"), signedLine, chunksLine)
	}},
	"unframed": {body: "four", unframed: true, text: func(id string) string {
		return answerText("200 OK", id, "four", signedLine)
	}},
	"own failure": {body: "why", failure: true, text: func(id string) string {
		return answerText("500 Failed", id, "why", signedLine, "Content-Length: 3")
	}},
	"busy without a word": {body: "why", failure: true, text: func(id string) string {
		return answerText("503 Full", id, "why", signedLine, "Content-Length: 3")
	}},
	"rejection": {rejection: true, text: func(id string) string {
		return answerText("503 Full", id, "", "X-Not-Executed: 1", "Content-Length: 0")
	}},
	"wrong target": {rejection: true, text: func(id string) string {
		return answerText("421 Misdirected", id, "", "Content-Length: 0")
	}},
}

var streamShapes = map[string]shape{
	"events in chunks": {events: true, body: eventsTo(1, 2), text: func(id string) string {
		return answerText("200 OK", id, inChunks(event(1), event(2)), signedLine, eventsLine, chunksLine)
	}},
	"events, unframed": {events: true, body: eventsTo(1, 2), unframed: true, text: func(id string) string {
		return answerText("200 OK", id, eventsTo(1, 2), signedLine, eventsLine)
	}},
}
