// Package dispatcher is the host of dispatch: the one goroutine that owns the decider and the table of resting
// connections. Requests hand it commands and wait, each on a channel of its own with room for one verdict.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// Decider is dispatch.Decider, or a stand-in for tests.
type Decider interface {
	Step(now time.Time, inputs []dispatch.Input) []dispatch.Output
	NextWake() time.Time // zero: only inputs change anything
}

// Actor owns a decider.
type Actor struct {
	decider Decider
	idle    *pool.Idle
	report  func(protocol.Report)
	wake    chan struct{}

	mutex  sync.Mutex
	queue  []command
	lastID dispatch.RequestID

	// Of the actor's goroutine:
	waiting map[dispatch.RequestID]*place
	spare   []command
	inputs  []dispatch.Input
}

// place is what the actor knows of a request.
type place struct {
	ticket *Ticket
	send   *dispatch.Send // the call that is out, nil while the request is held
	left   bool           // nobody waits for the verdict any more
}

type kind uint8

const (
	arrive kind = iota
	withdraw
	tell
	finish
	apply
)

// command is one entry of the actor's queue.
type command struct {
	kind   kind
	id     dispatch.RequestID
	input  dispatch.Input
	ticket *Ticket
	ending *Outcome
	view   *dispatch.ViewChanged
	done   chan<- struct{}
}

// New returns an actor; report takes the decider's reports and must not block.
func New(decider Decider, idle *pool.Idle, report func(protocol.Report)) *Actor {
	return &Actor{
		decider: decider,
		idle:    idle,
		report:  report,
		wake:    make(chan struct{}, 1),
		waiting: make(map[dispatch.RequestID]*place),
	}
}

// Submit hands a request over; the actor names it.
func (a *Actor) Submit(request dispatch.Request) *Ticket {
	ticket := &Ticket{actor: a, verdicts: make(chan Decision, 1)}
	a.mutex.Lock()
	a.lastID++
	ticket.id = a.lastID
	request.ID = ticket.id
	a.queue = append(a.queue, command{
		kind:   arrive,
		id:     ticket.id,
		input:  dispatch.RequestArrived{Request: request},
		ticket: ticket,
	})
	a.mutex.Unlock()
	a.rouse()
	return ticket
}

// ApplyView returns once the decider has taken the change.
func (a *Actor) ApplyView(ctx context.Context, view dispatch.ViewChanged) error {
	done := make(chan struct{})
	a.post(command{kind: apply, view: &view, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// BeginShutdown tells the decider that the process ends.
func (a *Actor) BeginShutdown(closing dispatch.ShutdownStarted) {
	a.post(command{kind: tell, input: closing})
}

func (a *Actor) post(c command) {
	a.mutex.Lock()
	a.queue = append(a.queue, c)
	a.mutex.Unlock()
	a.rouse()
}

func (a *Actor) rouse() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run is the actor's goroutine.
func (a *Actor) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var timerAt time.Time // zero: it does not matter when the timer fires
	for {
		next := a.next()
		if !next.Equal(timerAt) {
			timerAt = next
			if !next.IsZero() {
				timer.Reset(time.Until(next))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-timer.C:
			timerAt = time.Time{}
		}
		a.turn(time.Now())
	}
}

// next is when there is something to do without a command.
func (a *Actor) next() time.Time {
	wake, sweep := a.decider.NextWake(), a.idle.NextSweep()
	if wake.IsZero() || !sweep.IsZero() && sweep.Before(wake) {
		return sweep
	}
	return wake
}

// turn works through the queue and carries out what the decider says.
func (a *Actor) turn(now time.Time) {
	a.idle.Sweep(now)
	commands := a.take()
	a.inputs = a.inputs[:0]
	for i := range commands {
		a.enter(&commands[i], now)
	}
	outputs := a.decider.Step(now, a.inputs)
	for _, output := range outputs {
		a.carryOut(output, now)
	}
	for i := range commands {
		a.conclude(&commands[i])
	}
	clear(commands)
	clear(a.inputs)
	a.spare = commands[:0]
}

func (a *Actor) take() []command {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	commands := a.queue
	a.queue = a.spare
	a.spare = nil
	return commands
}

// enter turns a command into the decider's inputs.
func (a *Actor) enter(c *command, now time.Time) {
	switch c.kind {
	case arrive:
		a.waiting[c.id] = &place{ticket: c.ticket}
		a.inputs = append(a.inputs, c.input)
	case tell:
		a.inputs = append(a.inputs, c.input)
	case withdraw:
		a.withdraw(c.id, now)
	case finish:
		a.finish(c.id, c.ending, now)
	case apply:
		a.inputs = append(a.inputs, *c.view)
		a.dropConnections(c.view)
	}
}

// conclude does what comes after the decider's step.
func (a *Actor) conclude(c *command) {
	switch c.kind {
	case withdraw:
		if p := a.waiting[c.id]; p != nil && p.send == nil {
			delete(a.waiting, c.id)
		}
	case apply:
		close(c.done)
	}
}

// withdraw takes back a request whose goroutine no longer waits. Where its call was handed out already and nobody has
// read that, the call ends here.
func (a *Actor) withdraw(id dispatch.RequestID, now time.Time) {
	p := a.waiting[id]
	if p == nil { // refused meanwhile
		return
	}
	if !p.left {
		p.left = true
		a.inputs = append(a.inputs, dispatch.RequestCanceled{ID: id})
	}
	if p.send != nil {
		a.endUnread(p, now)
	}
}

// endUnread ends a call that nobody will make.
func (a *Actor) endUnread(p *place, now time.Time) {
	var unused *pool.Connection
	select {
	case v := <-p.ticket.verdicts:
		unused = v.Connection
	default:
	}
	ending := &Outcome{Send: p.send, Result: dispatch.Canceled, Connection: unused}
	if unused != nil {
		ending.IdleTimeout = unused.ExpiresAt().Sub(now)
	}
	a.finish(p.ticket.id, ending, now)
}

func (a *Actor) finish(id dispatch.RequestID, e *Outcome, now time.Time) {
	p := a.waiting[id]
	if p == nil {
		return
	}
	a.idle.Return(e.Send.Endpoint, e.Connection, e.IdleTimeout, e.Send.MaxConnections, now)
	if e.FirstByteUnreported {
		a.inputs = append(a.inputs, dispatch.FirstByteReceived{ID: id, Endpoint: e.Send.Endpoint, Load: e.Load})
	}
	a.inputs = append(a.inputs, dispatch.AttemptFinished{
		ID:         id,
		Endpoint:   e.Send.Endpoint,
		Result:     e.Result,
		NeedsRetry: e.NeedsRetry,
		Load:       e.Load,
	})
	p.send = nil
	if !e.NeedsRetry {
		delete(a.waiting, id)
	}
}

// dropConnections closes what rests of endpoints that are gone.
func (a *Actor) dropConnections(view *dispatch.ViewChanged) {
	if view.Full {
		known := make(map[string]bool, len(view.Endpoints))
		for i := range view.Endpoints {
			known[view.Endpoints[i].ID] = true
		}
		a.idle.Retain(func(id string) bool { return known[id] })
	}
	for i := range view.Endpoints {
		if view.Endpoints[i].State == protocol.Departed {
			a.idle.Drop(view.Endpoints[i].ID)
		}
	}
}

func (a *Actor) carryOut(output dispatch.Output, now time.Time) {
	switch o := output.(type) {
	case dispatch.Send:
		a.send(o, now)
	case dispatch.Reject:
		a.refuse(o)
	case dispatch.Abandon:
		if p := a.waiting[o.ID]; p != nil && p.send != nil {
			p.ticket.abandon()
		}
	case dispatch.Report:
		a.report(o.Report)
	}
}

func (a *Actor) send(o dispatch.Send, now time.Time) {
	p := a.waiting[o.ID]
	if p == nil {
		return
	}
	p.send = &o
	connection := a.idle.Take(o.Endpoint, now)
	p.ticket.verdicts <- Decision{Send: &o, Connection: connection}
	if p.left { // it was withdrawn in the step that sent it
		a.post(command{kind: withdraw, id: o.ID})
	}
}

func (a *Actor) refuse(o dispatch.Reject) {
	p := a.waiting[o.ID]
	if p == nil {
		return
	}
	delete(a.waiting, o.ID)
	p.ticket.verdicts <- Decision{Reject: &o}
}
