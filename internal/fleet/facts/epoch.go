package facts

// NextEpoch draws the epoch of a new life: one more than the largest epoch that is known of this name, and at least
// the milliseconds of the wall clock.
//
// With the folder, stored is the last life's epoch and the new one is larger, whatever the clock says. After the
// folder was lost stored is 0, and the clock alone makes it larger: every life before began at an earlier millisecond,
// and an epoch runs ahead of the clock only by lives that began faster than one a millisecond. Where the folder was
// lost and the clock went back as well, neither helps; so members tell a joining life the largest epoch that they
// heard of its name, and it draws again with that as heard before it tells anything. A life that hears only later
// of an epoch of its name not below its own draws again then; until it has, its facts are dead to whoever
// heard the other. Nothing but a life's own name depends on that clock, and no other machine's clock comes in.
//
// Facts with an epoch over MaxEpoch are refused, so that heard can't run out of room by a garbled fact.
func NextEpoch(stored uint64, wallMillis int64, heard uint64) uint64 {
	return max(max(stored, heard)+1, uint64(max(wallMillis, 1)))
}
