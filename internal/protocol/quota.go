package protocol

import "time"

// How routers share a tenant's limit without a valid grant. The quota allocator reserves these shares, and routers
// must not spend more.
const (
	// UngrantedRateShare is the share of the tenant's rate that all routers without a grant may spend together, divided
	// evenly among them.
	UngrantedRateShare = 0.5
	// OverdraftShare is the share of the tolerance (quota_over of what a window allows, plus quota_slack) by which the
	// token buckets of all routers together may go below zero, divided evenly among them.
	OverdraftShare = 0.5
)

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
