// Package shares divides every tenant's limit among control instances, the holders, which issue credit for it.
//
// All limits are divided alike, into Count equal shares, and each share belongs to one holder or to none. The table that says
// so is part of the replicated state: a change of it is in force for nobody before it is committed. It changes when a
// holder comes or is gone, not with demand, and not when the leader changes, so a limit stays divided as it is
// while there is no leader and no majority.
//
// # Invariant
//
// What is issued for a share by all its owners together stays within it. It rests on three rules, of which this package keeps the
// first and package quota the others:
//
//   - Each change of the table is committed, rises by one, and names for each share the owner before.
//   - A holder issues credit only while it has known within its lease (HolderLease) that everything acknowledged before is applied
//     at it, and only what a record allows that an instance with the same shares in its table has acknowledged.
//   - A new owner counts what the former one's newest record says, or waits until its lease has ended and a whole interval has passed.
//
// Assigner, a pure state machine, observes at each instance and is stepped by the leader of the singleton roles.
package shares
