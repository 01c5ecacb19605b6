package peer

import (
	"bufio"
	"bytes"
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
	Answered                  // an answer came, but its text could not be read to the end
)

// TryError says why a try has no answer and how far it got.
type TryError struct {
	Reach   Reach
	Timeout bool // the courier stopped waiting, else the connection failed
	Err     error
}

func (e *TryError) Error() string {
	return fmt.Sprintf("try: %v: %v", [...]string{"not connected", "not written", "written", "answered"}[e.Reach], e.Err)
}

func (e *TryError) Unwrap() error { return e.Err }

// Status is the outcome that the error stands for.
func (e *TryError) Status() raventrestle.Status {
	switch {
	case e.Reach < Written:
		return raventrestle.ConnectFailed
	case e.Timeout:
		return raventrestle.TimedOut
	}
	return raventrestle.Reset
}

const (
	mostHead = 16 << 10
	mostBody = 64 << 10
)

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
	code   int
	busy   bool // all slots of this courier were taken
	wait   time.Duration
	report raventrestle.Report
	body   []byte
	cut    error // the text broke off
	reuse  bool  // the connection may carry another call
}

// read takes an answer off the connection. One whose first line came whole is an answer.
func read(r *bufio.Reader) (answer, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return answer{}, err
	}
	first := bytes.Clone(line)
	var a answer
	parts := strings.SplitN(strings.TrimSpace(string(first)), " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return answer{}, fmt.Errorf("no status line: %.40q", first)
	}
	if a.code, err = strconv.Atoi(parts[1]); err != nil {
		return answer{}, fmt.Errorf("no status line: %.40q", first)
	}
	res, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(first),
		&io.LimitedReader{R: r, N: mostHead + mostBody})), nil)
	if err != nil {
		a.cut = err
		return a, nil
	}
	defer res.Body.Close()
	a.busy = res.Header.Get("X-Line-Busy") == "1"
	if ms, err := strconv.ParseFloat(res.Header.Get("X-Come-Back-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
		a.wait = time.Duration(ms * float64(time.Millisecond))
	}
	a.report = report(res.Header.Get("X-Pressure"))
	if a.body, a.cut = io.ReadAll(io.LimitReader(res.Body, mostBody+1)); len(a.body) > mostBody {
		a.cut = errors.New("its text is too long")
	}
	a.reuse = a.cut == nil && !res.Close && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	return a, nil
}

// report takes the two values of a load report.
func report(text string) (r raventrestle.Report) {
	if text == "" {
		return r
	}
	it := jsoniter.ParseString(jsoniter.ConfigDefault, text)
	for field := it.ReadObject(); field != "" && it.Error == nil; field = it.ReadObject() {
		switch {
		case it.WhatIsNext() != jsoniter.NumberValue:
			it.Skip()
		case field == "x0":
			r.Left = it.ReadFloat64()
		case field == "x1":
			r.Limit = it.ReadFloat64()
		default:
			it.Skip()
		}
	}
	if it.Error != nil && it.Error != io.EOF {
		return raventrestle.Report{}
	}
	return r
}

// ends are the words of an answer to several messages.
var ends = map[string]raventrestle.Outcome{
	"done":    {Status: raventrestle.OK, Closed: true},
	"failed":  {Status: raventrestle.Error},
	"busy":    {Status: raventrestle.Full},
	"void":    {Status: raventrestle.Moot, Closed: true},
	"used_up": {Status: raventrestle.Moot},
}

// outcomes reads the answer for each of the tries: what it does not tell may have run.
func (a answer) outcomes(tries []Try) []raventrestle.Outcome {
	all := raventrestle.Outcome{Wait: a.wait, Report: a.report}
	told := map[string]raventrestle.Outcome{}
	switch a.code {
	case http.StatusOK:
		all.Status, all.Closed = raventrestle.OK, true
		if len(tries) > 1 {
			all.Status, all.Closed = raventrestle.Reset, false
			told = lines(a.body)
		}
	case http.StatusTooManyRequests:
		all.Status = raventrestle.Full
	case http.StatusServiceUnavailable:
		if all.Status = raventrestle.Full; a.busy {
			all.Status = raventrestle.Moot
		}
	case http.StatusGone:
		all.Status, all.Closed = raventrestle.Moot, true
	case http.StatusGatewayTimeout, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		all.Status = raventrestle.Moot
	default:
		all.Status = raventrestle.Error
	}
	out := make([]raventrestle.Outcome, len(tries))
	for i, t := range tries {
		o := all
		if own, ok := told[t.ID]; ok {
			o.Status, o.Closed = own.Status, own.Closed
		}
		o.ID, o.Try = raventrestle.MessageID(t.ID), t.N
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
