// Package replica keeps one replicated state machine on a few machines, so that what was acknowledged outlasts
// killed, frozen, cut off, wiped and replaced machines. It is chain replication under agreed views: commands
// enter at the head, every member of the chain syncs them to its disk before it passes them on, and the tail
// commits. Which members form the chain is decided by a majority of the voters of the view before.
//
// # Use
//
// Give Open a folder for the log, a Transport that carries bytes to other replicas by address, and a Machine that
// applies commands. Hand each message that comes in to Deliver. The members of the first view are the Seeds, all
// of them started with Bootstrap on an empty disk; everybody else is started with the same or other seeds that
// are members, asks to be taken in, and is.
//
//	r, err := replica.Open(replica.Options{
//		Self:      replica.Member{Address: "10.0.0.1:7500", Zone: "a"},
//		Seeds:     []string{"10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"},
//		Bootstrap: firstStartOfAll,
//		Faults:    1,
//		Folder:    "/var/lib/state",
//		Transport: transport,
//		Machine:   machine,
//	})
//	result, err := r.Propose(ctx, command)
//
// # What holds
//
//   - A command whose Propose returned nil was synced by at least Faults+1 members and is never lost while no more
//     than Faults disks are, even when all other members lose power in the same moment.
//   - Commands are applied in one order everywhere. One that is sent on twice because an answer was lost is
//     applied once, as far as the last 1,024 commands reach; a Machine that must be surer knows its commands by
//     their content.
//   - When Propose returns ErrUnclear, the command may or may not be applied, now or later. ErrUnavailable says
//     that it was never sent on.
//   - Barrier returns after everything that was acknowledged anywhere before its call is applied here.
//   - Status.Leader is true on at most one member at any moment, as far as steady clocks run equally fast.
//   - A member whose disk refuses writes leaves the chain when others can go on, and goes on reading.
//
// The parts are packages of their own and can be used alone: view (decisions), chain (the pure state machine),
// wal (the log on disk), engine (both joined, without goroutines) and simnet (a simulated world that checks them).
package replica
