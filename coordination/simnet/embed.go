package simnet

import (
	"time"

	"raventrestle/coordination/engine"
)

// PlayEmbedded plays the history of a seed, with all faults, around machines of the caller's, whose clients begin calls
// through the Site until it is over.
func PlayEmbedded(seed uint64, replicated func() engine.Machine, clients func(site *Site)) (*World, error) {
	setup := setupOf(seed)
	setup.Replicated = replicated
	w := NewWorld(setup)
	if err := w.Run(settling); err != nil {
		return w, err
	}
	site := &Site{world: w, Until: w.now + troubled}
	clients(site)
	w.faults(site.Until)
	if err := w.Run(troubled); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// Steps is how many steps all machines have made.
func (w *World) Steps() int { return w.steps }

// Site is the world as clients of embedded machines see it. All of it is called from within the world's own events.
type Site struct {
	world *World
	Until time.Duration // clients begin no calls any more
}

// Now is the world's time.
func (s *Site) Now() time.Duration { return s.world.now }

// After runs something later.
func (s *Site) After(delay time.Duration, run func()) { s.world.after(delay, run) }

// Draw returns a random number below the bound.
func (s *Site) Draw(bound int) int { return s.world.random.IntN(bound) }

// Propose has a machine drawn at random propose the command. Where that machine ends first, done is never called.
func (s *Site) Propose(command []byte, done func(result []byte, err error)) {
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
func (s *Site) Read(done func(machine engine.Machine)) {
	m := s.world.pick()
	s.world.barrier(m, func() { done(m.state.embedded) })
}

// Machine returns what a machine drawn at random holds, without asking the others; nil where it is down.
func (s *Site) Machine() engine.Machine {
	if m := s.world.pick(); m.engine != nil {
		return m.state.embedded
	}
	return nil
}
