// Package dispatch decides, for one router, which request is sent to which endpoint and when, and which request is
// rejected.
//
// It is a pure state machine. The caller (package dispatcher) passes the inputs together with the time and performs
// the outputs. The package has no goroutines, no clock and no I/O, and takes its random numbers from a seeded source,
// so that equal inputs give equal outputs.
//
// # Admission
//
// Requests wait in the queue of the endpoint chosen for them. The queues are flows of ASFQ (adaptive start-time fair
// queuing, package asfq). While the router has free slots, it serves, among the flows that have a request that can be
// sent now, the one with the lowest sum of start tag and penalty (asfq.Flow.Penalty). Health, connection limit and
// expected time to the first byte do not change that order; they only decide whether a request can be sent now. A
// request that can't be sent within about a quarter of its latency target is rejected, or is sent although it will
// miss that target (deadline.go).
//
// # Endpoint selection
//
// The endpoints that have the model are compared by the expected time to the first byte, the part of the prompt that
// is expected in their prefix cache, the prompt sizes that they prefer (size_intervals.go), their utilization, zone
// and health (choice.go). The estimates are learned from the router's own calls (estimate.go).
//
// # Health, retries, quota, shutdown
//
// An endpoint is ejected after failures of this router's own calls, and readmitted after successful probes
// (health.go, mass_ejection.go). Retries are limited by a retry budget per service (retry_budget.go), requests by
// credit from their tenant's quota (quota.go, quota_queue.go, credit_request.go). At the end of the process the
// queues are flushed, and only requests that can finish in time are admitted (shutdown.go).
//
// # Units
//
// Within the package, times are durations since the decider's start; float64 times are in milliseconds.
package dispatch
