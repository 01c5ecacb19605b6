package members

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// format is the version of what this package puts on the wire around the exchange's bytes. Others are dropped.
const format = 1

const (
	kindPieces = 1
	kindWhole  = 2
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

// head is the length of what stands before each payload: version, kind, and the node that sends it.
func (g *Group) head() int { return 3 + len(g.node) }

func (g *Group) frame(kind byte, room int) []byte {
	out := make([]byte, 0, g.head()+room)
	out = append(out, format, kind, byte(len(g.node)))
	return append(out, g.node...)
}

// piece adds one to a frame, its length before it.
func piece(frame, b []byte) []byte { return append(binary.AppendUvarint(frame, uint64(len(b))), b...) }

// pieceOverhead is its length's, for a piece that fits a packet.
const pieceOverhead = 2

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

// NotifyMsg has pieces from another courier. memberlist uses its buffer again.
func (d delegate) NotifyMsg(b []byte) {
	from, rest, err := d.g.unframe(kindPieces, b)
	rest = bytes.Clone(rest)
	for err == nil && len(rest) > 0 {
		n, size := binary.Uvarint(rest)
		switch {
		case size <= 0 || n > uint64(len(rest)-size):
			err = &Dropped{Garbled}
		case n > uint64(d.g.cfg.MaxBytes):
			err = &Dropped{Oversized}
		default:
			end := size + int(n)
			var refused error
			if d.g.exchange.Take(from, rest[size:end:end]) != nil {
				refused = &Dropped{Refused} // the others of the packet are none the worse
			}
			d.g.taken(refused, &d.g.Counters.PiecesIn)
			rest = rest[end:]
		}
	}
	d.g.Counters.drop(err)
}

// GetBroadcasts fills a packet, as far as the bucket goes. All pieces are one message: the sender's name stands once.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	now, around := time.Now(), overhead+d.g.head()
	room := d.g.budget.Room(now, limit)
	if room <= around+pieceOverhead || d.g.leaving.Load() {
		return nil
	}
	pieces := d.g.exchange.Changes(room-around, pieceOverhead)
	if len(pieces) == 0 {
		return nil
	}
	out := d.g.frame(kindPieces, room-around)
	for _, b := range pieces {
		if overhead+len(out)+pieceOverhead+len(b) > limit {
			d.g.Counters.OversizedOut.Add(1)
			continue
		}
		out = piece(out, b)
		d.g.Counters.PiecesOut.Add(1)
	}
	d.g.budget.Spent(now, min(overhead+len(out), room))
	return [][]byte{out}
}

// LocalState is the whole table, if one is due.
func (d delegate) LocalState(join bool) []byte {
	now := time.Now()
	if !join && !d.g.budget.WholeDue(now) {
		d.g.Counters.WholesDeferred.Add(1)
		return nil
	}
	b := d.g.exchange.Whole()
	if len(b) > d.g.cfg.MaxBytes {
		d.g.Counters.OversizedOut.Add(1)
		return nil
	}
	d.g.budget.WholeSent(now, len(b))
	d.g.Counters.WholesOut.Add(1)
	return append(d.g.frame(kindWhole, len(b)), b...)
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
