package protocol

import "time"

// Record is what one control instance knows of one endpoint.
type Record struct {
	Endpoint Endpoint `cbor:"1,keyasint"` // Ready, Draining or, once it has deregistered, Departed

	// HeartbeatAge is the age of the newest heartbeat that the sender knows of, when the message left.
	HeartbeatAge time.Duration `cbor:"2,keyasint"`
}

// RegistryDelta carries records that have changed, or that the receiver lacks.
type RegistryDelta struct {
	Origin   Origin   `cbor:"1,keyasint"`
	Sequence uint64   `cbor:"2,keyasint"` // names the delta in a RegistryAck
	Records  []Record `cbor:"3,keyasint,omitempty"`

	// InForceAckRequested asks for a second acknowledgement, once the records are in force at all of the receiver's
	// routers: a deregistration is acknowledged to its endpoint only then.
	InForceAckRequested bool `cbor:"4,keyasint,omitempty"`

	// FromCompleteTable says that this answers a summary out of a complete table, so that a receiver that is syncing
	// lacks nothing afterwards.
	FromCompleteTable bool `cbor:"5,keyasint,omitempty"`
}

// RegistryAck acknowledges deltas by their sequences.
type RegistryAck struct {
	Origin            Origin   `cbor:"1,keyasint"`
	SenderIncarnation uint64   `cbor:"2,keyasint"` // of the deltas' sender; others than it ignore the message
	Received          []uint64 `cbor:"3,keyasint,omitempty"`
	InForce           []uint64 `cbor:"4,keyasint,omitempty"` // at all routers connected to this instance
}

// RecordVersion identifies the content of a record without carrying it.
type RecordVersion struct {
	ID          string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"` // of the newest heartbeat
	ContentHash uint64 `cbor:"3,keyasint"` // of what the endpoint reported of itself
	Departed    bool   `cbor:"4,keyasint,omitempty"`
}

// RegistrySummary begins an anti-entropy exchange: the receiver answers with the records that the summary lacks or has in
// an older version, and, unless this is a reply already, with a summary of its own.
type RegistrySummary struct {
	Origin   Origin          `cbor:"1,keyasint"`
	Versions []RecordVersion `cbor:"2,keyasint,omitempty"`
	IsReply  bool            `cbor:"3,keyasint,omitempty"`
}

// RegistryDigest is sent to the other instances about once a second: which endpoints sent heartbeats here, and a hash by
// which instances notice that their tables differ.
type RegistryDigest struct {
	Origin      Origin   `cbor:"1,keyasint"`
	AliveHashes []uint32 `cbor:"2,keyasint,omitempty"` // of the IDs whose heartbeats arrived here since the last digest
	TableHash   uint64   `cbor:"3,keyasint"`           // of the complete table

	RoutersIncluded bool     `cbor:"4,keyasint,omitempty"` // RouterHashes is the newest set; else the set is unchanged
	RouterHashes    []uint32 `cbor:"5,keyasint,omitempty"` // of the names of the routers that subscribe here
}

// Sender implements PeerMessage.
func (m *RegistryDelta) Sender() *Origin { return &m.Origin }

// Sender implements PeerMessage.
func (m *RegistryAck) Sender() *Origin { return &m.Origin }

// Sender implements PeerMessage.
func (m *RegistrySummary) Sender() *Origin { return &m.Origin }

// Sender implements PeerMessage.
func (m *RegistryDigest) Sender() *Origin { return &m.Origin }
