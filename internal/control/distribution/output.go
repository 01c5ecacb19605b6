package distribution

import (
	"time"

	"raventrestle/internal/protocol"
)

// Output is what the host carries out.
type Output struct {
	Messages             []Message
	Close                []Closing
	MinConfirmedRevision uint64               // all subscribed routers have the table in force up to it; largest: no routers
	StartBarrier         uint64               // start a barrier now, then give BarrierPassed with it; 0: none is needed
	Subscribed           []protocol.Subscribe // routers that were taken in
	RoutersChanged       bool                 // the set of subscribed routers changed: see Connected
	WakeAt               time.Time            // Step again then at the latest; zero: at the next input
}

// Message is a message for a router.
type Message struct {
	Connection ConnectionID
	Content    any // *protocol.Update, *protocol.Beacon or *protocol.ProbeReply
}

// Reasons for closing a router's connection.
const (
	ReasonReplaced = "replaced" // the router has subscribed again
	ReasonSlow     = "slow"     // it did not confirm in time
)

// Closing is a connection that is to be closed, and why.
type Closing struct {
	Connection ConnectionID
	Node       string
	Reason     string
}
