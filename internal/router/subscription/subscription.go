// Package subscription keeps a router up to date: it follows one control instance, puts in force what that sends,
// confirms it, knows how old that knowledge is, and moves on to another instance when this one is silent, skips
// something, or can't prove that it is in touch with a majority.
package subscription

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/transport"
)

const (
	applyTimeout = 5 * time.Second
	queuedInputs = 64
)

// Force puts things in force in this process.
type Force interface {
	// Prepare reads a configuration; it changes nothing yet.
	Prepare(document []byte) (*configuration.Configuration, error)
	// Apply returns once the change is in force.
	Apply(ctx context.Context, view dispatch.ViewChanged) error
	// Seeds reads anew which instances to ask where no other is known.
	Seeds() []string
}

// Log takes the events that an operator should see.
type Log interface {
	Following(instance string)
	Left(instance string, err error)
	Unreachable(instance string, err error) // no instance has been followed since the last event
	ConfigurationInForce(generation int64)
	Ready()
}

// Subscription follows the control plane. Its Run is one goroutine, which owns the decider and the connections.
type Subscription struct {
	decider     *Decider
	force       Force
	log         Log
	codec       *transport.Codec
	inputs      chan Input
	seeds       chan []string
	reports     chan protocol.Report
	connections map[ConnectionID]*connection

	ready       atomic.Bool
	confirmedAt atomic.Pointer[time.Time]
}

// New returns a subscription.
func New(identity Identity, course *Course, limits Limits, force Force, log Log) *Subscription {
	course.SetSeeds(force.Seeds())
	return &Subscription{
		decider:     NewDecider(identity, course, limits),
		force:       force,
		log:         log,
		codec:       protocol.NewCodec(),
		inputs:      make(chan Input, queuedInputs),
		seeds:       make(chan []string, 1),
		reports:     make(chan protocol.Report, mostReports),
		connections: make(map[ConnectionID]*connection),
	}
}

// Ready says whether the newest configuration and the endpoints have been in force in this life. It stays so while
// the control plane is out of reach.
func (s *Subscription) Ready() bool { return s.ready.Load() }

// ConfirmedAt is the newest moment before which all versions of the configuration that were acknowledged anywhere are in
// force here; zero where none is known.
func (s *Subscription) ConfirmedAt() time.Time {
	if at := s.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// SetSeeds replaces the seeds. What is followed now goes on.
func (s *Subscription) SetSeeds(seeds []string) {
	for {
		select {
		case s.seeds <- seeds:
			return
		case <-s.seeds: // not taken yet, and out of date
		}
	}
}

// Report sends demand to the control plane. It never blocks: while nobody is followed, the oldest reports are lost.
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

// Run follows one instance after the other until the context ends.
func (s *Subscription) Run(ctx context.Context) {
	defer s.closeAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		inputs, ok := s.wait(ctx, timer.C)
		if !ok {
			return
		}
		out := s.decider.Step(time.Now(), inputs...)
		for out.ReadSeeds {
			s.carryOut(ctx, out)
			out = s.decider.Step(time.Now(), SeedsRead{Addresses: s.force.Seeds()})
		}
		s.carryOut(ctx, out)
		timer.Reset(time.Until(out.WakeAt))
	}
}

// wait collects what has happened, or nothing once the timer has fired. What waits goes along: it is not late because
// this process was.
func (s *Subscription) wait(ctx context.Context, timer <-chan time.Time) (inputs []Input, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case in := <-s.inputs:
		inputs = append(inputs, in)
	case seeds := <-s.seeds:
		inputs = append(inputs, SeedsRead{Addresses: seeds})
	case report := <-s.reports:
		inputs = append(inputs, Demand{Report: report})
	case <-timer:
	}
	for len(inputs) < queuedInputs {
		select {
		case in := <-s.inputs:
			inputs = append(inputs, in)
		default:
			return inputs, ctx.Err() == nil
		}
	}
	return inputs, ctx.Err() == nil
}

// carryOut does what the decider asks for.
func (s *Subscription) carryOut(ctx context.Context, out Output) {
	s.ready.Store(out.Ready)
	if !out.ConfirmedAt.IsZero() {
		s.confirmedAt.Store(&out.ConfirmedAt)
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
		go s.apply(ctx, out.Apply)
	}
	for _, event := range out.Events {
		s.tell(event)
	}
}

// apply puts a change in force.
func (s *Subscription) apply(ctx context.Context, change *Change) {
	s.input(ctx, Applied{Err: s.tryApply(ctx, change)})
}

func (s *Subscription) tryApply(ctx context.Context, change *Change) error {
	view := change.View
	if len(change.Document) > 0 {
		read, err := s.read(change.Document)
		if err != nil {
			return fmt.Errorf("%w: generation %d: %w", ErrDocument, change.Generation, err)
		}
		view.Configuration = read
	}
	applying, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	return s.force.Apply(applying, view)
}

func (s *Subscription) read(packed []byte) (*configuration.Configuration, error) {
	document, err := protocol.DecompressDocument(packed)
	if err != nil {
		return nil, err
	}
	return s.force.Prepare(document)
}

// input hands something to Run.
func (s *Subscription) input(ctx context.Context, in Input) {
	select {
	case s.inputs <- in:
	case <-ctx.Done():
	}
}

func (s *Subscription) tell(event Event) {
	switch e := event.(type) {
	case Following:
		s.log.Following(e.Instance)
	case Left:
		s.log.Left(e.Instance, e.Err)
	case Unreachable:
		s.log.Unreachable(e.Instance, e.Err)
	case ConfigurationInForce:
		s.log.ConfigurationInForce(e.Generation)
	case BecameReady:
		s.log.Ready()
	}
}
