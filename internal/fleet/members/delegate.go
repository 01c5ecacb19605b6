package members

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of what this package puts on the wire around the exchange's bytes. Others are dropped.
const format = 1

const (
	kindPiece = 1
	kindWhole = 2
	// packetOverhead is what memberlist puts around a message in a packet: type, checksum, encryption and compound.
	packetOverhead = 1 + 5 + 45 + 4
)

// meta is a node's record in memberlist, a CBOR array of at most 512 bytes.
type meta struct {
	_       struct{} `cbor:",toarray"`
	Format  uint64
	Epoch   uint64
	Site    string
	Leaving bool
}

// readMeta looks at the version first: another one's record may have another form.
func readMeta(b []byte) (meta, error) {
	var parts []cbor.RawMessage
	var m meta
	if err := cbor.Unmarshal(b, &parts); err != nil || len(parts) == 0 || cbor.Unmarshal(parts[0], &m.Format) != nil {
		return meta{}, &Dropped{Garbled}
	}
	if m.Format != format {
		return meta{}, &Dropped{OtherVersion}
	}
	if err := cbor.Unmarshal(b, &m); err != nil || len(m.Site) > maxName {
		return meta{}, &Dropped{Garbled}
	}
	return m, nil
}

// delegate is what memberlist asks and tells.
type delegate struct{ g *Group }

// NodeMeta is this life's record.
func (d delegate) NodeMeta(int) []byte {
	b, err := cbor.Marshal(meta{Format: format, Epoch: d.g.epoch.Load(), Site: d.g.cfg.Site, Leaving: d.g.leaving.Load()})
	if err != nil {
		panic(err) // a record of fixed types
	}
	return b
}

// head stands before each payload: version, kind, and the node that sends it.
func (g *Group) head(kind byte) int { return 3 + len(g.node) }

func (g *Group) frame(kind byte, b []byte) []byte {
	out := make([]byte, 0, g.head(kind)+len(b))
	out = append(out, format, kind, byte(len(g.node)))
	return append(append(out, g.node...), b...)
}

// unframe returns a payload's courier and the payload, if it is from a life that counts.
func (g *Group) unframe(kind byte, b []byte) (string, []byte, error) {
	switch {
	case len(b) < 3:
		return "", nil, &Dropped{Garbled}
	case b[0] != format:
		return "", nil, &Dropped{OtherVersion}
	case b[1] != kind || len(b) < 3+int(b[2]):
		return "", nil, &Dropped{Garbled}
	}
	name, err := g.view.from(string(b[3 : 3+int(b[2])]))
	if err == nil && name == g.cfg.Name {
		err = &Dropped{Stranger} // this life's own name, from another
	}
	return name, b[3+int(b[2]):], err
}

// NotifyMsg has a piece from another courier. memberlist uses its buffer again.
func (d delegate) NotifyMsg(b []byte) {
	from, piece, err := d.g.unframe(kindPiece, b)
	switch {
	case err != nil:
	case len(piece) > d.g.cfg.MaxBytes:
		err = &Dropped{Oversized}
	case d.g.exchange.Take(from, bytes.Clone(piece)) != nil:
		err = &Dropped{Refused}
	}
	d.g.taken(err, &d.g.Counters.PiecesIn)
}

// GetBroadcasts fills a packet, as far as the bucket goes.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	now, around := time.Now(), overhead+d.g.head(kindPiece)
	room := min(limit, int(d.g.gossip.TokensAt(now)))
	if room <= around || d.g.leaving.Load() {
		return nil
	}
	var out [][]byte
	used := 0
	for _, piece := range d.g.exchange.Changes(room, around) {
		if used += around + len(piece); used > limit {
			d.g.Counters.OversizedOut.Add(1)
			break
		}
		out = append(out, d.g.frame(kindPiece, piece))
	}
	d.g.gossip.AllowN(now, min(used, room))
	d.g.Counters.PiecesOut.Add(uint64(len(out)))
	return out
}

// LocalState is the whole table, if one is due.
func (d delegate) LocalState(join bool) []byte {
	now := time.Now()
	if !join && d.g.whole.TokensAt(now) < 0 {
		d.g.Counters.WholesDeferred.Add(1)
		return nil
	}
	b := d.g.exchange.Whole()
	if len(b) > d.g.cfg.MaxBytes {
		d.g.Counters.OversizedOut.Add(1)
		return nil
	}
	d.g.whole.ReserveN(now, min(len(b), d.g.whole.Burst()))
	d.g.Counters.WholesOut.Add(1)
	return d.g.frame(kindWhole, b)
}

// MergeRemoteState has another courier's table. Its members were merged before, so that it is no stranger.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	_, table, err := d.g.unframe(kindWhole, b)
	switch {
	case err != nil:
	case len(table) > d.g.cfg.MaxBytes:
		err = &Dropped{Oversized}
	case d.g.exchange.TakeWhole(table) != nil:
		err = &Dropped{Refused}
	}
	d.g.taken(err, &d.g.Counters.WholesIn)
}
