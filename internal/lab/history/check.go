package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"
)

// Violation is a broken rule, with the records that show it.
type Violation struct {
	Checker, Text string
	Records       []Record
}

func (v Violation) String() string {
	lines := []string{v.Checker + ": " + v.Text}
	for _, r := range v.Records {
		lines = append(lines, r.String())
	}
	return strings.Join(lines, "\n    ")
}

const quotedAtMost = 16

// Bounds are what the checkers go by.
type Bounds struct {
	// Air is what calls on their way may take: a wait binds so long after it was heard.
	Air time.Duration
	// Slack is by how much a stated age may be under the true one.
	Slack time.Duration
	// DeadAfter is within what time every courier has to know of a new life of another; 0 leaves it to what
	// each has taken from that life.
	DeadAfter time.Duration
	// Outlive are kinds of facts that may decide after the life that learned them, such as profiles.
	Outlive []string
	// Wholes and Allowances are the truth, by right and by agreed record; where one is missing, the largest that
	// a record states counts, which can't show a courier that is wrong about it.
	Wholes, Allowances map[string]int64
	// Patience bounds each search of porcupine; what takes longer is unproven.
	Patience time.Duration
}

// Usual are the bounds of the pages.
func Usual() Bounds {
	return Bounds{Air: 100 * time.Millisecond, Slack: 50 * time.Millisecond, Outlive: []string{"profile", "list"}, Patience: 10 * time.Second}
}

// Findings are what a checker found. Unproven counts what can't be judged: the record that would excuse it may
// be one that was lost.
type Findings struct {
	Violations []Violation
	Unproven   int
}

func (f *Findings) add(checker string, records []Record, format string, args ...any) {
	f.Violations = append(f.Violations, Violation{checker, fmt.Sprintf(format, args...), records[:min(len(records), quotedAtMost)]})
}

// Checker holds one rule.
type Checker struct {
	Name  string
	check func(*History, Bounds) Findings
}

// Check checks a history.
func (c Checker) Check(h *History, b Bounds) Findings { return c.check(h, b) }

// Checkers are all that there are.
func Checkers() []Checker {
	return []Checker{
		{"one_end", oneEnd},
		{"one_effect", oneEffect},
		{"one_word", oneWord},
		{"loan", loan},
		{"rights", rights},
		{"agreed", agreed},
		{"stale", stale},
		{"allowance", allowance},
		{"waits", waits},
		{"epochs", epochs},
	}
}

// Check runs all checkers, side by side.
func Check(h *History, b Bounds) (f Findings) {
	all := Checkers()
	found := make([]Findings, len(all))
	var running errgroup.Group
	for i, c := range all {
		running.Go(func() error {
			found[i] = c.check(h, b)
			return nil
		})
	}
	running.Wait()
	for _, x := range found {
		f.Violations = append(f.Violations, x.Violations...)
		f.Unproven += x.Unproven
	}
	return f
}

// group sorts records of the kinds by key, each group in order of time.
func group[K comparable](h *History, key func(*Record) K, kinds ...Kind) map[K][]*Record {
	var wanted [256]bool
	for _, k := range kinds {
		wanted[k] = true
	}
	groups := map[K][]*Record{}
	for i := range h.Records {
		if r := &h.Records[i]; wanted[r.Kind] {
			k := key(r)
			groups[k] = append(groups[k], r)
		}
	}
	return groups
}

func byID(r *Record) string { return r.ID }

// ordered goes through groups in the same order each time.
func ordered[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func quote(rs []*Record) (out []Record) {
	for _, r := range rs {
		out = append(out, *r)
	}
	return out
}

// sequential asks porcupine whether one order of the records, which keeps to their times, is one that the
// object allows. From is where a record's action began, its own time if nil.
func sequential[S comparable](rs []*Record, b Bounds, init S, step func(S, *Record) (bool, S), from func(*Record) int64) porcupine.CheckResult {
	ops := make([]porcupine.Operation, len(rs))
	for i, r := range rs {
		ops[i] = porcupine.Operation{Input: r, Call: r.At, Return: r.At}
		if from != nil {
			ops[i].Call = min(from(r), r.At)
		}
	}
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return init },
		Step: func(s, in, _ any) (bool, any) { return step(s.(S), in.(*Record)) },
	}, ops, b.Patience)
}

func (f *Findings) judge(res porcupine.CheckResult, checker string, rs []*Record, format string, args ...any) {
	switch res {
	case porcupine.Illegal:
		f.add(checker, quote(rs), format, args...)
	case porcupine.Unknown:
		f.Unproven++
	}
}

// oneEnd: a message ends once, over all lives and couriers; nothing is tried after it was delivered or is void,
// and a dead letter goes through once, after its message was undeliverable. One that was deferred begins anew when its
// client brings it again.
func oneEnd(h *History, b Bounds) (f Findings) {
	groups := group(h, byID, TakenOn, TryBegun, MessageEnded)
	for _, id := range ordered(groups) {
		res := sequential(groups[id], b, "", func(end string, r *Record) (bool, string) {
			switch {
			case r.Kind == TakenOn && end == Deferred:
				return true, ""
			case r.Kind == TakenOn:
				return true, end
			case r.Kind == TryBegun: // of a dead letter, if it has ended; the client brings a deferred one itself
				return end == "" || end == Undeliverable, end
			case r.How == LetterDelivered:
				return end == Undeliverable, Delivered
			}
			return end == "", r.How
		}, nil)
		f.judge(res, "one_end", groups[id], "message %s: its ends and tries fit no order with one end", id)
	}
	return f
}

// oneEffect: no message takes effect more often than its class allows, whoever sent it.
func oneEffect(h *History, _ Bounds) (f Findings) {
	count := map[string]int{}
	over := map[string][]Effect{}
	for _, e := range h.Effects {
		if count[e.Message]++; e.Most > 0 && count[e.Message] > e.Most {
			over[e.Message] = append(over[e.Message], e)
		}
	}
	if len(over) == 0 {
		return f
	}
	told := group(h, byID, TakenOn, TryBegun, MessageEnded)
	for _, id := range ordered(over) {
		e := over[id][0]
		f.add("one_effect", quote(told[id]), "message %s took effect %d times, %d allowed; the last by %s at %s, %.6f", id, count[id], e.Most,
			over[id][len(over[id])-1].Courier, e.Subject, float64(e.At)/1e9)
	}
	return f
}

// oneWord: the platform is told one end of a message; the same again is a repeat for want of an answer.
func oneWord(h *History, _ Bounds) (f Findings) {
	first := map[string]Told{}
	for _, t := range h.Told {
		was, known := first[t.Message]
		if !known {
			first[t.Message] = t
		} else if was.How != t.How {
			f.add("one_word", nil, "message %s: the platform was told %q by %s at %.6f and %q by %s at %.6f", t.Message, was.How, was.Courier,
				float64(was.At)/1e9, t.How, t.Courier, float64(t.At)/1e9)
		}
	}
	return f
}

// loanState is a loan as one object: granted, begun at the borrower's, given back, ended.
type loanState struct {
	phase byte // 0, 'l'ent, 'b'orrowed, 'r'eturned, 'e'nded
	n     int64
	until int64
}

// loan: what is borrowed was lent, not more and not for longer, and once; the lender uses it again after it
// was given back or its time is over.
func loan(h *History, b Bounds) (f Findings) {
	groups := group(h, byID, Lent, Borrowed, Returned, LoanEnded)
	for _, id := range ordered(groups) {
		rs := groups[id]
		var lent, returned *Record
		lender, borrower := "", ""
		for _, r := range rs {
			switch r.Kind {
			case Lent:
				lent, lender, borrower = r, r.Courier, r.Peer
			case Borrowed:
				lender, borrower = cmp.Or(lender, r.Peer), r.Courier
			case Returned:
				returned = r
			}
		}
		last := rs[len(rs)-1].At
		if lent == nil && h.mayHaveDone(lender, last) {
			f.Unproven++
			continue
		}
		lost := returned == nil && h.mayHaveDone(borrower, last)
		res := sequential(rs, b, loanState{}, func(s loanState, r *Record) (bool, loanState) {
			switch r.Kind {
			case Lent:
				return s.phase == 0, loanState{'l', r.N, r.Until}
			case Borrowed:
				return s.phase == 'l' && r.N <= s.n && r.Until <= s.until, loanState{'b', s.n, s.until}
			case Returned:
				return s.phase == 'b', loanState{'r', s.n, s.until}
			}
			over := s.phase == 'r' || (s.phase == 'l' || s.phase == 'b') && (r.At >= s.until || lost)
			return over, loanState{'e', s.n, s.until}
		}, func(r *Record) int64 {
			if r.Kind == Borrowed { // it was granted at some time after it was asked for
				return r.From
			}
			return r.At
		})
		f.judge(res, "loan", rs, "loan %s: lender %s and borrower %s tell what fits no one order", id, lender, borrower)
	}
	return f
}

// agreedState is one version of an agreed record.
type agreedState struct {
	digest string
	acks   string // each in bars
}

// agreed: a version has one text, takes effect after all members that it names have acknowledged it, and no
// life goes back to an older one.
func agreed(h *History, b Bounds) (f Findings) {
	type key struct {
		id      string
		version uint64
	}
	groups := group(h, func(r *Record) key { return key{r.ID, r.Version} }, Proposed, Acknowledged, InForce)
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.version, b.version))
	})
	for _, k := range keys {
		rs := groups[k]
		acked, proposed := map[string]bool{}, false
		for _, r := range rs {
			proposed = proposed || r.Kind == Proposed
			acked[r.Courier] = acked[r.Courier] || r.Kind == Acknowledged
		}
		excused := func(courier string, by int64) bool { return !acked[courier] && h.mayHaveDone(courier, by) }
		if !proposed && h.anyLost(rs[len(rs)-1].At) {
			f.Unproven++
			continue
		}
		res := sequential(rs, b, agreedState{}, func(s agreedState, r *Record) (bool, agreedState) {
			switch r.Kind {
			case Proposed:
				return s.digest == "" || s.digest == r.How, agreedState{r.How, s.acks}
			case Acknowledged:
				if me := "|" + r.Courier + "|"; !strings.Contains(s.acks, me) {
					s.acks += me
				}
				return s.digest != "", s
			}
			for _, m := range r.Members {
				if !strings.Contains(s.acks, "|"+m+"|") && !excused(m, r.At) {
					return false, s
				}
			}
			return s.digest == r.How && len(r.Members) > 0, s
		}, nil)
		f.judge(res, "agreed", rs, "record %s, version %d: it has two texts, or took effect before all had acknowledged it", k.id, k.version)
	}
	type holder struct {
		life
		id string
	}
	in := map[holder]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		if r.Kind != InForce {
			continue
		}
		k := holder{life{r.Courier, r.Epoch}, r.ID}
		if was := in[k]; was != nil && r.Version < was.Version {
			f.add("agreed", []Record{*was, *r}, "record %s went from version %d back to %d at %s", r.ID, was.Version, r.Version, r.Courier)
		}
		in[k] = r
	}
	return f
}

func (h *History) anyLost(by int64) bool {
	for _, s := range h.lives {
		if s.gaps || !s.orderly && s.last < by {
			return true
		}
	}
	return false
}
