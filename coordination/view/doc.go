// Package view decides which members replicate the state.
//
// A View is one agreed membership, numbered by its Epoch. It names the chain, in order from head to tail, and the
// voters, which decide the view of the next epoch. Each epoch is one instance of single-decree Paxos (L. Lamport,
// "Paxos Made Simple", 2001) whose acceptors are the voters of the view before it. Proposer and Acceptor are the two
// roles of that protocol; Plan computes the value that a proposer proposes if it is free to choose one.
//
// # Safety argument
//
// Let V be a view and f the number of disks whose loss must be tolerated. An entry is committed in V once every member
// of V's chain has it on disk.
//
//  1. One view per epoch. Any two majorities of V's voters have a voter in common, and an Acceptor never accepts a
//     proposal with a lower number than it has promised. This is the argument of Paxos.
//  2. A promise ends the old epoch. A voter that has promised any proposal for epoch e+1 accepts no further entries in
//     epoch e. Its Report, which is part of the promise, therefore stays true until epoch e+1 has begun.
//  3. Every chain that may commit has a member in every majority of the voters, and has a member left after f disks
//     are lost. MinChainLength ensures both.
//  4. Therefore, among the reports of any majority, at least one comes from a member of the chain that committed, and
//     the reports with the newest CompleteEpoch come from members that have everything that was committed in any
//     earlier epoch. Plan chooses the new head only among these members.
//  5. Plan changes the voters only if enough of the new voters are such members, so that 3 and 4 also hold for the
//     next view.
//
// The package holds values and state machines only: no clock, disk, network, goroutine or lock. Nothing in it is safe
// for concurrent use.
package view
