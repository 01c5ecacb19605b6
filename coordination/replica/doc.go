// Package replica keeps one replicated state machine on a few machines, so that what was acknowledged survives machines
// that are killed, frozen, partitioned, wiped and replaced. It is chain replication under agreed views (van Renesse and
// Schneider, OSDI 2004): commands enter at the head, every member of the chain syncs them to its disk before it passes
// them on, and the tail commits. Which members form the chain is decided by a majority of the voters of the view before,
// with single-decree Paxos for each epoch.
//
// # Use
//
// Give Open a directory for the log, a Transport that carries bytes to other replicas by address, and a StateMachine.
// Hand each message that comes in to Deliver. The members of the first view are the Seeds, all of them started with
// Bootstrap on an empty disk; every other member is started with the same or other seeds that are members, joins as a
// learner, and is admitted by the head.
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
//   - A command whose Propose returned nil was synced by at least FaultTolerance+1 members. It is never lost while no more
//     than FaultTolerance disks are, even when all other members lose power in the same moment.
//   - Commands are applied in one order on every member. One that is forwarded twice because an answer was lost is
//     applied once, as far as the last 1,024 commands reach; a StateMachine that needs more recognises its commands by
//     their content.
//   - When Propose returns ErrOutcomeUnknown, the command may or may not be applied, now or later. ErrUnavailable says
//     that it was never forwarded.
//   - Barrier returns after everything that was acknowledged anywhere before its call is applied on this member.
//   - Status.IsLeader is true on at most one member at any moment, as far as monotonic clocks run equally fast.
//   - A member whose disk fails leaves the chain when others can go on, and continues to serve reads.
//
// # Goroutines
//
// Open starts one goroutine, the loop. It owns the engine and everything that is not atomic or behind the inbox's lock,
// and works through the inbox; from the return of Open on only the loop calls the StateMachine, Transport.Send and
// RecordEvent. Stop and Kill end it and wait for its end. All methods may be called from any goroutine.
//
// # Packages
//
// The parts are packages of their own: view (decisions about membership), chain (the pure state machine), wal (the log
// on disk), engine (these joined, without goroutines), and simnet (a simulated world that checks them).
package replica
