package fleet

import (
	"cmp"
	"errors"
	"slices"

	"raventrestle/internal/fleet/facts"
	"raventrestle/internal/fleet/store"
)

// exchange implements members.Exchange for the store: an update is a batch of facts, and so is a full state.
type exchange struct {
	host  *Host
	store *store.Store
	codec *facts.Codec
}

// batchOverhead is the size of a batch without its facts: the array, the version and the length of the inner array.
const batchOverhead = 16

// Updates returns a single update, so that its header is sent only once.
func (x *exchange) Updates(limit, overhead int) [][]byte {
	if x.host.isSuperseded.Load() {
		return nil
	}
	batch := x.store.Updates(x.host.cfg.Clock(), limit-overhead-batchOverhead)
	if len(batch) == 0 {
		return nil
	}
	b, err := x.codec.Encode(batch)
	if err != nil {
		x.host.reportFault("fleet_not_encoded", err)
		return nil
	}
	return [][]byte{b}
}

// ReceiveUpdate handles a batch of facts.
func (x *exchange) ReceiveUpdate(_ string, b []byte) error { return x.ReceiveFullState(b) }

// FullState returns all facts that may be sent and fit; the facts with the least time to live remaining are omitted.
func (x *exchange) FullState() []byte {
	var all []facts.Fact
	if !x.host.isSuperseded.Load() {
		all = x.store.FullState(x.host.cfg.Clock())
	}
	space, size := int(x.host.limits.Bytes)-batchOverhead, 0
	for i := range all {
		size += all[i].MaxEncodedSize()
	}
	if size > space || len(all) > x.host.limits.Facts {
		slices.SortFunc(all, func(a, b facts.Fact) int { return cmp.Compare(b.TTL-b.Age, a.TTL-a.Age) })
		n := 0
		for size = 0; n < min(len(all), x.host.limits.Facts) && size+all[n].MaxEncodedSize() <= space; n++ {
			size += all[n].MaxEncodedSize()
		}
		x.host.Counters.OmittedFacts.Add(uint64(len(all) - n))
		all = all[:n]
	}
	b, err := x.codec.Encode(all)
	if err != nil {
		x.host.reportFault("fleet_not_encoded", err)
	}
	return b
}

// ReceiveFullState refuses a malformed batch as a whole. The store refuses and counts single facts with invalid fields.
func (x *exchange) ReceiveFullState(b []byte) error {
	now := x.host.cfg.Clock()
	batch, err := x.codec.Decode(b)
	switch c := &x.host.Counters; {
	case err == nil:
		if len(batch) > 0 {
			x.store.Receive(now, batch)
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
