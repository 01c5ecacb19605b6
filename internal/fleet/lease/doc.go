// Package lease divides a quota (a rate limit given by a server, the calls allowed to a cold endpoint, an allowance for
// freshness) among the members of a fleet without a leader. Every member owns a share of the quota and lends unused
// fractions of it to other members for a limited time. The package is pure: the time on the member's own monotonic
// clock, received messages and random numbers are arguments, and messages to send are results.
//
// Terms: a quota has a size, which may change with each generation of the quota. A member's share is its fraction of
// the quota, 1/n under a list of n members. Its rights are the amount of the quota that it may use now. An incarnation
// is one run of a member's process; its epoch is larger than that of every earlier incarnation.
//
// Invariant: at every instant, the rights in use of all running and paused members sum to at most the quota's size in
// the oldest generation that some member still has and may use. This is true for any partition, any loss, duplication,
// reordering and delay of messages, any restart, lost state, and clocks with arbitrary offsets whose rates differ by at
// most Config.MaxClockDrift. TestRightsNeverExceedQuota searches for a counterexample; TestEachRuleIsNeeded disables
// one rule at a time and shows that the same search finds each violation.
//
// # Loans are fractions of shares
//
// Under a list of n members and a size s, each member owns the amount s/n and may use it without asking anyone. A loan
// is a fraction of the lender's share, not an amount. The fractions of one share that are lent or kept sum to at most 1
// (see Loans), so a member that switches to a smaller size or to another list reduces its borrowed amounts by the same
// factor. One argument therefore covers shares, loans, lists and sizes:
//
// A member multiplies its fractions with the smallest share over all lists and the smallest size over all generations
// that any member may still use: from the oldest version that some member is not known to have left, up to the
// member's own version. Let v and g be the oldest list and the oldest generation that some member really uses. No
// member's oldest version is above them, because it is derived from acknowledgements and a member never returns to an
// older version; and no member's own version is below them. So every member counts its fractions with at most
// s(g)/n(v), and the sum is at most s(g).
//
// The argument depends on two facts: a member never returns to an older version, and an oldest version never decreases.
// An oldest version must therefore not be derived from a list or generation that is older than one which a previous
// incarnation acknowledged. This is why a snapshot is stored before its contents are acknowledged. An incarnation
// without a snapshot is given several versions, and the allocator must not derive anything before it has all of them:
// oldest versions and shares are computed when they are next needed, not on each new version (recompute).
//
// A member that is missing from one of the lists in its range is not counted by all others, so it uses nothing, neither
// borrowed nor its own. Once it is on all of them, it uses nothing under a generation older than those that the others
// had when they began to count it. This minimum generation is part of its snapshot, because the others' oldest
// versions outlast its incarnation.
//
// A smaller size or a longer list thus takes effect as soon as a member receives it. A larger size or a shorter list
// takes effect only when every member of every list in the range has acknowledged it. A missing version in between has
// an unknown share, which counts as 0: the host passes the versions in order, or fills the gap later.
//
// # Why shares do not expire
//
// If a share expired unless the others renewed it, the share of a dead or unreachable member would return to the others
// after some time. But then, in a partition that outlasts the expiry, each side would have to stop, or one side would
// need the majority; and a site that is cut off must continue to serve. So a share does not expire. The share of a
// member that was removed from the list stays reserved until the member acknowledges the new list, or until the list
// itself names it in Decommissioned: with that the authority (the operator) guarantees that the process will not run
// again with an older list. A dead member therefore costs its share of 1/n, and its loans return to that share. The
// list is the agreed configuration, not the current opinion of a failure detector.
//
// # Loans
//
// The borrower measures a loan from the time of its request, on its own clock. The lender takes the loan back at the
// time of the grant + duration + duration·MaxClockDrift + ClockMargin, on its own clock. A grant can't precede its
// request, so with clock rates within MaxClockDrift the lender's end is the later one, and no clocks are compared. A
// late grant is only worth the time that remains since the request. A grant is accepted only for a pending request and
// removes it, so a duplicate has no effect. A Return ends a loan early; after it the borrower accepts nothing more
// under the loan's number. A lost Return only costs time. A renewal is a new request for the same loan: the lender's
// end moves first. Borrowed fractions are never lent on.
//
// # Incarnations
//
// An incarnation without a snapshot whose predecessor may have lent something uses nothing until the longest loan and
// its margin have passed since its start. An incarnation with a snapshot knows the loans, and counts their remaining
// times from its own start, as its clock need not continue the previous one. A message to an earlier epoch is always
// dropped. A new incarnation does not inherit borrowed fractions.
//
// # Rates and counts
//
// A Rate is spent through a token bucket whose depth is the member's rights times Config.Burst (at least one use while
// there are rights); when the rights shrink, the bucket loses tokens. A burst may therefore exceed the rate by the depth
// of each member's bucket, and by the depth of each moved fraction; the long-term rate does not. A Count is a number of
// uses in any Window, enforced with a sliding window: what was used in the last window is neither lent nor returned, a
// lender waits one more window before it uses a share that it had lent, and a new incarnation waits one window because
// it does not know what the previous one used. A share that grows by a new list grows one window later. So any window
// of real time contains at most as many uses as the largest size during it.
//
// # Requirements for the host
//
//   - Read the clock for Use directly before sending the request: a decision from before a pause (SIGSTOP) is no longer
//     valid. The clock must advance while the machine sleeps (CLOCK_BOOTTIME).
//   - Send an Outgoing marked Durable only after a Snapshot made after that Step is stored. Restoring an older snapshot
//     than the last one counts as lost state: use New with mayHaveLent.
//   - Run one incarnation per name at a time, with increasing epochs.
//   - A version has the same content everywhere, and versions increase by one. List.OldestInUse and Quota.OldestInUse
//     name the oldest version that any member may still use, or may use again after it restarts from its snapshot, as
//     far as the authority knows from acknowledgements; 0 means the first.
//   - Pass all versions from there up to the authority's newest one to an incarnation that lost its state, in any order,
//     before any other method is called. Conclusions from only some of them may be wrong, as the previous incarnation
//     may have acknowledged the newest one.
//   - Every member has every quota. A member without one delays a larger size, but never endangers safety.
//   - An Allocator is not safe for concurrent use.
package lease
