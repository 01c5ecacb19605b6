// Package facts implements the replicated state that the members of a fleet (load balancer processes) share: a table
// of observations, its merge function, its wire format, and the choice of a member's epoch. The package is pure: it
// uses no clock, socket, file, goroutine or log.
//
// The table is a state-based CRDT. Invariant: a table below its limits is the join of all facts merged into it,
// whatever their order, loss and duplication. Two tables that merged the same facts therefore return the same
// evidence. TestMergeIsAJoin fails without it.
//
// Why the merge is safe in any order: the table keeps one register for each (subject, kind, origin). Only the origin
// writes this register, and it numbers each write with (epoch, seq). Registers are totally ordered by (epoch, seq,
// value, time to live, earlier creation), and a merge keeps the larger one. The maximum of a totally ordered set does
// not depend on the order of comparison, so the merge is commutative, associative and idempotent. An origin's epoch is
// merged by maximum, which is a join too, and the table is the product of these joins.
//   - An equal (epoch, seq) with another value is a corrupt or forged copy. The value is compared before the creation
//     time, because the value is the same on every machine and the computed creation time is not: if the creation
//     time decided, two machines that received the fact over different paths would keep different values forever.
//   - Of equal copies the one created earlier wins. A message carries the fact's age, which excludes the transmission
//     delay. Every copy therefore looks too young, and the oldest one is nearest to the truth.
//   - A higher epoch of an origin retires the origin's registers of lower epochs. They remain as evidence marked
//     Retired, are returned only if there is no live evidence, and are never sent again.
//   - A fact that arrives after its time to live is refused, which equals its loss on the way. A fact that was merged
//     in time keeps its register, without being read, until the maximum time to live has passed: until then a delayed
//     copy of an earlier fact of the same origin could arrive and would be read instead (TestExpiredStillSupersedes).
//   - Facts about a removed endpoint are refused while the table remembers the removal. An endpoint is identified by
//     its id, not by its address, and ids are not reused. The removal need only be remembered until no delayed copy
//     can arrive.
//
// At the limits, the guarantees are weaker. Two always remain: merging a fact that the table already has changes
// nothing, and each register is a fact that was sent, never a mixture of several. Order independence is lost: which
// registers were evicted depends on the order, and a copy of an earlier fact may return in place of an evicted later
// one until its own time to live has passed. Eviction takes expired facts first, then facts of retired epochs, then
// the facts with the least time to live remaining; ties are broken by subject, kind and origin.
package facts

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"
)

// Subject identifies what a fact is about.
type Subject struct {
	Dest     int64  // 0: the whole site
	Endpoint string // id of an endpoint; "": the whole destination, or the site
}

// Kind is the type of an observation; it determines what the two parts of the Value mean.
type Kind uint8

// Kinds of observations, with the meaning of the two parts of their Value.
const (
	ListVersion Kind = iota + 1 // Number: version of the list of endpoints, an integer; For: unused
	Wait                        // For: the requested wait before the next call, measured from the fact's creation; Number: unused
	Limit                       // Number: calls allowed in each For; if For is 0, calls allowed in flight
	Outage                      // For: length of the outage when the fact was created; Number: fraction of calls that failed, 0 to 1
	OutageEnd                   // For: total length of the outage; Number: unused
	WarmUp                      // For: how long the subject had been warming up when the fact was created; Number: unused
	Throughput                  // Number: calls answered per second; For: median response time
	kindEnd
)

// String returns the name of the kind, as it appears in logs.
func (k Kind) String() string {
	if k == 0 || k >= kindEnd {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return [...]string{"list_version", "wait", "limit", "outage", "outage_end", "cold", "pace"}[k-1]
}

// Value is the observed value; its meaning depends on the Kind.
type Value struct {
	Number float64
	For    time.Duration
}

// Fact is an observation as it is sent: with its age, because the members' clocks are not synchronized.
type Fact struct {
	Subject
	Kind
	Value
	Origin     string // name of the member that made the observation
	Epoch, Seq uint64 // incarnation of the origin, and sequence number within it
	Age, TTL   time.Duration
}

// Limits for the fields of a fact.
const (
	MaxName         = 128                 // maximum length of an origin's or endpoint's name in bytes
	MaxValue        = 30 * 24 * time.Hour // maximum duration in a Value
	MaxEpoch        = 1 << 62             // far above the milliseconds of any wall clock
	maxExactInteger = 1 << 53             // above it a float64 can't represent every integer
)

// Reasons for refusing a fact. The caller counts each of them.
var (
	ErrEndpointRemoved = errors.New("the endpoint was removed: facts about it are refused")
	ErrTooManyOrigins  = errors.New("the table has its maximum number of origins: raise the limit or wait until inactive ones are swept")
)

// FieldError names a field with an impossible value.
type FieldError struct{ Field, Problem string }

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string {
	return "fact refused: " + e.Field + " " + e.Problem + "; the member that sent it is faulty"
}

// Check returns a FieldError if a field has a value that no correct member sends.
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
	case f.Kind == 0 || f.Kind >= kindEnd:
		return wrong("kind", "is unknown")
	case f.Dest < 0:
		return wrong("dest", "is negative")
	case math.IsNaN(n) || math.IsInf(n, 0) || math.Signbit(n):
		return wrong("number", "is negative or no number")
	case f.Kind == ListVersion && (n != math.Trunc(n) || n > maxExactInteger):
		return wrong("number", "is not a valid list version")
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

// Key identifies the evidence that a reader asks for.
type Key struct {
	Subject
	Kind
}

// Key returns the subject and kind of the fact.
func (f *Fact) Key() Key { return Key{f.Subject, f.Kind} }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Kind, b.Kind))
}
