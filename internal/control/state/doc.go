// Package state is the control plane's replicated state: the operators' configuration and the results of the changes that
// were accepted.
//
// Machine is deterministic. Each replica applies the same commands in the same order (coordination/replica) and so
// reaches the same state and returns the same results; nothing here reads a clock, a random number or the order of a
// map. A command is one PUT or PATCH of /-/config with its If-Match version; the result is one of Accepted, VersionMismatch,
// Rejected and Forgotten.
//
// # Invariants
//
//   - No two changes are accepted on the same version, so the versions form one line.
//   - A change that was accepted is never answered by VersionMismatch or Rejected afterwards. It is recognised by its
//     fingerprint (method, base version, body) and answered by Accepted again, among the newest maxRememberedChanges
//     accepted changes; when it is older, the result is Forgotten, which is no determinate result. See changeLog.
//
// The fencing token of orders is not kept here: it is the epoch of the replicas' view.
//
// Commands, results and snapshots are encoded as CBOR with integer keys. Members of different builds exchange them, and they
// are on members' disks: testdata/golden keeps samples that every build has to read and to write.
package state
