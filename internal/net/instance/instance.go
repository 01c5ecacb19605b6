// Package instance keeps the life of this process for all that ask: it hands what happens to the state
// machine, logs each change, and says what the machine says. It decides nothing.
package instance

import (
	"log/slog"
	"sync"
	"time"

	"raventrestle/internal/lifecycle"
)

// Instance is this process's life. Its methods may be called from any goroutine.
type Instance struct {
	log    *slog.Logger
	drains func(bool) // told whether it drains, at each change

	mu    sync.Mutex
	life  lifecycle.Instance
	began time.Time
	since time.Time // of the present state
}

// Report is the life in words.
type Report struct {
	State    string    `json:"state"`
	Live     bool      `json:"live"`
	Ready    bool      `json:"ready"`
	Why      []string  `json:"why,omitempty"`      // it is not ready
	Troubles []string  `json:"troubles,omitempty"` // that last
	Since    time.Time `json:"since"`              // of the state
	Started  time.Time `json:"started"`
}

// New returns a life that begins. Drains hears of each change between draining and not.
func New(log *slog.Logger, drains func(bool)) *Instance {
	now := time.Now()
	return &Instance{log: log, drains: drains, began: now, since: now}
}

// On tells the life of an event, and returns the machine's error where the event can't be.
func (i *Instance) On(e lifecycle.Event) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	before := i.life
	after, err := before.Apply(e)
	if err != nil {
		i.log.Warn("instance: event refused", "event", slog.AnyValue(e), "err", err)
		return err
	}
	i.life = after
	if after.State() != before.State() {
		i.since = time.Now()
		_, why := after.Ready()
		i.log.Info("instance: state", "state", after.State().String(), "was", before.State().String(), "why", why, "troubles", after.Faults())
	}
	if drains := after.State() == lifecycle.Draining; drains != (before.State() == lifecycle.Draining) {
		i.drains(drains)
	}
	return nil
}

// Life is the life as it is now.
func (i *Instance) Life() lifecycle.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.life
}

// Report is the life as it is now, in words.
func (i *Instance) Report() Report {
	i.mu.Lock()
	defer i.mu.Unlock()
	ready, why := i.life.Ready()
	return Report{State: i.life.State().String(), Live: i.life.Alive(), Ready: ready, Why: why, Troubles: i.life.Faults(), Since: i.since, Started: i.began}
}
