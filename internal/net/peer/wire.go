package peer

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"raventrestle"
)

// Reach is how far a call got.
type Reach uint8

const (
	NotConnected Reach = iota // no connection was established
	NotWritten                // the connection failed before the last byte was written
	Written                   // the endpoint may have received the complete call
	Answered                  // the answer is invalid: the call has run
	Withheld                  // deliberately not written, see Peer.BlockUntil
)

// AttemptError says why a call has no valid answer and how far it got.
type AttemptError struct {
	Reach   Reach
	Timeout bool // the courier stopped waiting; otherwise the connection failed
	Err     error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("call: %v: %v", [...]string{"not connected", "not written", "written", "answered", "withheld"}[e.Reach], e.Err)
}

func (e *AttemptError) Unwrap() error { return e.Err }

// Status returns the outcome for the call's attempts.
func (e *AttemptError) Status() raventrestle.Status {
	switch {
	case e.Reach == Withheld:
		return raventrestle.NotSent
	case e.Reach < Written:
		return raventrestle.ConnectFailed
	case e.Reach == Answered: // it has ended, while a call without an answer may still be running
		return raventrestle.Error
	case e.Timeout:
		return raventrestle.TimedOut
	}
	return raventrestle.Reset
}

const (
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 64 << 10
	maxInterimAnswers = 8 // 1xx answers before the final one

	answerTimeout = 500 * time.Millisecond // for the rest of an answer after its first byte
	tailTimeout   = 50 * time.Millisecond  // the same if the status line already decides the outcome
)

var errTooLong = errors.New("the answer is too long")

// encodeCall encodes a call: a single message as the body, several messages as frames.
func encodeCall(host string, attempts []Attempt, timeout time.Duration) []byte {
	var b bytes.Buffer
	writeHeader := func(path string) {
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %.3f\r\n", path, host, timeout.Seconds())
	}
	if len(attempts) == 1 {
		a := attempts[0]
		writeHeader("/inbox")
		fmt.Fprintf(&b, "X-Txn: %s\r\n", a.ID)
		if a.Key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.Body))
		b.Write(a.Body)
		return b.Bytes()
	}
	var frames bytes.Buffer
	for _, a := range attempts {
		key := a.Key
		if key == "" {
			key = "-"
		}
		fmt.Fprintf(&frames, "%s %s %d\r\n", a.ID, key, len(a.Body))
		frames.Write(a.Body)
		frames.WriteString("\r\n")
	}
	writeHeader("/inbox/bulk")
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", frames.Len())
	b.Write(frames.Bytes())
	return b.Bytes()
}

// answer is the answer to a call.
type answer struct {
	at         time.Time // when its first byte arrived
	code       int
	busy       bool // the endpoint had no free slot for this courier
	retryAfter time.Duration
	report     raventrestle.LimitReport
	body       []byte
	keepAlive  bool // the connection may be reused
}

// readAnswer reads an answer from the connection. An answer that can't be read completely is an error of reach Answered,
// except for a single message whose status line says 200, which counts whatever follows.
func readAnswer(c *conn, single bool) (a answer, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return a, &AttemptError{Reach: Written, Err: err}
	}
	a.at = time.Now()
	c.limitRead(answerTimeout)
	for range maxInterimAnswers + 1 {
		if a.code, err = statusLine(c.r); err != nil {
			break
		}
		if single && a.code == http.StatusOK {
			c.limitRead(tailTimeout)
		}
		var res *http.Response
		if res, err = http.ReadResponse(c.r, nil); err != nil {
			break
		}
		if a.code < 200 {
			continue
		}
		if err = a.readBody(res); err != nil {
			break
		}
		return a, nil
	}
	if single && a.code == http.StatusOK {
		a.keepAlive = false
		return a, nil
	}
	return a, &AttemptError{Reach: Answered, Err: cmp.Or(err, errTooLong)}
}

// statusLine returns the status code of the next answer without consuming anything.
func statusLine(r *bufio.Reader) (int, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		text, _ := r.Peek(r.Buffered())
		line, _, complete := bytes.Cut(text, []byte("\n"))
		if !complete && err == nil {
			continue
		}
		version, rest, _ := strings.Cut(string(line[:min(len(line), 32)]), " ")
		digits := rest[:min(len(rest), 3)]
		code, parseErr := strconv.ParseUint(digits, 10, 16)
		trailing := strings.TrimPrefix(rest, digits)
		switch {
		case !strings.HasPrefix(version, "HTTP/1.") || parseErr != nil || code < 100:
		case trailing == "" && complete || trailing != "" && (trailing[0] == ' ' || trailing[0] == '\r'):
			return int(code), nil
		}
		return 0, fmt.Errorf("invalid status line: %.40q", line)
	}
}

// readBody reads the rest of an answer after its header.
func (a *answer) readBody(res *http.Response) (err error) {
	defer res.Body.Close()
	a.busy = res.Header.Get("X-Line-Busy") == "1"
	if ms, err := strconv.ParseFloat(res.Header.Get("X-Come-Back-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
		a.retryAfter = time.Duration(ms * float64(time.Millisecond))
	}
	a.report = parseReport(res.Header.Get("X-Pressure"))
	if res.ContentLength > maxBodyBytes {
		return errTooLong
	}
	a.body, err = io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err == nil && len(a.body) > maxBodyBytes {
		err = errTooLong
	}
	a.keepAlive = !res.Close && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	return err
}

// maxReportedLimit is the highest reported limit that is accepted, in calls per second.
const maxReportedLimit = 1e6

// parseReport returns the two values of a load report, or an empty report if the text is invalid.
func parseReport(text string) (r raventrestle.LimitReport) {
	if text == "" {
		return r
	}
	var fields struct {
		Left  float64 `json:"x0"`
		Limit float64 `json:"x1"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.UnmarshalFromString(text, &fields); err != nil ||
		fields.Left < 0 || fields.Limit < 0 || fields.Limit > maxReportedLimit {
		return r
	}
	return raventrestle.LimitReport{Remaining: fields.Left, Limit: fields.Limit}
}

// outcomesByName maps the result names in an answer to several messages to outcomes.
var outcomesByName = map[string]raventrestle.Outcome{
	"done":    {Status: raventrestle.OK, Final: true},
	"failed":  {Status: raventrestle.Error},
	"busy":    {Status: raventrestle.Rejected},
	"void":    {Status: raventrestle.NotSent, Final: true},
	"used_up": {Status: raventrestle.NotSent},
}

// outcomes returns the outcome of each attempt. A message that the answer does not name may have run.
func (a answer) outcomes(attempts []Attempt) []raventrestle.Outcome {
	common := raventrestle.Outcome{RetryAfter: a.retryAfter, Report: a.report}
	results := map[string]raventrestle.Outcome{}
	switch a.code {
	case http.StatusOK:
		common.Status, common.Final = raventrestle.OK, true
		if len(attempts) > 1 {
			common.Status, common.Final = raventrestle.Reset, false
			results = parseResults(a.body)
		}
	case http.StatusTooManyRequests:
		common.Status = raventrestle.Rejected
	case http.StatusServiceUnavailable:
		if common.Status = raventrestle.Rejected; a.busy {
			common.Status = raventrestle.NotSent
		}
	case http.StatusGone:
		common.Status, common.Final = raventrestle.NotSent, true
	case http.StatusGatewayTimeout, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		common.Status = raventrestle.NotSent
	default:
		common.Status = raventrestle.Error
	}
	out := make([]raventrestle.Outcome, len(attempts))
	for i, a := range attempts {
		o := common
		if own, ok := results[a.ID]; ok {
			o.Status, o.Final = own.Status, own.Final
		}
		o.ID, o.Attempt = raventrestle.MessageID(a.ID), a.Index
		out[i] = o
	}
	return out
}

// parseResults returns the outcome of each message that the answer names. It ignores incomplete lines.
func parseResults(body []byte) map[string]raventrestle.Outcome {
	results := map[string]raventrestle.Outcome{}
	for line := range bytes.SplitAfterSeq(body, []byte("\n")) {
		fields := strings.Fields(string(line))
		if len(fields) != 2 {
			continue
		}
		if outcome, ok := outcomesByName[fields[1]]; ok {
			results[fields[0]] = outcome
		}
	}
	return results
}
