package simnet

import (
	"time"

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
		if head == nil { // all processes have ended and start again
			w.after(length, next)
			return
		}
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

// head returns the machine whose member is the head of the newest view that a running member has entered; nil if none
// runs.
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
	if newest == nil {
		return nil
	}
	for _, m := range w.machines {
		if m.node != nil && !m.removed && m.node.Self().Identity == newest.engine.Node().View().Head().Identity {
			return m
		}
	}
	return newest
}
