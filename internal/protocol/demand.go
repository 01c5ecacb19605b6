package protocol

import "time"

// Report is a router's account of the demand that it saw since its last report, for the placer.
type Report struct {
	Node        string         `cbor:"1,keyasint"` // the router's node_name
	Incarnation uint64         `cbor:"2,keyasint"` // of the router's process, as in Subscribe
	Sequence    uint64         `cbor:"3,keyasint"` // rises with each report of an incarnation
	Window      time.Duration  `cbor:"4,keyasint"` // the time that the counts cover
	Models      []ModelDemand  `cbor:"5,keyasint,omitempty"`
	Tenants     []TenantDemand `cbor:"6,keyasint,omitempty"` // of earlier builds

	// What the router's calls show of endpoints, for the registry: IDs of those whose calls fail, and of those that are
	// Unresponsive and whose calls succeed.
	Unreachable []string `cbor:"7,keyasint,omitempty"`
	Reachable   []string `cbor:"8,keyasint,omitempty"`
}

// ModelDemand counts the requests for one model, or for one of its adapters, in a report's window.
type ModelDemand struct {
	Service  string `cbor:"1,keyasint"`
	Model    string `cbor:"2,keyasint"`
	Adapter  string `cbor:"3,keyasint,omitempty"` // "" for the model itself
	Requests int    `cbor:"4,keyasint"`           // arrived in the window
	Unserved int    `cbor:"5,keyasint,omitempty"` // of Requests: rejected or given up because no endpoint had the model
	Queued   int    `cbor:"6,keyasint,omitempty"` // waiting at the router now
	InFlight int    `cbor:"7,keyasint,omitempty"` // at endpoints now
	Tokens   int64  `cbor:"8,keyasint,omitempty"` // of Requests: prompt tokens, and output tokens at their maximum

	// Value is the sum, over Requests, of 10 less the request's priority, each at least 1.
	Value int64 `cbor:"9,keyasint,omitempty"`
}
