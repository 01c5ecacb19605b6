// Package system starts the whole system on loopback addresses, to be tried by hand: three control instances, two
// routers, stand-ins for endpoints, a configuration, some requests.
package system

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"raventrestle/internal/lab/standin"
)

const (
	instances         = 3
	usualRouters      = 2
	startTimeout      = 20 * time.Second
	stopTimeout       = 12 * time.Second
	heartbeat         = 500 * time.Millisecond
	eventEvery        = 15 * time.Millisecond
	eventsEach        = 12
	loadTime          = 800 * time.Millisecond
	slots             = 16
	usualGraceSeconds = 4
)

// Options of a run.
type Options struct {
	Programs string // folder with raventrestle-control and raventrestle-router
	Dir      string // for the folder of the run
	Keep     bool   // the folder
	Routers  int    // how many; 0: two
	Stay     bool   // until the context ends
	Out      io.Writer
	Log      *slog.Logger
}

func (o Options) routerCount() int {
	if o.Routers > 0 {
		return o.Routers
	}
	return usualRouters
}

// world is what runs.
type world struct {
	options   Options
	directory string
	places    places
	controls  []*process
	routers   []*process
	endpoints []runningEndpoint

	graceSeconds   int
	eventIntervals map[string]time.Duration         // of models that are not as fast as the others
	onRun          func(endpoint, requestID string) // called when an endpoint begins to run a request; may be nil
	onArrival      func(endpoint, requestID string) // called when an endpoint gets a request that is not misdirected; may be nil
	repeatAnswer   standin.RepeatAnswer             // of all endpoints; may be nil
	extraLoadTime  func() time.Duration             // of all loads; may be nil
}

// endpointPlan says what a stand-in is when it starts.
type endpointPlan struct {
	id      string
	place   int // number of its address
	service string
	models  []string
}

// runningEndpoint is a stand-in that runs, and what it was when it started.
type runningEndpoint struct {
	*standin.Endpoint
	plan endpointPlan
}

// Run starts everything, plays requests, tells what was served, and ends everything.
func Run(ctx context.Context, options Options) (err error) {
	w, err := newWorld(options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.end(err != nil)) }()
	if err := w.start(ctx); err != nil {
		return err
	}
	if err := w.play(ctx); err != nil {
		return err
	}
	w.printNextSteps()
	if options.Stay {
		<-ctx.Done()
	}
	return nil
}

func newWorld(options Options) (*world, error) {
	folder, err := os.MkdirTemp(options.Dir, "raventrestle-system-")
	if err != nil {
		return nil, fmt.Errorf("folder of the run: %w", err)
	}
	return &world{options: options, directory: folder, graceSeconds: usualGraceSeconds}, nil
}

// start brings up all processes and endpoints and the first configuration.
func (w *world) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	var err error
	if w.places, err = findPlaces(); err != nil {
		return err
	}
	for number := range instances {
		if err := w.startControl(number); err != nil {
			return err
		}
	}
	for number := range w.options.routerCount() {
		if err := w.startRouter(number); err != nil {
			return err
		}
	}
	if err := w.startEndpoints(); err != nil {
		return err
	}
	if err := w.configure(ctx); err != nil {
		return err
	}
	w.printf("configuration 1 is taken after %d ms", time.Since(began).Milliseconds())
	for number := range w.options.routerCount() {
		if err := w.awaitReady(ctx, number); err != nil {
			return err
		}
	}
	w.printf("%d control instances, %d routers and %d endpoints are up after %d ms", instances, w.options.routerCount(),
		len(w.endpoints), time.Since(began).Milliseconds())
	return nil
}

func (w *world) startControl(number int) error {
	process, err := w.launchControl(number)
	if err == nil {
		w.controls = append(w.controls, process)
	}
	return err
}

func (w *world) launchControl(number int) (*process, error) {
	return startProcess(w, "raventrestle-control", fmt.Sprintf("control-%d", number+1), w.controlSettings(number, true))
}

func (w *world) startRouter(number int) error {
	process, err := w.launchRouter(number)
	if err == nil {
		w.routers = append(w.routers, process)
	}
	return err
}

func (w *world) launchRouter(number int) (*process, error) {
	return startProcess(w, "raventrestle-router", fmt.Sprintf("router-%d", number+1), w.routerSettings(number))
}

// plans returns the stand-ins of the start. One model is held by two of them, another by none.
func (w *world) plans() []endpointPlan {
	return []endpointPlan{
		{"i-1", 0, writerService, []string{"sparrow", "wren"}},
		{"i-2", 1, writerService, []string{"sparrow"}},
		{"i-3", 2, writerService, []string{"heron"}},
		{"i-4", 3, writerService, nil},
		{"i-5", 4, ledgerService, nil},
	}
}

func (w *world) startEndpoints() error {
	for _, plan := range w.plans() {
		endpoint, err := w.launchEndpoint(plan)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, runningEndpoint{endpoint, plan})
	}
	return nil
}

func (w *world) launchEndpoint(plan endpointPlan) (*standin.Endpoint, error) {
	var controls []string
	for n := range instances {
		controls = append(controls, w.places.control((plan.place+n)%instances))
	}
	return standin.Start(context.Background(), standin.Options{
		ID:                plan.id,
		Service:           plan.service,
		Zone:              zoneOf(plan.place),
		Address:           w.places.endpoint(plan.place),
		ControlAddresses:  controls,
		Slots:             slots,
		Models:            plan.models,
		LoadTime:          loadTime,
		EventInterval:     eventEvery,
		EventsPerStream:   eventsEach,
		HeartbeatInterval: heartbeat,
		EventIntervals:    w.eventIntervals,
		OnRun:             observerOf(plan.id, w.onRun),
		OnArrival:         observerOf(plan.id, w.onArrival),
		RepeatAnswer:      w.repeatAnswer,
		ExtraLoadTime:     w.extraLoadTime,
		Log:               w.options.Log,
	})
}

// observerOf returns the observer for the requests of one endpoint, nil for none.
func observerOf(endpoint string, observe func(endpoint, requestID string)) func(requestID string) {
	if observe == nil {
		return nil
	}
	return func(requestID string) { observe(endpoint, requestID) }
}

// end stops routers first, then endpoints, then the control plane.
func (w *world) end(failed bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := stopAll(ctx, w.routers)
	for _, endpoint := range w.endpoints {
		err = errors.Join(err, endpoint.Stop(ctx))
	}
	err = errors.Join(err, stopAll(ctx, w.controls))
	if w.options.Keep || failed {
		w.printf("settings and logs are kept in %s", w.directory)
		return err
	}
	return errors.Join(err, os.RemoveAll(w.directory))
}

// grace is how long a process has from SIGTERM until SIGKILL.
func (w *world) grace() time.Duration { return time.Duration(w.graceSeconds) * time.Second }

func (w *world) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(w.options.Out, format+"\n", arguments...) // nobody listens any more otherwise
}

// file is a path in the folder of the run.
func (w *world) file(name string) string { return filepath.Join(w.directory, name) }
