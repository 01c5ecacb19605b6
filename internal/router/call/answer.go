package call

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

const (
	mostInterim      = 5       // answers 1xx before the final one
	mostForeign      = 2       // late answers to other requests that are passed over
	mostForeignBytes = 1 << 20 // of one such answer
)

// Answer is an endpoint's answer whose head has come.
type Answer struct {
	*http.Response
	connection *pool.Connection
	spoiled    bool     // an answer to another request was passed over: nothing more is expected of the connection
	ended      bool     // the body was read to its end
	writing    *writing // of a request that was not out when the answer began, else nil
}

// Receive reads the head of the answer to the message. An answer to another request that comes late is passed over. On a
// connection that has served other requests, one that names none may be to any of them.
func (m *Message) Receive(c *pool.Connection) (*Answer, error) {
	request := &http.Request{Method: m.Method}
	a := &Answer{connection: c}
	for foreign := 0; ; foreign++ {
		response, err := readHead(c, request)
		if err != nil {
			return nil, m.lost(c, err)
		}
		a.Response = response
		id, stated := response.Header[RequestIDHeader]
		if c.Reused && (!stated || swallows(response)) {
			return nil, m.lost(c, ErrForeign)
		}
		if !stated || len(id) == 1 && id[0] == m.RequestID {
			break
		}
		a.spoiled = true
		if foreign == mostForeign {
			return nil, m.lost(c, ErrForeign)
		}
		if err := passOver(response); err != nil {
			return nil, m.lost(c, errors.Join(ErrForeign, err))
		}
	}
	if err := a.check(); err != nil {
		return nil, m.lost(c, err)
	}
	return a, nil
}

// swallows says whether the status or a header's value holds the beginning of another answer: what was left of a broken
// one stands before ours, and what follows is not its own.
func swallows(response *http.Response) bool {
	const begin = "HTTP/1.1 "
	if strings.Contains(response.Status, begin) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if strings.Contains(value, begin) {
				return true
			}
		}
	}
	return false
}

func (m *Message) lost(c *pool.Connection, err error) error {
	return &Error{Step: ReadingHead, Peer: c.Endpoint, Written: true, Err: err}
}

func readHead(c *pool.Connection, request *http.Request) (*http.Response, error) {
	c.BeginHead()
	defer c.EndHead()
	for range mostInterim {
		response, err := http.ReadResponse(c.Reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSwitching
		}
	}
	return nil, errors.New("too many interim answers")
}

// passOver reads an answer to another request to its end.
func passOver(response *http.Response) error {
	if !framed(response) {
		return ErrFraming
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostForeignBytes))
	if err == nil && n == mostForeignBytes {
		err = ErrFraming
	}
	return err
}

// Framed says whether the answer itself tells where it ends. Another one is whole where the endpoint closes the connection,
// and is not where that is reset or falls silent.
func (a *Answer) Framed() bool { return framed(a.Response) }

func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

func (a *Answer) check() error {
	if a.Refused() {
		return nil
	}
	success := a.StatusCode < http.StatusMultipleChoices
	switch encoding := a.Header.Get("Content-Encoding"); {
	case encoding != "" && !strings.EqualFold(encoding, "identity"):
		return ErrEncoded
	case success && a.Header.Get(SignatureHeader) == "":
		return ErrUnsigned
	case success && a.Header.Get(RequestIDHeader) == "":
		return ErrForeign
	}
	return nil
}

// Refused says whether the endpoint told that it has not run the request and won't.
func (a *Answer) Refused() bool {
	if a.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	_, stated := a.Header[NotExecutedHeader]
	return stated && a.StatusCode >= http.StatusBadRequest
}

// Read reads the body. The error is io.EOF only where the answer ended as its framing says, or with its connection where
// that is its framing.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	switch {
	case err == io.EOF:
		a.ended = true
	case err != nil:
		err = &Error{Step: ReadingBody, Peer: a.connection.Endpoint, Written: true, Err: err}
	}
	return n, err
}

// Reusable says for how long the connection may rest before another call, 0 where it must be closed.
func (a *Answer) Reusable() time.Duration {
	if !a.ended || a.spoiled || a.Close || a.connection.Reader.Buffered() > 0 {
		return 0
	}
	if a.writing != nil && !a.writing.whole() { // the endpoint would take the next request for the rest of this one
		return 0
	}
	return pool.RestFor(a.Header.Get("Keep-Alive"))
}

// Load is what the endpoint told of its load, nil for nothing.
func (a *Answer) Load() *dispatch.ToldLoad {
	value := a.Header.Get(loadHeader)
	if value == "" {
		return nil
	}
	running, rest, _ := strings.Cut(value, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	var told dispatch.ToldLoad
	for _, field := range []struct {
		to   *int
		text string
	}{{&told.Running, running}, {&told.Waiting, waiting}, {&told.Slots, slots}} {
		n, err := strconv.Atoi(strings.TrimSpace(field.text))
		if err != nil || n < 0 {
			return nil
		}
		*field.to = n
	}
	return &told
}
