package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const kvTokens = 130000

// Headers of requests and answers.
const (
	headerID        = "X-Request-Id"
	headerModel     = "X-Model"
	headerExpected  = "X-Expected-Instance"
	headerServedBy  = "X-Served-By"
	headerNotRun    = "X-Not-Executed"
	headerSignature = "X-Response-Signature"
	headerLoad      = "X-Instance-Load"
	headerTenant    = "X-Tenant"
	headerDeadline  = "X-Deadline-Ms"
)

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.tellReport)
	mux.HandleFunc("POST /-/order", e.takeOrder)
	mux.HandleFunc("GET /healthz", e.tellHealth)
	mux.HandleFunc("/", e.answer)
	return e.onlyExpected(mux)
}

// onlyExpected turns away what is meant for another endpoint.
func (e *Endpoint) onlyExpected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(headerExpected); expected != "" && expected != e.options.ID {
			w.Header().Set(headerServedBy, e.options.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Endpoint) tellHealth(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	draining := e.draining
	e.mutex.Unlock()
	w.Header().Set(headerServedBy, e.options.ID)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answer serves a client's request: a stream of events where a model is named, a short text otherwise.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller is gone
	}
	id := r.Header.Get(headerID)
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get(headerModel), "/")
	if status := e.enter(model, adapter); status != http.StatusOK {
		refuse(w, status)
		return
	}
	defer e.leaveSlot()
	w.Header().Set(headerID, id)
	w.Header().Set(headerSignature, e.options.ID+"."+id)
	w.Header().Set(headerServedBy, e.options.ID)
	w.Header().Set(headerLoad, e.load())
	done := false
	if model == "" {
		_, err := fmt.Fprintf(w, "answer of %s to %s for tenant %s\n", e.options.ID, r.URL.Path, r.Header.Get(headerTenant))
		done = err == nil
	} else {
		done = e.stream(w, r, model)
	}
	if done {
		e.mutex.Lock()
		e.served++
		e.mutex.Unlock()
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// enter takes a slot, or says with which status the request is turned away.
func (e *Endpoint) enter(model, adapter string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case model != "" && !e.holds(model, adapter):
		return http.StatusMisdirectedRequest
	case e.running >= e.options.Slots:
		return http.StatusServiceUnavailable
	}
	e.running++
	return http.StatusOK
}

func (e *Endpoint) leaveSlot() {
	e.mutex.Lock()
	e.running--
	e.mutex.Unlock()
}

func (e *Endpoint) load() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", e.running, e.options.Slots)
}

// stream puts out events until all are out, the deadline passes or the caller leaves. After Last-Event-Id it goes on.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, model string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent or odd: from the start
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	flusher := http.NewResponseController(w)
	ticker := time.NewTicker(e.options.Event)
	defer ticker.Stop()
	for number := after + 1; number <= e.options.Events; number++ {
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
