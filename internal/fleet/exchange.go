package fleet

import (
	"cmp"
	"errors"
	"slices"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/store"
)

// exchange is the store as the members pass it on: a piece is a batch of facts, and so is a whole table.
type exchange struct {
	host  *Host
	facts *store.Store
	codec *facts.Codec
}

// around is what a batch takes beside its facts: array, version, and an array's length.
const around = 16

// Updates are in one piece: its head stands once.
func (x *exchange) Updates(limit, overhead int) [][]byte {
	if x.host.retired.Load() {
		return nil
	}
	batch := x.facts.Updates(x.host.cfg.Clock(), limit-overhead-around)
	if len(batch) == 0 {
		return nil
	}
	b, err := x.codec.Encode(batch)
	if err != nil {
		x.host.fault("fleet_not_encoded", err)
		return nil
	}
	return [][]byte{b}
}

func (x *exchange) ReceiveUpdate(_ string, b []byte) error { return x.ReceiveFullState(b) }

// FullState is all that is told on, as far as it has room: what has the least time left is left out.
func (x *exchange) FullState() []byte {
	var all []facts.Fact
	if !x.host.retired.Load() {
		all = x.facts.FullState(x.host.cfg.Clock())
	}
	room, size := int(x.host.limits.Bytes)-around, 0
	for i := range all {
		size += all[i].MaxEncodedSize()
	}
	if size > room || len(all) > x.host.limits.Facts {
		slices.SortFunc(all, func(a, b facts.Fact) int { return cmp.Compare(b.TTL-b.Age, a.TTL-a.Age) })
		n := 0
		for size = 0; n < min(len(all), x.host.limits.Facts) && size+all[n].MaxEncodedSize() <= room; n++ {
			size += all[n].MaxEncodedSize()
		}
		x.host.Counters.Left.Add(uint64(len(all) - n))
		all = all[:n]
	}
	b, err := x.codec.Encode(all)
	if err != nil {
		x.host.fault("fleet_not_encoded", err)
	}
	return b
}

// ReceiveFullState refuses what is no batch, whole; single facts that can't be true are refused and counted by the store.
func (x *exchange) ReceiveFullState(b []byte) error {
	now := x.host.cfg.Clock()
	batch, err := x.codec.Decode(b)
	switch c := &x.host.Counters; {
	case err == nil:
		if len(batch) > 0 {
			x.facts.Receive(now, batch)
		}
	case errors.Is(err, facts.ErrVersion):
		c.OtherVersion.Add(1)
	case errors.Is(err, facts.ErrTooLarge):
		c.TooLarge.Add(1)
	default:
		c.Garbled.Add(1)
	}
	return err
}
