// Package shares divides every tenant's limit among control instances, the holders, which issue credit for it.
//
// All limits are divided alike, into Count equal shares, and each share belongs to one holder or to none. The table that says
// so is part of the replicated state: a change of it is in force for nobody before it is committed. It changes when a
// holder comes or is gone for long, not with demand, and not when the leader changes, so a limit stays divided as it is
// while there is no leader and no majority.
//
// # Invariant
//
// No two holders issue credit for one share within a window of each other. It rests on three rules:
//
//   - A holder issues credit only while it has known within its lease (HolderLease) that everything acknowledged before is applied
//     at it, so that a share which was taken from it is lost to it a lease after that was acknowledged at the latest.
//   - A share is taken from its holder in one change and given to the next in another, which the Assigner proposes later than
//     a lease after the first was acknowledged.
//   - A new holder issues nothing for the share in its first window (package quota), unless it is the share's first.
//
// Assigner, a pure state machine, observes at each instance and is stepped by the leader of the singleton roles.
package shares
