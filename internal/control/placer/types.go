// Package placer decides which endpoint holds which models and adapters. It is pure: the host passes in
// demand and what endpoints hold, and sends the orders that come back. One instance acts at a time; the
// host starts it only while it holds the role, with the fencing token of its epoch.
package placer

import (
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
)

// Input is all that is new since the last step.
type Input struct {
	Configuration *configuration.Configuration // nil: unchanged
	Endpoints     []protocol.Endpoint          // the whole table as the registry has it, every step
	Reports       []protocol.Report            // of routers, each once
	Results       []Result
	Inspections   []Inspection // answers to Output.Inspect
	Recovering    bool         // the core or the links are in trouble, or were a moment ago
}

// Inspection is an endpoint's answer to GET /-/report, or that none came.
type Inspection struct {
	Endpoint string
	Failed   bool   // no answer, or not this endpoint's
	Busy     bool   // an order is under way
	Revision uint64 // seq: orders taken since its start
	Models   []protocol.LoadedModel
}

// Order is one call of POST /-/order.
type Order struct {
	ID       uint64 // names it in Result
	Endpoint string
	Address  string
	Model    string
	Adapter  string
	Unload   bool
	Revision *uint64 // to be sent as if_revision when not nil: the endpoint then takes it only if it knows as many orders
	Reason   string  // for people: why this order
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes of an order.
const (
	Accepted       Outcome = iota // 202
	AlreadyApplied                // 200: it was so already
	Busy                          // 409
	Invalid                       // 4xx otherwise: the endpoint is another one, the order makes no sense
	Unknown                       // no answer: it may have been taken
)

// Result answers an order.
type Result struct {
	ID      uint64
	Outcome Outcome
}

// Output is what the host carries out.
type Output struct {
	Orders  []Order
	Inspect []string  // IDs of endpoints whose GET /-/report is to be asked; Input.Inspections answers each once
	WakeAt  time.Time // when the next step may decide something, zero: at the next input
}
