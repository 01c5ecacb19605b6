package protocol

import "time"

// How routers share the tenants' limits. Control instances and routers must agree on these values.
const (
	// CreditTTL is how long a router may spend credit, from when it sent the request for it: whoever issued the credit
	// did so later, so that it is spent within CreditTTL of its issue.
	CreditTTL = 300 * time.Millisecond
	// ReservedShare is the share of what a window allows that is never issued as credit: each router has an even part of
	// it, for when it reaches no control instance.
	ReservedShare = 0.03
)

// CreditRequest asks the followed control instance for credit of a tenant's limit.
type CreditRequest struct {
	ID      uint64  `cbor:"1,keyasint"` // rises with each request of the router's process
	Tenant  string  `cbor:"2,keyasint"`
	Amount  float64 `cbor:"3,keyasint"`           // in the tenant's unit
	Waiting float64 `cbor:"4,keyasint,omitempty"` // the part that requests wait for; the rest is for expected ones
	Minimum float64 `cbor:"5,keyasint,omitempty"` // less than this would serve no request that waits
	Rank    int     `cbor:"6,keyasint,omitempty"` // of the most urgent request that waits; 0 is the most urgent
}

// CreditGrant answers a CreditRequest.
type CreditGrant struct {
	ID     uint64  `cbor:"1,keyasint"` // of the request
	Tenant string  `cbor:"2,keyasint"`
	Amount float64 `cbor:"3,keyasint,omitempty"` // 0: the limit leaves nothing now

	// RetryAfter is when what was not granted may be, if less than Waiting was granted.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// PeerCreditRequest asks another control instance for what the sender's shares lack.
type PeerCreditRequest struct {
	Origin Origin  `cbor:"1,keyasint"`
	ID     uint64  `cbor:"2,keyasint"` // rises with each request of the sender's process
	Tenant string  `cbor:"3,keyasint"`
	Amount float64 `cbor:"4,keyasint"`
	Rank   int     `cbor:"5,keyasint,omitempty"`
}

// PeerCreditGrant answers a PeerCreditRequest.
type PeerCreditGrant struct {
	Origin     Origin        `cbor:"1,keyasint"`
	ID         uint64        `cbor:"2,keyasint"` // of the request
	Tenant     string        `cbor:"6,keyasint"`
	Amount     float64       `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // when the rest may be granted, if less was
	Cell       int64         `cbor:"5,keyasint,omitempty"` // where the sender counts Amount, for PeerCreditReturn
}

// PeerCreditReturn gives back what a PeerCreditGrant brought and no router got: it came too late, or was too little.
type PeerCreditReturn struct {
	Origin      Origin  `cbor:"1,keyasint"`
	Tenant      string  `cbor:"2,keyasint"`
	Amount      float64 `cbor:"3,keyasint"`
	Cell        int64   `cbor:"4,keyasint"`
	Incarnation uint64  `cbor:"5,keyasint"` // of the process that granted; another one ignores the message
}

// Sender implements PeerMessage.
func (r *PeerCreditRequest) Sender() *Origin { return &r.Origin }

// Sender implements PeerMessage.
func (g *PeerCreditGrant) Sender() *Origin { return &g.Origin }

// Sender implements PeerMessage.
func (r *PeerCreditReturn) Sender() *Origin { return &r.Origin }

// PeerRecord carries a holder's newest record of what it issued and may issue. The holder issues nothing of it before one
// peer has acknowledged it.
type PeerRecord struct {
	Origin   Origin `cbor:"1,keyasint"`
	Identity string `cbor:"2,keyasint"` // of the holder
	Sequence uint64 `cbor:"3,keyasint"` // of the record
	Record   []byte `cbor:"4,keyasint"` // as quota.Record.Encode returns it
}

// PeerRecordAck says that the sender keeps a record. One that lists a share which the holder has lost is not acknowledged.
type PeerRecordAck struct {
	Origin   Origin `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// PeerCopyRequest asks for the newest record of a holder whose shares the sender was given.
type PeerCopyRequest struct {
	Origin Origin `cbor:"1,keyasint"`
	Owner  string `cbor:"2,keyasint"` // identity of the holder
	Table  uint64 `cbor:"3,keyasint"` // the answer must be of an instance that has this table of shares, or a later one
}

// PeerCopy answers a PeerCopyRequest.
type PeerCopy struct {
	Origin   Origin        `cbor:"1,keyasint"`
	Identity string        `cbor:"2,keyasint"` // of the sender
	Owner    string        `cbor:"3,keyasint"`
	Table    uint64        `cbor:"4,keyasint"`           // of the request
	Record   []byte        `cbor:"5,keyasint,omitempty"` // empty: it has none
	Age      time.Duration `cbor:"6,keyasint,omitempty"` // since the sender received the record, at least
}

// Sender implements PeerMessage.
func (r *PeerRecord) Sender() *Origin { return &r.Origin }

// Sender implements PeerMessage.
func (a *PeerRecordAck) Sender() *Origin { return &a.Origin }

// Sender implements PeerMessage.
func (r *PeerCopyRequest) Sender() *Origin { return &r.Origin }

// Sender implements PeerMessage.
func (c *PeerCopy) Sender() *Origin { return &c.Origin }
