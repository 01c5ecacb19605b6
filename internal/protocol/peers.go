package protocol

import "time"

// Kinds of the messages between control instances. They are on the same wire as the routers' and keep
// their numbers for good.
const (
	KindRegistryDelta   byte = 32
	KindRegistryAck     byte = 33
	KindRegistrySummary byte = 34
	KindRegistryDigest  byte = 35
	KindLoadingTable    byte = 36
	KindReportBatch     byte = 37
	KindGrantBatch      byte = 38
)

// Registrar takes the kinds of messages; a transport's codec is one.
type Registrar interface {
	Register(kind byte, prototype any)
}

// RegisterPeerMessages adds the messages between control instances to a codec.
func RegisterPeerMessages(codec Registrar) {
	codec.Register(KindRegistryDelta, RegistryDelta{})
	codec.Register(KindRegistryAck, RegistryAck{})
	codec.Register(KindRegistrySummary, RegistrySummary{})
	codec.Register(KindRegistryDigest, RegistryDigest{})
	codec.Register(KindLoadingTable, LoadingTable{})
	codec.Register(KindReportBatch, ReportBatch{})
	codec.Register(KindGrantBatch, GrantBatch{})
}

// Origin names the sender of a message between control instances.
type Origin struct {
	Address     string `cbor:"1,keyasint"` // of its transport, where answers go
	Incarnation uint64 `cbor:"2,keyasint"` // random, one for each start of the process
	// At is when the message left, since the process started: it tells messages that were held up.
	SentAt time.Duration `cbor:"3,keyasint,omitempty"`
}

// Record is what one control instance knows of one endpoint.
type Record struct {
	Endpoint     Endpoint      `cbor:"1,keyasint"` // Ready, Draining, or Gone if it left
	HeartbeatAge time.Duration `cbor:"2,keyasint"` // since the newest heartbeat that the sender knows of
}

// RegistryDelta carries records that changed, or that the receiver lacks.
type RegistryDelta struct {
	Origin              Origin   `cbor:"1,keyasint"`
	Sequence            uint64   `cbor:"2,keyasint"` // names it in RegistryConfirm
	Records             []Record `cbor:"3,keyasint,omitempty"`
	InForceAckRequested bool     `cbor:"4,keyasint,omitempty"` // tell when they are in force at the receiver's routers
	FromCompleteTable   bool     `cbor:"5,keyasint,omitempty"` // answers a summary, out of a table that is whole
}

// RegistryAck answers deltas.
type RegistryAck struct {
	Origin            Origin   `cbor:"1,keyasint"`
	SenderIncarnation uint64   `cbor:"2,keyasint"` // incarnation of the deltas' sender
	Received          []uint64 `cbor:"3,keyasint,omitempty"`
	InForce           []uint64 `cbor:"4,keyasint,omitempty"` // at every router connected to this instance
}

// RecordVersion names a record without its contents.
type RecordVersion struct {
	ID          string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	ContentHash uint64 `cbor:"3,keyasint"` // hash over what the endpoint said of itself
	Departed    bool   `cbor:"4,keyasint,omitempty"`
}

// RegistrySummary opens a full exchange: the receiver answers with the records that are missing in it or
// older, and with a summary of its own unless this is an answer.
type RegistrySummary struct {
	Origin   Origin          `cbor:"1,keyasint"`
	Versions []RecordVersion `cbor:"2,keyasint,omitempty"`
	IsReply  bool            `cbor:"3,keyasint,omitempty"`
}

// RegistryDigest tells the others about once a second what did not change.
type RegistryDigest struct {
	Origin          Origin   `cbor:"1,keyasint"`
	AliveHashes     []uint32 `cbor:"2,keyasint,omitempty"` // hashes of the IDs heard from here since the last digest
	TableHash       uint64   `cbor:"3,keyasint"`           // hash over the whole table
	RoutersIncluded bool     `cbor:"4,keyasint,omitempty"` // Routers is the newest set; else it is unchanged
	RouterHashes    []uint32 `cbor:"5,keyasint,omitempty"` // hashes of the names of the routers connected here
}

// EndpointLoading is what one endpoint was ordered to do and has not done yet.
type EndpointLoading struct {
	Endpoint string      `cbor:"1,keyasint"`
	Loads    []ModelLoad `cbor:"2,keyasint"`
}

// LoadingTable is the placer's whole table of orders under way. The higher epoch and then the higher
// sequence wins.
type LoadingTable struct {
	Origin   Origin            `cbor:"1,keyasint"`
	Epoch    uint64            `cbor:"2,keyasint"`
	Sequence uint64            `cbor:"3,keyasint"`
	Loading  []EndpointLoading `cbor:"4,keyasint,omitempty"`
}

// ReportBatch carries routers' reports to the instance that holds the placer's role.
type ReportBatch struct {
	Origin    Origin     `cbor:"1,keyasint"`
	Reports   []Report   `cbor:"2,keyasint,omitempty"`
	GrantAcks []GrantAck `cbor:"3,keyasint,omitempty"`
}

// GrantAck tells that a router has a batch of grants in force.
type GrantAck struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"` // of the grants
	Batch       uint64 `cbor:"4,keyasint"`
}

// RouterGrants are the quota grants of one router.
type RouterGrants struct {
	Node        string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Grants      []QuotaGrant `cbor:"3,keyasint"`
	Epoch       uint64       `cbor:"4,keyasint"` // of the holder that granted
	Batch       uint64       `cbor:"5,keyasint"` // names them in GrantConfirmed
}

// GrantBatch carries quota grants from the holder of the role to an instance that has the routers.
type GrantBatch struct {
	Origin  Origin         `cbor:"1,keyasint"`
	Routers []RouterGrants `cbor:"3,keyasint"`
}

// PeerMessage is a message between control instances.
type PeerMessage interface {
	// Sender returns who sent it, for reading and for stamping.
	Sender() *Origin
}

// Sender implements FromPeer.
func (m *RegistryDelta) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *RegistryAck) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *RegistrySummary) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *RegistryDigest) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *LoadingTable) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *ReportBatch) Sender() *Origin { return &m.Origin }

// Sender implements FromPeer.
func (m *GrantBatch) Sender() *Origin { return &m.Origin }

// HasShortfall says that requests wait for quota at one of the routers.
func (b *ReportBatch) HasShortfall() bool {
	for i := range b.Reports {
		if b.Reports[i].HasShortfall() {
			return true
		}
	}
	return false
}
