package link

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Role is what a party is.
type Role string

// The roles.
const (
	Courier   Role = "courier"
	Discovery Role = "discovery"
	Endpoint  Role = "endpoint"
	Platform  Role = "platform"
)

// Party is one end of links.
type Party struct {
	Name string
	Site string // "" for none
	Role Role
	Addr string // its real address; a courier's is that for other couriers, on a loopback address of its own
}

// Range is drawn from evenly.
type Range [2]float64

func (r Range) draw(rnd *rand.Rand) float64 { return r[0] + rnd.Float64()*(r[1]-r[0]) }

func (r Range) seconds(rnd *rand.Rand) time.Duration {
	return time.Duration(r.draw(rnd) * float64(time.Second))
}

// Record is a scenario's part on links and processes. Seconds count from the start of the traffic.
type Record struct {
	Links     []LinkFault    `json:"links"`
	Processes []ProcessFault `json:"processes"`
}

// LinkFault is put on all links that Between names, as "A <-> B" or, one way only, "A -> B". A and B are a
// role, "site:NAME", "name:NAME", "ROLE@SITE" or "*"; NAME and SITE may be "?", drawn from the seed once for
// the fault, with "site:?" on both sides two different ones. B may be "others": all that A does not name.
type LinkFault struct {
	Between string `json:"between"`
	At      Range  `json:"at_s"`
	For     Range  `json:"for_s"`
	// Up makes it flap: For is one spell, the next follows after Up, Times of them in all.
	Up       Range `json:"up_s"`
	Times    int   `json:"times"`
	Delay    Range `json:"delay_ms"`
	Jitter   Range `json:"jitter_ms"`
	Loss     Range `json:"loss"`
	Double   Range `json:"double"`
	Reorder  Range `json:"reorder"`
	Rate     Range `json:"bytes_s"`
	Cut      bool  `json:"cut"`
	Refuse   bool  `json:"refuse"`
	HalfOpen bool  `json:"half_open"`
	Reset    bool  `json:"reset"` // all TCP connections, at its begin
}

// How is what is done to a courier's process or folder.
type How string

// Stop holds the process by SIGSTOP for the time; all others kill it, do something to its folder while it is
// down, and start it at the end of the time. Full is the exception: the process is left alone.
const (
	Stop  How = "stop"
	Kill  How = "kill"
	Empty How = "empty"        // the folder is emptied
	Swap  How = "swap"         // two couriers die and get one another's folder
	Old   How = "old_snapshot" // the folder is set back to what it was at the start of the traffic
	Full  How = "disk_full"
)

// ProcessFault strikes so many couriers, of one site or of all, drawn from the seed.
type ProcessFault struct {
	How      How    `json:"how"`
	Couriers int    `json:"couriers"`
	Site     string `json:"site"`
	At       Range  `json:"at_s"`
	For      Range  `json:"for_s"`
	Spread   Range  `json:"spread_s"` // later than At, drawn for each courier
}

// Pair is one direction between two parties, by their names.
type Pair struct{ From, To string }

// Event is one fault on links for a time.
type Event struct {
	At, For time.Duration
	Pairs   []Pair // both directions of a two-way one
	Fault   Fault
	Reset   bool
}

// ProcessEvent is one fault of a courier for a time. Other is the second courier of a swap.
type ProcessEvent struct {
	At, For        time.Duration
	How            How
	Courier, Other string
}

// Plan is what goes wrong, drawn from a record and a seed, in order of time.
type Plan struct {
	Links     []Event
	Processes []ProcessEvent
}

// Begin is when the first fault begins; ok false if there is none.
func (p Plan) Begin() (first time.Duration, ok bool) {
	first = math.MaxInt64
	for _, e := range p.Links {
		first = min(first, e.At)
	}
	for _, e := range p.Processes {
		first = min(first, e.At)
	}
	return first, len(p.Links)+len(p.Processes) > 0
}

// End is when the last fault is over.
func (p Plan) End() (end time.Duration) {
	for _, e := range p.Links {
		end = max(end, e.At+e.For)
	}
	for _, e := range p.Processes {
		end = max(end, e.At+e.For)
	}
	return end
}

// Draw draws the plan of a seed. It is pure.
func Draw(r Record, parties []Party, seed uint64) (Plan, error) {
	var p Plan
	for i, f := range r.Links {
		// Each fault draws for itself: a further one in the record leaves the others as they were.
		rnd := rand.New(rand.NewPCG(seed, 0x117c<<16|uint64(i)))
		events, err := f.draw(parties, rnd)
		if err != nil {
			return Plan{}, fmt.Errorf("link: plan: field links.%d.%w", i, err)
		}
		p.Links = append(p.Links, events...)
	}
	for i, f := range r.Processes {
		rnd := rand.New(rand.NewPCG(seed, 0x9c0c<<16|uint64(i)))
		events, err := f.draw(parties, rnd)
		if err != nil {
			return Plan{}, fmt.Errorf("link: plan: field processes.%d.%w", i, err)
		}
		p.Processes = append(p.Processes, events...)
	}
	slices.SortStableFunc(p.Links, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(p.Processes, func(a, b ProcessEvent) int { return cmp.Compare(a.At, b.At) })
	return p, nil
}

func (f LinkFault) draw(parties []Party, rnd *rand.Rand) ([]Event, error) {
	left, right, twoWay := strings.Cut(f.Between, "<->")
	if !twoWay {
		var ok bool
		if left, right, ok = strings.Cut(f.Between, "->"); !ok {
			return nil, fmt.Errorf("between: %q has no arrow; write A -> B or A <-> B", f.Between)
		}
	}
	a, drawn, err := choose(strings.TrimSpace(left), parties, rnd, "")
	if err != nil {
		return nil, err
	}
	var b func(Party) bool
	if right = strings.TrimSpace(right); right == "others" {
		b = func(p Party) bool { return !a(p) }
	} else if b, _, err = choose(right, parties, rnd, drawn); err != nil {
		return nil, err
	}
	var pairs []Pair
	for _, x := range parties {
		for _, y := range parties {
			if x.Name != y.Name && linked(x.Role, y.Role) && (a(x) && b(y) || twoWay && a(y) && b(x)) {
				pairs = append(pairs, Pair{x.Name, y.Name})
			}
		}
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("between: %q names no link of this world", f.Between)
	}
	ms := func(r Range) time.Duration { return time.Duration(r.draw(rnd) * float64(time.Millisecond)) }
	fault := Fault{
		Delay: ms(f.Delay), Jitter: ms(f.Jitter), Loss: f.Loss.draw(rnd), Double: f.Double.draw(rnd),
		Reorder: f.Reorder.draw(rnd), Rate: int(f.Rate.draw(rnd)), Cut: f.Cut, Refuse: f.Refuse, HalfOpen: f.HalfOpen,
	}
	roles := map[string]Role{}
	for _, p := range parties {
		roles[p.Name] = p.Role
	}
	// Packets' faults on a link without any would be a fault that never shows. A pattern may name both kinds.
	proto := TCP
	for _, p := range pairs {
		if roles[p.From] == Courier && roles[p.To] == Courier {
			proto = UDP
		}
	}
	if err := fault.on(TCP).Check(TCP); err != nil {
		return nil, fmt.Errorf("between %q: %w", f.Between, err)
	}
	packets := fault
	packets.HalfOpen = false
	if err := packets.Check(proto); err != nil {
		return nil, fmt.Errorf("between %q: %w", f.Between, err)
	}
	if fault == (Fault{}) && !f.Reset {
		return nil, fmt.Errorf("between: %q has no fault; set cut, delay_ms, bytes_s or another", f.Between)
	}
	var events []Event
	at := f.At.seconds(rnd)
	for range max(f.Times, 1) {
		e := Event{At: at, For: f.For.seconds(rnd), Pairs: pairs, Fault: fault, Reset: f.Reset}
		events = append(events, e)
		at += e.For + f.Up.seconds(rnd)
	}
	return events, nil
}

// linked says whether two roles have a link: couriers have one to everybody, the others to couriers only.
func linked(a, b Role) bool { return a == Courier || b == Courier }

// choose reads one side of a pattern. What was drawn for the other side is not drawn again.
func choose(text string, parties []Party, rnd *rand.Rand, not string) (func(Party) bool, string, error) {
	pick := func(what string, of func(Party) string) (string, error) {
		var all []string
		for _, p := range parties {
			if x := of(p); x != "" && x != not && !slices.Contains(all, x) {
				all = append(all, x)
			}
		}
		if len(all) == 0 {
			return "", fmt.Errorf("between: no %s is left to draw for %q", what, text)
		}
		slices.Sort(all)
		return all[rnd.IntN(len(all))], nil
	}
	site := func(p Party) string {
		if p.Role != Courier { // a site without couriers has nothing to cut
			return ""
		}
		return p.Site
	}
	kind, name, named := strings.Cut(text, ":")
	role, at, placed := strings.Cut(text, "@")
	known := func(r Role) bool { return slices.Contains([]Role{Courier, Discovery, Endpoint, Platform}, r) }
	var err error
	switch {
	case text == "*":
		return func(Party) bool { return true }, "", nil
	case named && kind == "site":
		if name == "?" {
			if name, err = pick("site", site); err != nil {
				return nil, "", err
			}
		}
		return func(p Party) bool { return p.Site == name }, name, nil
	case named && kind == "name":
		if name == "?" {
			if name, err = pick("courier", func(p Party) string {
				if p.Role != Courier {
					return ""
				}
				return p.Name
			}); err != nil {
				return nil, "", err
			}
		}
		return func(p Party) bool { return p.Name == name }, name, nil
	case placed && known(Role(role)):
		if at == "?" {
			if at, err = pick("site", site); err != nil {
				return nil, "", err
			}
		}
		return func(p Party) bool { return p.Role == Role(role) && p.Site == at }, at, nil
	case known(Role(text)):
		return func(p Party) bool { return p.Role == Role(text) }, "", nil
	}
	return nil, "", fmt.Errorf("between: %q is no role, site:NAME, name:NAME, ROLE@SITE or *", text)
}

func (f ProcessFault) draw(parties []Party, rnd *rand.Rand) ([]ProcessEvent, error) {
	if !slices.Contains([]How{Stop, Kill, Empty, Swap, Old, Full}, f.How) {
		return nil, fmt.Errorf("how: %q is unknown; set stop, kill, empty, swap, old_snapshot or disk_full", f.How)
	}
	var names []string
	for _, p := range parties {
		if p.Role == Courier && (f.Site == "" || p.Site == f.Site) {
			names = append(names, p.Name)
		}
	}
	if f.Couriers < 1 || f.Couriers > len(names) {
		return nil, fmt.Errorf("couriers: %d are struck, and there are %d", f.Couriers, len(names))
	}
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	at := f.At.seconds(rnd)
	var events []ProcessEvent
	if f.How == Swap {
		if f.Couriers%2 != 0 {
			return nil, fmt.Errorf("couriers: %d can't be swapped in pairs; set an even number", f.Couriers)
		}
		for i := 0; i < f.Couriers; i += 2 {
			events = append(events, ProcessEvent{At: at + f.Spread.seconds(rnd), For: f.For.seconds(rnd), How: Swap, Courier: names[i], Other: names[i+1]})
		}
		return events, nil
	}
	for _, n := range names[:f.Couriers] {
		events = append(events, ProcessEvent{At: at + f.Spread.seconds(rnd), For: f.For.seconds(rnd), How: f.How, Courier: n})
	}
	return events, nil
}
