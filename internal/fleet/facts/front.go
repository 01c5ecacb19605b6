package facts

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Evidence is the fact that answers a read of a subject and kind at some time. It was reported by Origin, Age ago.
type Evidence struct {
	Value
	Age       time.Duration // lower bound, as transmission delays are not counted
	Remaining time.Duration // remaining time of a Wait; 0 for other kinds
	Origin    string
	Epoch     uint64
	Seq       uint64
	Retired   bool // from a previous incarnation of its origin, with no live evidence: a reason for caution, but not for a decision
}

// Front answers reads of one subject and kind at any later time. It is immutable and safe for concurrent use. The
// entries are a Pareto front of precedence and expiry: they are sorted by precedence, and an entry that expires no
// later than one of higher precedence is left out. Expiry times therefore ascend, and a read is a binary search.
type Front struct{ entries []entry }

type entry struct {
	expires   time.Duration // last instant at which the entry may be read
	createdAt time.Duration
	rank      float64
	value     Value
	origin    string
	epoch     uint64
	seq       uint64
	isWait    bool
	retired   bool
}

// Read returns the evidence at now, on the clock of the table that the front belongs to.
func (f *Front) Read(now time.Duration) (Evidence, bool) {
	if f == nil {
		return Evidence{}, false
	}
	i := 0
	if len(f.entries) > 0 && f.entries[0].expires < now {
		i = sort.Search(len(f.entries), func(i int) bool { return f.entries[i].expires >= now })
	}
	if i == len(f.entries) {
		return Evidence{}, false
	}
	e := &f.entries[i]
	ev := Evidence{Value: e.value, Age: now - e.createdAt, Origin: e.origin, Epoch: e.epoch, Seq: e.seq, Retired: e.retired}
	if e.isWait {
		ev.Remaining = e.value.For - ev.Age
	}
	return ev, true
}

func (f *Front) bytes() int64 {
	if f == nil {
		return 0
	}
	return int64(len(f.entries)) * entryBytes
}

func newEntry(kind Kind, r register) entry {
	e := entry{
		expires: r.createdAt + r.ttl, createdAt: r.createdAt, rank: float64(r.createdAt), value: r.value, isWait: kind == Wait,
		origin: r.origin.name, epoch: r.epoch, seq: r.seq, retired: r.retired(),
	}
	switch kind {
	case ListVersion:
		e.rank = r.value.Number
	case Wait: // a wait that has ended is not read
		e.expires = min(e.expires, r.createdAt+r.value.For-1)
		e.rank = float64(r.createdAt + r.value.For)
	}
	return e
}

// compare orders entries by precedence, highest first.
func (e *entry) compare(o *entry) int {
	if e.retired != o.retired {
		if e.retired {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(o.rank, e.rank), cmp.Compare(o.createdAt, e.createdAt), cmp.Compare(e.origin, o.origin))
}

// dominates reports whether o is never read while e is present.
func (e *entry) dominates(o *entry) bool { return e.compare(o) < 0 && e.expires >= o.expires }

func newFront(kind Kind, regs []register) *Front {
	all := make([]entry, len(regs))
	for i, r := range regs {
		all[i] = newEntry(kind, r)
	}
	slices.SortFunc(all, func(a, b entry) int { return a.compare(&b) })
	kept := all[:0]
	for _, e := range all {
		if len(kept) == 0 || e.expires > kept[len(kept)-1].expires {
			kept = append(kept, e)
		}
	}
	return &Front{slices.Clone(kept)}
}

// withEntry returns the front with e in place of the previous entry of the same origin. It returns f itself if no read
// changes, and nil if the front has to be rebuilt, because the previous entry may have dominated entries that e does
// not dominate. Rebuilding is rare: a later fact of an origin mostly dominates the earlier one, and most origins have
// no entry in the front.
func (f *Front) withEntry(e entry) *Front {
	previous := slices.IndexFunc(f.entries, func(o entry) bool { return o.origin == e.origin })
	if previous >= 0 && !e.dominates(&f.entries[previous]) {
		return nil
	}
	if slices.ContainsFunc(f.entries, func(o entry) bool { return o.dominates(&e) }) {
		return f
	}
	next := make([]entry, 0, len(f.entries)+1)
	placed := false
	for i := range f.entries {
		o := &f.entries[i]
		if !placed && e.compare(o) < 0 {
			next, placed = append(next, e), true
		}
		if i != previous && !e.dominates(o) {
			next = append(next, *o)
		}
	}
	if !placed {
		next = append(next, e)
	}
	return &Front{next}
}
