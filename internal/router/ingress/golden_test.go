package ingress

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/dispatch"
)

// maxRecordedBody is the size up to which a recorded body stands in the file itself, larger ones as length and hash.
const maxRecordedBody = 1 << 10

// script is what an endpoint does with a request.
type script = func(c net.Conn, r *receivedRequest) bool

// wireCase is a request and the conditions under which it is answered. The bytes that its client gets are in the
// file of its name.
type wireCase struct {
	text      string
	answers   int // that are recorded; 0: one
	endpoints []script
	prepare   func(w *testRouter) // before the request is sent
	during    func(w *testRouter) // after it
	goOn      chan struct{}       // closed once the client has the head; nil where no endpoint waits for that
}

// record returns what a client gets: heads byte by byte, bodies without their framing, and what becomes of the
// connection.
func (c *wireCase) record(t *testing.T) string {
	t.Helper()
	var endpoints []*endpoint
	for _, answer := range c.endpoints {
		endpoints = append(endpoints, newEndpoint(t, answer))
	}
	w := newTestRouter(t, endpoints...)
	if c.prepare != nil {
		c.prepare(w)
	}
	client := w.client()
	client.send(c.text)
	if c.during != nil {
		c.during(w)
	}
	var headRead func()
	if c.goOn != nil {
		headRead = func() { close(c.goOn) }
	}
	return client.record(max(1, c.answers), strings.HasPrefix(c.text, http.MethodHead+" "), headRead)
}

// record reads so many answers. It calls headRead, unless that is nil, behind the first head.
func (c *client) record(answers int, head bool, headRead func()) string {
	c.t.Helper()
	var out strings.Builder
	for range answers {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		text, err := readHeadBytes(c.reader)
		if err != nil {
			fmt.Fprintf(&out, "%s[no head, connection closed]\n", text)
			return out.String()
		}
		out.WriteString(replaceCurrentDate(text))
		c.reader = bufio.NewReader(io.MultiReader(strings.NewReader(text), c.reader))
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.t.Fatalf("parse the head of the answer: %v, want an answer, got %q", err, text)
		}
		if headRead != nil {
			headRead()
			headRead = nil
		}
		body, failed := io.ReadAll(response.Body)
		if len(body) > maxRecordedBody {
			fmt.Fprintf(&out, "[%d bytes, SHA-256 %x]", len(body), sha256.Sum256(body))
		} else {
			out.Write(body)
		}
		end := "complete"
		if failed != nil {
			end = "broken off"
		}
		if failed == nil && !response.Close {
			fmt.Fprintf(&out, "\n[%s, connection open]\n", end)
			continue
		}
		rest, _ := io.ReadAll(c.reader) // the error is a reset, or the end
		fmt.Fprintf(&out, "\n[%s, connection closed]\n", end)
		if len(rest) > 0 {
			c.t.Errorf("got %q behind the last answer, want nothing", rest)
		}
	}
	return out.String()
}

// readHeadBytes reads up to the blank line that ends a head.
func readHeadBytes(reader *bufio.Reader) (string, error) {
	var text bytes.Buffer
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if err != nil || line == "\r\n" {
			return text.String(), err
		}
	}
}

// replaceCurrentDate puts a constant in the place of the current date.
func replaceCurrentDate(head string) string {
	_, rest, ok := strings.Cut(head, "\r\nDate: ")
	if !ok {
		return head
	}
	stated, _, _ := strings.Cut(rest, "\r\n")
	if at, err := http.ParseTime(stated); err != nil || time.Since(at).Abs() > time.Hour {
		return head
	}
	return strings.Replace(head, stated, "[now]", 1)
}

// compare checks what a client got against the recorded file.
func compare(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("on the wire\n%q\nwant\n%q", got, want)
	}
}

// without is a request's text without the lines that begin so.
func without(text, line string) string {
	var kept []string
	for l := range strings.SplitSeq(text, "\r\n") {
		if !strings.HasPrefix(l, line) {
			kept = append(kept, l)
		}
	}
	return strings.Join(kept, "\r\n")
}

// inChunkedBody is a request's text with its body in one chunk.
func inChunkedBody(path, id, body string) string {
	return strings.Replace(request("POST", path, id, ""), "\r\n\r\n",
		"\r\nTransfer-Encoding: chunked\r\n\r\n", 1) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// requestCases are answered before an endpoint is asked.
func requestCases() map[string]wireCase {
	plain := request("POST", "/once/x", "r1", "b")
	with := func(line string) string { return strings.Replace(plain, "\r\n", "\r\n"+line+"\r\n", 1) }
	stale := func(w *testRouter) { w.stale.Store(true) }
	return map[string]wireCase{
		"400-no-request-id":        {text: without(plain, "X-Request-Id")},
		"400-two-request-ids":      {text: with("X-Request-Id: r2")},
		"400-deadline":             {text: strings.Replace(plain, "X-Deadline-Ms: 5000", "X-Deadline-Ms: soon", 1)},
		"400-target":               {text: strings.Replace(plain, "POST /once/x", "OPTIONS *", 1)},
		"400-no-host":              {text: without(plain, "Host")},
		"400-length-and-chunks":    {text: strings.Replace(inChunkedBody("/once/x", "r1", "b"), "\r\n", "\r\nContent-Length: 1\r\n", 1)},
		"400-chunk-size":           {text: strings.Replace(inChunkedBody("/once/x", "r1", "b"), "1\r\nb", "0x1\r\nb", 1)},
		"400-stale-configuration":  {text: without(plain, "X-Request-Id"), prepare: stale},
		"401-no-key":               {text: without(plain, "Api-Key")},
		"401-unknown-key":          {text: strings.Replace(plain, testKey, "wrong", 1)},
		"401-two-keys":             {text: with("Api-Key: " + testKey)},
		"404-path":                 {text: request("POST", "/nowhere/x", "r1", "b")},
		"404-host":                 {text: strings.Replace(plain, testHost, "other.example", 1)},
		"404-draining":             {text: request("POST", "/nowhere/x", "r1", "b"), prepare: func(w *testRouter) { w.handler.Drain() }},
		"413-length":               {text: strings.Replace(plain, "Content-Length: 1", "Content-Length: 1048577", 1)},
		"413-chunks":               {text: inChunkedBody("/once/x", "r1", strings.Repeat("x", 1<<20+1))},
		"417-expectation":          {text: with("Expect: a-miracle")},
		"431-ours":                 {text: with("X-Large: " + strings.Repeat("x", 16<<10))},
		"431-of-the-server":        {text: with("X-Large: " + strings.Repeat("x", 64<<10))},
		"501-connect":              {text: strings.Replace(plain, "POST /once/x", "CONNECT shop.example:80", 1)},
		"505-version":              {text: strings.Replace(plain, "HTTP/1.1", "HTTP/1.0", 1)},
		"503-stale-configuration":  {text: request("POST", "/nowhere/x", "r1", "b"), prepare: stale},
		"503-stale-key":            {text: without(plain, "Api-Key"), prepare: stale},
		"503-no-configuration":     {text: plain, prepare: func(w *testRouter) { w.view.Store(nil) }},
		"503-process-ends":         {text: plain, prepare: func(w *testRouter) { w.handler.RejectPending() }},
		"503-no-memory-for-bodies": {text: request("POST", "/once/x", "r1", strings.Repeat("x", 80<<10)), prepare: func(w *testRouter) { w.handler.bodyMemory.maxBytes = 70 << 10 }},
		"503-unknown-service": {text: plain, prepare: func(w *testRouter) {
			view := testView()
			view.Index.(*index).services = map[string]*configuration.Service{}
			w.view.Store(view)
		}},
		"header-timeout": {text: plain[:30], prepare: func(w *testRouter) {
			view := testView()
			view.Limits.HeaderTimeoutMS = 1
			w.view.Store(view)
		}},
	}
}

// dispatchCases are answered for want of an endpoint or of its answer.
func dispatchCases() map[string]wireCase {
	plain := request("POST", "/once/x", "r1", "b")
	rejectWith := func(reason dispatch.Reason, after time.Duration) func(w *testRouter) {
		return func(w *testRouter) { w.decider.rejectWith = &dispatch.Reject{Reason: reason, RetryAfter: after} }
	}
	keepPending := func(w *testRouter) { w.decider.keepPending = true }
	whilePending := func(act func(w *testRouter)) func(w *testRouter) {
		return func(w *testRouter) {
			w.decider.waitUntil(w.t, "the request", func() bool { return len(w.decider.requests) == 1 })
			act(w)
		}
	}
	reached := make(chan struct{}, 1)
	unresponsive := func(c net.Conn, r *receivedRequest) bool {
		reached <- struct{}{}
		_, _ = io.Copy(io.Discard, c) // until the router closes it
		return false
	}
	mute := func(c net.Conn, r *receivedRequest) bool { _, _ = io.Copy(io.Discard, c); return false }
	broken := func(c net.Conn, r *receivedRequest) bool { reset(c); return false }
	rejecting := func(c net.Conn, r *receivedRequest) bool { return reply(c, r, "503 Full", "", "X-Not-Executed: 1") }
	drainsMeanwhile := func(answer script) wireCase {
		drained := make(chan struct{})
		return wireCase{
			text: plain,
			endpoints: []script{func(c net.Conn, r *receivedRequest) bool {
				<-drained
				return answer(c, r)
			}},
			during: func(w *testRouter) {
				w.decider.waitUntil(w.t, "the call", func() bool { return w.decider.attempts[1] == 1 })
				w.handler.Drain()
				close(drained)
			},
		}
	}
	atEndpoint := func(act func(w *testRouter)) func(w *testRouter) {
		return func(w *testRouter) {
			<-reached
			act(w)
		}
	}
	return map[string]wireCase{
		"429-quota":                  {text: plain, prepare: rejectWith(dispatch.QuotaExceeded, 1234567*time.Microsecond)},
		"429-quota-whole-seconds":    {text: plain, prepare: rejectWith(dispatch.QuotaExceeded, 2*time.Second)},
		"429-quota-no-time-stated":   {text: plain, prepare: rejectWith(dispatch.QuotaExceeded, 0)},
		"503-no-time":                {text: plain, prepare: rejectWith(dispatch.TargetUnreachable, 300*time.Millisecond)},
		"503-no-endpoint":            {text: plain, prepare: rejectWith(dispatch.NoEndpoint, time.Second)},
		"503-draining":               {text: plain, prepare: func(w *testRouter) { rejectWith(dispatch.NoEndpoint, time.Second)(w); w.handler.Drain() }},
		"503-all-rejected":           {text: plain, endpoints: []script{rejecting, rejecting}},
		"503-not-run-in-time":        {text: strings.Replace(plain, "X-Deadline-Ms: 5000", "X-Deadline-Ms: 0", 1), endpoints: []script{echo}},
		"503-pending-process-ends":   {text: plain, prepare: keepPending, during: whilePending(func(w *testRouter) { w.handler.RejectPending() })},
		"503-pending-calls-end":      {text: plain, prepare: keepPending, during: whilePending(func(w *testRouter) { w.handler.InterruptAttempts() })},
		"502-reset":                  {text: plain, endpoints: []script{broken}},
		"502-reset-then-no-endpoint": {text: request("POST", "/again/x", "r1", "b"), endpoints: []script{broken}},
		"502-draining":               {text: plain, endpoints: []script{broken}, prepare: func(w *testRouter) { w.handler.Drain() }},
		"502-process-ends":           {text: plain, endpoints: []script{unresponsive}, during: atEndpoint(func(w *testRouter) { w.handler.InterruptAttempts() })},
		"502-draining-meanwhile":     drainsMeanwhile(broken),
		"answer-draining-meanwhile":  drainsMeanwhile(echo),
		"504-silent":                 {text: request("POST", "/short/x", "r1", "b"), endpoints: []script{mute}},
	}
}

// answerCases are an endpoint's answers that are passed on, or replaced.
func answerCases() map[string]wireCase {
	plain := request("POST", "/once/x", "r1", "b")
	signed := func(status, body string, more ...string) script {
		return func(c net.Conn, r *receivedRequest) bool {
			return reply(c, r, status, body, append(more, "X-Response-Signature: own")...)
		}
	}
	raw := func(text string, goOn bool) script {
		return func(c net.Conn, r *receivedRequest) bool {
			_, err := io.WriteString(c, text)
			return err == nil && goOn
		}
	}
	large := strings.Repeat("0123456789abcdef", 8<<10)
	stated := "X-Request-Id: r1\r\n" + signedLine + "\r\n"
	stream := request("POST", "/stream/x", "r1", "b")
	cases := map[string]wireCase{
		"answer-success": {text: plain, endpoints: []script{signed("200 OK", "done", "Content-Type: text/plain",
			"Date: Thu, 01 Jan 2026 00:00:00 GMT", "Versions: 7", "X-Twice: 1", "X-Twice: 2", "Server: s")}},
		"answer-without-connection-headers": {text: plain, endpoints: []script{signed("200 OK", "done", "Connection: keep-alive, X-Mine",
			"X-Mine: 1", "Keep-Alive: timeout=5", "Upgrade: other", "Proxy-Authenticate: x", "Trailer: X-T", "TE: trailers")}},
		"answer-draining": {text: plain, endpoints: []script{signed("200 OK", "done")}, prepare: func(w *testRouter) { w.handler.Drain() }},
		"answer-created":  {text: plain, endpoints: []script{signed("201 Made So", "", "Location: /once/y")}},
		"answer-no-content": {text: plain, endpoints: []script{
			raw("HTTP/1.1 204 No Content\r\n"+stated+"\r\n", true),
		}},
		"answer-not-modified": {text: plain, endpoints: []script{
			raw("HTTP/1.1 304 Not Modified\r\n"+stated+"Etag: \"a\"\r\n\r\n", true),
		}},
		"answer-head": {text: request("HEAD", "/again/x", "r1", ""), endpoints: []script{
			raw("HTTP/1.1 200 OK\r\n"+stated+"Content-Length: 77\r\n\r\n", true),
		}},
		"answer-head-without-length": {text: request("HEAD", "/again/x", "r1", ""), endpoints: []script{
			raw("HTTP/1.1 200 OK\r\n"+stated+"Transfer-Encoding: chunked\r\n\r\n", true),
		}},
		"answer-chunks": {text: plain, endpoints: []script{
			raw("HTTP/1.1 200 OK\r\n"+stated+chunksLine+"\r\n\r\n"+inChunks("four", "more"), true),
		}},
		"answer-unframed":  {text: plain, endpoints: []script{raw("HTTP/1.1 200 OK\r\n"+stated+"\r\nfour", false)}},
		"answer-large":     {text: plain, endpoints: []script{signed("200 OK", large)}},
		"answer-large-500": {text: plain, endpoints: []script{signed("500 Failed", large)}},
		"answer-large-chunks": {text: plain, endpoints: []script{
			raw("HTTP/1.1 200 OK\r\n"+stated+chunksLine+"\r\n\r\n"+inChunks(large), true),
		}},
		"answer-large-draining": {text: plain, endpoints: []script{signed("200 OK", large)}, prepare: func(w *testRouter) { w.handler.Drain() }},
		"answer-kept-failure":   {text: request("POST", "/again/x", "r1", "b"), endpoints: []script{signed("500 Failed", "why")}},
		"answer-421-goes-on":    {text: plain, endpoints: []script{signed("421 Misdirected", ""), echo}},
		"answer-421-then-none":  {text: plain, endpoints: []script{signed("421 Misdirected", "")}},
		"answer-unsigned":       {text: plain, endpoints: []script{func(c net.Conn, r *receivedRequest) bool { return reply(c, r, "200 OK", "x") }}},
		"answer-two-on-one-connection": {
			text: request("POST", "/once/1", "r1", "a") + request("POST", "/once/2", "r2", "b"), answers: 2, endpoints: []script{echo},
		},
		"answer-unseen-chunks": {
			text: request("POST", "/once/1", "r1", "a") + inChunkedBody("/once/2", "r2", "b"), answers: 2, endpoints: []script{echo},
		},
		"answer-continue": {
			text: strings.Replace(plain, "\r\n", "\r\nExpect: 100-continue\r\n", 1), answers: 2, endpoints: []script{echo},
		},
		"stream-without-events":              {text: stream, endpoints: []script{streaming(0, "own", nil)}},
		"stream-with-length":                 {text: stream, endpoints: []script{signed("200 OK", eventsTo(1, 3), eventsLine)}},
		"stream-lost-before-its-first-event": {text: stream, endpoints: []script{streaming(0, "own", reset)}},
		"stream-failure":                     {text: stream, endpoints: []script{signed("500 Failed", "why")}},
	}
	// paced begins a stream, and ends it once the client has the head: it came with the first event.
	paced := func(c wireCase, signature string, end func(c net.Conn) bool) wireCase {
		goOn := make(chan struct{})
		c.goOn = goOn
		c.endpoints = append([]script{func(conn net.Conn, r *receivedRequest) bool {
			streamHead(conn, r, signature)
			chunk(conn, event(1))
			<-goOn
			return end(conn)
		}}, c.endpoints...)
		return c
	}
	complete := func(c net.Conn) bool {
		_, err := io.WriteString(c, inChunks(event(2), event(3)))
		return err == nil
	}
	breaksOff := func(c net.Conn) bool { reset(c); return false }
	cases["stream-success"] = paced(wireCase{text: stream}, "own", complete)
	cases["stream-draining"] = paced(wireCase{text: stream, prepare: func(w *testRouter) { w.handler.Drain() }}, "own", complete)
	cases["stream-broken-off"] = paced(wireCase{text: stream}, "own", breaksOff)
	cases["stream-resumed"] = paced(wireCase{
		text:      request("POST", "/resumable/x", "r1", "b"),
		endpoints: []script{streaming(4, "second", nil)},
	}, "first", breaksOff)
	for _, status := range []string{
		"302 Found", "400 Bad", "403 Forbidden", "404 Absent", "500 Failed", "502 Bad", "504 Late",
		"408 Slow", "429 Quota", "503 Full",
	} {
		cases["answer-"+status[:3]] = wireCase{text: plain, endpoints: []script{signed(status, "why", "Retry-After: 9")}}
	}
	return cases
}

// The status, every byte of the head and the body of each answer that the ingress gives are as they were recorded.
func TestAnswersOnTheWireAreAsRecorded(t *testing.T) {
	recorded := 2 // of the tests below
	for _, cases := range []map[string]wireCase{requestCases(), dispatchCases(), answerCases()} {
		recorded += len(cases)
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				compare(t, name, c.record(t))
			})
		}
	}
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.txt"))
	if err != nil || len(files) != recorded {
		t.Errorf("got %d recorded files (%v), want %d: each is the answer of one case", len(files), err, recorded)
	}
}

// A body that does not come in time. Its request has arrived long ago: the test waits for the rest of the time only.
func TestBodyTimeoutOnTheWireIsAsRecorded(t *testing.T) {
	w := newTestRouter(t)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		arrived := time.Now().Add(50*time.Millisecond - bodyTimeout(w.view.Load().Limits))
		_, rejected := w.handler.accept(rw, r, arrived)
		if rejected == nil {
			t.Error("got a complete request, want a timeout of its body")
			return
		}
		w.handler.reject(rw, *rejected)
	}))
	t.Cleanup(server.Close)
	w.address = server.Listener.Addr().String()
	client := w.client()
	client.send(strings.TrimSuffix(request("POST", "/once/x", "r1", "body"), "y"))
	compare(t, "408-body", client.record(1, false, nil))
}

// A connection on which no deadline can be set.
func TestInternalErrorOnTheWireIsAsRecorded(t *testing.T) {
	w := newTestRouter(t)
	r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("body"))
	recorder := httptest.NewRecorder()
	w.handler.ServeHTTP(recorder, r)
	var out bytes.Buffer
	if err := recorder.Result().Write(&out); err != nil {
		t.Fatal(err)
	}
	compare(t, "500-deadline", out.String())
}
