package dispatcher

import (
	"context"
	"sync"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/pool"
)

// Decider is the interface of dispatch.Decider, which tests can replace. Only the actor's goroutine uses it.
type Decider interface {
	Step(now time.Time, inputs []dispatch.Input) []dispatch.Output
	NextWake() time.Time // zero: only an input can change anything
}

// Actor owns a decider and the table of idle connections. All exported methods except Run may be called from any
// goroutine.
type Actor struct {
	decider Decider
	idle    *pool.Idle
	reports Reports
	wake    chan struct{} // has a buffer for one notification

	mutex  sync.Mutex
	queue  []command
	lastID dispatch.RequestID

	// Used only by the actor's goroutine:
	requests   map[dispatch.RequestID]*pendingRequest
	spareQueue []command // second array of queue; the two are used in turn
	inputs     []dispatch.Input
}

// pendingRequest is the state of a request from its submission to its end.
type pendingRequest struct {
	ticket   *Ticket
	inFlight *dispatch.Send // its current attempt; nil while the request is queued
	canceled bool           // no goroutine waits for a decision any more
}

// Reports has the functions that receive the decider's reports. The actor's goroutine calls them, so they must not
// block.
type Reports struct {
	Demand   func(protocol.Report)
	Credit   func(protocol.CreditRequest)
	Outcomes func(dispatch.Summary)
}

// New returns an actor for the decider. Run must be called to start it.
func New(decider Decider, idle *pool.Idle, reports Reports) *Actor {
	return &Actor{
		decider:  decider,
		idle:     idle,
		reports:  reports,
		wake:     make(chan struct{}, 1),
		requests: make(map[dispatch.RequestID]*pendingRequest),
	}
}

// Submit passes a request to the decider and assigns its ID. The decisions are received from the ticket.
func (a *Actor) Submit(request dispatch.Request) *Ticket {
	ticket := &Ticket{actor: a, decisions: make(chan Decision, 1)}
	a.mutex.Lock()
	a.lastID++
	ticket.id = a.lastID
	request.ID = ticket.id
	a.queue = append(a.queue, command{
		kind:   submitRequest,
		id:     ticket.id,
		input:  dispatch.RequestArrived{Request: request},
		ticket: ticket,
	})
	a.mutex.Unlock()
	a.notify()
	return ticket
}

// ApplyView passes an update from the control plane to the decider. It returns when the decider has applied the
// update, or with the context's error when the context is done.
func (a *Actor) ApplyView(ctx context.Context, view dispatch.ViewChanged) error {
	done := make(chan struct{})
	a.post(command{kind: applyView, view: &view, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CreditGranted passes a control instance's answer to a credit request to the decider.
func (a *Actor) CreditGranted(grant *protocol.CreditGrant) {
	a.post(command{kind: passInput, input: dispatch.CreditGranted{Grant: grant}})
}

// BeginShutdown informs the decider that the process is going to end.
func (a *Actor) BeginShutdown(shutdown dispatch.ShutdownStarted) {
	a.post(command{kind: passInput, input: shutdown})
}

// Run runs the actor in the calling goroutine until the context is done. Commands that are queued at that time are
// not processed.
func (a *Actor) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var timerAt time.Time // when the timer fires; zero: it is not needed
	for {
		next := a.nextWake()
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
		a.step(time.Now())
	}
}

// nextWake returns when the next step is due if no command arrives; zero: never.
func (a *Actor) nextWake() time.Time {
	wake, sweep := a.decider.NextWake(), a.idle.NextSweep()
	if wake.IsZero() || !sweep.IsZero() && sweep.Before(wake) {
		return sweep
	}
	return wake
}

// step processes the queued commands in one step of the decider and performs its outputs.
func (a *Actor) step(now time.Time) {
	a.idle.Sweep(now)
	commands := a.takeCommands()
	a.inputs = a.inputs[:0]
	for i := range commands {
		a.process(&commands[i], now)
	}
	outputs := a.decider.Step(now, a.inputs)
	for _, output := range outputs {
		a.perform(output, now)
	}
	for i := range commands {
		a.complete(&commands[i])
	}
	clear(commands)
	clear(a.inputs)
	a.spareQueue = commands[:0]
}
