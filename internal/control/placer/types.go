package placer

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Input is all that is new since the last step.
type Input struct {
	Configuration *configuration.Configuration // nil: unchanged
	Endpoints     []protocol.Endpoint          // the registry's complete table, in every step
	Reports       []protocol.Report            // of routers, each once
	Results       []Result                     // answers to Output.Orders
	Inspections   []Inspection                 // answers to Output.Inspect
	Recovering    bool                         // the replicated state or the links recover from a fault; nothing depends on it
}

// Inspection is an endpoint's answer to GET /-/report, or that none came.
type Inspection struct {
	Endpoint string                 // ID of the inspected endpoint
	Failed   bool                   // no answer, or the answer of another endpoint
	Busy     bool                   // an order is under way
	Revision uint64                 // seq: number of orders that the endpoint has accepted since its start
	Models   []protocol.LoadedModel // models in its memory
}

// Order is one call of POST /-/order.
type Order struct {
	ID       uint64 // identifies the order in its Result; unique for one Placer
	Endpoint string // ID of the endpoint
	Address  string // host:port
	Model    string
	Adapter  string  // empty: the order is for the model itself
	Unload   bool    // false: load
	Revision *uint64 // sent as if_revision when not nil: the endpoint accepts the order only at this revision
	Reason   string  // why the order is given, for people
}

// Outcome is what became of an order.
type Outcome uint8

// Outcomes of an order, by the status of its answer.
const (
	Accepted       Outcome = iota // 202
	AlreadyApplied                // 200: the endpoint's state was the ordered one already
	Busy                          // 409: another order is under way, or the revision is another one
	Invalid                       // any other 4xx: the endpoint is another one, or the order makes no sense to it
	Unknown                       // no answer: the endpoint may have accepted the order
)

// Result is the answer to an order.
type Result struct {
	ID      uint64 // of the order
	Outcome Outcome
}

// Output is what the caller carries out. It must answer each order with one Result, and each inspection with one
// Inspection.
type Output struct {
	Orders  []Order
	Inspect []string  // IDs of endpoints whose GET /-/report is to be asked
	WakeAt  time.Time // time of the next step if no input comes before
}
