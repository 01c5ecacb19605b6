// Package transport carries typed messages between the processes of the system over TCP.
//
// # Frames
//
// A frame is four bytes of length (big-endian, counting what follows), one byte of message kind, and a cbor body
// (RFC 8949). Codec maps kinds to Go types; package protocol registers them. A frame with an unknown kind, a malformed
// body or a length above MaxFrameBytes ends its connection.
//
// # Connections
//
// A Connection is one TCP connection with a bounded queue of outgoing frames. Send never blocks: it queues the frame, or
// returns ErrQueueFull or ErrClosed. Dial makes one connection; a Server accepts them; a Mesh keeps one outgoing
// connection for each peer, dials again with backoff, and drops messages that it can't deliver in time.
//
// # Goroutines
//
// Each connection owns two goroutines, and both end with it:
//
//   - writeLoop writes what is queued, as few writes as possible, and ends first;
//   - readLoop decodes frames and calls the Handler, waits for writeLoop, calls Handler.Closed and ends last.
//
// Connection.Done is closed after that. A Server owns one goroutine more, which accepts; a Mesh one for each peer that it
// is dialing. Their Close asks all of them to end, and Wait returns once they have.
//
// An idle connection causes no wake-ups and keeps a few kilobytes of buffers. TCP keep-alive probes are off: processes
// that need to notice a broken connection exchange messages at intervals, and bytes that stay unacknowledged end the
// connection after the TCP user timeout (RFC 5482).
package transport
