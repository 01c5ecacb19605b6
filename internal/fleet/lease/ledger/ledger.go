// Package ledger checks a history of leases after the fact: what each life says it held, on one clock. It is pure.
//
// The invariant that it checks: at any instant the rights in use of a whole sum to no more than its size, nothing lent is
// used by both sides, nothing is used after its end, and nothing by a life that has ended or been followed.
// TestCheck breaks each by an edited history.
//
// Intervals are half open: [From, To). The check is one sweep over their ends per whole, in time n·log n.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind tells what a record says.
type Kind string

const (
	Life     Kind = "life"     // the life ran
	Size     Kind = "size"     // the whole was this large; of several at a time the largest counts
	Use      Kind = "use"      // the right was in use: out of the own part, or out of the loan that is named
	Lent     Kind = "lent"     // the lender counted the loan as out
	Borrowed Kind = "borrowed" // the borrower counted the loan as its own
	Returned Kind = "returned" // the borrower gave the loan back, at From
	Ended    Kind = "ended"    // the loan ended for the borrower, at From
)

// Record is one line of a history. Times are nanoseconds on the machine's one monotonic clock.
type Record struct {
	Kind     Kind    `json:"kind"`
	Who      string  `json:"who"`
	Epoch    uint64  `json:"epoch"`
	From     int64   `json:"from"`
	To       int64   `json:"to"` // of Returned and Ended without meaning
	Whole    string  `json:"whole,omitempty"`
	Loan     string  `json:"loan,omitempty"` // the same name on both sides: borrower, its epoch and its number
	Lender   string  `json:"lender,omitempty"`
	Borrower string  `json:"borrower,omitempty"`
	Right    float64 `json:"right"`
}

func (r Record) String() string {
	s := fmt.Sprintf("%s %s/%d [%d, %d) %s %.6g", r.Kind, r.Who, r.Epoch, r.From, r.To, r.Whole, r.Right)
	if r.Loan != "" {
		s += fmt.Sprintf(" loan %s of %s to %s", r.Loan, r.Lender, r.Borrower)
	}
	return s
}

// Names of violations.
const (
	SumOver   = "sum over the whole"
	UsedTwice = "loan used by both"
	AfterEnd  = "use after end"
	DeadEpoch = "use by a dead epoch"
	NoSize    = "use of a whole without a size"
	Malformed = "malformed record"
)

// Violation is one broken rule, with the records that show it.
type Violation struct {
	Name    string
	Whole   string
	At      int64
	Detail  string
	Records []Record
}

func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s at %d: %s", v.Name, v.Whole, v.At, v.Detail)
	for _, r := range v.Records {
		fmt.Fprintf(&b, "\n\t%s", r)
	}
	return b.String()
}

// Tolerance is the relative error of sums that is put down to floating point.
const Tolerance = 1e-9

// Check returns what breaks a rule, in order of time. One stretch in which a sum is too large is told once.
func Check(records []Record) []Violation {
	var out []Violation
	wholes, loans := map[string][]Record{}, map[string][]Record{}
	lives := map[string][]Record{}
	for _, r := range records {
		point := r.Kind == Returned || r.Kind == Ended
		known := slices.Contains([]Kind{Life, Size, Use, Lent, Borrowed, Returned, Ended}, r.Kind)
		of := r.Kind == Lent || r.Kind == Borrowed || point
		if !known || !point && r.To < r.From || !(r.Right >= 0) || of && r.Loan == "" || r.Kind != Life && r.Whole == "" {
			out = append(out, Violation{
				Malformed, r.Whole, r.From,
				"give a known kind, a whole, from <= to, a right of at least 0, and of loans its name",
				[]Record{r},
			})
			continue
		}
		switch {
		case r.Kind == Life:
			lives[r.Who] = append(lives[r.Who], r)
		case r.Kind == Size || r.Kind == Use:
			wholes[r.Whole] = append(wholes[r.Whole], r)
		}
		if r.Loan != "" {
			key := r.Whole + "\x00" + r.Loan
			loans[key] = append(loans[key], r)
		}
	}
	for whole, rs := range wholes {
		out = append(out, sums(whole, rs)...)
		out = append(out, dead(whole, rs, lives)...)
	}
	for _, rs := range loans {
		out = append(out, ends(rs)...)
	}
	slices.SortFunc(out, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Whole, y.Whole), cmp.Compare(x.Detail, y.Detail))
	})
	return out
}

// sums sweeps over the ends of one whole's records.
func sums(whole string, rs []Record) (out []Violation) {
	type edge struct {
		at   int64
		open bool
		r    int
	}
	var edges []edge
	for i, r := range rs {
		if r.From < r.To {
			edges = append(edges, edge{r.From, true, i}, edge{r.To, false, i})
		}
	}
	slices.SortFunc(edges, func(x, y edge) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.r, y.r)) })
	uses, sizes := map[int]bool{}, map[int]bool{}
	over := ""
	for i, e := range edges {
		set := uses
		if rs[e.r].Kind == Size {
			set = sizes
		}
		if e.open {
			set[e.r] = true
		} else {
			delete(set, e.r)
		}
		if i+1 < len(edges) && edges[i+1].at == e.at { // all that happens at this instant first
			continue
		}
		sum, size := 0.0, 0.0
		for k := range uses {
			sum += rs[k].Right
		}
		for k := range sizes {
			size = max(size, rs[k].Right)
		}
		name, detail := "", ""
		switch {
		case sum > 0 && len(sizes) == 0:
			name, detail = NoSize, fmt.Sprintf("%.6g in use", sum)
		case sum > size*(1+Tolerance):
			name, detail = SumOver, fmt.Sprintf("%.6g in use of %.6g", sum, size)
		}
		if name != "" && name != over {
			out = append(out, Violation{name, whole, e.at, detail, quote(rs, uses, sizes)})
		}
		over = name
	}
	return out
}

func quote(rs []Record, sets ...map[int]bool) (out []Record) {
	for i, r := range rs {
		for _, s := range sets {
			if s[i] {
				out = append(out, r)
			}
		}
	}
	return out
}

// dead finds uses outside their own life, or while a later one of the same name ran. A name without any life is not judged.
func dead(whole string, rs []Record, lives map[string][]Record) (out []Violation) {
	for _, u := range rs {
		if u.Kind != Use || u.From == u.To || len(lives[u.Who]) == 0 {
			continue
		}
		own := false
		for _, l := range lives[u.Who] {
			own = own || l.Epoch == u.Epoch && l.From <= u.From && u.To <= l.To
			if l.Epoch > u.Epoch && u.From < l.To && l.From < u.To {
				out = append(out, Violation{DeadEpoch, whole, max(u.From, l.From), fmt.Sprintf("epoch %d runs", l.Epoch), []Record{u, l}})
			}
		}
		if !own {
			out = append(out, Violation{DeadEpoch, whole, u.From, "outside its own life", append([]Record{u}, lives[u.Who]...)})
		}
	}
	return out
}

// ends checks one loan: its uses lie in what the borrower counts, before it was returned or ended, and in what the lender
// counts as out. Where they don't, the lender may use it too.
func ends(rs []Record) (out []Violation) {
	var lent, borrowed, over, uses []Record
	for _, r := range rs {
		switch r.Kind {
		case Lent:
			lent = append(lent, r)
		case Borrowed:
			borrowed = append(borrowed, r)
		case Returned, Ended:
			over = append(over, r)
		case Use:
			uses = append(uses, r)
		}
	}
	for _, u := range uses {
		if u.From == u.To {
			continue
		}
		for _, e := range over {
			if u.To > e.From {
				out = append(out, Violation{AfterEnd, u.Whole, max(u.From, e.From), "used after it was " + string(e.Kind), []Record{u, e}})
			}
		}
		if at, ok := uncovered(u, borrowed); ok {
			out = append(out, Violation{AfterEnd, u.Whole, at, "used beyond what the borrower held", append([]Record{u}, borrowed...)})
		}
	}
	for _, held := range append(borrowed, uses...) {
		if at, ok := uncovered(held, lent); ok && held.From < held.To {
			out = append(out, Violation{
				UsedTwice, held.Whole, at, "held by the borrower while the lender does not count it as out",
				append([]Record{held}, lent...),
			})
		}
	}
	return out
}

// uncovered returns the first instant of r that lies in none of the others, which may be in any order.
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
