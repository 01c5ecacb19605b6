// Package subscription keeps a router up to date: it follows one control instance, puts in force what that sends,
// confirms it, and moves on to another instance when this one is silent or skips something.
package subscription

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/transport"
)

const (
	dialTimeout    = 350 * time.Millisecond
	mostSilence    = 750 * time.Millisecond // of an instance that is followed: it sends beacons every 250 ms
	applyTimeout   = 5 * time.Second
	mostBehind     = time.Second     // between the announcement of a configuration and the configuration
	steadyAfter    = 2 * time.Second // an instance followed for so long works
	leastNearer    = 3 * time.Second // before an instance is left for one of the own zone
	mostNearer     = time.Minute
	queuedMessages = 64
	queuedReports  = 8
)

// Reasons for leaving an instance.
var (
	ErrSilent   = errors.New("instance is silent")
	ErrSequence = errors.New("an update is missing")
	ErrNearer   = errors.New("an instance of the own zone is known")
	ErrBehind   = errors.New("instance keeps the newest configuration back")
	ErrDocument = errors.New("configuration can't be used")
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

// Identity is what a router tells of itself.
type Identity struct {
	Node        string
	Zone        string
	Incarnation uint64
}

// Subscription follows the control plane. Its Run is one goroutine, which owns all but what is atomic.
type Subscription struct {
	identity Identity
	codec    *transport.Codec
	force    Force
	log      Log
	course   *Course
	seeds    chan []string
	reports  chan protocol.Report
	ready    atomic.Bool

	generation int64
	whole      bool // a whole table of endpoints was taken
	confirmed  bool // the newest configuration at some moment of this life, none maybe, was taken
	reported   uint64
	alone      bool          // no instance is followed, and that was told
	nearer     time.Duration // before the next instance is left for one of the own zone
}

// New returns a subscription.
func New(identity Identity, course *Course, force Force, log Log) *Subscription {
	course.SetSeeds(force.Seeds())
	return &Subscription{
		identity: identity,
		codec:    protocol.NewCodec(),
		force:    force,
		log:      log,
		course:   course,
		seeds:    make(chan []string, 1),
		reports:  make(chan protocol.Report, queuedReports),
		nearer:   leastNearer,
	}
}

// Ready says whether the newest configuration and the endpoints have been in force in this life. It stays so while
// the control plane is out of reach.
func (s *Subscription) Ready() bool { return s.ready.Load() }

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
	for ctx.Err() == nil {
		address, pause := s.course.Next()
		if pause > 0 { // all were tried: the settings may have changed without a word
			s.course.SetSeeds(s.force.Seeds())
		}
		if !s.wait(ctx, pause) || address == "" {
			continue
		}
		s.follow(ctx, address)
	}
}

// left tells of the end of an instance's following. While none can be followed, that is told once.
func (s *Subscription) left(address string, followed bool, err error) {
	if followed {
		s.alone = false
		s.log.Left(address, err)
		return
	}
	if !s.alone {
		s.alone = true
		s.log.Unreachable(address, err)
	}
}

// wait pauses. It is false where the pause was cut short by news.
func (s *Subscription) wait(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case seeds := <-s.seeds:
		s.course.SetSeeds(seeds)
		s.course.Anew("")
		return false
	}
}

// inbox takes what a connection brings. The connection's goroutine waits where the subscription is behind.
type inbox struct {
	messages chan any
	ended    chan error
	left     chan struct{}
}

func (i *inbox) Message(_ *transport.Connection, message any) {
	select {
	case i.messages <- message:
	case <-i.left:
	}
}

func (i *inbox) Closed(_ *transport.Connection, err error) { i.ended <- err }

// following is the state of one connection.
type following struct {
	address    string
	connection *transport.Connection
	inbox      *inbox
	sequence   uint64    // of the last update, 0 before the first
	since      time.Time // of the first update
	nearerAt   time.Time // when it is left for an instance of the own zone, zero for never
	behindAt   time.Time // when it is left since it does not send what it announces, zero for never
}

// follow takes updates of one instance until something is amiss with it.
func (s *Subscription) follow(ctx context.Context, address string) {
	f := &following{
		address: address,
		inbox: &inbox{
			messages: make(chan any, queuedMessages),
			ended:    make(chan error, 1),
			left:     make(chan struct{}),
		},
	}
	defer close(f.inbox.left)
	err := s.connect(ctx, f)
	if err == nil {
		defer f.connection.Close()
		err = s.listen(ctx, f)
	}
	if ctx.Err() != nil {
		return
	}
	followed := !f.since.IsZero()
	if followed && time.Since(f.since) >= steadyAfter {
		s.course.Anew(address)
	}
	s.left(address, followed, err)
}

// connect opens the connection and subscribes.
func (s *Subscription) connect(ctx context.Context, f *following) error {
	dialling, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	connection, err := transport.Dial(dialling, f.address, s.codec, f.inbox)
	if err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	f.connection = connection
	if err := connection.Send(s.subscribe()); err != nil {
		connection.Close()
		return fmt.Errorf("subscribe: %w", err)
	}
	return nil
}

func (s *Subscription) subscribe() protocol.Subscribe {
	return protocol.Subscribe{
		Node:        s.identity.Node,
		Zone:        s.identity.Zone,
		Incarnation: s.identity.Incarnation,
		Generation:  s.generation,
		Ready:       s.ready.Load(),
	}
}

// listen works through what the instance sends.
func (s *Subscription) listen(ctx context.Context, f *following) error {
	silence := time.NewTimer(mostSilence)
	defer silence.Stop()
	for {
		select {
		case message := <-f.inbox.messages:
			if err := s.take(ctx, f, message); err != nil {
				return err
			}
			silence.Reset(mostSilence)
		case err := <-f.inbox.ended:
			return err
		case <-silence.C:
			if len(f.inbox.messages) > 0 { // this process was the one that slept
				silence.Reset(mostSilence)
				continue
			}
			return ErrSilent
		case report := <-s.reports:
			s.send(f, report)
		case seeds := <-s.seeds:
			s.course.SetSeeds(seeds)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// send passes a report up. A full queue means that the connection is about to end.
func (s *Subscription) send(f *following, report protocol.Report) {
	s.reported++
	report.Node = s.identity.Node
	report.Incarnation = s.identity.Incarnation
	report.Sequence = s.reported
	_ = f.connection.Send(report)
}

func (s *Subscription) take(ctx context.Context, f *following, message any) error {
	now := time.Now()
	switch m := message.(type) {
	case *protocol.Update:
		return s.update(ctx, f, m)
	case *protocol.Beacon:
		if f.sequence != 0 && m.Sequence != f.sequence {
			return ErrSequence
		}
		f.compare(m.Generation, s.generation, now)
	}
	switch {
	case !f.behindAt.IsZero() && now.After(f.behindAt):
		return ErrBehind
	case !f.nearerAt.IsZero() && now.After(f.nearerAt):
		s.nearer = min(mostNearer, 2*s.nearer)
		return ErrNearer
	}
	return nil
}

// compare notes whether the instance announces a configuration that it has not sent.
func (f *following) compare(announced, own int64, now time.Time) {
	switch {
	case announced <= own:
		f.behindAt = time.Time{}
	case f.behindAt.IsZero():
		f.behindAt = now.Add(mostBehind)
	}
}

// update puts an update in force and confirms it.
func (s *Subscription) update(ctx context.Context, f *following, u *protocol.Update) error {
	if f.sequence != 0 && u.Sequence != f.sequence+1 {
		return ErrSequence
	}
	view, err := s.view(u)
	if err != nil {
		return err
	}
	applying, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	if err := s.force.Apply(applying, view); err != nil {
		return err
	}
	if f.sequence == 0 {
		f.since = time.Now()
		s.log.Following(f.address)
	}
	f.sequence = u.Sequence
	s.note(f, u, view)
	if err := f.connection.Send(protocol.Confirm{Sequence: u.Sequence}); err != nil {
		return err
	}
	return nil
}

// view is what an update changes.
func (s *Subscription) view(u *protocol.Update) (dispatch.ViewChanged, error) {
	view := dispatch.ViewChanged{Full: u.Full, Endpoints: u.Endpoints, Quotas: u.Quotas, Routers: u.Routers}
	if u.Generation > s.generation && len(u.Document) > 0 {
		document, err := protocol.UnpackDocument(u.Document)
		if err != nil {
			return view, fmt.Errorf("%w: generation %d: %w", ErrDocument, u.Generation, err)
		}
		read, err := s.force.Prepare(document)
		if err != nil {
			return view, fmt.Errorf("%w: generation %d: %w", ErrDocument, u.Generation, err)
		}
		view.Configuration = read
	}
	return view, nil
}

// note remembers what is in force now.
func (s *Subscription) note(f *following, u *protocol.Update, view dispatch.ViewChanged) {
	if view.Configuration != nil {
		s.generation = u.Generation
		s.log.ConfigurationInForce(s.generation)
	}
	s.whole = s.whole || u.Full
	s.confirmed = s.confirmed || u.Confirmed && u.Generation == s.generation
	if s.whole && s.confirmed && s.generation > 0 && !s.ready.Load() {
		s.ready.Store(true)
		s.log.Ready()
	}
	if len(u.Members) > 0 {
		s.course.SetMembers(u.Members)
	}
	switch {
	case !s.course.Nearer(f.address):
		f.nearerAt = time.Time{}
		s.nearer = leastNearer
	case f.nearerAt.IsZero():
		f.nearerAt = time.Now().Add(s.nearer)
	}
}
