// Package instance tracks the lifecycle state of this process. It passes events to the state machine, logs each change and
// reports the state.
package instance

import (
	"log/slog"
	"sync"
	"time"

	"raventrestle/internal/lifecycle"
)

// Instance is the lifecycle state of this process. Its methods are safe for concurrent use.
type Instance struct {
	log           *slog.Logger
	onDrainChange func(bool) // called when draining starts or ends

	mu      sync.Mutex
	state   lifecycle.Instance
	started time.Time
	since   time.Time // start of the present state
}

// Report is the lifecycle state in the form that operators and supervisors read.
type Report struct {
	State    string    `json:"state"`
	Live     bool      `json:"live"`
	Ready    bool      `json:"ready"`
	Reasons  []string  `json:"why,omitempty"`      // why it is not ready
	Troubles []string  `json:"troubles,omitempty"` // present troubles
	Since    time.Time `json:"since"`              // start of the present state
	Started  time.Time `json:"started"`
}

// New returns an instance that is starting. It calls onDrainChange when draining starts (true) or ends (false).
func New(log *slog.Logger, onDrainChange func(bool)) *Instance {
	now := time.Now()
	return &Instance{log: log, onDrainChange: onDrainChange, started: now, since: now}
}

// Handle applies an event. It returns the state machine's error if the event is invalid in the present state.
func (i *Instance) Handle(e lifecycle.Event) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.state
	after, err := before.Apply(e)
	if err != nil {
		i.log.Warn("instance: invalid event", "event", slog.AnyValue(e), "err", err)
		return err
	}
	i.state = after
	if after.State() != before.State() {
		i.since = time.Now()
		_, why := after.Ready()
		i.log.Info("instance: state", "state", after.State().String(), "was", before.State().String(), "why", why, "troubles", after.Faults())
	}
	if drains := after.State() == lifecycle.Draining; drains != (before.State() == lifecycle.Draining) {
		i.onDrainChange(drains)
	}
	return nil
}

// State returns the present lifecycle state.
func (i *Instance) State() lifecycle.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// Report returns a report of the present state.
func (i *Instance) Report() Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	ready, why := i.state.Ready()
	return Report{State: i.state.State().String(), Live: i.state.Alive(), Ready: ready, Reasons: why, Troubles: i.state.Faults(), Since: i.since, Started: i.started}
}
