// Package lease divides a whole (a told limit, a cold endpoint's allowance of calls, a freshness allowance)
// among the couriers of a fleet by rights, with no leader. It is pure: the time on the member's own monotonic
// clock, the messages and chance come in as arguments, what to send goes out as values.
//
// The invariant: at any instant, over all members that live or are paused, in any cut, with any loss, doubling,
// reordering and delay, any restart, lost state, and clocks that start anywhere and whose rates differ by at
// most Config.Drift, the rights in use for a whole sum to no more than the size of the oldest generation that
// some member still holds that may use any of it. TestSum looks for a counterexample; TestMutants breaks one rule at a time and shows
// that the same search finds each.
//
// # Rights are fractions of parts
//
// Under a list of n members and a size s each member owns the part s/n and may use it without asking anybody.
// What is lent is a fraction of the lender's part, not an amount. The fractions of one part that are out or kept
// sum to at most 1 (see Loans), so a member that moves to a smaller size or another list shrinks what it borrowed
// by the same step, and one argument covers parts, loans, lists and sizes:
//
// A member uses its fractions times the least part over all lists and all generations that anybody may still
// hold: from the floor, which is the oldest version that some member is not known to have left, to the one that it
// holds itself. Let v and g be the oldest list and generation truly held by some member. Nobody's floor is
// above them, as a floor goes by acknowledgements and a member never goes back, and nobody's own is below them.
// So each counts its fractions with a part of at most s(g)/n(v), and the sum is at most s(g).
//
// "A member never goes back" is what the argument rests on, and a floor is never taken back either. So no floor may
// go by a list or generation that is older than one that an earlier life acknowledged. A snapshot is stored before
// what it holds is acknowledged. A life without one is told several versions, and the book draws no conclusion before
// it has them all: floors and parts are worked out when it is next asked, not at each telling (reckon).
//
// Who is missing on one list of its range is not reckoned with by all and uses nothing, borrowed or own; once it is on
// all of them it uses nothing under a generation older than the others held when they began to reckon with it. That bound
// stands in its snapshot, as the others' floors outlast its life.
//
// Hence a smaller size or a longer list counts at once for who hears of it; a larger size or a shorter list only
// when each member of every list in the range has said that it follows. A version between that was never told has
// an unknown part and counts as 0: the host tells the versions in order, or fills the gap afterwards.
//
// # Why parts have no term
//
// A part that ends unless the others renew it would give the part of a dead or unreachable member to the others
// after a time. But then each side of a cut has to stop when the cut outlasts the term, or one side must be the
// majority; and a cut-off site is to go on serving. So a part is for good, and a member that was taken off the
// list keeps its part reserved until it says that it follows, or until the list itself names it in Gone: its
// authority (the operator) vouches that the process will not run again with an older list. A dead member thus
// costs its part of 1/n, and what its part had been lent for returns with it. The list is the agreed record of the
// settings, not what a failure detector thinks at the moment.
//
// # Loans
//
// The borrower counts a loan from when it asked, on its clock; the lender takes it back at grant + duration +
// duration·Drift + Fixed, on its own. A grant cannot precede its question, so with rates within Drift the lender's
// end is the later one and no clocks are compared. A late grant is worth what is left from the asking. A grant is
// taken only for a question still open and closes it, so a second copy finds none. A loan goes back early by
// Return, after which the borrower takes nothing more under its number; a lost one costs time. A renewal is a new
// question on the old loan: the lender's end moves first. What is borrowed is never lent on.
//
// # Lives
//
// A new epoch without a snapshot that may have lent uses nothing at all until the longest loan and its margin have
// gone by since its start. One with a snapshot knows its loans, and counts what was left of each when the
// snapshot was made from its own start, as its clock need not go on from the old one. A message meant for an
// earlier epoch is dropped, whatever it is. Nothing borrowed passes to a new life.
//
// # Rates and counts
//
// A Rate is spent through a token bucket whose depth is the right held times Config.Burst (at least one call while
// a right is held); a shrinking right takes tokens away. The calls of a moment may thus pass the rate by one depth of each
// holder, and by the depth of what moved for each move; in the long run they do not. A Count is a number of uses in any Window, held over a
// sliding window: what was used in the last one is neither lent nor given back, a lender waits a window more before
// it uses what it had lent, and a new life waits one window as it does not know what the earlier one used. A part that grows
// by another list grows a window later. So any window of true time holds at most as many uses as the largest size in it.
//
// # What the host owes
//
//   - Use is called with the clock as read directly before the call is written: a decision of before a pause
//     (SIGSTOP) says nothing about now. The clock counts while the machine sleeps (CLOCK_BOOTTIME).
//   - A Send marked Durable goes out only when a Snapshot made after that Step is stored. Restoring an older snapshot
//     than the last is a lost state: New with mayHaveLent.
//   - One life of a name runs at a time, and epochs grow.
//   - One version has one content everywhere; versions count up by one. List.Since and Whole.Since name the oldest
//     version that any member may still hold, or may hold again after it ends and restores its snapshot, as the authority
//     knows it by what was acknowledged; 0 means the first.
//   - A life that has lost its state is told all versions from there to the authority's newest before any other method is
//     called, in any order. None of what holds below the newest is true for it: its earlier life may have acknowledged
//     that one.
//   - Every member holds every whole (one that doesn't holds back a larger size, never safety).
//   - A Book is not safe for concurrent use.
package lease
