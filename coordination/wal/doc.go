// Package wal is a write-ahead log that consists of append-only segments and a snapshot. Once Append or Checkpoint has
// returned nil, what it wrote survives a power loss at any moment.
//
// # Files
//
// A segment is a file of frames, each with a checksum. A record is an opaque byte string; one frame contains the records
// of one call. The first frame of a segment begins with the segment header, which has the number of the previous segment
// and how many bytes of that segment are valid; bytes after them were never acknowledged. A segment that begins with a
// checkpoint also has the number of a snapshot in its header, and together with that snapshot replaces all earlier
// segments.
//
//	segment-0000000000000007.log   frame(header: previous 6, bytes 4711; records) frame(records) frame(records) ...
//	snapshot-0000000000000003.snap frame(snapshot)
//
// # Invariants
//
//   - Nothing is acknowledged before it is synced. Append writes one frame and syncs it before it returns nil, so only the
//     last frame of a segment can be unsynced.
//   - A directory entry is synced before anything that depends on it is acknowledged: the entry of a new segment before
//     the append or checkpoint that created it returns nil, and the entry of a snapshot before the checkpoint that refers
//     to it is written. A snapshot is written to a temporary file and renamed only after its content is synced.
//   - Nothing is removed before the checkpoint that replaces it is durable.
//   - A file in which a write or a sync failed is not written to again. The next append begins a new segment. The valid
//     length in its header excludes everything after the last successful sync, because it is unknown whether those bytes
//     are on the disk.
//   - What recovery returns is durable before it is used. The previous process may have written the newest frame without
//     syncing it, so Open writes that frame again to a new segment and syncs it.
//
// # Recovery
//
// Open finds the newest segment whose first frame is complete, and follows the headers back to the newest checkpoint. In
// all segments except the newest one, all valid bytes must be readable. An incomplete frame at the end of the newest
// segment is a torn write, which was never acknowledged, and is discarded. A complete frame after an incomplete one can't
// result from a power loss and is reported as ErrCorrupt, as is a snapshot that can't be read.
//
// # Failed writes
//
// When Append or Checkpoint returns an error, the records of that call are not valid. The caller must then either return
// to the state after the last successful call, or replace everything with Checkpoint once the disk accepts writes again.
//
// A Log must be used by one goroutine at a time. It accesses the disk only through the interface FS.
package wal
