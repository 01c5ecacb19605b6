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
	maxInterimAnswers = 5       // answers with status 1xx before the final one
	maxForeignAnswers = 2       // late answers to other requests that are skipped
	maxForeignBytes   = 1 << 20 // of one such answer
)

// Answer is an endpoint's answer whose head has come.
type Answer struct {
	*http.Response
	connection     *pool.Connection
	foreignSkipped bool          // an answer to another request was skipped: the connection is not used again
	ended          bool          // the body was read to its end
	writing        *pendingWrite // of a request that was not complete when the answer began, else nil
}

// Receive reads the head of the answer to the message. A late answer to another request is skipped. On a
// connection that has served other requests, an answer without a request id may belong to any of them.
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
		if c.Reused && (!stated || containsAnotherAnswer(response)) {
			return nil, m.lost(c, ErrForeign)
		}
		if !stated || len(id) == 1 && id[0] == m.RequestID {
			break
		}
		a.foreignSkipped = true
		if foreign == maxForeignAnswers {
			return nil, m.lost(c, ErrForeign)
		}
		if err := skipAnswer(response); err != nil {
			return nil, m.lost(c, errors.Join(ErrForeign, err))
		}
	}
	if err := a.check(); err != nil {
		return nil, m.lost(c, err)
	}
	return a, nil
}

// containsAnotherAnswer reports whether the status or a header's value holds the beginning of another answer: then the
// rest of a broken answer stands before ours, and the headers are a mixture of both.
func containsAnotherAnswer(response *http.Response) bool {
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
	for range maxInterimAnswers {
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
	return nil, ErrInterim
}

// skipAnswer reads an answer to another request to its end.
func skipAnswer(response *http.Response) error {
	if !framed(response) {
		return ErrFraming
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = ErrFraming
	}
	return err
}

// Framed reports whether the answer states where it ends. One that does not is complete when the endpoint closes the
// connection, and is not when the connection is reset or times out.
func (a *Answer) Framed() bool { return framed(a.Response) }

func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

func (a *Answer) check() error {
	if a.Rejected() {
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

// Rejected reports whether the endpoint stated that it has not run the request and will not.
func (a *Answer) Rejected() bool {
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

// IdleTTL returns how long the connection may stay idle before another call, 0 if it must be closed.
func (a *Answer) IdleTTL() time.Duration {
	if !a.ended || a.foreignSkipped || a.Close || a.connection.Reader.Buffered() > 0 {
		return 0
	}
	if a.writing != nil && !a.writing.complete() { // the endpoint would take the next request for the rest of this one
		return 0
	}
	return pool.IdleTTL(a.Header.Get("Keep-Alive"))
}

// Load returns the load that the endpoint states, nil if it states none.
func (a *Answer) Load() *dispatch.AdvertisedLoad {
	value := a.Header.Get(loadHeader)
	if value == "" {
		return nil
	}
	running, rest, _ := strings.Cut(value, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	var load dispatch.AdvertisedLoad
	for _, field := range []struct {
		to   *int
		text string
	}{{&load.Running, running}, {&load.Waiting, waiting}, {&load.Slots, slots}} {
		n, err := strconv.Atoi(strings.TrimSpace(field.text))
		if err != nil || n < 0 {
			return nil
		}
		*field.to = n
	}
	return &load
}
