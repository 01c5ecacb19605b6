package historycheck

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

// Violation describes a broken rule and quotes the records that show it.
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

// maxQuotedRecords limits the records in a Violation.
const maxQuotedRecords = 16

// Bounds are the limits and tolerances that the checkers apply.
type Bounds struct {
	// MaxTransit is the time for which a call may be in transit. A courier must respect a wait from this time after it
	// received the wait.
	MaxTransit time.Duration
	// AgeTolerance is the amount by which a stated age may be lower than the true age.
	AgeTolerance time.Duration
	// MaxEpochDelay is the time within which every courier must know that another courier has restarted with a new epoch.
	// With 0, a courier must know it once it has received a fact of the new epoch.
	MaxEpochDelay time.Duration
	// CrossEpochKinds are the kinds of facts that remain valid after the incarnation that learned them has ended, such as
	// profiles.
	CrossEpochKinds []string
	// RightTotals and Allowances are the true totals, by right and by agreed record. Where an entry is missing, the largest
	// total in a record is used. This can't detect a courier that assumes a wrong total.
	RightTotals, Allowances map[string]int64
	// SearchTimeout limits each search of porcupine. A search that takes longer counts as unproven.
	SearchTimeout time.Duration
}

// DefaultBounds returns the bounds that the operators' requirements state.
func DefaultBounds() Bounds {
	return Bounds{MaxTransit: 100 * time.Millisecond, AgeTolerance: 50 * time.Millisecond, CrossEpochKinds: []string{"profile", "list"}, SearchTimeout: 10 * time.Second}
}

// Findings are the results of a checker. Unproven counts the cases that can't be decided, because a record that would
// justify them may have been lost or because a search reached its timeout.
type Findings struct {
	Violations []Violation
	Unproven   int
}

func (f *Findings) add(checker string, records []Record, format string, args ...any) {
	f.Violations = append(f.Violations, Violation{checker, fmt.Sprintf(format, args...), records[:min(len(records), maxQuotedRecords)]})
}

// Checker checks one rule.
type Checker struct {
	Name  string
	check func(*History, Bounds) Findings
}

// Check returns the violations of the rule in a history.
func (c Checker) Check(h *History, b Bounds) Findings { return c.check(h, b) }

// Checkers returns the checkers of all rules.
func Checkers() []Checker {
	return []Checker{
		{"one_end", checkSingleEnd},
		{"one_effect", checkEffectLimit},
		{"one_word", checkNotices},
		{"loan", checkLoans},
		{"rights", checkRights},
		{"agreed", checkAgreedRecords},
		{"stale", checkDecisions},
		{"allowance", checkAllowances},
		{"waits", checkWaits},
		{"epochs", checkEpochs},
	}
}

// Check runs all checkers concurrently and returns their findings together.
func Check(h *History, b Bounds) (f Findings) {
	all := Checkers()
	findings := make([]Findings, len(all))
	var running errgroup.Group
	for i, checker := range all {
		running.Go(func() error {
			findings[i] = checker.check(h, b)
			return nil
		})
	}
	running.Wait()
	for _, finding := range findings {
		f.Violations = append(f.Violations, finding.Violations...)
		f.Unproven += finding.Unproven
	}
	return f
}

// groupRecords groups the records of the given kinds by key. Each group is ordered by time.
func groupRecords[K comparable](h *History, key func(*Record) K, kinds ...Kind) map[K][]*Record {
	var wantKinds [256]bool
	for _, kind := range kinds {
		wantKinds[kind] = true
	}
	groups := map[K][]*Record{}
	for i := range h.Records {
		if r := &h.Records[i]; wantKinds[r.Kind] {
			groupKey := key(r)
			groups[groupKey] = append(groups[groupKey], r)
		}
	}
	return groups
}

func recordID(r *Record) string { return r.ID }

// sortedKeys returns the keys of a map in a fixed order, so that findings are in the same order each time.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func copyRecords(records []*Record) (copies []Record) {
	for _, r := range records {
		copies = append(copies, *r)
	}
	return copies
}

// checkOrder asks porcupine whether the records, as operations on one object, have an order that respects their times and
// that the step function allows. start returns the time at which the action of a record began; if start is nil, every
// action happened at the time of its record.
func checkOrder[S comparable](records []*Record, b Bounds, init S, step func(S, *Record) (bool, S), start func(*Record) int64) porcupine.CheckResult {
	operations := make([]porcupine.Operation, len(records))
	for i, r := range records {
		operations[i] = porcupine.Operation{Input: r, Call: r.At, Return: r.At}
		if start != nil {
			operations[i].Call = min(start(r), r.At)
		}
	}
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return init },
		Step: func(s, in, _ any) (bool, any) { return step(s.(S), in.(*Record)) },
	}, operations, b.SearchTimeout)
}

// addResult adds a violation or an unproven case, depending on the result of checkOrder.
func (f *Findings) addResult(result porcupine.CheckResult, checker string, records []*Record, format string, args ...any) {
	switch result {
	case porcupine.Illegal:
		f.add(checker, copyRecords(records), format, args...)
	case porcupine.Unknown:
		f.Unproven++
	}
}

// checkSingleEnd checks that a message ends once, over all couriers and their incarnations. No attempt may follow after the
// message was delivered or became void. A dead letter may be delivered once, after its message became undeliverable. A
// deferred message starts again when its client submits it again.
func checkSingleEnd(h *History, b Bounds) (f Findings) {
	groups := groupRecords(h, recordID, TakenOn, TryBegun, MessageEnded)
	for _, id := range sortedKeys(groups) {
		result := checkOrder(groups[id], b, "", func(end string, r *Record) (bool, string) {
			switch {
			case r.Kind == TakenOn && end == Deferred:
				return true, ""
			case r.Kind == TakenOn:
				return true, end
			case r.Kind == TryBegun: // after the end, only an attempt of a dead letter is allowed
				return end == "" || end == Undeliverable, end
			case r.How == LetterDelivered:
				return end == Undeliverable, Delivered
			}
			return end == "", r.How
		}, nil)
		f.addResult(result, "one_end", groups[id], "message %s: no order of its attempts and ends has a single end", id)
	}
	return f
}

// checkEffectLimit checks that no message takes effect more often than its class allows, whichever courier sent it.
func checkEffectLimit(h *History, _ Bounds) (f Findings) {
	count := map[string]int{}
	excess := map[string][]Effect{}
	for _, e := range h.Effects {
		if count[e.Message]++; e.MaxEffects > 0 && count[e.Message] > e.MaxEffects {
			excess[e.Message] = append(excess[e.Message], e)
		}
	}
	if len(excess) == 0 {
		return f
	}
	records := groupRecords(h, recordID, TakenOn, TryBegun, MessageEnded)
	for _, id := range sortedKeys(excess) {
		e := excess[id][0]
		f.add("one_effect", copyRecords(records[id]), "message %s took effect %d times, %d allowed; the last by %s at %s, %.6f", id, count[id], e.MaxEffects,
			excess[id][len(excess[id])-1].Courier, e.Subject, float64(e.At)/1e9)
	}
	return f
}

// checkNotices checks that the platform receives the same end of a message in every notice. The same notice may repeat,
// because a courier sends it again if it got no response.
func checkNotices(h *History, _ Bounds) (f Findings) {
	firstNotices := map[string]Notice{}
	for _, notice := range h.Notices {
		first, known := firstNotices[notice.Message]
		if !known {
			firstNotices[notice.Message] = notice
		} else if first.How != notice.How {
			f.add("one_word", nil, "message %s: the platform received %q from %s at %.6f and %q from %s at %.6f", notice.Message, first.How, first.Courier,
				float64(first.At)/1e9, notice.How, notice.Courier, float64(notice.At)/1e9)
		}
	}
	return f
}

// loanState is the state of a loan in checkOrder.
type loanState struct {
	phase  byte // 0 before the loan, then 'l' lent, 'b' borrowed, 'r' returned and 'e' ended
	amount int64
	until  int64
}

// checkLoans checks that a borrower uses a loan once, with at most the amount and duration that were lent, and that the
// lender uses the amount again only after the loan was returned or has expired.
func checkLoans(h *History, b Bounds) (f Findings) {
	groups := groupRecords(h, recordID, Lent, Borrowed, Returned, LoanEnded)
	for _, id := range sortedKeys(groups) {
		records := groups[id]
		var lent, returned *Record
		lender, borrower := "", ""
		for _, r := range records {
			switch r.Kind {
			case Lent:
				lent, lender, borrower = r, r.Courier, r.Peer
			case Borrowed:
				lender, borrower = cmp.Or(lender, r.Peer), r.Courier
			case Returned:
				returned = r
			}
		}
		lastTime := records[len(records)-1].At
		if lent == nil && h.mayHaveLostRecords(lender, lastTime) {
			f.Unproven++
			continue
		}
		returnMayBeLost := returned == nil && h.mayHaveLostRecords(borrower, lastTime)
		result := checkOrder(records, b, loanState{}, func(s loanState, r *Record) (bool, loanState) {
			switch r.Kind {
			case Lent:
				return s.phase == 0, loanState{'l', r.N, r.Until}
			case Borrowed:
				return s.phase == 'l' && r.N <= s.amount && r.Until <= s.until, loanState{'b', s.amount, s.until}
			case Returned:
				return s.phase == 'b', loanState{'r', s.amount, s.until}
			}
			ended := s.phase == 'r' || (s.phase == 'l' || s.phase == 'b') && (r.At >= s.until || returnMayBeLost)
			return ended, loanState{'e', s.amount, s.until}
		}, func(r *Record) int64 {
			if r.Kind == Borrowed { // the loan was granted at some time after the borrower requested it
				return r.From
			}
			return r.At
		})
		f.addResult(result, "loan", records, "loan %s: the records of lender %s and borrower %s have no valid order", id, lender, borrower)
	}
	return f
}

// agreedState is the state of one version of an agreed record in checkOrder.
type agreedState struct {
	digest        string
	acknowledgers string // each name between vertical bars; a string, because the state must be comparable
}

// checkAgreedRecords checks that a version of an agreed record has one text, that it takes effect only after all members
// that it names have acknowledged it, and that no incarnation returns to an older version.
func checkAgreedRecords(h *History, b Bounds) (f Findings) {
	type key struct {
		id      string
		version uint64
	}
	groups := groupRecords(h, func(r *Record) key { return key{r.ID, r.Version} }, Proposed, Acknowledged, InForce)
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.version, b.version))
	})
	for _, versionKey := range keys {
		records := groups[versionKey]
		acknowledged, proposed := map[string]bool{}, false
		for _, r := range records {
			proposed = proposed || r.Kind == Proposed
			acknowledged[r.Courier] = acknowledged[r.Courier] || r.Kind == Acknowledged
		}
		excused := func(courier string, by int64) bool {
			return !acknowledged[courier] && h.mayHaveLostRecords(courier, by)
		}
		if !proposed && h.anyMayHaveLostRecords(records[len(records)-1].At) {
			f.Unproven++
			continue
		}
		result := checkOrder(records, b, agreedState{}, func(s agreedState, r *Record) (bool, agreedState) {
			switch r.Kind {
			case Proposed:
				return s.digest == "" || s.digest == r.How, agreedState{r.How, s.acknowledgers}
			case Acknowledged:
				if entry := "|" + r.Courier + "|"; !strings.Contains(s.acknowledgers, entry) {
					s.acknowledgers += entry
				}
				return s.digest != "", s
			}
			for _, member := range r.Members {
				if !strings.Contains(s.acknowledgers, "|"+member+"|") && !excused(member, r.At) {
					return false, s
				}
			}
			return s.digest == r.How && len(r.Members) > 0, s
		}, nil)
		f.addResult(result, "agreed", records, "record %s, version %d: it has two texts, or took effect before all members had acknowledged it", versionKey.id, versionKey.version)
	}
	type holder struct {
		incarnation
		id string
	}
	inForce := map[holder]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		if r.Kind != InForce {
			continue
		}
		key := holder{incarnation{r.Courier, r.Epoch}, r.ID}
		if previous := inForce[key]; previous != nil && r.Version < previous.Version {
			f.add("agreed", []Record{*previous, *r}, "record %s went from version %d back to %d at %s", r.ID, previous.Version, r.Version, r.Courier)
		}
		inForce[key] = r
	}
	return f
}

// anyMayHaveLostRecords reports whether mayHaveLostRecords is true for any courier.
func (h *History) anyMayHaveLostRecords(by int64) bool {
	for _, state := range h.incarnations {
		if state.droppedRecords || !state.endedCleanly && state.lastRecord < by {
			return true
		}
	}
	return false
}
