package subscription

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/transport"
)

const (
	applyTimeout    = 5 * time.Second
	maxQueuedInputs = 64
)

// Applier applies what the control plane sends to this process.
type Applier interface {
	// ParseConfiguration parses a configuration without applying it.
	ParseConfiguration(document []byte) (*configuration.Configuration, error)
	// Apply returns once the change has taken effect.
	Apply(ctx context.Context, view dispatch.ViewChanged) error
	// CreditGranted handles the answer to a request for credit. It must not block, and may be called by any goroutine.
	CreditGranted(grant *protocol.CreditGrant)
	// ReadSeeds reads the seeds from the settings. They are the instances to probe while no others are known.
	ReadSeeds() []string
}

// EventRecorder logs the events for operators. Only the goroutine of Run calls its methods.
type EventRecorder interface {
	InstanceFollowed(instance string)
	InstanceLeft(instance string, err error)
	ControlPlaneUnreachable(instance string, err error) // no instance has been followed since the previous event
	ConfigurationApplied(generation int64)
	RouterReady()
}

// Dependencies are what a subscription depends on. All of them are required.
type Dependencies struct {
	Candidates *Candidates // owned by the subscription from then on
	Applier    Applier
	Events     EventRecorder
}

// Subscription follows the control plane. Run owns the decider and the connections. The other methods may be called by any
// goroutine.
type Subscription struct {
	decider     *Decider
	applier     Applier
	events      EventRecorder
	codec       *transport.Codec
	inputs      chan Input
	seeds       chan []string
	reports     chan protocol.Report
	credit      chan protocol.CreditRequest
	connections map[ConnectionID]*connection
	tasks       sync.WaitGroup // dials, and the change that is being applied

	ready     atomic.Bool
	freshAsOf atomic.Pointer[time.Time]
}

// New returns a subscription that follows no instance until Run is called.
func New(config Config, dependencies Dependencies) *Subscription {
	dependencies.Candidates.SetSeeds(dependencies.Applier.ReadSeeds())
	return &Subscription{
		decider:     NewDecider(config, dependencies.Candidates),
		applier:     dependencies.Applier,
		events:      dependencies.Events,
		codec:       protocol.NewCodec(),
		inputs:      make(chan Input, maxQueuedInputs),
		seeds:       make(chan []string, 1),
		reports:     make(chan protocol.Report, maxQueuedReports),
		credit:      make(chan protocol.CreditRequest, maxQueuedInputs),
		connections: make(map[ConnectionID]*connection),
	}
}

// Ready reports whether the newest configuration and a complete table of endpoints have been applied since the process started.
// It remains true while the control plane is unreachable.
func (s *Subscription) Ready() bool { return s.ready.Load() }

// FreshAsOf returns the newest time for which it is proven that every version of the configuration acknowledged anywhere
// before it is applied here. It returns the zero time if none is known.
func (s *Subscription) FreshAsOf() time.Time {
	if at := s.freshAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetSeeds replaces the seeds. It does not change which instance is followed.
func (s *Subscription) SetSeeds(seeds []string) {
	for {
		select {
		case s.seeds <- seeds:
			return
		case <-s.seeds: // earlier seeds that Run has not received yet
		}
	}
}

// Report sends a report of demand to the control plane. It never blocks. While no instance is followed, the oldest reports are
// dropped.
func (s *Subscription) Report(report protocol.Report) {
	for {
		select {
		case s.reports <- report:
			return
		default:
		}
		select {
		case <-s.reports:
		default:
		}
	}
}

// RequestCredit sends a request for credit to the followed instance. It never blocks. If the queue of requests is full, the request
// is dropped, and the caller has to repeat it.
func (s *Subscription) RequestCredit(request protocol.CreditRequest) {
	select {
	case s.credit <- request:
	default:
	}
}

// Run follows the control plane until the context ends. It returns after its goroutines have ended.
func (s *Subscription) Run(ctx context.Context) {
	defer s.tasks.Wait()
	defer s.closeAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		inputs, ok := s.collectInputs(ctx, timer.C)
		if !ok {
			return
		}
		out := s.decider.Step(time.Now(), inputs...)
		for out.ReadSeeds {
			s.execute(ctx, out)
			out = s.decider.Step(time.Now(), SeedsRead{Addresses: s.applier.ReadSeeds()})
		}
		s.execute(ctx, out)
		timer.Reset(time.Until(out.WakeAt))
	}
}

// collectInputs waits for an input or the timer, and then takes all queued inputs: if this process is late, the decider must
// process messages that arrived in time before it checks deadlines. It is not ok after the context has ended.
func (s *Subscription) collectInputs(ctx context.Context, timer <-chan time.Time) (inputs []Input, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case in := <-s.inputs:
		inputs = append(inputs, in)
	case seeds := <-s.seeds:
		inputs = append(inputs, SeedsRead{Addresses: seeds})
	case report := <-s.reports:
		inputs = append(inputs, DemandReported{Report: report})
	case request := <-s.credit:
		inputs = append(inputs, CreditRequested{Request: request})
	case <-timer:
	}
	for len(inputs) < maxQueuedInputs {
		select {
		case in := <-s.inputs:
			inputs = append(inputs, in)
		case request := <-s.credit:
			inputs = append(inputs, CreditRequested{Request: request})
		default:
			return inputs, ctx.Err() == nil
		}
	}
	return inputs, ctx.Err() == nil
}

// execute executes what the decider returned.
func (s *Subscription) execute(ctx context.Context, out Output) {
	s.ready.Store(out.Ready)
	if !out.FreshAsOf.IsZero() {
		s.freshAsOf.Store(&out.FreshAsOf)
	}
	for _, dial := range out.Dial {
		s.dial(ctx, dial)
	}
	for _, send := range out.Send {
		s.send(send)
	}
	for _, id := range out.Close {
		s.close(id)
	}
	if out.Apply != nil {
		s.tasks.Go(func() { s.apply(ctx, out.Apply) })
	}
	for _, event := range out.Events {
		s.record(event)
	}
}

// apply applies a change and passes the result to Run as an input. It runs in its own goroutine, one at a time, so that Run
// continues to receive messages.
func (s *Subscription) apply(ctx context.Context, change *Change) {
	s.enqueue(ctx, ChangeApplied{Err: s.applyChange(ctx, change)})
}

func (s *Subscription) applyChange(ctx context.Context, change *Change) error {
	view := change.View
	if len(change.Document) > 0 {
		parsed, err := s.parse(change.Document)
		if err != nil {
			return fmt.Errorf("%w: generation %d: %w", ErrInvalidConfiguration, change.Generation, err)
		}
		view.Configuration = parsed
	}
	applyCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	return s.applier.Apply(applyCtx, view)
}

func (s *Subscription) parse(compressed []byte) (*configuration.Configuration, error) {
	document, err := protocol.DecompressDocument(compressed)
	if err != nil {
		return nil, err
	}
	return s.applier.ParseConfiguration(document)
}

// enqueue passes an input to Run.
func (s *Subscription) enqueue(ctx context.Context, in Input) {
	select {
	case s.inputs <- in:
	case <-ctx.Done():
	}
}

func (s *Subscription) record(event Event) {
	switch e := event.(type) {
	case InstanceFollowed:
		s.events.InstanceFollowed(e.Instance)
	case InstanceLeft:
		s.events.InstanceLeft(e.Instance, e.Err)
	case ControlPlaneUnreachable:
		s.events.ControlPlaneUnreachable(e.Instance, e.Err)
	case ConfigurationApplied:
		s.events.ConfigurationApplied(e.Generation)
	case BecameReady:
		s.events.RouterReady()
	}
}
