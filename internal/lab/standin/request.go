package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// kvCacheTokens is the size of the KV cache that the endpoint reports.
const kvCacheTokens = 130000

// Headers of requests and responses.
const (
	headerID               = "X-Request-Id"
	headerModel            = "X-Model"
	headerExpectedInstance = "X-Expected-Instance"
	headerServedBy         = "X-Served-By"
	headerNotExecuted      = "X-Not-Executed"
	headerSignature        = "X-Response-Signature"
	headerLoad             = "X-Instance-Load"
	headerTenant           = "X-Tenant"
	headerDeadline         = "X-Deadline-Ms"
)

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.handleReport)
	mux.HandleFunc("POST /-/order", e.handleOrder)
	mux.HandleFunc("GET /healthz", e.handleHealth)
	mux.HandleFunc("/", e.handleRequest)
	return e.rejectMisdirected(mux)
}

// rejectMisdirected rejects requests that expect a different endpoint.
func (e *Endpoint) rejectMisdirected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(headerExpectedInstance); expected != "" && expected != e.options.ID {
			w.Header().Set(headerServedBy, e.options.ID)
			reject(w, r, http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Endpoint) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	draining := e.draining
	e.mutex.Unlock()
	w.Header().Set(headerServedBy, e.options.ID)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleRequest serves a client's request: with a stream of events if it names a model, else with a short text.
func (e *Endpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the client has closed the connection
	}
	id := r.Header.Get(headerID)
	if id == "" {
		reject(w, r, http.StatusBadRequest)
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	status := e.acquireSlot(model, adapter)
	if status != http.StatusMisdirectedRequest && e.options.OnArrival != nil {
		e.options.OnArrival(id)
	}
	if status != http.StatusOK {
		reject(w, r, status)
		return
	}
	defer e.releaseSlot()
	if e.options.OnRun != nil {
		e.options.OnRun(id)
	}
	w.Header().Set(headerID, id)
	w.Header().Set(headerSignature, e.options.ID+"."+id)
	w.Header().Set(headerServedBy, e.options.ID)
	w.Header().Set(headerLoad, e.loadHeader())
	complete := false
	if model == "" {
		_, err := fmt.Fprintf(w, "answer of %s to %s for tenant %s\n", e.options.ID, r.URL.Path, r.Header.Get(headerTenant))
		complete = err == nil
	} else {
		complete = e.streamEvents(w, r, model)
	}
	if !complete {
		panic(http.ErrAbortHandler) // ends the connection, so that the answer does not look complete
	}
	e.mutex.Lock()
	e.served++
	e.mutex.Unlock()
}

// reject sends a status and states that the request was not executed.
func reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// acquireSlot takes a slot and returns 200, or returns the status with which to reject the request.
func (e *Endpoint) acquireSlot(model, adapter string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case model != "" && model == e.loading:
		return http.StatusServiceUnavailable
	case model != "" && !e.hasModel(model, adapter):
		return http.StatusMisdirectedRequest
	case e.runningRequests >= e.options.Slots:
		return http.StatusServiceUnavailable
	}
	e.runningRequests++
	return http.StatusOK
}

func (e *Endpoint) releaseSlot() {
	e.mutex.Lock()
	e.runningRequests--
	e.mutex.Unlock()
}

// loadHeader returns the value of headerLoad: running requests, queued requests and slots.
func (e *Endpoint) loadHeader() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", e.runningRequests, e.options.Slots)
}

// streamEvents sends events until all are sent, the deadline has passed or the client closes the connection. It continues
// after the event that Last-Event-Id names. It reports whether all events were sent.
func (e *Endpoint) streamEvents(w http.ResponseWriter, r *http.Request, model string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // if it is absent or invalid, the stream begins with event 1
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	flusher := http.NewResponseController(w)
	interval := e.options.EventInterval
	if slower, ok := e.options.EventIntervals[model]; ok {
		interval = slower
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := lastEvent + 1; number <= e.options.EventsPerStream; number++ {
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return false
		}
		if time.Now().After(deadline) {
			return false
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", number, number, model, e.options.ID)
		if err != nil || flusher.Flush() != nil {
			return false
		}
	}
	return true
}
