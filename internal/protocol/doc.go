// Package protocol defines the messages between the processes of the system: routers to control instances, and control
// instances among themselves. Each message is one cbor map (RFC 8949) with numbered fields in a frame of package
// transport; the operators' pages leave this protocol to the project (DEPLOY.md, "Settings of a process").
//
// # Compatibility
//
// Processes of two builds talk to each other while one replaces the other. Therefore
//
//   - a kind and a field number keep their meaning for good; new ones get unused numbers;
//   - a receiver ignores fields that it does not know, so a new field must be safe to ignore;
//   - a zero value means the same as a field that is left out.
//
// The golden data of this package's tests pin the encoded form of each message.
//
// # Times
//
// No message carries a time of day. A time.Duration is either a span (an age, a remaining time) that was measured on
// the sender's steady clock at the moment of sending, or that clock's own reading since the sender's start. A field's
// comment says which.
//
// The types are plain values without locks. A message must not be changed once it has been handed to the transport or
// to another goroutine.
package protocol
