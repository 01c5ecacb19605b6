// Package quota issues credit for tenants' limits. Routers spend only issued credit and a small reserved part of each limit.
//
// Each control instance is a holder of some of the equal shares of every limit (package shares). It issues credit for its
// shares to the routers that follow it, on demand: a router requests credit when requests are waiting, or when its credit for
// expected requests runs low. If the shares of one holder do not suffice, the holder requests the rest from its peers, one
// after another, until the request can be granted. No leader takes part, so limits are enforced and tenants are served during
// changes of leader and while there is none.
//
// # Invariant
//
// In no window of Config.Window does a tenant spend more than the rule QUOTA allows, whichever messages are lost and however
// routers and holders are partitioned, suspended, killed and restarted. The issuance interval is Config.Window +
// protocol.CreditTTL. For every tenant:
//
//	credit issued by a holder in each issuance interval  <=  its shares / shares.Count of the issuable part
//	a router's spending of its reserve in each window    <=  an equal part of protocol.ReservedShare
//	issuable part + reserved part                        <=  what the rule allows (allowance.go)
//
// Credit is spent within CreditTTL after it was issued, or not at all. So what is spent in a window was issued in the issuance
// interval, which starts CreditTTL before the window. Credit counts as issued once the holder decides to issue it,
// whether or not the grant arrives.
//
//   - A new owner of shares counts the credit that the previous owner issued for them as its own, or does not use the shares
//     until that credit has left all windows: ownership.go, takeover.go.
//   - A holder that was killed knows what it issued from a record on its disk. The record also has a headroom, which is what
//     may be issued before the next record. Nothing is issued beyond the headroom of a durable record, which is one that is
//     synced to the holder's disk and to that of a peer, and nothing later than recordValidity after it was made (recorder.go).
//   - A new owner counts the headroom of the previous owner's record as issued until it can't be issued any more
//     (inheritance.go).
//   - A holder without a readable record issues nothing in its first issuance interval, unless its disk was empty.
//
// # Liveness
//
// While holders reach each other and their shares are usable, no request is denied as long as the credit issued in the
// issuance interval, including the request, stays within the issuable part. Several holders may contribute to one request.
//
// # Parts
//
// Holder is a pure state machine: Step processes events and returns messages and records to write. Package quotahost performs
// the I/O. request.go handles requests for credit until they are answered, and issuance.go counts the issued credit.
package quota
