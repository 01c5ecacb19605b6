// Package registry keeps one control instance's table of endpoints (service discovery, docs/design/system.md). Endpoints
// send heartbeats and deregister at any instance; the instances replicate what they hear to each other.
//
// Registry is a pure state machine: the owner (package controller) passes inputs and the time to Step and carries out
// what Step returns. It starts no goroutine, reads no clock and does no input or output.
//
// Replication between instances is eventually consistent, last writer wins by the endpoint's own sequence number:
//   - deltas carry changed records at once (delta.go); records that a peer may lack are kept as hints, as in the
//     hinted handoff of DeCandia et al., "Dynamo", SOSP 2007, section 4.6;
//   - a digest a second says which endpoints are alive and compares the tables; where they differ, summaries are
//     exchanged and repair them (anti-entropy, anti_entropy.go; Demers et al., "Epidemic algorithms for replicated
//     database maintenance", PODC 1987).
//
// Deregistration is stronger. An endpoint that reports draining or sends DELETE ends some time after it is acknowledged,
// so the acknowledgement waits until every connected router has confirmed that it does not choose it any more
// (PROTOCOL.md, Service discovery). After DrainAckTimeout it is given without that, if a majority of the reachable
// instances has the record. drain_ack.go decides who acknowledges a drain, and when; in_force_ack.go is what the other
// instances contribute.
//
// Invariants:
//   - The record with the highest sequence of an endpoint wins. A deregistered endpoint never returns while its
//     tombstone is kept.
//   - A drain is acknowledged as in force only when every connected router, here and at the reachable instances, has
//     confirmed it.
//   - A drain is acknowledged only by an instance that has had contact with a majority of the voters since the
//     request arrived.
//   - An endpoint is unresponsive only when no reachable instance has received a heartbeat within the allowed time.
//   - What Step returns does not depend on the iteration order of a map.
package registry
