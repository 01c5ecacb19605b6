package registry

import (
	"time"

	"raventrestle/internal/protocol"
)

// Output is what the caller of Step carries out.
type Output struct {
	Replies     []Reply
	Send        []Send
	Changed     []protocol.Endpoint // for the routers: added, changed or Departed, by ID
	Urgent      bool                // Changed must not wait for other changes
	Revision    uint64              // newest revision of the table, Changed included; RoutersConfirmed refers to it
	RouterCount int                 // routers of all instances; 0 while unknown
	Complete    bool                // the table lacks nothing that the other instances have
	WakeAt      time.Time           // the next Step is due then at the latest
	DeadlineAt  time.Time           // as WakeAt, but for the tick, which does no harm a quarter of a second later; zero: nothing is due
}

// Reply answers a Heartbeat or a Deregister.
type Reply struct {
	RequestID uint64
	InForce   bool // in force at every connected router; false for a drain whose time was up

	// Rejected says that the endpoint is to ask another instance: this one has no contact with a majority, has only
	// started, or could neither prove a contact newer than the drain nor that a majority has the record by
	// QuorumConfirmTimeout.
	Rejected bool
}

// Send is a message for another instance, by the address of its transport.
type Send struct {
	To      string
	Message any
}

// reply answers an endpoint's request.
func (r *Registry) reply(requestID uint64, reply Reply) {
	reply.RequestID = requestID
	reply.InForce = reply.InForce && !reply.Rejected
	r.output.Replies = append(r.output.Replies, reply)
}

func (r *Registry) send(to string, message any) {
	r.output.Send = append(r.output.Send, Send{To: to, Message: message})
}
