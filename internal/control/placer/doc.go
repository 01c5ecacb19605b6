// Package placer decides which endpoint loads which models and adapters.
//
// The placer is a pure state machine: [Placer.Step] takes the time and what is new since the last step (configuration,
// the table of endpoints, routers' reports, answers to orders, inspections) and returns the orders to send and the
// endpoints to inspect. It reads no clock, does no I/O and starts no goroutine. It belongs to one goroutine, that of package
// roles, which runs it only while its instance holds the lease, sends its orders with the fencing token of the epoch, and
// creates a new Placer where another instance may have been the leader in between.
//
// # The loop
//
// A step first updates what is known, then decides for each service on its own, like a scheduler with the phases filter, score
// and bind:
//
//  1. Plans under way go on: the models to evict leave, then the target is loaded (bind.go).
//  2. Adapters that are asked for and loaded nowhere get a slot, if one is free or its adapter idle (adapters.go).
//  3. For each model that may gain by another replica, the endpoints are filtered (filter.go) and each change is scored by what
//     the model's requests gain, less what the evicted models lose and what the orders cost (score.go, eviction.go). The best
//     change becomes its endpoint's plan (bind.go), and so on until no change scores above zero.
//  4. Adapters get further slots, evicting others in turn (adapters.go, adapter_eviction.go).
//  5. Free slots are filled with adapters that nobody has asked for yet (adapters.go).
//
// # Where to look
//
//	placer.go            the loop, counters, time of the next step
//	fleet.go             services, their endpoints, models on the disks of addresses
//	endpoint.go          what is known of one endpoint
//	heartbeat.go         what a heartbeat shows
//	inspection.go        asking an endpoint for its own report, and taking it in
//	order_result.go      answers to orders, orders and plans that take too long
//	demand.go            rates and gauges of one model's or adapter's requests
//	demand_table.go      reports of routers
//	placement_table.go   expected demand, and the replicas that serve it
//	fair_level.go        max-min fair utilization of a model's replicas
//	value.go             value of being served, by utilization; endpoint time of a request, learned
//	schedule.go          phases of a decision; the best change
//	filter.go            models that may gain by a replica, endpoints that can take one
//	score.go             gain of a replica
//	eviction.go          how a model to evict is chosen
//	bind.go              plans and their orders
//	adapters.go          slots for adapters
//	adapter_eviction.go  how an adapter to evict is chosen
//	memory.go            free memory and adapter slots
//	admission.go         last check of each order; issuing it
//	load_rate_limit.go   the operators' CEILING on loads from the store
//
// # Invariants
//
// Each is kept in one place, and checked there for each order, whatever the planning concluded (admission.go):
//
//   - LIMIT: an endpoint's models and adapters never exceed weights_mb and adapter_slots. Everything counts that may be
//     loaded or may be arriving.
//   - CEILING: in any window of ceiling_window_s no more loads from the store begin than ceiling_over allows, over all leaders.
//   - One order at a time at an endpoint, and only while the endpoint's state and revision are known.
package placer
