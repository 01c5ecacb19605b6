// Package dispatch decides, for one router, which request is sent to which endpoint and when, and which is rejected.
//
// It is a pure state machine: the caller (package dispatcher) passes what happened together with the time, and carries out the
// outputs. It has no goroutines, no clock and no I/O, and draws random numbers from a seeded source, so that equal inputs give
// equal outputs.
//
// # Admission
//
// Requests wait in the queue of the endpoint chosen for them. Queues are flows of ASFQ (adaptive start-time fair queuing, package
// asfq). While the router has free slots, it serves the flows whose first request may be sent now, the one with the lowest sum of start
// tag and penalty (the flow's delta) first. Health, connection limit and expected time to the first byte do not change that order; they
// only decide whether a first request may be sent now. A request that can't be sent within about a quarter of its latency target is
// rejected, or sent although that target will be missed (deadline.go).
//
// # Choice of an endpoint
//
// Endpoints that have the model are compared by the expected time to the first byte, what their prefix cache is expected to hold of the
// prompt, the sizes of prompts that they prefer (size_intervals.go), their utilization, zone and health (choice.go). Estimates are learned
// from the router's own calls (estimate.go).
//
// # Health, retries, quota, shutdown
//
// Endpoints are ejected after failures of this router's own calls and readmitted by probes (health.go, health_probe.go). Retries are
// limited by a retry budget per service (retry_budget.go), requests by credit of their tenant's quota (quota.go, quota_queue.go,
// credit_request.go). At the end of the process
// queues are flushed and only what can finish in time is admitted (shutdown.go).
//
// # Units
//
// Inside the package times are time.Duration since the decider's start; float64 times are milliseconds.
package dispatch
