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

// Applier makes what the control plane sends take effect in this process.
type Applier interface {
	// ParseConfiguration reads a configuration without applying it.
	ParseConfiguration(document []byte) (*configuration.Configuration, error)
	// Apply returns once the change is in effect.
	Apply(ctx context.Context, view dispatch.ViewChanged) error
	// CreditGranted takes the answer to a request for credit. It does not block, and may be called by any goroutine.
	CreditGranted(grant *protocol.CreditGrant)
	// ReadSeeds reads the settings again: which instances to ask while no other is known.
	ReadSeeds() []string
}

// EventRecorder takes the events that operators should see. Its methods are called by the goroutine of Run alone.
type EventRecorder interface {
	InstanceFollowed(instance string)
	InstanceLeft(instance string, err error)
	ControlPlaneUnreachable(instance string, err error) // no instance has been followed since the last event
	ConfigurationApplied(generation int64)
	RouterReady()
}

// Dependencies are what a subscription works with. All are required.
type Dependencies struct {
	Candidates *Candidates // the subscription's from then on
	Applier    Applier
	Events     EventRecorder
}

// Subscription follows the control plane. Run is one goroutine, which owns the decider and the connections; the other
// methods may be called from any.
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
	running     sync.WaitGroup // dials, and the change that is being applied

	ready     atomic.Bool
	freshAsOf atomic.Pointer[time.Time]
}

// New returns a subscription that follows no instance until Run.
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

// Ready says whether the newest configuration and a complete table of endpoints have been applied since the process started. It
// stays so while the control plane is out of reach.
func (s *Subscription) Ready() bool { return s.ready.Load() }

// FreshAsOf is the newest moment for which it is proven that every version of the configuration acknowledged anywhere
// before it is applied here. It is zero while none is known.
func (s *Subscription) FreshAsOf() time.Time {
	if at := s.freshAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetSeeds replaces the seeds. The followed instance stays followed.
func (s *Subscription) SetSeeds(seeds []string) {
	for {
		select {
		case s.seeds <- seeds:
			return
		case <-s.seeds: // earlier ones that Run has not taken yet
		}
	}
}

// Report sends demand to the control plane. It never blocks: while no instance is followed, the oldest reports are
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

// RequestCredit asks the followed instance for credit. It never blocks: while this process is behind, requests are dropped, and
// asked again by who needs them.
func (s *Subscription) RequestCredit(request protocol.CreditRequest) {
	select {
	case s.credit <- request:
	default:
	}
}

// Run follows one instance after the other until the context ends. It returns once its goroutines have ended.
func (s *Subscription) Run(ctx context.Context) {
	defer s.running.Wait()
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

// collectInputs waits for an input or the timer, then takes all inputs that are queued: the decider must see what came in
// time, although this process was late, before it checks its deadlines. It is not ok once the context has ended.
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

// execute carries out what the decider has returned.
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
		s.running.Go(func() { s.apply(ctx, out.Apply) })
	}
	for _, event := range out.Events {
		s.record(event)
	}
}

// apply applies a change and returns the outcome as an input. It runs in its own goroutine, one at a time, so that Run
// goes on reading messages meanwhile.
func (s *Subscription) apply(ctx context.Context, change *Change) {
	s.input(ctx, ChangeApplied{Err: s.applyChange(ctx, change)})
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
	applying, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	return s.applier.Apply(applying, view)
}

func (s *Subscription) parse(compressed []byte) (*configuration.Configuration, error) {
	document, err := protocol.DecompressDocument(compressed)
	if err != nil {
		return nil, err
	}
	return s.applier.ParseConfiguration(document)
}

// input passes an input to Run.
func (s *Subscription) input(ctx context.Context, in Input) {
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
