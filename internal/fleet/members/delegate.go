package members

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the version of this package's wire format around the shared data. Other versions are dropped.
const formatVersion = 1

const (
	kindUpdates   = 1
	kindFullState = 2
	// packetOverhead is what memberlist adds to a message in a packet: type, checksum, encryption and compound header.
	packetOverhead = 1 + 5 + 45 + 4
)

// meta is the metadata of a node in memberlist, a CBOR array of at most 512 bytes.
type meta struct {
	_       struct{} `cbor:",toarray"`
	Format  uint64
	Epoch   uint64
	Site    string
	Leaving bool
}

// readMeta checks the format version first, as metadata of another version may have another structure.
func readMeta(b []byte) (meta, error) {
	var parts []cbor.RawMessage
	var m meta
	if err := cbor.Unmarshal(b, &parts); err != nil || len(parts) == 0 || cbor.Unmarshal(parts[0], &m.Format) != nil {
		return meta{}, &Dropped{Garbled}
	}
	if m.Format != formatVersion {
		return meta{}, &Dropped{OtherVersion}
	}
	if err := cbor.Unmarshal(b, &m); err != nil || len(m.Site) > maxNameBytes {
		return meta{}, &Dropped{Garbled}
	}
	return m, nil
}

// delegate implements memberlist.Delegate.
type delegate struct{ g *Group }

// NodeMeta returns the metadata of this incarnation.
func (d delegate) NodeMeta(int) []byte {
	b, err := cbor.Marshal(meta{Format: formatVersion, Epoch: d.g.epoch.Load(), Site: d.g.cfg.Site, Leaving: d.g.leaving.Load()})
	if err != nil {
		panic(err) // can't fail for a struct of fixed types
	}
	return b
}

// headerSize returns the size of the header before each payload: format version, kind and node.
func (g *Group) headerSize() int { return 3 + len(g.node) }

// newFrame returns a buffer with the header and capacity for the payload.
func (g *Group) newFrame(kind byte, capacity int) []byte {
	out := make([]byte, 0, g.headerSize()+capacity)
	out = append(out, formatVersion, kind, byte(len(g.node)))
	return append(out, g.node...)
}

// appendUpdate appends an update to a frame, preceded by its length.
func appendUpdate(frame, b []byte) []byte {
	return append(binary.AppendUvarint(frame, uint64(len(b))), b...)
}

// updateOverhead is the size of the length field of an update that fits a packet.
const updateOverhead = 2

// unframe returns the sender and the payload of a frame, if the sender is a current incarnation.
func (g *Group) unframe(kind byte, b []byte) (string, []byte, error) {
	switch {
	case len(b) < 3:
		return "", nil, &Dropped{Garbled}
	case b[0] != formatVersion:
		return "", nil, &Dropped{OtherVersion}
	case b[1] != kind || len(b) < 3+int(b[2]):
		return "", nil, &Dropped{Garbled}
	}
	name, err := g.view.senderName(string(b[3 : 3+int(b[2])]))
	if err == nil && name == g.cfg.Name {
		err = &Dropped{UnknownSender} // another node uses this member's own name
	}
	return name, b[3+int(b[2]):], err
}

// NotifyMsg handles updates of another member. It copies them, as memberlist reuses its buffer.
func (d delegate) NotifyMsg(b []byte) {
	from, rest, err := d.g.unframe(kindUpdates, b)
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
			var dropErr error
			if d.g.exchange.ReceiveUpdate(from, rest[size:end:end]) != nil {
				dropErr = &Dropped{RejectedByExchange} // the other updates in the packet may still be valid
			}
			d.g.countReceived(dropErr, &d.g.Counters.UpdatesIn)
			rest = rest[end:]
		}
	}
	d.g.Counters.drop(err)
}

// GetBroadcasts fills a packet within the budget. All updates are in one message, so that the sender's name is sent once.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	now, headers := time.Now(), overhead+d.g.headerSize()
	allowance := d.g.budget.PacketAllowance(now, limit)
	if allowance <= headers+updateOverhead || d.g.leaving.Load() {
		return nil
	}
	updates := d.g.exchange.Updates(allowance-headers, updateOverhead)
	if len(updates) == 0 {
		return nil
	}
	out := d.g.newFrame(kindUpdates, allowance-headers)
	for _, b := range updates {
		if overhead+len(out)+updateOverhead+len(b) > limit {
			d.g.Counters.OversizedOut.Add(1)
			continue
		}
		out = appendUpdate(out, b)
		d.g.Counters.UpdatesOut.Add(1)
	}
	d.g.budget.ChargePacket(now, min(overhead+len(out), allowance))
	return [][]byte{out}
}

// LocalState returns the full state if the budget allows it; a joining member always gets it.
func (d delegate) LocalState(join bool) []byte {
	now := time.Now()
	if !join && !d.g.budget.FullStateAllowed(now) {
		d.g.Counters.FullStatesDeferred.Add(1)
		return nil
	}
	b := d.g.exchange.FullState()
	if len(b) > d.g.cfg.MaxBytes {
		d.g.Counters.OversizedOut.Add(1)
		return nil
	}
	d.g.budget.ChargeFullState(now, len(b))
	d.g.Counters.FullStatesOut.Add(1)
	return append(d.g.newFrame(kindFullState, len(b)), b...)
}

// MergeRemoteState handles another member's full state. memberlist merges its node list first, so the sender is known.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	_, state, err := d.g.unframe(kindFullState, b)
	switch {
	case err != nil:
	case len(state) > d.g.cfg.MaxBytes:
		err = &Dropped{Oversized}
	case d.g.exchange.ReceiveFullState(state) != nil:
		err = &Dropped{RejectedByExchange}
	}
	d.g.countReceived(err, &d.g.Counters.FullStatesIn)
}
