package protocol

// Subscribe opens a router's subscription at a control instance, and asks for everything newer than the router has.
type Subscribe struct {
	Node        string `cbor:"1,keyasint"` // the router's node_name
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"` // random, drawn at each start of the process
	Generation  int64  `cbor:"4,keyasint"` // of the newest configuration that the router has; 0: none
	Ready       bool   `cbor:"5,keyasint"` // the router is ready for clients

	// EchoSequence comes back as FreshnessProof.EchoedSequence; 0 asks for no echo.
	EchoSequence uint64 `cbor:"6,keyasint,omitempty"`
}

// Update brings a router up to date: the newest configuration where it is new to the router, and endpoints as a snapshot
// or a delta. A subscription begins with a snapshot.
type Update struct {
	// Sequence rises by one with each update of a connection. After a gap the router has to subscribe again.
	Sequence uint64 `cbor:"1,keyasint"`

	Generation int64  `cbor:"2,keyasint"`           // of the newest committed configuration
	Document   []byte `cbor:"3,keyasint,omitempty"` // that configuration, as CompressDocument returns it; nil: unchanged

	Snapshot  bool       `cbor:"4,keyasint,omitempty"` // Endpoints is the complete table, not a delta
	Endpoints []Endpoint `cbor:"5,keyasint,omitempty"` // in a delta: added, changed or Departed

	Members     []Member     `cbor:"6,keyasint,omitempty"` // all control instances known; nil: unchanged
	RouterCount int          `cbor:"7,keyasint,omitempty"` // routers that share the tenants' limits; 0: unchanged
	Quotas      []QuotaGrant `cbor:"8,keyasint,omitempty"` // of earlier builds

	// GenerationConfirmed says that a barrier through the chain, after this router subscribed, found no newer
	// configuration than Generation.
	GenerationConfirmed bool `cbor:"9,keyasint,omitempty"`

	Freshness FreshnessProof `cbor:"10,keyasint,omitzero"`

	// IssuesCredit says that the instance answers CreditRequest. Earlier builds would close the connection.
	IssuesCredit bool `cbor:"11,keyasint,omitempty"`
}

// UpdateAck acknowledges an update, and all before it, once it is in force at the router.
type UpdateAck struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	EchoSequence uint64 `cbor:"2,keyasint,omitempty"` // as in Subscribe
}

// Beacon is sent on a subscription at a fixed interval without updates, so that the absence of messages means a broken
// connection, and so that the router has a recent proof of freshness.
type Beacon struct {
	Sequence   uint64         `cbor:"1,keyasint"` // of the last update
	Generation int64          `cbor:"2,keyasint"` // of the newest committed configuration
	Freshness  FreshnessProof `cbor:"3,keyasint,omitzero"`
}

// Probe asks a control instance for its proof of freshness without a subscription. It may be the first message of a
// connection on which a Subscribe follows.
type Probe struct {
	EchoSequence uint64 `cbor:"1,keyasint"` // as in Subscribe
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Generation int64          `cbor:"1,keyasint"` // of the newest committed configuration
	Freshness  FreshnessProof `cbor:"2,keyasint"`
}
