// Package view decides which members replicate the state.
//
// A View is one agreed membership, numbered by its Epoch. It names the chain, in order from head to tail, and the
// voters, which decide the view of the next epoch. Each epoch is one instance of single-decree Paxos (L. Lamport,
// "Paxos Made Simple", 2001) whose acceptors are the voters of the view before it. Proposer and Acceptor are the two
// roles of that protocol; Plan computes the value that a free proposer puts forward.
//
// # Safety argument
//
// Let V be a view, f the number of disks whose loss must be tolerated, and an entry committed in V once every member
// of V's chain has it on disk.
//
//  1. One view per epoch. Any two majorities of V's voters have a voter in common, and an Acceptor never accepts
//     below a proposal number that it has promised; this is Paxos.
//  2. A promise ends the old epoch. A voter that has promised any proposal for epoch e+1 takes no further entries in
//     epoch e. Its Report, which is part of the promise, therefore stays true until epoch e+1 has begun.
//  3. Every chain that may commit has a member in every majority of the voters, and survives f lost disks:
//     MinChainLength.
//  4. Therefore some report of a majority comes from a member of the chain that committed, and the reports with the
//     newest CompleteEpoch come from members that have everything that was committed in any epoch before. Plan takes
//     the new head from these alone.
//  5. Voters change only as long as enough of the new voters are such members, so that 3 and 4 are true of the next
//     view too.
//
// The package holds values and state machines only: no clock, disk, network, goroutine or lock. Nothing in it is safe
// for concurrent use.
package view
