package simnet

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// PlayEmbedded plays the history of a seed, with all faults, around state machines of the caller's, whose clients begin
// calls through the Cluster until its ClientsUntil. It returns the first violation of an invariant.
func PlayEmbedded(
	seed uint64, newStateMachine func() engine.StateMachine, startClients func(cluster *Cluster),
) (*World, error) {
	return playEmbedded(seed, newStateMachine, startClients, faultsDuration, (*World).injectFaults)
}

// PlayHeadFaults is like PlayEmbedded, but for a minute in which only the head has faults: it freezes, is partitioned,
// restarts or leaves, and is healthy again some time later.
func PlayHeadFaults(
	seed uint64, newStateMachine func() engine.StateMachine, startClients func(cluster *Cluster),
) (*World, error) {
	return playEmbedded(seed, newStateMachine, startClients, time.Minute, (*World).injectHeadFaults)
}

func playEmbedded(
	seed uint64, newStateMachine func() engine.StateMachine, startClients func(cluster *Cluster),
	length time.Duration, inject func(w *World, until time.Duration),
) (*World, error) {
	config := configFor(seed)
	config.NewStateMachine = newStateMachine
	w := NewWorld(config)
	if err := w.Run(startupDuration); err != nil {
		return w, err
	}
	cluster := &Cluster{world: w, ClientsUntil: w.now + length}
	startClients(cluster)
	inject(w, cluster.ClientsUntil)
	if err := w.Run(length); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// injectHeadFaults injects one fault of the head at a time until the given time.
func (w *World) injectHeadFaults(until time.Duration) {
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		head, length := w.head(), w.between(100*time.Millisecond, 4*time.Second)
		switch w.random.IntN(7) {
		case 0, 1:
			head.freeze()
			w.after(length, head.thaw)
		case 2:
			w.partition([]*machine{head}, w.machines, true, true)
			w.after(length, w.healLinks)
		case 3:
			w.partition([]*machine{head}, w.machines, w.random.IntN(2) == 0, true)
			w.after(length, w.healLinks)
		case 4, 5:
			w.leave(head, func() { w.restartSoon(head) })
		case 6:
			head.kill()
			w.restartSoon(head)
		}
		w.after(length+w.between(0, 3*time.Second), next)
	}
	next()
}

// head returns the machine whose member is the head of the newest view that a running member has entered.
func (w *World) head() *machine {
	var newest *machine
	for _, m := range w.machines {
		if m.engine == nil || m.frozen {
			continue
		}
		if newest == nil || m.engine.Node().View().Epoch > newest.engine.Node().View().Epoch {
			newest = m
		}
	}
	for _, m := range w.machines {
		if m.node != nil && !m.removed && m.node.Self().Identity == newest.engine.Node().View().Head().Identity {
			return m
		}
	}
	return newest
}

// Steps returns how many steps all machines have made.
func (w *World) Steps() int { return w.steps }

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
