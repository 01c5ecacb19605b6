package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An endpoint is a stand-in for a server of a service. It speaks PROTOCOL.md: heartbeats, orders, reports, requests. It
// frames its answers itself, so that a test can have it send what a sound HTTP server would not.
type endpoint struct {
	id, service, zone, address string
	controls                   []string // control addresses
	slots                      int
	loadSeconds                map[string]float64 // load_time_s by model; nil: a service without models
	loadSlowdown               float64            // by how much each running request lengthens a load
	events                     int                // of a stream
	eventGap                   time.Duration
	work                       time.Duration // of a request without a model
	heartbeat                  time.Duration
	record                     *record
	runs                       *runTable
	surplus                    *surplusPlan // nil: the endpoint is sound

	listener net.Listener
	stopped  chan struct{}

	mutex    sync.Mutex
	models   map[string]bool
	loading  string // model of the order under way; empty: none
	revision uint64
	sequence uint64
	running  int
	draining bool
	left     bool // it sends no heartbeats any more
	open     map[net.Conn]bool
	arrived  []arrival
}

// An arrival is a client's request that reached an endpoint.
type arrival struct {
	id string
	at time.Time
}

func (e *endpoint) arrivals() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.arrived)
}

// A runTable counts at how many endpoints, and how often, each request began to run.
type runTable struct {
	mutex sync.Mutex
	runs  map[string][]string // by request id
}

func newRunTable() *runTable { return &runTable{runs: map[string][]string{}} }

func (t *runTable) add(id, endpoint string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs[id] = append(t.runs[id], endpoint)
	return len(t.runs[id])
}

func (t *runTable) of(id string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.runs[id])
}

func (t *runTable) ids() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id := range t.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start listens and sends heartbeats until stop.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.listener, e.stopped, e.open = listener, make(chan struct{}), map[net.Conn]bool{}
	if e.models == nil {
		e.models = map[string]bool{}
	}
	go e.accept()
	go e.beat()
	return nil
}

func (e *endpoint) stop() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.left {
		close(e.stopped)
	}
	e.listener.Close()
	for c := range e.open {
		c.Close()
	}
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.open[c] = true
		e.mutex.Unlock()
		go e.serve(c)
	}
}

// serve answers the requests of one connection, one after the other.
func (e *endpoint) serve(c net.Conn) {
	defer func() {
		e.mutex.Lock()
		delete(e.open, c)
		e.mutex.Unlock()
		c.Close()
	}()
	reader := bufio.NewReader(c)
	var late []byte // a surplus answer that is due
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			e.record.line("endpoint %s sends the surplus answer, where that to %s is due", e.id, request.Header.Get("X-Request-Id"))
			time.Sleep(time.Millisecond)
			late = nil
		}
		answer, ok := e.answer(c, request, body)
		if !ok {
			return
		}
		if e.surplus != nil && e.surplus.follows(answer) {
			late = answer.bytes
			e.record.line("endpoint %s owes a surplus answer (%d, to %s)", e.id, answer.status, answer.request)
		}
	}
}

// A sentAnswer is an answer that was sent whole.
type sentAnswer struct {
	request     string
	status      int
	bytes       []byte // nil for streams
	whileLoaded bool   // the request was turned away because its model was being loaded
}

// answer answers one request, and reports whether the connection can go on.
func (e *endpoint) answer(c net.Conn, r *http.Request, body []byte) (sentAnswer, bool) {
	id := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		return e.send(c, id, http.StatusMisdirectedRequest, true, "", nil)
	}
	switch {
	case r.URL.Path == "/-/report":
		return e.send(c, id, http.StatusOK, false, "application/json", e.report())
	case r.URL.Path == "/-/order":
		return e.send(c, id, e.takeOrder(body), false, "", nil)
	case r.URL.Path == "/healthz":
		return e.send(c, id, http.StatusOK, false, "", nil)
	case id == "":
		return e.send(c, id, http.StatusBadRequest, true, "", nil)
	}
	e.mutex.Lock()
	e.arrived = append(e.arrived, arrival{id, time.Now()})
	e.mutex.Unlock()
	model, _, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	status := e.begin(model)
	if status != http.StatusOK {
		e.record.line("endpoint %s turns %s away: %d", e.id, id, status)
		answer, ok := e.send(c, id, status, true, "", nil)
		answer.whileLoaded = status == http.StatusServiceUnavailable && model != ""
		return answer, ok
	}
	defer e.end()
	count := e.runs.add(id, e.id)
	e.record.line("endpoint %s runs %s, run %d of this request", e.id, id, count)
	if model != "" {
		return sentAnswer{request: id, status: http.StatusOK}, e.stream(c, r, id)
	}
	time.Sleep(e.work)
	return e.send(c, id, http.StatusOK, false, "text/plain", []byte("answer to "+id+"\n"))
}

// begin takes a slot for a request, or returns the status with which it is turned away.
func (e *endpoint) begin(model string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case model != "" && e.loading == model:
		return http.StatusServiceUnavailable
	case model != "" && !e.models[model]:
		return http.StatusMisdirectedRequest
	case e.running >= e.slots:
		return http.StatusServiceUnavailable
	}
	e.running++
	return http.StatusOK
}

func (e *endpoint) end() {
	e.mutex.Lock()
	e.running--
	e.mutex.Unlock()
}

func (e *endpoint) head(id string, status int, notExecuted bool) *bytes.Buffer {
	e.mutex.Lock()
	running := e.running
	e.mutex.Unlock()
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Served-By: %s\r\n", status, http.StatusText(status), id, e.id)
	fmt.Fprintf(&head, "X-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=15\r\n", running, e.slots)
	if notExecuted {
		head.WriteString("X-Not-Executed: 1\r\n")
	} else {
		fmt.Fprintf(&head, "X-Response-Signature: %s.%s\r\n", e.id, id)
	}
	return &head
}

// send sends an answer with a length.
func (e *endpoint) send(c net.Conn, id string, status int, notExecuted bool, kind string, body []byte) (sentAnswer, bool) {
	answer := e.head(id, status, notExecuted)
	if kind != "" {
		fmt.Fprintf(answer, "Content-Type: %s\r\n", kind)
	}
	fmt.Fprintf(answer, "Content-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	_, err := c.Write(answer.Bytes())
	return sentAnswer{request: id, status: status, bytes: answer.Bytes()}, err == nil
}

// stream sends a series of events, and stops when the caller has closed the connection.
func (e *endpoint) stream(c net.Conn, r *http.Request, id string) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head := e.head(id, http.StatusOK, false)
	head.WriteString("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if _, err := c.Write(head.Bytes()); err != nil {
		return false
	}
	for n := last + 1; n <= e.events; n++ {
		time.Sleep(e.eventGap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s by %s\n\n", n, n, id, e.id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.record.line("endpoint %s stops %s at event %d: its caller has left", e.id, id, n)
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// takeOrder begins an order, and returns the status of its answer.
func (e *endpoint) takeOrder(body []byte) int {
	var order struct {
		Operation  string  `json:"operation"`
		Model      string  `json:"model"`
		Adapter    string  `json:"adapter"`
		IfRevision *uint64 `json:"if_revision"`
		Holder     string  `json:"holder"`
		Fence      uint64  `json:"fence_token"`
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.Fence == 0 || e.loadSeconds[order.Model] == 0 {
		return http.StatusBadRequest
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	load := order.Operation == "model_load"
	switch {
	case e.loading != "" || order.IfRevision != nil && *order.IfRevision != e.revision:
		return http.StatusConflict
	case e.models[order.Model] == load:
		return http.StatusOK
	}
	e.revision++
	e.record.line("endpoint %s takes the order %s %s", e.id, order.Operation, order.Model)
	if !load {
		delete(e.models, order.Model)
		return http.StatusAccepted
	}
	e.loading = order.Model
	go e.load(order.Model)
	return http.StatusAccepted
}

// load carries out the load of a model, which takes longer while many requests run.
func (e *endpoint) load(model string) {
	const step = 5 * time.Millisecond
	began := time.Now()
	for left, last := e.loadSeconds[model], began; left > 0; {
		time.Sleep(step)
		now := time.Now()
		e.mutex.Lock()
		left -= now.Sub(last).Seconds() / (1 + e.loadSlowdown*float64(e.running))
		e.mutex.Unlock()
		last = now
	}
	e.mutex.Lock()
	e.models[model], e.loading = true, ""
	e.mutex.Unlock()
	e.record.line("endpoint %s has loaded %s in %.3f s", e.id, model, time.Since(began).Seconds())
}

type modelState struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Adapters   []string `json:"adapters"`
}

// states lists the models. The caller has the lock.
func (e *endpoint) states() []modelState {
	list := []modelState{}
	for name := range e.models {
		list = append(list, modelState{Name: name, Generation: 1, Adapters: []string{}})
	}
	slices.SortFunc(list, func(a, b modelState) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (e *endpoint) report() []byte {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.states(), "busy": e.loading != "", "seq": e.revision, "queued": 0, "running": e.running,
		"kv_used": 0, "kv_total": 130000, "handles": 0,
	})
	return text
}

// beat sends heartbeats; where one is not acknowledged, the next control process is called.
func (e *endpoint) beat() {
	control := 0
	client := &http.Client{Timeout: time.Second}
	for {
		e.mutex.Lock()
		e.sequence++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{
			"backend": e.service, "address": e.address, "zone": e.zone, "generation": "v1", "slots": e.slots, "state": state,
			"cold_remaining_ms": 0, "seq": e.sequence,
		}
		if e.loadSeconds != nil {
			body["stage"], body["models"] = "both", e.states()
		}
		e.mutex.Unlock()
		text, _ := json.Marshal(body)
		wait := e.heartbeat
		request, _ := http.NewRequest(http.MethodPut, "http://"+e.controls[control]+"/-/instances/"+e.id, bytes.NewReader(text))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err != nil || response.StatusCode/100 != 2 {
			control, wait = (control+1)%len(e.controls), 100*time.Millisecond
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(wait):
		}
	}
}
