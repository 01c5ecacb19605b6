package simnet

import (
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
)

// link is one direction of a link.
type link struct{ from, to string }

// links is the state of all links.
type links struct {
	blocked         map[link]bool          // by a partition; an entry may be false
	busyUntil       map[link]time.Duration // by large messages that were sent before
	extraDelay      time.Duration          // added at random to each message
	lossProbability float64
}

// maxDuplicateDelay is how late a duplicate of a message may arrive.
const maxDuplicateDelay = 3 * time.Second

// send sends a message over a link. Messages may be reordered and duplicated. On links of a limited rate large ones are not
// duplicated, because that would halve the rate.
func (w *World) send(from *machine, envelope chain.Envelope) {
	if envelope.Message.Fetch != nil {
		w.fetches++
	}
	if w.isLost(from.address, envelope.Address) {
		return
	}
	w.transmit(from.address, envelope)
	duplicate, lateDuplicate := w.random.IntN(200) == 0, w.random.IntN(500) == 0
	if w.LinkRate > 0 && sizeOf(envelope.Message) > maxUnfragmentedBytes {
		return
	}
	if duplicate {
		w.transmit(from.address, envelope)
	}
	if lateDuplicate {
		w.after(w.between(0, maxDuplicateDelay), func() { w.transmit(from.address, envelope) })
	}
}

// isLost draws whether a message is lost as it is sent.
func (w *World) isLost(from, to string) bool {
	return w.links.blocked[link{from, to}] || w.random.Float64() < w.LossProbability+w.links.lossProbability
}

// transmit delivers a message after the delay of its link, unless a partition separates the machines then.
func (w *World) transmit(from string, envelope chain.Envelope) {
	delay := w.between(w.MinLinkDelay, 2*w.MinLinkDelay)
	if w.links.extraDelay > 0 {
		delay += w.between(0, w.links.extraDelay)
	}
	message := envelope.Message
	delay += w.transmissionTime(link{from, envelope.Address}, message)
	w.after(delay, func() {
		if w.links.blocked[link{from, envelope.Address}] {
			return
		}
		for _, m := range w.machines {
			if m.address != envelope.Address || m.engine == nil {
				continue
			}
			deliver := func() { m.enqueue(engine.Input{Message: &message, Address: from}) }
			if w.injectAtDelivery(from, m, deliver) {
				deliver()
			}
		}
	})
}

// partition blocks the links between two groups of machines, in one direction or both.
func (w *World) partition(left, right []*machine, blockLeftToRight, blockRightToLeft bool) {
	for _, a := range left {
		for _, b := range right {
			if a == b {
				continue
			}
			w.links.blocked[link{a.address, b.address}] = blockLeftToRight
			w.links.blocked[link{b.address, a.address}] = blockRightToLeft
		}
	}
}

// healLinks ends all partitions, delays and losses of links.
func (w *World) healLinks() { w.links = links{blocked: map[link]bool{}, busyUntil: w.links.busyUntil} }

// messageOverheadBytes is the approximate size of a message without its commands.
const messageOverheadBytes = 200

// A message above maxUnfragmentedBytes is sent in fragments, as package replica does, with inFlightBytes of it in flight at
// once: a small message waits for no more than these.
const (
	maxUnfragmentedBytes = 64 << 10
	inFlightBytes        = 128 << 10
)

// transmissionTime returns how long a message takes to leave, behind those before it.
func (w *World) transmissionTime(over link, message chain.Message) time.Duration {
	if w.LinkRate == 0 {
		return 0
	}
	size := sizeOf(message)
	wait := max(0, w.links.busyUntil[over]-w.now)
	if size <= maxUnfragmentedBytes {
		return min(wait, w.timeToSend(inFlightBytes)) + w.timeToSend(size)
	}
	took := wait + w.timeToSend(size)
	w.links.busyUntil[over] = w.now + took
	return took
}

// timeToSend returns how long a link of the rate takes for the bytes.
func (w *World) timeToSend(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(w.LinkRate)
}

// sizeOf returns the approximate size of a message in bytes.
func sizeOf(message chain.Message) int {
	size := messageOverheadBytes
	if message.Forward != nil {
		size += len(message.Forward.Command)
	}
	if message.Append != nil {
		size += len(message.Append.Snapshot)
		for _, entry := range message.Append.Entries {
			size += messageOverheadBytes + len(entry.Command)
		}
	}
	return size
}
