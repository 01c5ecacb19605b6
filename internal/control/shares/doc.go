// Package shares assigns parts of every tenant's limit to control instances, the holders, which issue credit for them.
//
// Every limit is divided in the same way, into Count equal shares. Each share has one owner or none. The table of owners is
// part of the replicated state, so a change takes effect only after it is committed. The table changes when a holder joins or
// fails. It does not depend on demand or on which instance leads, so limits stay divided as they are while there is no leader
// or no majority.
//
// # Invariant
//
// The credit that all successive owners of a share issue together stays within that share. Three rules ensure this. This
// package implements the first, package quota the others:
//
//   - Each change of the table is committed, increments its sequence by one, and records the previous owner of each share.
//   - A holder issues credit only for the duration of its lease (HolderLease) after it has confirmed that it has applied every
//     acknowledged change, and only within the limits of a record that an instance with the same shares in its table has
//     acknowledged.
//   - A new owner counts what the newest record of the previous owner lists as issued, or waits until that owner's lease has
//     ended and one issuance interval (package quota) has passed since.
//
// Assigner is a pure state machine. Every instance passes it observations, and the leader of the singleton roles steps it.
package shares
