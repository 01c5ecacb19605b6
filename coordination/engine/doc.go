// Package engine runs one member of the replicated group: it joins the chain state machine (package chain), the
// write-ahead log (package wal) and the embedder's replicated state machine. It works synchronously, without goroutine,
// clock or socket of its own: package replica runs it on real ones, package simnet on simulated ones.
//
// # Invariants
//
//   - Nothing leaves before it is durable. The records of a step are synced before the messages of that step are handed
//     out, before committed entries are applied, and before calls complete. One sync covers all inputs of a step.
//   - When the disk fails, the member falls back to what is on the disk: the records that were not synced and the
//     messages that depended on them are dropped. It then takes no part in anything that must survive, until it has
//     rewritten its complete state.
//   - The applied state and the disk agree: a snapshot from a peer is made durable, together with the log that follows
//     it, before the replicated state machine is restored from it.
//
// An Engine is used by one goroutine at a time. All times are durations on the host's monotonic clock, above zero.
package engine
