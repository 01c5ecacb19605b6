// Package chain replicates a log of commands over a chain of members that changes as members fail, return and leave.
//
// It is chain replication (R. van Renesse and F. B. Schneider, "Chain Replication for Supporting High Throughput and
// Availability", OSDI 2004). Commands enter at the head, pass down the chain, and are committed at the tail once
// every member of the chain has them on disk. Unlike in the paper there is no separate master: the members decide
// themselves on each view, with single-decree Paxos (package view). A view consists of the chain and the voters,
// which decide the next view. All other members are learners: they receive what is committed, until they are
// admitted.
//
// # What commits when
//
//   - Within an epoch only its head assigns indexes, and a member passes an entry on only when it has it on disk. So
//     when the tail has synced an entry, every member of the chain has (replication.go).
//   - A member handles the messages of its own epoch only. Once it has promised a proposal for a later epoch it is
//     sealed: it neither takes entries nor commits nor answers reads in its epoch any more (dispatch.go, roles.go).
//   - A later epoch is decided only by promises of a majority of the voters, and every chain that may commit has a
//     member in each majority. So from the decision on nothing commits in the earlier epoch (view_change.go).
//   - The head of the later epoch is one of the promising voters whose logs were complete in the newest epoch. It has
//     everything that was committed before, and is complete in its epoch from the beginning (view.Plan, epoch.go).
//   - All other members make their logs a prefix of the head's before they take entries, and count as complete once
//     they have reached the head's log at the beginning of the epoch. Only complete members pass entries on, commit
//     or answer reads (catchup.go, read.go).
//
// # Files
//
// A Node is one member's state machine. Its files by job: node.go (the step), roles.go, dispatch.go; members.go,
// discovery.go, failure_detector.go, heartbeat.go; lease.go, freshness.go; takeover.go, reconfiguration.go,
// view_change.go, epoch.go; replication.go, catchup.go; commands.go, read.go, outcome.go, apply.go, deduplication.go;
// bootstrap.go, leave.go; log.go, record.go, snapshot.go, state.go, persistence.go; message.go, output.go, status.go,
// config.go.
//
// The package has no clock, disk, network or goroutine, and nothing in it is safe for concurrent use. Package engine
// joins a Node with its disk and the replicated state machine, package replica runs it, and package simnet tests it
// in simulated worlds.
package chain
