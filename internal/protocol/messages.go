// Package protocol holds the messages that routers and control instances send each other, as cbor on
// the transport's frames. A field that a receiver does not know is ignored.
package protocol

import "time"

// EndpointState is what an endpoint says of itself, or what the registry concludes.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready        EndpointState = iota
	Draining                   // takes no new request
	Unresponsive               // its heartbeats stopped; its calls may still succeed
	Departed                   // left or given up: only in updates
)

// Endpoint is one incarnation of a model or application server.
type Endpoint struct {
	ID              string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint"`
	Address         string        `cbor:"3,keyasint"` // host:port
	Zone            string        `cbor:"4,keyasint"`
	SoftwareVersion string        `cbor:"5,keyasint,omitempty"` // of its software
	Slots           int           `cbor:"6,keyasint"`
	State           EndpointState `cbor:"7,keyasint"`
	Sequence        uint64        `cbor:"8,keyasint"`           // rises with each heartbeat; the later one wins
	WarmUpRemaining time.Duration `cbor:"9,keyasint,omitempty"` // how much longer it stays slow after its start
	Models          []LoadedModel `cbor:"10,keyasint,omitempty"`
	Loading         []ModelLoad   `cbor:"11,keyasint,omitempty"` // orders under way, as the placer knows them
}

// LoadedModel is a model in an endpoint's memory, with its adapters.
type LoadedModel struct {
	Name       string   `cbor:"1,keyasint" json:"name"`
	Generation int64    `cbor:"2,keyasint" json:"generation"`
	Adapters   []string `cbor:"3,keyasint,omitempty" json:"adapters"`
}

// ModelLoad is a load or an unload that an endpoint was ordered to carry out.
type ModelLoad struct {
	Model     string        `cbor:"1,keyasint"`
	Adapter   string        `cbor:"2,keyasint,omitempty"`
	Unload    bool          `cbor:"3,keyasint,omitempty"`
	Remaining time.Duration `cbor:"4,keyasint"` // expected time until it is done, when this was sent
}

// Member is a control instance.
type Member struct {
	Identity       string `cbor:"1,keyasint"`
	Address        string `cbor:"2,keyasint"` // of its transport, host:port
	ControlAddress string `cbor:"3,keyasint"` // of its public interface, host:port
	Zone           string `cbor:"4,keyasint"`
}

// Subscribe opens a router's connection to a control instance, and asks for everything newer than it has.
type Subscribe struct {
	Node         string `cbor:"1,keyasint"`
	Zone         string `cbor:"2,keyasint"`
	Incarnation  uint64 `cbor:"3,keyasint"` // random, one for each start of the process
	Generation   int64  `cbor:"4,keyasint"` // of the newest configuration it has; 0: none
	Ready        bool   `cbor:"5,keyasint"`
	EchoSequence uint64 `cbor:"6,keyasint,omitempty"` // comes back in Standing.Mark; 0: none
}

// Update brings a router up to date. Sequence rises by one with each update of a connection; a gap means
// that the router must connect anew.
type Update struct {
	Sequence            uint64         `cbor:"1,keyasint"`
	Generation          int64          `cbor:"2,keyasint"`           // of Document; only committed versions are sent
	Document            []byte         `cbor:"3,keyasint,omitempty"` // the whole configuration, when it is newer: see PackDocument
	Snapshot            bool           `cbor:"4,keyasint,omitempty"` // Endpoints is the whole table
	Endpoints           []Endpoint     `cbor:"5,keyasint,omitempty"` // added, changed, or Gone
	Members             []Member       `cbor:"6,keyasint,omitempty"` // all control instances known
	RouterCount         int            `cbor:"7,keyasint,omitempty"` // how many routers share limits; 0: unchanged
	Quotas              []QuotaGrant   `cbor:"8,keyasint,omitempty"`
	GenerationConfirmed bool           `cbor:"9,keyasint,omitempty"` // a majority confirmed that Generation is the newest
	Freshness           FreshnessProof `cbor:"10,keyasint,omitzero"`
}

// UpdateAck answers an Update: it is in force.
type UpdateAck struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	EchoSequence uint64 `cbor:"2,keyasint,omitempty"` // comes back in Standing.Mark; 0: none
}

// Beacon is sent when there is nothing else to send, so that silence means a broken connection.
type Beacon struct {
	Sequence   uint64         `cbor:"1,keyasint"` // of the last update
	Generation int64          `cbor:"2,keyasint"` // newest committed configuration
	Freshness  FreshnessProof `cbor:"3,keyasint,omitzero"`
}

// QuotaGrant is a router's part of a tenant's rate, in the tenant's unit.
type QuotaGrant struct {
	Tenant        string        `cbor:"1,keyasint"`
	RatePerSecond float64       `cbor:"2,keyasint"`
	Burst         float64       `cbor:"3,keyasint"`
	TTL           time.Duration `cbor:"4,keyasint"`           // the grant ends so long after it arrived
	Credit        float64       `cbor:"5,keyasint,omitempty"` // added to the bucket at once, for requests that wait for it
}

// Report is a router's account of its demand since its last report.
type Report struct {
	Node        string         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Sequence    uint64         `cbor:"3,keyasint"`
	Window      time.Duration  `cbor:"4,keyasint"` // the time it covers
	Models      []ModelDemand  `cbor:"5,keyasint,omitempty"`
	Tenants     []TenantDemand `cbor:"6,keyasint,omitempty"`
	Unreachable []string       `cbor:"7,keyasint,omitempty"` // IDs of endpoints whose calls fail
	Reachable   []string       `cbor:"8,keyasint,omitempty"` // IDs of endpoints marked Silent whose calls succeed
}

// ModelDemand counts requests for one model and adapter.
type ModelDemand struct {
	Service  string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Adapter  string `cbor:"3,keyasint,omitempty"`
	Requests int    `cbor:"4,keyasint"`           // requests that came
	Unserved int    `cbor:"5,keyasint,omitempty"` // of those, refused or given up because no endpoint held it
	Queued   int    `cbor:"6,keyasint,omitempty"` // held now
	InFlight int    `cbor:"7,keyasint,omitempty"` // out at endpoints now
	Tokens   int64  `cbor:"8,keyasint,omitempty"` // prompt tokens and most tokens put out, of Asked
	Value    int64  `cbor:"9,keyasint,omitempty"` // sum over Asked of 10 less the request's priority, at least 1
}

// TenantDemand counts what one tenant asked for, in its unit.
type TenantDemand struct {
	Tenant          string  `cbor:"1,keyasint"`
	Requested       float64 `cbor:"2,keyasint"`
	Admitted        float64 `cbor:"3,keyasint"`
	Shortfall       float64 `cbor:"4,keyasint,omitempty"` // what held requests lack now, to be lent as Credit
	RemainingCredit float64 `cbor:"5,keyasint,omitempty"` // what is left of credits
}

// HasShortfall says that requests wait at the router for a tenant's quota.
func (r *Report) HasShortfall() bool {
	for i := range r.Tenants {
		if r.Tenants[i].Shortfall > 0 {
			return true
		}
	}
	return false
}
