// Package engine runs one member of the replicated group. It connects the chain state machine (package chain), the
// write-ahead log (package wal) and the embedding program's replicated state machine. It is synchronous and has no
// goroutine, clock or socket of its own: package replica provides real ones, package simnet simulated ones.
//
// # Invariants
//
//   - Nothing that depends on a record leaves the member before the record is durable. The records of a step are
//     synced before the messages of that step are returned, before committed entries are applied, and before calls
//     complete. One sync covers all inputs of a step.
//   - When the disk fails, the member returns to the state on the disk: the records that were not synced and the
//     messages that depended on them are dropped. It then accepts nothing that must be durable until it has rewritten
//     its complete state.
//   - The applied state and the disk agree: a snapshot from a peer is made durable, together with the log that follows
//     it, before the replicated state machine is restored from it.
//
// An Engine is used by one goroutine at a time. All times are readings of the host's monotonic clock, as durations
// above zero.
package engine
