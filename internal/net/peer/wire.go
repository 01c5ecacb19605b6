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

// Reach is how far an attempt got.
type Reach uint8

const (
	NotConnected Reach = iota // no connection came up
	NotWritten                // it broke before the last byte was written
	Written                   // the endpoint may have the whole call
	Answered                  // an answer came that can't be read: the call has run
	Held                      // not written on purpose, see Peer.BlockUntil
)

// TryError says why a try has no answer and how far it got.
type TryError struct {
	Reach   Reach
	Timeout bool // the courier stopped waiting, else the connection failed
	Err     error
}

func (e *TryError) Error() string {
	return fmt.Sprintf("try: %v: %v", [...]string{"not connected", "not written", "written", "answered", "held"}[e.Reach], e.Err)
}

func (e *TryError) Unwrap() error { return e.Err }

// Status is the outcome that the error stands for.
func (e *TryError) Status() raventrestle.Status {
	switch {
	case e.Reach == Held:
		return raventrestle.NotSent
	case e.Reach < Written:
		return raventrestle.ConnectFailed
	case e.Reach == Answered: // it is no longer running, as one that was lost may be
		return raventrestle.Error
	case e.Timeout:
		return raventrestle.TimedOut
	}
	return raventrestle.Reset
}

const (
	mostHead    = 16 << 10
	mostBody    = 64 << 10
	mostInterim = 8 // 1xx answers before one

	restWithin = 500 * time.Millisecond // for the rest of an answer once its first byte has come
	tailWithin = 50 * time.Millisecond  // the same where what has come says all
)

var errTooLong = errors.New("the answer is too long")

// request writes a call out: one message to its own place, several in frames.
func request(host string, tries []Try, wait time.Duration) []byte {
	var b bytes.Buffer
	head := func(path string) {
		fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Remaining: %.3f\r\n", path, host, wait.Seconds())
	}
	if len(tries) == 1 {
		t := tries[0]
		head("/inbox")
		fmt.Fprintf(&b, "X-Txn: %s\r\n", t.ID)
		if t.Key != "" {
			fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(t.Body))
		b.Write(t.Body)
		return b.Bytes()
	}
	var frames bytes.Buffer
	for _, t := range tries {
		key := t.Key
		if key == "" {
			key = "-"
		}
		fmt.Fprintf(&frames, "%s %s %d\r\n", t.ID, key, len(t.Body))
		frames.Write(t.Body)
		frames.WriteString("\r\n")
	}
	head("/inbox/bulk")
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", frames.Len())
	b.Write(frames.Bytes())
	return b.Bytes()
}

// answer is what came back for a call.
type answer struct {
	at     time.Time // when it came
	code   int
	busy   bool // all slots of this courier were taken
	wait   time.Duration
	report raventrestle.LimitReport
	body   []byte
	reuse  bool // the connection may carry another call
}

// read takes an answer off the connection. One that can't be read to its end is spoilt, and an
// error of reach Answered, but for the answer to a single message whose first line says 200: that
// is true whatever follows.
func read(c *conn, single bool) (a answer, err error) {
	if _, err := c.r.Peek(1); err != nil {
		return a, &TryError{Reach: Written, Err: err}
	}
	a.at = time.Now()
	c.within(restWithin)
	for range mostInterim + 1 {
		if a.code, err = statusLine(c.r); err != nil {
			break
		}
		if single && a.code == http.StatusOK {
			c.within(tailWithin)
		}
		var res *http.Response
		if res, err = http.ReadResponse(c.r, nil); err != nil {
			break
		}
		if a.code < 200 {
			continue
		}
		if err = a.take(res); err != nil {
			break
		}
		return a, nil
	}
	if single && a.code == http.StatusOK {
		a.reuse = false
		return a, nil
	}
	return a, &TryError{Reach: Answered, Err: cmp.Or(err, errTooLong)}
}

// statusLine is the code of the answer that comes next, of which nothing is taken off.
func statusLine(r *bufio.Reader) (int, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		text, _ := r.Peek(r.Buffered())
		line, _, whole := bytes.Cut(text, []byte("\n"))
		if !whole && err == nil {
			continue
		}
		version, rest, _ := strings.Cut(string(line[:min(len(line), 32)]), " ")
		digits := rest[:min(len(rest), 3)]
		code, bad := strconv.ParseUint(digits, 10, 16)
		after := strings.TrimPrefix(rest, digits)
		switch {
		case !strings.HasPrefix(version, "HTTP/1.") || bad != nil || code < 100:
		case after == "" && whole || after != "" && (after[0] == ' ' || after[0] == '\r'):
			return int(code), nil
		}
		return 0, fmt.Errorf("no status line: %.40q", line)
	}
}

// take reads the rest of an answer whose head came.
func (a *answer) take(res *http.Response) (err error) {
	defer res.Body.Close()
	a.busy = res.Header.Get("X-Line-Busy") == "1"
	if ms, err := strconv.ParseFloat(res.Header.Get("X-Come-Back-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
		a.wait = time.Duration(ms * float64(time.Millisecond))
	}
	a.report = report(res.Header.Get("X-Pressure"))
	if res.ContentLength > mostBody {
		return errTooLong
	}
	a.body, err = io.ReadAll(io.LimitReader(res.Body, mostBody+1))
	if err == nil && len(a.body) > mostBody {
		err = errTooLong
	}
	a.reuse = !res.Close && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	return err
}

// mostLimit is the highest calls a second that a report is believed to mean.
const mostLimit = 1e6

// report takes the two values of a load report; one that can't be read to its end tells nothing.
func report(text string) (r raventrestle.LimitReport) {
	if text == "" {
		return r
	}
	var f struct {
		Left  float64 `json:"x0"`
		Limit float64 `json:"x1"`
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.UnmarshalFromString(text, &f); err != nil ||
		f.Left < 0 || f.Limit < 0 || f.Limit > mostLimit {
		return r
	}
	return raventrestle.LimitReport{Remaining: f.Left, Limit: f.Limit}
}

// ends are the words of an answer to several messages.
var ends = map[string]raventrestle.Outcome{
	"done":    {Status: raventrestle.OK, Final: true},
	"failed":  {Status: raventrestle.Error},
	"busy":    {Status: raventrestle.Rejected},
	"void":    {Status: raventrestle.NotSent, Final: true},
	"used_up": {Status: raventrestle.NotSent},
}

// outcomes reads the answer for each of the tries: what it does not tell may have run.
func (a answer) outcomes(tries []Try) []raventrestle.Outcome {
	all := raventrestle.Outcome{RetryAfter: a.wait, Report: a.report}
	told := map[string]raventrestle.Outcome{}
	switch a.code {
	case http.StatusOK:
		all.Status, all.Final = raventrestle.OK, true
		if len(tries) > 1 {
			all.Status, all.Final = raventrestle.Reset, false
			told = lines(a.body)
		}
	case http.StatusTooManyRequests:
		all.Status = raventrestle.Rejected
	case http.StatusServiceUnavailable:
		if all.Status = raventrestle.Rejected; a.busy {
			all.Status = raventrestle.NotSent
		}
	case http.StatusGone:
		all.Status, all.Final = raventrestle.NotSent, true
	case http.StatusGatewayTimeout, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		all.Status = raventrestle.NotSent
	default:
		all.Status = raventrestle.Error
	}
	out := make([]raventrestle.Outcome, len(tries))
	for i, t := range tries {
		o := all
		if own, ok := told[t.ID]; ok {
			o.Status, o.Final = own.Status, own.Final
		}
		o.ID, o.Attempt = raventrestle.MessageID(t.ID), t.N
		out[i] = o
	}
	return out
}

// lines reads how each message of a call ended. A line that broke off tells nothing.
func lines(body []byte) map[string]raventrestle.Outcome {
	told := map[string]raventrestle.Outcome{}
	for line := range bytes.SplitAfterSeq(body, []byte("\n")) {
		word := strings.Fields(string(line))
		if len(word) != 2 {
			continue
		}
		if end, ok := ends[word[1]]; ok {
			told[word[0]] = end
		}
	}
	return told
}
