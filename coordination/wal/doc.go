// Package wal keeps an append-only log in segments, with snapshots beside it, so that what Append and
// Checkpoint have returned nil for survives a loss of power at any moment.
//
// # On disk
//
// A segment is a file of frames, each with a checksum. One Append writes one frame and syncs it, so that at most
// one frame of a segment is ever unsynced. The first frame of a segment names the segment before it and how many
// of that one's bytes count; what lies beyond was never acknowledged. A segment that begins with a checkpoint
// stands for all before it, together with the snapshot that it names.
//
//	segment-0000000000000007.log   frame(begin: previous 6, bytes 4711) frame(records) frame(records) ...
//	snapshot-0000000000000003.snap frame(snapshot)
//
// # Recovery
//
// Open takes the newest segment whose first frame is whole and walks back by the names to the newest
// checkpoint. In segments before the last all counting bytes must be whole. In the last one a torn frame at the
// end is left out; a whole frame after a broken one can't come from a loss of power and is an error.
//
// # A disk that refuses
//
// After a failed write or sync nothing in that file behind the last success is believed again: the next Append
// begins a new segment. The log in memory of its owner must fall back to the last success or be written whole by
// Checkpoint.
//
// The package is used by one goroutine at a time. It takes the disk behind the interface FS.
package wal
