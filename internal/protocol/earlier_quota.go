package protocol

import "time"

// Messages of builds in which one leader granted rates to routers. They are still read, so that a connection to such a
// build does not break during an upgrade, and never sent.

// QuotaGrant is a router's share of a tenant's limit, in the tenant's unit (requests or tokens): a token bucket.
type QuotaGrant struct {
	Tenant        string        `cbor:"1,keyasint"`
	RatePerSecond float64       `cbor:"2,keyasint"`
	Burst         float64       `cbor:"3,keyasint"`           // capacity of the bucket
	TTL           time.Duration `cbor:"4,keyasint"`           // the grant ends so long after its arrival
	Credit        float64       `cbor:"5,keyasint,omitempty"` // added to the bucket at once, for requests that wait for it
}

// RouterGrants are the quota grants of one router.
type RouterGrants struct {
	Node        string       `cbor:"1,keyasint"` // the router's node_name
	Incarnation uint64       `cbor:"2,keyasint"` // of the router's process
	Grants      []QuotaGrant `cbor:"3,keyasint"`
	Epoch       uint64       `cbor:"4,keyasint"` // of the leader that granted
	Batch       uint64       `cbor:"5,keyasint"` // number of these grants, for GrantAck
}

// GrantAck says that a router has the grants of a batch in force.
type GrantAck struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"` // of the grants
	Batch       uint64 `cbor:"4,keyasint"`
}

// TenantDemand is what one tenant asked for in a report's window, in the tenant's unit (requests or tokens).
type TenantDemand struct {
	Tenant          string  `cbor:"1,keyasint"`
	Requested       float64 `cbor:"2,keyasint"`
	Admitted        float64 `cbor:"3,keyasint"`
	Shortfall       float64 `cbor:"4,keyasint,omitempty"`
	RemainingCredit float64 `cbor:"5,keyasint,omitempty"`
}

// GrantBatch carries quota grants from the leader to an instance at which the routers subscribe.
type GrantBatch struct {
	Origin  Origin         `cbor:"1,keyasint"`
	Routers []RouterGrants `cbor:"3,keyasint"` // number 2 belonged to a field of still earlier builds
}

// Sender implements PeerMessage.
func (b *GrantBatch) Sender() *Origin { return &b.Origin }
