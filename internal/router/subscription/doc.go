// Package subscription keeps a router up to date with the control plane. A router follows one control instance: it applies the
// updates of that instance, acknowledges them, and tracks how fresh the applied state is. It moves to another instance when the
// followed one is unresponsive, skips an update, or cannot prove a recent contact with a majority.
//
// # How long a router trusts an instance
//
// Each message of an instance carries a protocol.FreshnessProof: how long ago a majority of voters was proven to be in the
// instance's epoch. The router converts that time to its own monotonic clock (remoteClock), with an error that can only make it
// earlier. The instance is trusted until Config.TrustTTL after that time (trust.go). Once trust has expired, the router probes all
// instances and moves to one that proves a recent contact. If none does, it follows the best of them provisionally and continues
// to probe. A followed instance is therefore not always trusted. Output.Trusted and Output.FreshAsOf report trust and freshness.
//
// # Files
//
//   - trust.go: how long an instance is trusted
//   - remoteclock.go: the instance's clock, and the time of its newest contact with a majority
//   - followed.go: the followed instance, its deadlines, and the reasons for leaving it
//   - search.go, selection.go: probing the other instances and selecting the one to follow
//   - candidates.go: the order in which instances are probed, and the backoff between rounds
//   - updates.go, applied.go: applying updates, and the proven freshness of the applied state
//   - decider.go, types.go: Decider, the pure state machine that makes all decisions, with its inputs and outputs
//   - subscription.go, connection.go: the goroutine and the connections that execute the decisions
package subscription
