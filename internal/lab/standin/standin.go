// Package standin is an endpoint for trying the system by hand: it registers itself by heartbeats, holds models, takes
// orders, and serves streams of a made-up text. It is no measure of anything.
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

// Options of an endpoint.
type Options struct {
	ID        string
	Service   string
	Zone      string
	Address   string   // IP:port to listen on
	Controls  []string // addresses of control instances
	Slots     int
	Models    []string // held at the start
	LoadTime  time.Duration
	Event     time.Duration // between two events of a stream
	Events    int           // of one stream
	Heartbeat time.Duration
	Log       *slog.Logger
}

// Endpoint is one running stand-in.
type Endpoint struct {
	options  Options
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	ended    sync.WaitGroup

	mutex    sync.Mutex
	models   map[string]*held
	orders   uint64 // taken since the start
	busy     bool
	running  int
	sequence uint64
	draining bool
	served   int
}

// held is a model in memory.
type held struct{ adapters []string }

// Start listens, serves and registers the endpoint.
func Start(ctx context.Context, options Options) (*Endpoint, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", options.ID, err)
	}
	ctx, stop := context.WithCancel(ctx)
	e := &Endpoint{options: options, listener: listener, stop: stop, models: make(map[string]*held)}
	for _, model := range options.Models {
		e.models[model] = &held{}
	}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	e.ended.Go(func() { _ = e.server.Serve(listener) }) // it ends by Shutdown or Close
	e.ended.Go(func() { e.register(ctx) })
	return e, nil
}

// Served is how many requests were answered in full.
func (e *Endpoint) Served() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.served
}

// Models lists what it holds now, adapters after a slash.
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

// ID names the endpoint.
func (e *Endpoint) ID() string { return e.options.ID }

// Address is where it listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Stop says farewell to the system, lets calls finish until the context ends, and ends.
func (e *Endpoint) Stop(ctx context.Context) error {
	e.mutex.Lock()
	e.draining = true
	e.mutex.Unlock()
	e.stop()
	e.leave(ctx)
	err := e.server.Shutdown(ctx)
	if err != nil {
		err = fmt.Errorf("stand-in %s: %w", e.options.ID, err)
		_ = e.server.Close() // what is left is cut
	}
	e.ended.Wait()
	return err
}
