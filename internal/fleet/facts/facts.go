// Package facts holds what couriers that know one another tell one another: a pure table of evidence, its merge,
// its form on the wire, and how a life's epoch is drawn. It has no clock, socket, file, goroutine or log.
//
// The invariant: a table below its bounds is the join of all facts that it took in, whatever their order, loss and
// doubling; so any two tables that took in the same facts read the same. TestMergeIsAJoin breaks without it.
//
// Why the merge is safe in any order. A table keeps one register for each (subject, kind, origin). Only its origin
// writes it, and numbers what it writes: (epoch, seq). The registers are totally ordered by (epoch, seq, value,
// time to live, earlier birth), and a merge keeps the larger; the largest of a totally ordered set does not depend on
// the order of asking, so the merge is commutative, associative and idempotent. An origin's epoch is merged by
// maximum, which is a join too, and the table is the product of these.
//   - An equal (epoch, seq) with another value is a garbled or lying copy. It is settled before the birth is looked
//     at, because the value is the same on every machine and the birth is not: settled by birth, two machines that
//     heard it over unlike ways would keep unlike values for good.
//   - Of equal copies the one born earlier wins. What travels is an age, and the time on the way is not counted in
//     it: every copy is told too young, and the oldest is nearest to the truth.
//   - An origin's higher epoch retires its registers of lower epochs. They stay as evidence marked Dead, are read only
//     where nothing live is, and are never told again.
//   - A fact that arrives past its time to live is refused, which is the same as its having been lost. One that was
//     taken in keeps its register, unread, until the longest time to live is over: until then a delayed copy of an
//     earlier fact of its origin could still come and would be read in its place (TestExpiredStillSupersedes).
//   - What is about an endpoint that is gone is refused while the table remembers it. An endpoint is its id and not
//     its address, and ids do not come back; the memory need only outlast the copies on their way.
//
// At the bounds less holds. Merging what is held already changes nothing, and each register held is one that was
// told, never a mixture: these always hold. That the order does not matter does not hold there: which registers were
// dropped depends on it, and a copy of an earlier fact may come back in place of a dropped later one until its own
// time to live is over. What is dropped first: what is past its time, then what is of a dead epoch, then what has the
// least time to live left; ties by subject, kind and origin.
package facts

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"
)

// Subject is what a fact is about.
type Subject struct {
	Dest     int64  // 0: the site as a whole
	Endpoint string // an endpoint's id; "": the whole destination, or the site
}

// Kind says what is told, and what the two parts of the Value mean.
type Kind uint8

const (
	ListVersion Kind = iota + 1 // Number: version of the list of endpoints, a whole number; For: unused
	Wait                        // For: the wait told, counted from the fact's birth; Number: unused
	Limit                       // Number: calls allowed in each For; where For is 0, calls out at once
	Outage                      // For: how long it had lasted when the fact was born; Number: share of calls failed, 0 to 1
	OutageEnd                   // For: how long the outage had lasted; Number: unused
	Cold                        // For: how long the subject had been cold when the fact was born; Number: unused
	Pace                        // Number: calls answered a second; For: median time to the answer
	kinds
)

// String is the word that operators see.
func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return [...]string{"list_version", "wait", "limit", "outage", "outage_end", "cold", "pace"}[k-1]
}

// Value is what is told; its meaning is the kind's.
type Value struct {
	Number float64
	For    time.Duration
}

// Fact is a fact as it is told: with its age, never with a time of day.
type Fact struct {
	Subject
	Kind
	Value
	Origin     string // the courier that learned it
	Epoch, Seq uint64 // the origin's life, and its count within that
	Age, TTL   time.Duration
}

const (
	MaxName  = 128                 // bytes of an origin's or endpoint's name
	MaxValue = 30 * 24 * time.Hour // no duration told is longer
	MaxEpoch = 1 << 62             // far above any wall clock's milliseconds
	maxWhole = 1 << 53             // beyond it a float64 doesn't count in ones
)

// Reasons to refuse what was told; each is counted by who asked.
var (
	ErrGone    = errors.New("the endpoint is gone: nothing about it is taken in")
	ErrOrigins = errors.New("the table knows as many origins as it may: raise the bound or wait until silent ones are swept")
)

// FieldError names the field of a fact that can't be true.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string {
	return "fact refused: " + e.Field + " " + e.Problem + "; the member that told it must be mended"
}

// Check refuses a fact with a field that no courier in order tells.
func (f *Fact) Check(maxTTL time.Duration) error {
	wrong := func(field, problem string) error { return &FieldError{field, problem} }
	name := func(s string) string {
		switch {
		case len(s) > MaxName:
			return fmt.Sprintf("is %d bytes long, at most %d", len(s), MaxName)
		case !utf8.ValidString(s):
			return "is not UTF-8"
		}
		return ""
	}
	if p := name(f.Origin); p != "" || f.Origin == "" {
		return wrong("origin", cmp.Or(p, "is empty"))
	}
	if p := name(f.Endpoint); p != "" {
		return wrong("endpoint", p)
	}
	switch n := f.Number; {
	case f.Kind == 0 || f.Kind >= kinds:
		return wrong("kind", "is unknown")
	case f.Dest < 0:
		return wrong("dest", "is negative")
	case math.IsNaN(n) || math.IsInf(n, 0) || math.Signbit(n):
		return wrong("number", "is negative or no number")
	case f.Kind == ListVersion && (n != math.Trunc(n) || n > maxWhole):
		return wrong("number", "is no list version")
	case f.Kind == Outage && n > 1:
		return wrong("number", "is a share above 1")
	case f.For < 0 || f.For > MaxValue:
		return wrong("for", "is negative or over 30 days")
	case f.Epoch == 0 || f.Epoch > MaxEpoch:
		return wrong("epoch", "is zero or beyond any clock")
	case f.Seq == 0:
		return wrong("seq", "is zero")
	case f.TTL <= 0 || f.TTL > maxTTL:
		return wrong("ttl", "is not above zero or over the longest allowed")
	case f.Age < 0 || f.Age > f.TTL:
		return wrong("age", "is negative or past the time to live")
	}
	return nil
}

// Key is what evidence is read by.
type Key struct {
	Subject
	Kind
}

// Key of the fact.
func (f *Fact) Key() Key { return Key{f.Subject, f.Kind} }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Kind, b.Kind))
}
