package host

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/protocol"
	"raventrestle/internal/transport"
)

// encodedUpdate is protocol.Update with its endpoints already encoded. TestEncodedUpdateHasAllFields keeps the two equal.
type encodedUpdate struct {
	Sequence            uint64                  `cbor:"1,keyasint"`
	Generation          int64                   `cbor:"2,keyasint"`
	Document            []byte                  `cbor:"3,keyasint,omitempty"`
	Snapshot            bool                    `cbor:"4,keyasint,omitempty"`
	Endpoints           cbor.RawMessage         `cbor:"5,keyasint,omitempty"`
	Members             []protocol.Member       `cbor:"6,keyasint,omitempty"`
	RouterCount         int                     `cbor:"7,keyasint,omitempty"`
	Quotas              []protocol.QuotaGrant   `cbor:"8,keyasint,omitempty"`
	GenerationConfirmed bool                    `cbor:"9,keyasint,omitempty"`
	Freshness           protocol.FreshnessProof `cbor:"10,keyasint,omitzero"`
	IssuesCredit        bool                    `cbor:"11,keyasint,omitempty"`
}

// updateEncoder encodes updates as frames. A list of endpoints is encoded once, however many routers get it in a row.
type updateEncoder struct {
	codec  *transport.Codec
	tables encodedList // of snapshots
	deltas encodedList
}

// encodedList is the list that was encoded last. Lists don't change once they are in an update.
type encodedList struct {
	list    []protocol.Endpoint
	encoded cbor.RawMessage
}

// encode returns an update as a frame.
func (e *updateEncoder) encode(u *protocol.Update) (transport.Frame, error) {
	cache := &e.deltas
	if u.Snapshot {
		cache = &e.tables
	}
	endpoints, err := cache.encode(u.Endpoints)
	if err != nil {
		return nil, fmt.Errorf("encode update %d: %w", u.Sequence, err)
	}
	return e.codec.EncodeAs(protocol.KindUpdate, encodedUpdate{
		Sequence: u.Sequence, Generation: u.Generation, Document: u.Document, Snapshot: u.Snapshot, Endpoints: endpoints,
		Members: u.Members, RouterCount: u.RouterCount, Quotas: u.Quotas, GenerationConfirmed: u.GenerationConfirmed,
		Freshness: u.Freshness, IssuesCredit: u.IssuesCredit,
	})
}

// encode returns the encoded list, from the cache where it is the same slice as before.
func (c *encodedList) encode(list []protocol.Endpoint) (cbor.RawMessage, error) {
	if len(list) == 0 {
		return nil, nil
	}
	if len(list) == len(c.list) && &list[0] == &c.list[0] {
		return c.encoded, nil
	}
	encoded, err := cbor.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode %d endpoints: %w", len(list), err)
	}
	c.list, c.encoded = list, encoded
	return encoded, nil
}
