// Package wal is a write-ahead log: an append-only log in segments with a snapshot beside it. What Append and
// Checkpoint have returned nil for survives a power loss at any moment.
//
// # Files
//
// A segment is a file of frames, each with a checksum; a record is an opaque byte string, and one frame carries the
// records of one call. The first frame of a segment, its header, names the segment before it and how many of that
// one's bytes are valid; bytes beyond them were never acknowledged. A segment that begins with a checkpoint replaces all
// segments before it, together with the snapshot that it names.
//
//	segment-0000000000000007.log   frame(header: previous 6, bytes 4711; records) frame(records) frame(records) ...
//	snapshot-0000000000000003.snap frame(snapshot)
//
// # Invariants
//
//   - Nothing is acknowledged before it is synced. Append writes one frame and syncs it before it returns nil, so at
//     most one frame of a segment, its last, is ever unsynced.
//   - A directory entry is synced before anything that depends on it is acknowledged: the entry of a new segment
//     before the append or checkpoint that created it returns nil, the entry of a snapshot before the checkpoint that
//     names it is written. A snapshot takes its name by a rename only once its content is synced.
//   - Nothing is removed before the checkpoint that replaces it is durable.
//   - A file in which a write or a sync failed is not written again. The next append begins a new segment, whose header
//     leaves out what follows the last success: whether those bytes are on the disk is unknown.
//   - What recovery returns is durable before it is acted upon. The newest frame may have been written but not synced
//     by the process before, so Open writes it again into a new segment and syncs it.
//
// # Recovery
//
// Open takes the newest segment whose header frame is complete and follows the headers back to the newest checkpoint.
// In every segment but the last all valid bytes must be readable. In the last one a torn write, which is an
// incomplete frame at the end, is discarded: it was never acknowledged. A complete frame behind an incomplete one can't
// result from a power loss and is reported as ErrCorrupt, as is a snapshot that can't be read.
//
// # Failed writes
//
// After an error of Append or Checkpoint the records of that call are not valid, and the owner of the log must fall back
// to the state of the last success, or replace everything with Checkpoint once the disk takes writes again.
//
// A Log is used by one goroutine at a time. It reaches the disk through the interface FS.
package wal
