package simnet

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// PlayEmbedded plays the history of a seed, with all faults, around machines of the caller's, whose clients begin calls
// through the Site until it is over.
func PlayEmbedded(seed uint64, replicated func() engine.StateMachine, clients func(site *Cluster)) (*World, error) {
	setup := setupOf(seed)
	setup.NewStateMachine = replicated
	w := NewWorld(setup)
	if err := w.Run(settling); err != nil {
		return w, err
	}
	site := &Cluster{world: w, ClientsUntil: w.now + troubled}
	clients(site)
	w.faults(site.ClientsUntil)
	if err := w.Run(troubled); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// PlayHeadFaults is like PlayEmbedded, but for a minute whose troubles meet the head alone: it is frozen, cut off, restarted,
// or leaves, and is well again some time later.
func PlayHeadFaults(seed uint64, replicated func() engine.StateMachine, clients func(site *Cluster)) (*World, error) {
	setup := setupOf(seed)
	setup.NewStateMachine = replicated
	w := NewWorld(setup)
	if err := w.Run(settling); err != nil {
		return w, err
	}
	site := &Cluster{world: w, ClientsUntil: w.now + time.Minute}
	clients(site)
	w.troubleHeads(site.ClientsUntil)
	if err := w.Run(time.Minute); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// troubleHeads has one trouble at a time until the given time.
func (w *World) troubleHeads(until time.Duration) {
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		head, lasts := w.head(), w.between(100*time.Millisecond, 4*time.Second)
		switch w.random.IntN(7) {
		case 0, 1:
			head.freeze()
			w.after(lasts, head.thaw)
		case 2:
			w.cutOff([]*machine{head}, w.machines, true, true)
			w.after(lasts, w.joinAll)
		case 3:
			w.cutOff([]*machine{head}, w.machines, w.random.IntN(2) == 0, true)
			w.after(lasts, w.joinAll)
		case 4, 5:
			w.leave(head, func() { w.back(head) })
		case 6:
			head.kill()
			w.back(head)
		}
		w.after(lasts+w.between(0, 3*time.Second), next)
	}
	next()
}

// head returns the machine whose member is the head of the newest view.
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
		if m.last != nil && !m.removed && m.last.Self().Identity == newest.engine.Node().View().Head().Identity {
			return m
		}
	}
	return newest
}

// Steps is how many steps all machines have made.
func (w *World) Steps() int { return w.steps }

// Cluster is the world as clients of embedded machines see it. All of it is called from within the world's own events.
type Cluster struct {
	world        *World
	ClientsUntil time.Duration // clients begin no calls any more
}

// Now is the world's time.
func (s *Cluster) Now() time.Duration { return s.world.now }

// After runs something later.
func (s *Cluster) After(delay time.Duration, run func()) { s.world.after(delay, run) }

// RandomInt returns a random number below the bound.
func (s *Cluster) RandomInt(bound int) int { return s.world.random.IntN(bound) }

// Propose has a machine drawn at random propose the command. Where that machine ends first, done is never called.
func (s *Cluster) Propose(command []byte, done func(result []byte, err error)) {
	w := s.world
	m := w.pick()
	m.call(engine.Input{Command: command}, func(result engine.Result) {
		if result.Err == nil {
			w.ledger.newest = max(w.ledger.newest, result.Index)
			w.ledger.ackedAt = w.now
		}
		done(result.Value, result.Err)
	})
}

// Read hands over what a machine drawn at random holds after a barrier. Where it ends first, done is never called.
func (s *Cluster) Read(done func(machine engine.StateMachine)) {
	m := s.world.pick()
	s.world.barrier(m, func() { done(m.state.embedded) })
}

// AnyStateMachine returns what a machine drawn at random holds, without asking the others; nil where it is down.
func (s *Cluster) AnyStateMachine() engine.StateMachine {
	if m := s.world.pick(); m.engine != nil {
		return m.state.embedded
	}
	return nil
}

// Machines is how many machines there are, removed ones included.
func (s *Cluster) Machines() int { return len(s.world.machines) }

// Process is what a running process knows of itself.
type Process struct {
	Incarnation int           // differs at each start
	Now         time.Duration // on its own clock
	Status      chain.Status  // on the same clock
}

// Process returns what the machine's process knows. It tells false while that can do nothing: down or frozen.
func (s *Cluster) Process(machine int) (Process, bool) {
	m := s.world.machines[machine]
	if m.engine == nil || m.frozen {
		return Process{}, false
	}
	return Process{Incarnation: m.life, Now: m.local(), Status: m.engine.Status(m.local())}, true
}

// Running tells whether that life of the machine's process still has its sockets, also while it is frozen.
func (s *Cluster) Running(machine, life int) bool {
	m := s.world.machines[machine]
	return m.engine != nil && m.life == life
}
