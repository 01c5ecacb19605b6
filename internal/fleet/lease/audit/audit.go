// Package audit checks a recorded history of lease use: the records of all incarnations of all members, on one clock.
// The package is pure.
//
// Checked invariant: at every instant the amounts of a quota in use sum to at most its size, no loan is used by both
// lender and borrower, no loan is used after its end, and an incarnation uses nothing after it ended or while a later
// one runs. TestCheck breaks each rule with an edited history.
//
// Intervals are half open: [From, To). The check sorts the interval ends of each quota, in O(n·log n).
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the type of a record.
type Kind string

// Types of records.
const (
	Incarnation Kind = "life"     // the incarnation ran
	Size        Kind = "size"     // the quota had this size; of several at a time the largest counts
	Use         Kind = "use"      // the amount was in use: from the own share, or from the named loan
	Lent        Kind = "lent"     // the lender counted the loan as lent
	Borrowed    Kind = "borrowed" // the borrower counted the loan as borrowed
	Returned    Kind = "returned" // the borrower returned the loan at From
	Ended       Kind = "ended"    // the loan ended for the borrower at From
)

// Record is one entry of a history. Times are nanoseconds on the machine's monotonic clock.
type Record struct {
	Kind     Kind    `json:"kind"`
	Member   string  `json:"who"`
	Epoch    uint64  `json:"epoch"`
	From     int64   `json:"from"`
	To       int64   `json:"to"` // not used for Returned and Ended
	Quota    string  `json:"whole,omitempty"`
	Loan     string  `json:"loan,omitempty"` // the same on both sides: borrower, its epoch and its number
	Lender   string  `json:"lender,omitempty"`
	Borrower string  `json:"borrower,omitempty"`
	Amount   float64 `json:"right"`
}

// String formats the record for a report.
func (r Record) String() string {
	s := fmt.Sprintf("%s %s/%d [%d, %d) %s %.6g", r.Kind, r.Member, r.Epoch, r.From, r.To, r.Quota, r.Amount)
	if r.Loan != "" {
		s += fmt.Sprintf(" loan %s of %s to %s", r.Loan, r.Lender, r.Borrower)
	}
	return s
}

// Rules that a Violation can name.
const (
	QuotaExceeded          = "sum over the quota"
	UsedByBoth             = "loan used by both"
	UsedAfterEnd           = "use after end"
	UsedOutsideIncarnation = "use by an incarnation that is not running"
	NoSize                 = "use of a quota without a size"
	Malformed              = "malformed record"
)

// Violation is a broken rule, with the records that show it.
type Violation struct {
	Rule    string
	Quota   string
	At      int64
	Detail  string
	Records []Record
}

// String formats the violation and its records for a report.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s at %d: %s", v.Rule, v.Quota, v.At, v.Detail)
	for _, r := range v.Records {
		fmt.Fprintf(&b, "\n\t%s", r)
	}
	return b.String()
}

// Tolerance is the relative error of sums that is attributed to floating point.
const Tolerance = 1e-9

// Check returns all violations, sorted by time. An interval during which a sum is too large is reported once.
func Check(records []Record) []Violation {
	var out []Violation
	quotas, loans := map[string][]Record{}, map[string][]Record{}
	incarnations := map[string][]Record{}
	for _, r := range records {
		instant := r.Kind == Returned || r.Kind == Ended
		known := slices.Contains([]Kind{Incarnation, Size, Use, Lent, Borrowed, Returned, Ended}, r.Kind)
		ofLoan := r.Kind == Lent || r.Kind == Borrowed || instant
		if !known || !instant && r.To < r.From || !(r.Amount >= 0) || ofLoan && r.Loan == "" || r.Kind != Incarnation && r.Quota == "" {
			out = append(out, Violation{
				Malformed, r.Quota, r.From,
				"want a known kind, a quota, from <= to, an amount of at least 0, and the name of a loan in its records",
				[]Record{r},
			})
			continue
		}
		switch {
		case r.Kind == Incarnation:
			incarnations[r.Member] = append(incarnations[r.Member], r)
		case r.Kind == Size || r.Kind == Use:
			quotas[r.Quota] = append(quotas[r.Quota], r)
		}
		if r.Loan != "" {
			key := r.Quota + "\x00" + r.Loan
			loans[key] = append(loans[key], r)
		}
	}
	for quota, rs := range quotas {
		out = append(out, checkSums(quota, rs)...)
		out = append(out, checkIncarnations(quota, rs, incarnations)...)
	}
	for _, rs := range loans {
		out = append(out, checkLoan(rs)...)
	}
	slices.SortFunc(out, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.Quota, y.Quota), cmp.Compare(x.Detail, y.Detail))
	})
	return out
}

// checkSums adds up one quota's records at each interval end.
func checkSums(quota string, rs []Record) (out []Violation) {
	type edge struct {
		at     int64
		start  bool
		record int
	}
	var edges []edge
	for i, r := range rs {
		if r.From < r.To {
			edges = append(edges, edge{r.From, true, i}, edge{r.To, false, i})
		}
	}
	slices.SortFunc(edges, func(x, y edge) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.record, y.record)) })
	uses, sizes := map[int]bool{}, map[int]bool{}
	lastRule := ""
	for i, e := range edges {
		set := uses
		if rs[e.record].Kind == Size {
			set = sizes
		}
		if e.start {
			set[e.record] = true
		} else {
			delete(set, e.record)
		}
		if i+1 < len(edges) && edges[i+1].at == e.at { // handle all ends at this instant first
			continue
		}
		sum, size := 0.0, 0.0
		for k := range uses {
			sum += rs[k].Amount
		}
		for k := range sizes {
			size = max(size, rs[k].Amount)
		}
		rule, detail := "", ""
		switch {
		case sum > 0 && len(sizes) == 0:
			rule, detail = NoSize, fmt.Sprintf("%.6g in use", sum)
		case sum > size*(1+Tolerance):
			rule, detail = QuotaExceeded, fmt.Sprintf("%.6g in use of %.6g", sum, size)
		}
		if rule != "" && rule != lastRule {
			out = append(out, Violation{rule, quota, e.at, detail, activeRecords(rs, uses, sizes)})
		}
		lastRule = rule
	}
	return out
}

// activeRecords returns the records whose index is in one of the sets.
func activeRecords(rs []Record, sets ...map[int]bool) (out []Record) {
	for i, r := range rs {
		for _, s := range sets {
			if s[i] {
				out = append(out, r)
			}
		}
	}
	return out
}

// checkIncarnations finds uses outside their own incarnation, or while a later one of the same member ran. Members
// without an Incarnation record are not checked.
func checkIncarnations(quota string, rs []Record, incarnations map[string][]Record) (out []Violation) {
	for _, u := range rs {
		if u.Kind != Use || u.From == u.To || len(incarnations[u.Member]) == 0 {
			continue
		}
		covered := false
		for _, l := range incarnations[u.Member] {
			covered = covered || l.Epoch == u.Epoch && l.From <= u.From && u.To <= l.To
			if l.Epoch > u.Epoch && u.From < l.To && l.From < u.To {
				out = append(out, Violation{UsedOutsideIncarnation, quota, max(u.From, l.From), fmt.Sprintf("epoch %d is running", l.Epoch), []Record{u, l}})
			}
		}
		if !covered {
			out = append(out, Violation{UsedOutsideIncarnation, quota, u.From, "outside its own incarnation", append([]Record{u}, incarnations[u.Member]...)})
		}
	}
	return out
}

// checkLoan checks the uses of one loan: each must be within the borrower's record, before the loan was returned or
// ended, and within the lender's record. Otherwise the lender may use the same fraction.
func checkLoan(rs []Record) (out []Violation) {
	var lent, borrowed, ended, uses []Record
	for _, r := range rs {
		switch r.Kind {
		case Lent:
			lent = append(lent, r)
		case Borrowed:
			borrowed = append(borrowed, r)
		case Returned, Ended:
			ended = append(ended, r)
		case Use:
			uses = append(uses, r)
		}
	}
	for _, u := range uses {
		if u.From == u.To {
			continue
		}
		for _, e := range ended {
			if u.To > e.From {
				out = append(out, Violation{UsedAfterEnd, u.Quota, max(u.From, e.From), "used after it was " + string(e.Kind), []Record{u, e}})
			}
		}
		if at, ok := uncovered(u, borrowed); ok {
			out = append(out, Violation{UsedAfterEnd, u.Quota, at, "used outside the borrower's record of the loan", append([]Record{u}, borrowed...)})
		}
	}
	for _, inUse := range append(borrowed, uses...) {
		if at, ok := uncovered(inUse, lent); ok && inUse.From < inUse.To {
			out = append(out, Violation{
				UsedByBoth, inUse.Quota, at, "used or borrowed while the lender does not count it as lent",
				append([]Record{inUse}, lent...),
			})
		}
	}
	return out
}

// uncovered returns the first instant of r that is in none of the others, which may be in any order.
func uncovered(r Record, others []Record) (int64, bool) {
	others = slices.Clone(others)
	slices.SortFunc(others, func(x, y Record) int { return cmp.Compare(x.From, y.From) })
	at := r.From
	for _, o := range others {
		if o.From <= at && o.To > at {
			at = o.To
		}
	}
	return at, at < r.To
}
