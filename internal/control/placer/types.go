package placer

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Input contains everything that is new since the last step.
type Input struct {
	Configuration *configuration.Configuration // nil: unchanged
	Endpoints     []protocol.Endpoint          // the registry's complete table, in every step
	Reports       []protocol.Report            // router reports; each is passed in once
	Results       []Result                     // answers to Output.Orders
	Inspections   []Inspection                 // answers to Output.Inspect
	Recovering    bool                         // the replicated state or its links recover from a fault; currently unused
}

// Inspection is an endpoint's answer to GET /-/report, or the failure to get one.
type Inspection struct {
	Endpoint string                 // ID of the inspected endpoint
	Failed   bool                   // no answer, or an answer from another endpoint
	Busy     bool                   // an order is in progress
	Revision uint64                 // seq: number of orders that the endpoint has accepted since it started
	Models   []protocol.LoadedModel // models in its memory
}

// Order is one call of POST /-/order.
type Order struct {
	ID       uint64 // identifies the order in its Result; unique within one Placer
	Endpoint string // endpoint ID
	Address  string // host:port
	Model    string
	Adapter  string  // empty: the order is for the model itself
	Unload   bool    // false: load
	Revision *uint64 // sent as if_revision when not nil: the endpoint accepts the order only at this revision
	Reason   string  // human-readable reason for the order
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order, by the HTTP status of its answer.
const (
	Accepted       Outcome = iota // 202
	AlreadyApplied                // 200: the endpoint was already in the requested state
	Busy                          // 409: another order is in progress, or the revision differs; also a 5xx marked as not executed
	Invalid                       // any other 4xx: the order reached another endpoint, or is not valid for this one
	Unknown                       // no answer, or any other status: the endpoint may have accepted the order
)

// Result is the answer to an order.
type Result struct {
	ID      uint64 // of the order
	Outcome Outcome
}

// Output lists what the caller must carry out. The caller answers each order with one Result, and each inspection with
// one Inspection.
type Output struct {
	Orders  []Order
	Inspect []string  // IDs of the endpoints to inspect with GET /-/report
	WakeAt  time.Time // time of the next step if no input arrives before
}
