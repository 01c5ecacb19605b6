// Package roles runs the singleton roles: the placer, which sends orders to endpoints, and the assigner, which divides the
// tenants' limits among the instances. No two control instances act in them at the same time.
//
// The head of the newest view leads while a majority of the voters has confirmed its view no longer ago than the
// lease (coordination/replica). Leadership, a pure state machine, decides from the replica's status when this instance may act; its
// invariants are at the head of leadership.go. The fencing token of orders is the view's epoch.
//
// # Parts
//
//   - Leader: the loop that observes the status and steps the roles; schedule bounds how often
//   - placement: the placer, its inputs, and what is in progress because of its decisions (loadTracker, inspectionQueue)
//   - assignShares: the assigner of package shares, whose decisions are proposed to the replicated group
//   - EndpointClient: the calls to endpoints, none of which leaves after the lease has expired
//   - recoveryDetector: whether the core has just changed
//
// # Goroutines
//
// Leader.Run is one goroutine, which owns all state of the roles. It starts one goroutine for each call to an endpoint and
// awaits them before it returns; calls are bounded by orderTimeout. They and the host hand over what they have through the
// inbox, which never blocks.
package roles
