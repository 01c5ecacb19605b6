// Package chain replicates a log of commands over a chain of members that changes as members fail, return and leave.
//
// It is chain replication (R. van Renesse and F. B. Schneider, "Chain Replication for Supporting High Throughput and
// Availability", OSDI 2004). Commands enter at the head, pass down the chain, and are committed at the tail once every
// member of the chain has them on disk. Unlike the paper, there is no separate master: the members themselves decide
// each view with single-decree Paxos (package view). A view consists of the chain and the voters, which decide the
// next view. All other members are learners: they receive committed entries until they are admitted.
//
// # When an entry is committed
//
//   - Within an epoch only the epoch's head assigns indexes, and a member forwards an entry only after it has synced
//     the entry to its disk. So once the tail has synced an entry, every member of the chain has synced it
//     (replication.go).
//   - A member handles only messages of its own epoch. Once it has promised a proposal for a later epoch it is sealed:
//     it no longer accepts entries, commits or answers reads in its own epoch (dispatch.go, roles.go).
//   - A later epoch is decided only with promises from a majority of the voters, and every chain that may commit has a
//     member in each majority. So nothing is committed in the earlier epoch after the decision (view_change.go).
//   - The head of the later epoch is one of the voters that have promised, chosen among those whose logs were complete
//     in the newest epoch that any of them reports. It has everything that was committed before, and its log is
//     complete in its epoch from the start (view.Plan, epoch.go).
//   - All other members truncate their logs to a prefix of the head's log before they accept entries. They count as
//     complete once they have every entry that the head had at the start of the epoch. Only complete members forward
//     entries, commit or answer reads (catchup.go, read.go).
//
// # Files
//
// A Node is one member's state machine. Its files by topic: node.go (the steps of the state machine), roles.go,
// dispatch.go; members.go, discovery.go, failure_detector.go, heartbeat.go; lease.go, freshness.go; takeover.go,
// reconfiguration.go, view_change.go, epoch.go; replication.go, catchup.go; commands.go, read.go, outcome.go,
// apply.go, deduplication.go; bootstrap.go, leave.go; log.go, record.go, snapshot.go, state.go, persistence.go;
// message.go, output.go, status.go, config.go.
//
// The package has no clock, disk, network or goroutine, and nothing in it is safe for concurrent use. Package engine
// connects a Node to its disk and to the replicated state machine, package replica runs it, and package simnet tests
// it in simulated worlds.
package chain
