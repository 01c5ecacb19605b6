// Package standin provides a simple endpoint for trying out the system by hand. It registers with heartbeats, simulates
// loaded models, executes orders and serves streams of placeholder text. Its timing says nothing about real endpoints.
package standin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Options are the settings of an endpoint.
type Options struct {
	ID                string
	Service           string
	Zone              string
	Address           string   // IP:port to listen on
	ControlAddresses  []string // addresses of control instances
	Slots             int
	Models            []string // loaded at the start
	LoadTime          time.Duration
	EventInterval     time.Duration            // time between two events of a stream
	EventIntervals    map[string]time.Duration // the same of single models
	EventsPerStream   int                      // number of events of a stream
	HeartbeatInterval time.Duration
	OnRun             func(requestID string) // called when a request begins to run; may be nil
	OnArrival         func(requestID string) // called when a request arrives that is not misdirected; may be nil
	RepeatAnswer      RepeatAnswer           // may be nil
	ExtraLoadTime     func() time.Duration   // beyond LoadTime, of each load; may be nil
	Log               *slog.Logger
}

// Endpoint is one running stand-in.
type Endpoint struct {
	options    Options
	listener   net.Listener
	server     *http.Server
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mutex           sync.Mutex
	models          map[string]*loadedModel
	revision        uint64 // number of accepted orders since the start
	orderRunning    bool
	loading         string // model that is being loaded; empty: none
	runningRequests int
	sequence        uint64
	draining        bool
	served          int
}

// loadedModel is a model that the endpoint serves, with its adapters.
type loadedModel struct{ adapters []string }

// Start listens, serves and registers the endpoint.
func Start(ctx context.Context, options Options) (*Endpoint, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", options.ID, err)
	}
	ctx, stop := context.WithCancel(ctx)
	e := &Endpoint{options: options, listener: listener, stop: stop, models: make(map[string]*loadedModel)}
	for _, model := range options.Models {
		e.models[model] = &loadedModel{}
	}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	if options.RepeatAnswer != nil {
		listener = surplusListener{listener, options.RepeatAnswer}
	}
	e.goroutines.Go(func() { _ = e.server.Serve(listener) }) // returns after Shutdown or Close
	e.goroutines.Go(func() { e.register(ctx) })
	return e, nil
}

// Served returns the number of requests with a complete response.
func (e *Endpoint) Served() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.served
}

// Models returns the sorted names of the loaded models, and of their adapters as MODEL/ADAPTER.
func (e *Endpoint) Models() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var names []string
	for name, model := range e.models {
		names = append(names, name)
		for _, adapter := range model.adapters {
			names = append(names, name+"/"+adapter)
		}
	}
	slices.Sort(names)
	return names
}

// ID returns the endpoint's ID.
func (e *Endpoint) ID() string { return e.options.ID }

// Address returns the address on which the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Stop deregisters the endpoint and stops it. Running requests may finish until the context ends.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.mutex.Lock()
	e.draining = true
	e.mutex.Unlock()
	e.stop()
	e.deregister(ctx)
	err := e.server.Shutdown(ctx)
	if err != nil {
		err = fmt.Errorf("stand-in %s: %w", e.options.ID, err)
		_ = e.server.Close() // closes the remaining connections
	}
	e.goroutines.Wait()
	return err
}
