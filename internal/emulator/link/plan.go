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

// Role is the kind of a node.
type Role string

// The roles of nodes.
const (
	Courier   Role = "courier"
	Discovery Role = "discovery"
	Endpoint  Role = "endpoint"
	Platform  Role = "platform"
)

// Node is one endpoint of links: a process or service of the emulated system.
type Node struct {
	Name string
	Site string // "" for none
	Role Role
	Addr string // its own address, without a relay; for a courier that for other couriers, on a loopback address of its own
}

// Range is the lower and upper bound of a uniform distribution.
type Range [2]float64

func (r Range) draw(rnd *rand.Rand) float64 { return r[0] + rnd.Float64()*(r[1]-r[0]) }

func (r Range) seconds(rnd *rand.Rand) time.Duration {
	return time.Duration(r.draw(rnd) * float64(time.Second))
}

// FaultSpec is the part of a scenario that describes faults of links and processes. Times are in seconds after the
// start of the traffic.
type FaultSpec struct {
	Links     []LinkFault    `json:"links"`
	Processes []ProcessFault `json:"processes"`
}

// LinkFault is put on all links that Between selects, as "A <-> B" or, in one direction only, "A -> B". A and B are
// a role, "site:NAME", "name:NAME", "ROLE@SITE" or "*". NAME and SITE may be "?", which is drawn from the seed once
// for the fault; "site:?" on both sides draws two different sites. B may be "others": all nodes that A does not
// select.
type LinkFault struct {
	Between string `json:"between"`
	At      Range  `json:"at_s"`
	For     Range  `json:"for_s"`
	// Up and Times make the link flap: the fault lasts For and occurs Times times, with a gap of Up between two.
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
	Reset    bool  `json:"reset"` // resets all TCP connections when the fault begins
}

// ProcessFaultKind says what is done to a courier's process or state directory.
type ProcessFaultKind string

// SuspendProcess suspends the process with SIGSTOP for the duration of the fault. FillDirectory leaves the process
// running. All others kill it, change its state directory while it is down, and start it at the end of the fault.
const (
	SuspendProcess     ProcessFaultKind = "stop"
	KillProcess        ProcessFaultKind = "kill"
	ClearDirectory     ProcessFaultKind = "empty"        // the state directory is emptied
	SwapDirectories    ProcessFaultKind = "swap"         // two couriers are killed and exchange their state directories
	RestoreOldSnapshot ProcessFaultKind = "old_snapshot" // the state directory is restored to its content at the start of the traffic
	FillDirectory      ProcessFaultKind = "disk_full"
)

// ProcessFault affects the given number of couriers, drawn from the seed among those of one site or of all.
type ProcessFault struct {
	How      ProcessFaultKind `json:"how"`
	Couriers int              `json:"couriers"`
	Site     string           `json:"site"`
	At       Range            `json:"at_s"`
	For      Range            `json:"for_s"`
	Spread   Range            `json:"spread_s"` // additional delay after At, drawn for each courier
}

// Pair is one direction between two nodes, given by their names.
type Pair struct{ From, To string }

// FaultEvent is a fault that is active on some links from At for the duration For.
type FaultEvent struct {
	At, For time.Duration
	Pairs   []Pair // both directions of a bidirectional fault
	Fault   Fault
	Reset   bool
}

// ProcessEvent is a fault of a courier from At for the duration For. Other is the second courier of a swap.
type ProcessEvent struct {
	At, For        time.Duration
	How            ProcessFaultKind
	Courier, Other string
}

// Plan lists the fault events that were drawn from a FaultSpec and a seed, ordered by time.
type Plan struct {
	Links     []FaultEvent
	Processes []ProcessEvent
}

// Begin returns when the first fault begins, and false if the plan has no fault.
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

// End returns when the last fault ends.
func (p Plan) End() (end time.Duration) {
	for _, e := range p.Links {
		end = max(end, e.At+e.For)
	}
	for _, e := range p.Processes {
		end = max(end, e.At+e.For)
	}
	return end
}

// Draw draws a plan. It is a pure function of its arguments.
func Draw(r FaultSpec, nodes []Node, seed uint64) (Plan, error) {
	var p Plan
	for i, f := range r.Links {
		// Each fault has its own random stream, so that adding one does not change what is drawn for the others.
		rnd := rand.New(rand.NewPCG(seed, 0x117c<<16|uint64(i)))
		events, err := f.draw(nodes, rnd)
		if err != nil {
			return Plan{}, fmt.Errorf("link: plan: field links.%d.%w", i, err)
		}
		p.Links = append(p.Links, events...)
	}
	for i, f := range r.Processes {
		rnd := rand.New(rand.NewPCG(seed, 0x9c0c<<16|uint64(i)))
		events, err := f.draw(nodes, rnd)
		if err != nil {
			return Plan{}, fmt.Errorf("link: plan: field processes.%d.%w", i, err)
		}
		p.Processes = append(p.Processes, events...)
	}
	slices.SortStableFunc(p.Links, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(p.Processes, func(a, b ProcessEvent) int { return cmp.Compare(a.At, b.At) })
	return p, nil
}

func (f LinkFault) draw(nodes []Node, rnd *rand.Rand) ([]FaultEvent, error) {
	fromText, toText, twoWay := strings.Cut(f.Between, "<->")
	if !twoWay {
		var ok bool
		if fromText, toText, ok = strings.Cut(f.Between, "->"); !ok {
			return nil, fmt.Errorf("between: %q has no arrow; write A -> B or A <-> B", f.Between)
		}
	}
	matchFrom, drawn, err := parseSelector(strings.TrimSpace(fromText), nodes, rnd, "")
	if err != nil {
		return nil, err
	}
	var matchTo func(Node) bool
	if toText = strings.TrimSpace(toText); toText == "others" {
		matchTo = func(p Node) bool { return !matchFrom(p) }
	} else if matchTo, _, err = parseSelector(toText, nodes, rnd, drawn); err != nil {
		return nil, err
	}
	var pairs []Pair
	for _, x := range nodes {
		for _, y := range nodes {
			if x.Name != y.Name && linked(x.Role, y.Role) && (matchFrom(x) && matchTo(y) || twoWay && matchFrom(y) && matchTo(x)) {
				pairs = append(pairs, Pair{x.Name, y.Name})
			}
		}
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("between: %q names no link of this system", f.Between)
	}
	ms := func(r Range) time.Duration { return time.Duration(r.draw(rnd) * float64(time.Millisecond)) }
	fault := Fault{
		Delay: ms(f.Delay), Jitter: ms(f.Jitter), Loss: f.Loss.draw(rnd), Double: f.Double.draw(rnd),
		Reorder: f.Reorder.draw(rnd), Rate: int(f.Rate.draw(rnd)), Cut: f.Cut, Refuse: f.Refuse, HalfOpen: f.HalfOpen,
	}
	roles := map[string]Role{}
	for _, p := range nodes {
		roles[p.Name] = p.Role
	}
	// A fault of UDP packets is rejected if none of the links carries UDP, since it would have no effect. A
	// pattern may select links with and without UDP.
	proto := TCP
	for _, p := range pairs {
		if roles[p.From] == Courier && roles[p.To] == Courier {
			proto = UDP
		}
	}
	if err := fault.forProtocol(TCP).Validate(TCP); err != nil {
		return nil, fmt.Errorf("between %q: %w", f.Between, err)
	}
	packetFault := fault
	packetFault.HalfOpen = false
	if err := packetFault.Validate(proto); err != nil {
		return nil, fmt.Errorf("between %q: %w", f.Between, err)
	}
	if fault == (Fault{}) && !f.Reset {
		return nil, fmt.Errorf("between: %q has no fault; set cut, delay_ms, bytes_s or another", f.Between)
	}
	var events []FaultEvent
	at := f.At.seconds(rnd)
	for range max(f.Times, 1) {
		e := FaultEvent{At: at, For: f.For.seconds(rnd), Pairs: pairs, Fault: fault, Reset: f.Reset}
		events = append(events, e)
		at += e.For + f.Up.seconds(rnd)
	}
	return events, nil
}

// linked reports whether nodes of the two roles have a link: couriers have one to every node, other nodes only to
// couriers.
func linked(a, b Role) bool { return a == Courier || b == Courier }

// parseSelector parses one side of a pattern. It returns a function that reports whether a node is selected, and
// the name or site that was selected or drawn, if any. The value of exclude, drawn for the other side, is not drawn.
func parseSelector(text string, nodes []Node, rnd *rand.Rand, exclude string) (func(Node) bool, string, error) {
	drawName := func(category string, nameOf func(Node) string) (string, error) {
		var all []string
		for _, p := range nodes {
			if x := nameOf(p); x != "" && x != exclude && !slices.Contains(all, x) {
				all = append(all, x)
			}
		}
		if len(all) == 0 {
			return "", fmt.Errorf("between: there is no other %s to draw for %q", category, text)
		}
		slices.Sort(all)
		return all[rnd.IntN(len(all))], nil
	}
	site := func(p Node) string {
		if p.Role != Courier { // a site without couriers has no links
			return ""
		}
		return p.Site
	}
	kind, name, hasPrefix := strings.Cut(text, ":")
	role, siteName, hasSite := strings.Cut(text, "@")
	isRole := func(r Role) bool { return slices.Contains([]Role{Courier, Discovery, Endpoint, Platform}, r) }
	var err error
	switch {
	case text == "*":
		return func(Node) bool { return true }, "", nil
	case hasPrefix && kind == "site":
		if name == "?" {
			if name, err = drawName("site", site); err != nil {
				return nil, "", err
			}
		}
		return func(p Node) bool { return p.Site == name }, name, nil
	case hasPrefix && kind == "name":
		if name == "?" {
			if name, err = drawName("courier", func(p Node) string {
				if p.Role != Courier {
					return ""
				}
				return p.Name
			}); err != nil {
				return nil, "", err
			}
		}
		return func(p Node) bool { return p.Name == name }, name, nil
	case hasSite && isRole(Role(role)):
		if siteName == "?" {
			if siteName, err = drawName("site", site); err != nil {
				return nil, "", err
			}
		}
		return func(p Node) bool { return p.Role == Role(role) && p.Site == siteName }, siteName, nil
	case isRole(Role(text)):
		return func(p Node) bool { return p.Role == Role(text) }, "", nil
	}
	return nil, "", fmt.Errorf("between: %q is not a role, site:NAME, name:NAME, ROLE@SITE or *", text)
}

func (f ProcessFault) draw(nodes []Node, rnd *rand.Rand) ([]ProcessEvent, error) {
	if !slices.Contains([]ProcessFaultKind{SuspendProcess, KillProcess, ClearDirectory, SwapDirectories, RestoreOldSnapshot, FillDirectory}, f.How) {
		return nil, fmt.Errorf("how: %q is unknown; set stop, kill, empty, swap, old_snapshot or disk_full", f.How)
	}
	var names []string
	for _, p := range nodes {
		if p.Role == Courier && (f.Site == "" || p.Site == f.Site) {
			names = append(names, p.Name)
		}
	}
	if f.Couriers < 1 || f.Couriers > len(names) {
		return nil, fmt.Errorf("couriers: %d are to be affected, but there are %d", f.Couriers, len(names))
	}
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	at := f.At.seconds(rnd)
	var events []ProcessEvent
	if f.How == SwapDirectories {
		if f.Couriers%2 != 0 {
			return nil, fmt.Errorf("couriers: %d can't be swapped in pairs; set an even number", f.Couriers)
		}
		for i := 0; i < f.Couriers; i += 2 {
			events = append(events, ProcessEvent{At: at + f.Spread.seconds(rnd), For: f.For.seconds(rnd), How: SwapDirectories, Courier: names[i], Other: names[i+1]})
		}
		return events, nil
	}
	for _, n := range names[:f.Couriers] {
		events = append(events, ProcessEvent{At: at + f.Spread.seconds(rnd), For: f.For.seconds(rnd), How: f.How, Courier: n})
	}
	return events, nil
}
