// Package replica replicates a state machine to a small group of machines. Acknowledged commands survive machines being
// killed, frozen, partitioned, wiped and replaced. The protocol is chain replication (van Renesse and Schneider, OSDI
// 2004) with agreed views: the head accepts commands, every member of the chain syncs them to its disk before it forwards
// them to the next one, and the tail commits. A majority of the voters of the previous view decides which members form
// the next chain, with one instance of single-decree Paxos per epoch.
//
// # Use
//
// Pass Open a directory for the log, a Transport that sends bytes to other replicas by address, and a StateMachine. Pass
// each received message to Deliver. The Seeds form the first view; all of them are started with Bootstrap on an empty
// disk. Every other member is started without Bootstrap, with the addresses of current members as seeds. It joins as a
// learner until the head admits it to the chain.
//
//	r, err := replica.Open(replica.Config{
//		Self:         replica.Member{Address: "10.0.0.1:7500", Zone: "a"},
//		Seeds:        []string{"10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"},
//		Bootstrap:    firstStartOfAll,
//		FaultTolerance: 1,
//		Directory:    "/var/lib/state",
//		Transport:    transport,
//		StateMachine: machine,
//	})
//	result, err := r.Propose(ctx, command)
//
// # Guarantees
//
//   - A command whose Propose returned a nil error was synced by at least FaultTolerance+1 members. It is never lost as
//     long as at most FaultTolerance disks are lost, even if all other members lose power at the same moment.
//   - All members apply the commands in the same order. A command that is forwarded twice because a reply was lost is
//     applied once. Only the last 1,024 commands are remembered for this; a StateMachine that needs a longer window must
//     detect duplicates by the content of its commands.
//   - When Propose returns ErrOutcomeUnknown, the command may or may not be applied, now or later. ErrUnavailable means
//     that it was never forwarded and will never be applied.
//   - Barrier returns once this member has applied everything that was acknowledged by any member before the call.
//   - Status.IsLeader is true on at most one member at any moment, provided that the members' monotonic clocks run at the
//     same rate.
//   - A member whose disk fails leaves the chain if the other members can continue without it, and still serves reads.
//
// # Goroutines
//
// Open starts one goroutine, the loop, which processes the inbox. The loop owns the engine and all state that is neither
// atomic nor protected by the inbox's lock. After Open has returned, only the loop calls the StateMachine, Transport.Send
// and RecordEvent. Stop and Kill end the loop and wait until it has ended. All methods of Replica may be called from any
// goroutine.
//
// # Packages
//
// The implementation is divided into these packages: view (membership and its agreement protocol), chain (the replication
// protocol as a pure state machine), wal (the log on disk), engine (combines these three, without goroutines), and simnet
// (a simulation that tests them under faults).
package replica
