package simnet

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// Cluster is the group as the clients of embedded state machines see it. Its methods are called from within events of the
// world.
type Cluster struct {
	world        *World
	ClientsUntil time.Duration // clients begin no calls from then on
}

// Now returns the world's time.
func (c *Cluster) Now() time.Duration { return c.world.now }

// After schedules a function to run after the delay.
func (c *Cluster) After(delay time.Duration, run func()) { c.world.after(delay, run) }

// RandomInt draws a number from 0 up to the bound, which is excluded.
func (c *Cluster) RandomInt(bound int) int { return c.world.random.IntN(bound) }

// Propose has a random machine propose the command. If its process ends before the call does, done is never called.
func (c *Cluster) Propose(command []byte, done func(result []byte, err error)) {
	w := c.world
	m := w.randomMachine()
	m.call(engine.Input{Command: command}, func(result engine.Result) {
		if result.Err == nil {
			w.model.newestAcknowledged = max(w.model.newestAcknowledged, result.Index)
			w.model.acknowledgedAt = w.now
		}
		done(result.Value, result.Err)
	})
}

// Read passes the state machine of a random machine after a barrier. If its process ends before the barrier does, done is
// never called.
func (c *Cluster) Read(done func(stateMachine engine.StateMachine)) {
	m := c.world.randomMachine()
	c.world.barrier(m, func() { done(m.stateMachine.embedded) })
}

// AnyStateMachine returns the state machine of a random machine, without a barrier; nil if its process is not running.
func (c *Cluster) AnyStateMachine() engine.StateMachine {
	if m := c.world.randomMachine(); m.engine != nil {
		return m.stateMachine.embedded
	}
	return nil
}

// EndAll ends the processes of all machines at this moment, by a loss of power or by kills, and starts them again soon.
func (c *Cluster) EndAll(power bool) {
	if power {
		c.world.powerLossOfAll(0)
		return
	}
	c.world.killAll(0)
}

// Machines returns how many machines there are, removed ones included.
func (c *Cluster) Machines() int { return len(c.world.machines) }

// Process is what a running process knows of itself.
type Process struct {
	Incarnation int           // differs at each start
	Now         time.Duration // on the clock of the process
	Status      chain.Status  // on the same clock
}

// Process returns what the process of the machine with that number knows. It reports false while that is down or frozen.
func (c *Cluster) Process(machine int) (Process, bool) {
	m := c.world.machines[machine]
	if m.engine == nil || m.frozen {
		return Process{}, false
	}
	return Process{Incarnation: m.incarnation, Now: m.localTime(), Status: m.engine.Status(m.localTime())}, true
}

// Running reports whether that incarnation of the machine's process has open sockets, which it has while it is frozen too.
func (c *Cluster) Running(machine, incarnation int) bool {
	m := c.world.machines[machine]
	return m.engine != nil && m.incarnation == incarnation
}
