package facts

// NextEpoch returns the epoch for a new incarnation of a member: at least one more than the largest known epoch of the
// member's name, and at least the wall clock in milliseconds.
//
// If the state directory was preserved, stored is the epoch of the previous incarnation, and the new epoch is larger
// whatever the clock says. If the directory was lost, stored is 0, and the clock alone makes the epoch larger: every
// previous incarnation started in an earlier millisecond, and an epoch gets ahead of the clock only if incarnations
// start more often than once per millisecond. If the directory was lost and the clock was also set back, neither
// helps. Members therefore send a joining member the largest epoch that they received under its name, and the joining
// member calls NextEpoch again with it as heard before it sends any fact. An incarnation that learns of such an epoch
// only later, at or above its own, calls NextEpoch at that time; until then its facts are retired for every member
// that has received the other epoch. The clock affects only the member's own epochs, and no other machine's clock is
// used.
//
// Facts with an epoch above MaxEpoch are refused, so that a corrupt fact can't exhaust the range of epochs.
func NextEpoch(stored uint64, wallMillis int64, heard uint64) uint64 {
	return max(max(stored, heard)+1, uint64(max(wallMillis, 1)))
}
