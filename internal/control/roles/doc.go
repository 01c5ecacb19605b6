// Package roles runs the singleton roles: the placer, which sends orders to endpoints, and the assigner, which divides the
// tenants' limits among the instances. At most one control instance acts in these roles at any time.
//
// The head of the newest view is the leader while a majority of the voters has confirmed the view within the lease
// (coordination/replica). Leadership, a pure state machine, decides from the replica's status when this instance may act;
// leadership.go lists its invariants. The fencing token of an order is the epoch of the view.
//
// # Parts
//
//   - Leader: the loop that observes the status and steps the roles; schedule limits how often it steps them
//   - placement: the placer with its inputs, and the orders and inspections in progress (loadTracker, inspectionQueue)
//   - assignShares: the assigner of package shares, whose decisions are proposed to the replicated group
//   - EndpointClient: the calls to endpoints, none of which is sent after the lease has expired
//   - recoveryDetector: whether the replicated group has just changed
//
// # Goroutines
//
// Leader.Run runs in one goroutine, which owns all state of the roles. It starts one goroutine for each call to an endpoint
// and for each proposal, and waits for them before it returns. orderTimeout bounds the calls, assignmentTimeout the
// proposals. The calls and the host pass their results to Run through the inbox, which never blocks.
package roles
