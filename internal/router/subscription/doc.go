// Package subscription keeps a router up to date with the control plane. It follows one control instance, applies the
// updates that this one sends, acknowledges them, tracks how fresh the applied state is, and moves to another instance
// when this one is unresponsive, skips an update, or can't prove that it is in contact with a majority.
//
// # How long a router trusts an instance
//
// Each message of an instance carries a protocol.FreshnessProof: how long ago a majority of voters was proven to be in the
// instance's epoch. The router places that moment on its own steady clock (remoteClock), never too late. The instance is
// trusted until Config.TrustTTL after that moment (trust.go). Once trust has expired, the router probes all instances and
// moves to one that proves a fresh contact; if none does, it follows the best of them provisionally and goes on probing.
// Being followed is therefore no sign of trust: Output.Trusted and Output.FreshAsOf are.
//
// # Where to find what
//
//   - trust.go: how long an instance is trusted
//   - remoteclock.go: the instance's clock, and the moment of its newest contact with a majority
//   - followed.go: the followed instance, its deadlines, and why it is left
//   - search.go, selection.go: probing the other instances, and which of them is followed
//   - candidates.go: the order in which instances are probed, and the backoff between rounds
//   - updates.go, applied.go: applying updates, and what the applied state proves
//   - decider.go: Decider, the pure core of all that; types.go: its inputs and outputs
//   - subscription.go, connection.go: the goroutine and the connections that carry it out
package subscription
