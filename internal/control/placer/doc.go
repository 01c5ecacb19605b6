// Package placer decides which endpoint loads which models and adapters.
//
// The placer is a pure state machine: [Placer.Step] takes the time and everything that is new since the last step (the
// configuration, the endpoint table, router reports, answers to orders, inspections) and returns the orders to send and
// the endpoints to inspect. It reads no clock, does no I/O and starts no goroutine. A Placer is used by a single goroutine
// of package roles. That package steps the Placer only while its instance holds the leader lease, sends the orders with
// the fencing token of the epoch, and creates a new Placer if another instance may have been the leader in the meantime.
//
// # The loop
//
// A step first updates the state of the endpoints and the demand. It then decides for each service separately, like a
// scheduler with the phases filter, score and bind:
//
//  1. Plans in progress continue: the models to evict are unloaded, then the target is loaded (bind.go).
//  2. Adapters that are requested but loaded nowhere get a slot if one is free or its adapter is idle (adapters.go).
//  3. For each model that may benefit from another replica, the endpoints are filtered (filter.go), and each change is
//     scored: the gain for the model's requests, minus the losses for the evicted models and the cost of the orders
//     (score.go, eviction.go). The best change becomes the plan of its endpoint (bind.go). This repeats until no change
//     scores above zero, or until enough plans have been started or enough loads are in progress (schedule.go).
//  4. Adapters get further slots, for which adapters in use may now be evicted (adapters.go, adapter_eviction.go).
//  5. Free slots are filled with adapters that have not been requested yet (adapters.go).
//
// # Files
//
//	placer.go            the loop, the counters, the time of the next step
//	fleet.go             services, their endpoints, models on the disks at their addresses
//	endpoint.go          the state of one endpoint
//	heartbeat.go         updates of the state from heartbeats
//	inspection.go        requests for endpoints' own reports, and updates of the state from them
//	order_result.go      answers to orders; timeouts of orders and plans
//	demand.go            rates and gauges of the requests for one model or adapter
//	demand_table.go      router reports
//	placement_table.go   expected demand, and the replicas that serve it
//	fair_level.go        max-min fair utilization of a model's replicas
//	value.go             value of a served request by utilization; learned endpoint time per request
//	schedule.go          phases of a decision; selection of the best change
//	filter.go            models that may benefit from a replica, endpoints that can take one
//	score.go             gain of a replica
//	eviction.go          choice of the models to evict
//	bind.go              plans and their orders
//	adapters.go          adapter slots
//	adapter_eviction.go  choice of the adapters to evict
//	memory.go            free memory and adapter slots
//	admission.go         final check of each order; issuing it
//	load_rate_limit.go   the operators' rule CEILING for loads from the store
//
// # Invariants
//
// The admission check (admission.go) enforces these rules for each order, whatever the planning has concluded:
//
//   - LIMIT: an endpoint's models and adapters never exceed weights_mb and adapter_slots. Everything that may be loaded or
//     may still arrive counts.
//   - CEILING: in any window of ceiling_window_s, no more loads from the store start than ceiling_over allows, over all
//     leaders.
//   - An endpoint has at most one order at a time. With inspections, it gets an order only while its state and revision
//     are known.
package placer
