// Package quota issues credit for tenants' limits. Routers spend nothing but credit, and a small reserved part of each limit.
//
// Each control instance is a holder of some of the equal shares of every limit (package shares). It issues credit for its shares to
// the routers that follow it, by need: a router asks when requests wait, or when credit for expected ones runs low. What
// the shares of one holder lack it asks for at others, one after the other, until the request can be served. No leader takes part,
// so limits hold and tenants are served whoever leads, and while nobody does.
//
// # Invariant
//
// In no window of Config.Window does a tenant spend more than the rule QUOTA allows, whichever messages are lost and
// however routers and holders are partitioned, suspended, killed and started again. For every tenant:
//
//	a holder's issues in each interval of Config.Window + protocol.CreditTTL  <=  its shares / shares.Count of the issuable part
//	a router's spending of its reserve in each window                         <=  an even part of protocol.ReservedShare
//	issuable part + reserved part                                             <=  what the rule allows (allowance.go)
//
// Credit is spent within CreditTTL of its issue or not at all, so what is spent in a window was issued in the interval that begins
// CreditTTL before it. Issues are counted from when they are decided, whether or not they arrive.
//
//   - A holder that is given another one's shares counts what that one issued as its own, or rests until it has left all windows:
//     ownership.go, takeover.go.
//   - A holder that was killed knows what it issued: a record on its disk says so, with a headroom for what it may issue
//     before the next record. Nothing is issued beyond the headroom of a record that is synced here and at a peer (recorder.go).
//   - A holder without a usable record issues nothing in its first interval, unless its disk was empty.
//
// # Liveness
//
// While holders reach each other and have their shares, no request is refused as long as what is issued in the interval, the
// request included, stays within the issuable part: a request may be paid by several holders.
//
// # Parts
//
// Holder is a pure state machine: Step takes in what happened and returns messages and records to be written; package
// quotahost does I/O. An ask (ask.go) is a request for credit until its answer. issuance.go counts what was issued.
package quota
