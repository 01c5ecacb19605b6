package facts

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Evidence is what decides for a subject and kind at some moment. It is another process's word, with its age.
type Evidence struct {
	Value
	Age    time.Duration // at least: the time on its way is not counted
	Left   time.Duration // what is left of a Wait; 0 for other kinds
	Origin string
	Epoch  uint64
	Seq    uint64
	Dead   bool // of a life of its origin that is over, and nothing live is known: it may hold back, it decides nothing
}

// Front answers reads of one subject and kind at any later moment; it is immutable and safe for many readers.
// Its entries go from the one that decides first to those that decide when all before them have expired; whatever
// expires before one that precedes it is left out, so expiries ascend and a read is a search by halves.
type Front struct{ entries []entry }

type entry struct {
	until  time.Duration // read up to then
	born   time.Duration
	rank   float64
	value  Value
	origin string
	epoch  uint64
	seq    uint64
	wait   bool
	dead   bool
}

// Read gives the evidence that decides at now, on the clock of the table that the front is of.
func (f *Front) Read(now time.Duration) (Evidence, bool) {
	if f == nil {
		return Evidence{}, false
	}
	i := 0
	if len(f.entries) > 0 && f.entries[0].until < now {
		i = sort.Search(len(f.entries), func(i int) bool { return f.entries[i].until >= now })
	}
	if i == len(f.entries) {
		return Evidence{}, false
	}
	e := &f.entries[i]
	ev := Evidence{Value: e.value, Age: now - e.born, Origin: e.origin, Epoch: e.epoch, Seq: e.seq, Dead: e.dead}
	if e.wait {
		ev.Left = e.value.For - ev.Age
	}
	return ev, true
}

func (f *Front) bytes() int64 {
	if f == nil {
		return 0
	}
	return int64(len(f.entries)) * entryBytes
}

func entryOf(kind Kind, r register) entry {
	e := entry{
		until: r.born + r.ttl, born: r.born, rank: float64(r.born), value: r.value, wait: kind == Wait,
		origin: r.origin.name, epoch: r.epoch, seq: r.seq, dead: r.dead(),
	}
	switch kind {
	case ListVersion:
		e.rank = r.value.Number
	case Wait: // a wait that is over says nothing more
		e.until = min(e.until, r.born+r.value.For-1)
		e.rank = float64(r.born + r.value.For)
	}
	return e
}

// compare puts first what decides first.
func (e *entry) compare(o *entry) int {
	if e.dead != o.dead {
		if e.dead {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(o.rank, e.rank), cmp.Compare(o.born, e.born), cmp.Compare(e.origin, o.origin))
}

// covers says that the other is never read while e is there.
func (e *entry) covers(o *entry) bool { return e.compare(o) < 0 && e.until >= o.until }

func frontOf(kind Kind, regs []register) *Front {
	all := make([]entry, len(regs))
	for i, r := range regs {
		all[i] = entryOf(kind, r)
	}
	slices.SortFunc(all, func(a, b entry) int { return a.compare(&b) })
	kept := all[:0]
	for _, e := range all {
		if len(kept) == 0 || e.until > kept[len(kept)-1].until {
			kept = append(kept, e)
		}
	}
	return &Front{slices.Clone(kept)}
}

// with gives the front with the origin's entry in place of its former one: f itself if nothing is read otherwise, nil
// if it has to be made anew, as the former one hid others that the new one may not. That is rare: what an origin tells
// later mostly covers what it told before, and most origins are not in the front.
func (f *Front) with(e entry) *Front {
	former := slices.IndexFunc(f.entries, func(o entry) bool { return o.origin == e.origin })
	if former >= 0 && !e.covers(&f.entries[former]) {
		return nil
	}
	if slices.ContainsFunc(f.entries, func(o entry) bool { return o.covers(&e) }) {
		return f
	}
	next := make([]entry, 0, len(f.entries)+1)
	placed := false
	for i := range f.entries {
		o := &f.entries[i]
		if !placed && e.compare(o) < 0 {
			next, placed = append(next, e), true
		}
		if i != former && !e.covers(o) {
			next = append(next, *o)
		}
	}
	if !placed {
		next = append(next, e)
	}
	return &Front{next}
}
