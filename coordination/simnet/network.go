package simnet

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// pair is one direction of a link.
type pair struct{ from, to string }

// links holds which directions are cut and how bad the rest is.
type links struct {
	cut  map[pair]bool
	slow time.Duration // added at random to each message
	loss float64
}

// longLate is how late a message may come a second time.
const longLate = 3 * time.Second

// send brings a message over a link. Messages may overtake each other and come twice.
func (w *World) send(from *machine, envelope chain.Envelope) {
	if w.lostOnTheWay(from.address, envelope.Address) {
		return
	}
	w.carry(from.address, envelope)
	if w.random.IntN(200) == 0 {
		w.carry(from.address, envelope)
	}
	if w.random.IntN(500) == 0 { // and once more, when much has changed
		w.after(w.between(0, longLate), func() { w.carry(from.address, envelope) })
	}
}

func (w *World) lostOnTheWay(from, to string) bool {
	return w.links.cut[pair{from, to}] || w.random.Float64() < w.Loss+w.links.loss
}

func (w *World) carry(from string, envelope chain.Envelope) {
	delay := w.between(w.Delay, 2*w.Delay)
	if w.links.slow > 0 {
		delay += w.between(0, w.links.slow)
	}
	message := envelope.Message
	w.after(delay, func() {
		if w.links.cut[pair{from, envelope.Address}] {
			return
		}
		for _, m := range w.machines {
			if m.address != envelope.Address || m.engine == nil {
				continue
			}
			deliver := func() { m.put(engine.Input{Message: &message, Address: from}) }
			if w.deviate(from, m, deliver) {
				deliver()
			}
		}
	})
}

// cutOff cuts the links between two groups of machines, in one direction or both.
func (w *World) cutOff(left, right []*machine, there, back bool) {
	for _, a := range left {
		for _, b := range right {
			if a == b {
				continue
			}
			w.links.cut[pair{a.address, b.address}] = there
			w.links.cut[pair{b.address, a.address}] = back
		}
	}
}

// joinAll heals all links.
func (w *World) joinAll() { w.links = links{cut: map[pair]bool{}} }
