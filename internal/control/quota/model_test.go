package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// simulation runs holders, their leader and routers in virtual time. Each time credit is spent it checks that no window exceeds
// what the rule QUOTA allows.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	startTime     time.Time
	config        Config
	tenants       []configuration.Tenant
	configuration *configuration.Configuration

	table     shares.Table // as committed
	assigner  *shares.Assigner
	hasLeader bool // a leader exists
	holders   []*simulatedHolder
	routers   []*simulatedRouter
	scheduled []scheduledEvent
	lossRate  float64

	spent              map[string][]spending // by tenant
	denied             map[string]float64    // amounts, by tenant
	wronglyDenied      []string              // messages about denied requests within guaranteedFraction of the limit
	guaranteedFraction float64               // of the limit, up to which no request may be denied; 0: any request may be
	violation          string                // message about the first window that exceeded the allowance; empty: none did
	requests           int
}

type spending struct {
	at     time.Duration
	amount float64
}

type scheduledEvent struct {
	at  time.Duration
	run func()
}

// simulatedHolder is a control instance with its disk.
type simulatedHolder struct {
	name             string
	holder           *Holder                // nil: the process is down
	process          int                    // number of the process, incremented by each start
	record           *Record                // on the disk
	writing          *Record                // being written
	copies           map[string]*RecordCopy // of other holders' records on the disk, by identity
	writingCopies    []*RecordCopy          // copies being written
	diskEmpty        bool
	partitionedUntil time.Duration // partitioned from the majority until then, so nothing is applied or confirmed
	partitionID      int           // of the partition; partitioned holders with the same ID reach each other
	suspendedUntil   time.Duration
	pending          []Event
	confirmedAt      time.Time
	table            shares.Table // as applied at this holder
	wakeAt           time.Time
}

// simulatedRouter requests credit and spends it.
type simulatedRouter struct {
	follows        int
	lastID         uint64
	suspendedUntil time.Duration
	outstanding    map[uint64]*simulatedRequest // by request ID
	delayed        []func()                     // grants that arrived while it was suspended
}

type simulatedRequest struct {
	tenant string
	amount float64
	at     time.Duration
}

const tick = 2 * time.Millisecond

func newSimulation(seed uint64, holders, routers int, tenants []configuration.Tenant, slack float64) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 17)), startTime: testStart, tenants: tenants, hasLeader: true,
		config:        Config{Window: 8 * time.Second, OvershootFraction: 0.1, OvershootSlack: slack},
		configuration: &configuration.Configuration{Tenants: tenants},
		spent:         map[string][]spending{}, denied: map[string]float64{},
	}
	w.config = w.config.withDefaults()
	w.assigner = shares.NewAssigner(w.config.HolderLease)
	for i := range holders {
		name := fmt.Sprintf("h%d", i)
		w.table = w.table.Register(shares.Registration{Identity: name})
		w.holders = append(w.holders, &simulatedHolder{name: name, diskEmpty: true, copies: map[string]*RecordCopy{}})
	}
	for i := range routers {
		w.routers = append(w.routers, &simulatedRouter{follows: i % holders, outstanding: map[uint64]*simulatedRequest{}})
	}
	for _, h := range w.holders {
		w.start(h)
	}
	return w
}

func (sim *simulation) clock() time.Time { return sim.startTime.Add(sim.now) }

// schedule calls a function after the given wait, and after all functions that are already scheduled for the same time.
func (sim *simulation) schedule(wait time.Duration, run func()) {
	event := scheduledEvent{at: sim.now + wait, run: run}
	at, _ := slices.BinarySearchFunc(sim.scheduled, event, func(a, b scheduledEvent) int {
		if a.at <= b.at {
			return -1 // functions scheduled for the same time keep their order
		}
		return 1
	})
	sim.scheduled = slices.Insert(sim.scheduled, at, event)
}

// send delivers a message after 1 to 6 ms. With message loss, it loses some and delays one in 40 by up to 3 s.
func (sim *simulation) send(deliver func()) {
	if sim.random.Float64() < sim.lossRate {
		return
	}
	delay := time.Duration(1+sim.random.IntN(6)) * time.Millisecond
	if sim.lossRate > 0 && sim.random.IntN(40) == 0 {
		delay = time.Duration(sim.random.IntN(3000)) * time.Millisecond
	}
	sim.schedule(delay, deliver)
}

// start starts a process of the holder with what its disk holds.
func (sim *simulation) start(h *simulatedHolder) {
	config := sim.config
	config.Identity, config.Address, config.Zone, config.Incarnation = h.name, h.name, "z", uint64(h.process+1)
	h.process++
	persisted := PersistedState{Record: h.record, DiskEmpty: h.diskEmpty}
	for _, stored := range h.copies {
		persisted.Copies = append(persisted.Copies, stored)
	}
	h.holder = New(config, sim.clock(), persisted)
	h.confirmedAt, h.pending, h.writing, h.table = time.Time{}, nil, nil, shares.Table{}
}

// kill ends the process. A record or copy that is being written may have reached the disk or not.
func (sim *simulation) kill(h *simulatedHolder) {
	if h.holder == nil {
		return
	}
	if h.writing != nil && sim.random.IntN(2) == 0 {
		h.record, h.diskEmpty = h.writing, false
	}
	for _, stored := range h.writingCopies {
		if sim.random.IntN(2) == 0 {
			h.copies[stored.Record.Identity] = stored
		}
	}
	h.holder, h.writingCopies = nil, nil
}

// reachable reports whether the holder's process runs and is not partitioned from the majority.
func (sim *simulation) reachable(h *simulatedHolder) bool {
	return h.holder != nil && sim.now >= h.partitionedUntil
}

// connected reports whether two holders can exchange messages.
func (sim *simulation) connected(a, b *simulatedHolder) bool {
	if a.holder == nil || b.holder == nil {
		return false
	}
	aPartitioned, bPartitioned := sim.now < a.partitionedUntil, sim.now < b.partitionedUntil
	return !aPartitioned && !bPartitioned || aPartitioned && bPartitioned && a.partitionID == b.partitionID
}

// running reports whether the holder's process runs and is not suspended.
func (sim *simulation) running(h *simulatedHolder) bool {
	return h.holder != nil && sim.now >= h.suspendedUntil
}

// run advances the time in ticks until the given time. The callback draws the requests of each tick.
func (sim *simulation) run(until time.Duration, drawRequests func()) {
	for ; sim.now < until; sim.now += tick {
		for len(sim.scheduled) > 0 && sim.scheduled[0].at <= sim.now {
			run := sim.scheduled[0].run
			sim.scheduled = sim.scheduled[1:]
			run()
		}
		if drawRequests != nil {
			drawRequests()
		}
		sim.stepLeader()
		for _, h := range sim.holders {
			sim.step(h)
		}
	}
}

// stepLeader steps the assigner every 100 ms while there is a leader with a majority, and registers the reachable holders.
func (sim *simulation) stepLeader() {
	if sim.now%(100*time.Millisecond) != 0 {
		return
	}
	var live, voters []string
	for _, h := range sim.holders {
		voters = append(voters, h.name)
		if sim.reachable(h) && sim.running(h) {
			live = append(live, h.name)
		}
	}
	if !sim.hasLeader || 2*len(live) <= len(voters) {
		return
	}
	if proposed := sim.assigner.Step(sim.clock(), shares.AssignerInput{Table: sim.table, Members: voters, Live: live}); proposed != nil {
		if next, ok := sim.table.Assign(*proposed); ok {
			sim.table = next
		}
	}
	for _, h := range sim.holders {
		if sim.reachable(h) && sim.running(h) {
			sim.table = sim.table.Register(shares.Registration{Identity: h.name})
		}
	}
}

// reachesMajority reports whether a holder reaches a majority, so that it applies what is committed.
func (sim *simulation) reachesMajority(h *simulatedHolder) bool {
	if !sim.reachable(h) {
		return false
	}
	reached := 0
	for _, other := range sim.holders {
		if sim.reachable(other) && sim.running(other) {
			reached++
		}
	}
	return 2*reached > len(sim.holders)
}

// step steps a holder if it has events, its wake time has come, or 50 ms have passed.
func (sim *simulation) step(h *simulatedHolder) {
	idle := len(h.pending) == 0 && sim.clock().Before(h.wakeAt) && sim.now%(50*time.Millisecond) != 0
	if !sim.running(h) || idle {
		return
	}
	if sim.reachesMajority(h) {
		h.table, h.confirmedAt = sim.table, sim.clock()
	}
	var peers []Peer
	for _, other := range sim.holders {
		if other != h && sim.connected(h, other) {
			peers = append(peers, Peer{Identity: other.name, Address: other.name, Zone: "z"})
		}
	}
	events := h.pending
	h.pending = nil
	out := h.holder.Step(sim.clock(), Input{
		Configuration: sim.configuration, Table: h.table, ConfirmedAt: h.confirmedAt, Peers: peers, Events: events,
	})
	if h.wakeAt = out.WakeAt; h.wakeAt.IsZero() {
		h.wakeAt = sim.clock().Add(time.Hour)
	}
	sim.execute(h, out)
}

// execute sends the messages and writes the records that a holder's step returned.
func (sim *simulation) execute(h *simulatedHolder, out Output) {
	for _, grant := range out.RouterGrants {
		router := grant.Connection.(*simulatedRouter)
		sim.send(func() { sim.receive(router, grant.Grant) })
	}
	for _, message := range out.PeerMessages {
		to := sim.holders[slices.IndexFunc(sim.holders, func(o *simulatedHolder) bool { return o.name == message.Address })]
		if sim.connected(h, to) {
			process := to.process
			sim.send(func() {
				if sim.connected(h, to) && to.process == process {
					to.pending = append(to.pending, PeerMessageReceived{Message: message.Message})
				}
			})
		}
	}
	if out.Record != nil {
		sim.writeRecord(h, out.Record)
	}
	for _, recordCopy := range out.Copies {
		sim.writeCopy(h, recordCopy)
	}
}

// writeCopy syncs a copy of another holder's record after 1 to 4 ms.
func (sim *simulation) writeCopy(h *simulatedHolder, recordCopy *RecordCopy) {
	h.writingCopies = append(h.writingCopies, recordCopy)
	process := h.process
	sim.schedule(time.Duration(1+sim.random.IntN(4))*time.Millisecond, func() {
		if h.holder == nil || h.process != process {
			return
		}
		h.writingCopies = slices.DeleteFunc(h.writingCopies, func(c *RecordCopy) bool { return c == recordCopy })
		if existing := h.copies[recordCopy.Record.Identity]; existing == nil || existing.Record.Sequence < recordCopy.Record.Sequence {
			h.copies[recordCopy.Record.Identity] = recordCopy
		}
		h.pending = append(h.pending, CopyWritten{Copy: recordCopy})
	})
}

// writeRecord syncs a record after 1 to 6 ms. With message loss, one write in 50 fails, and the record is then on the disk or not.
func (sim *simulation) writeRecord(h *simulatedHolder, record *Record) {
	h.writing = record
	process := h.process
	sim.schedule(time.Duration(1+sim.random.IntN(6))*time.Millisecond, func() {
		if h.holder == nil || h.process != process || h.writing != record {
			return
		}
		h.writing = nil
		written := RecordWritten{Sequence: record.Sequence}
		if sim.lossRate > 0 && sim.random.IntN(50) == 0 {
			written.Err = errRecordChecksum
		}
		if written.Err == nil || sim.random.IntN(2) == 0 {
			h.record, h.diskEmpty = record, false
		}
		h.pending = append(h.pending, written)
	})
}

// request sends a request for credit from a router to the holder that it follows.
func (sim *simulation) request(router *simulatedRouter, tenant string, amount float64) {
	if sim.now < router.suspendedUntil {
		return
	}
	sim.requests++
	h := sim.holders[router.follows]
	if !sim.running(h) && sim.random.IntN(10) == 0 { // the router notices after some requests and follows another holder
		router.follows = sim.random.IntN(len(sim.holders))
	}
	router.lastID++
	id, request := router.lastID, &simulatedRequest{tenant: tenant, amount: amount, at: sim.now}
	router.outstanding[id] = request
	sim.send(func() {
		if h.holder == nil {
			return
		}
		h.pending = append(h.pending, RouterRequestReceived{Connection: router, Request: &protocol.CreditRequest{
			ID: id, Tenant: tenant, Amount: amount, Waiting: amount, Minimum: amount,
		}})
	})
	sim.schedule(protocol.CreditTTL, func() { delete(router.outstanding, id) })
}

// receive handles a grant at a router. The router spends it unless the credit has expired or is too little.
func (sim *simulation) receive(router *simulatedRouter, grant *protocol.CreditGrant) {
	if sim.now < router.suspendedUntil {
		router.delayed = append(router.delayed, func() { sim.receive(router, grant) })
		return
	}
	request := router.outstanding[grant.ID]
	if request == nil || sim.now >= request.at+protocol.CreditTTL {
		return
	}
	delete(router.outstanding, grant.ID)
	if grant.Amount+1e-6 < request.amount {
		sim.deny(request)
		return
	}
	// The router may spend the credit at any time before it expires.
	wait := time.Duration(0)
	if sim.lossRate > 0 {
		wait = time.Duration(sim.random.Int64N(int64(request.at + protocol.CreditTTL - sim.now)))
	}
	sim.schedule(wait, func() { sim.spend(request) })
}

// resume delivers the grants that arrived while the router was suspended.
func (sim *simulation) resume(router *simulatedRouter) {
	delayed := router.delayed
	router.delayed = nil
	for _, deliver := range delayed {
		deliver()
	}
}

func (sim *simulation) tenant(name string) configuration.Tenant {
	return sim.tenants[slices.IndexFunc(sim.tenants, func(t configuration.Tenant) bool { return t.Name == name })]
}

// spend records that a router spends credit, and checks the window that ends now.
func (sim *simulation) spend(request *simulatedRequest) {
	list := append(sim.spent[request.tenant], spending{sim.now, request.amount})
	sim.spent[request.tenant] = list
	t := sim.tenant(request.tenant)
	limit := Limit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	if sum, allowed := sim.sumSpent(request.tenant, sim.config.Window), sim.config.windowAllowance(limit); sum > allowed && sim.violation == "" {
		sim.violation = fmt.Sprintf("%s spent %.0f in a window that ends at %v, want %.0f at most", request.tenant, sum, sim.now, allowed)
	}
}

// sumSpent returns what a tenant spent in the newest span of time.
func (sim *simulation) sumSpent(tenant string, span time.Duration) float64 {
	sum := 0.0
	list := sim.spent[tenant]
	for i := len(list) - 1; i >= 0 && list[i].at >= sim.now-span; i-- {
		sum += list[i].amount
	}
	return sum
}

// deny records a denied request, and whether it was wrong to deny it: what was spent in the issuance interval, including the
// request, is within guaranteedFraction of the limit. The interval is longer than the window because credit issued before the
// window may be spent in it, so holders must count it.
func (sim *simulation) deny(request *simulatedRequest) {
	sim.denied[request.tenant] += request.amount
	t := sim.tenant(request.tenant)
	limit := t.RatePerSecond*sim.config.Window.Seconds() + t.Burst
	sum := sim.sumSpent(request.tenant, sim.config.issuanceInterval()+cellLength) + request.amount
	if sum <= sim.guaranteedFraction*limit {
		sim.wronglyDenied = append(sim.wronglyDenied, fmt.Sprintf(
			"at %v %s is denied %.0f, with which it would have spent %.0f of %.0f", sim.now, request.tenant, request.amount, sum, limit))
	}
}

// poisson draws the number of requests in a tick.
func (sim *simulation) poisson(perSecond float64) int {
	count, elapsed := 0, sim.random.ExpFloat64()
	for mean := perSecond * tick.Seconds(); elapsed < mean; count++ {
		elapsed += sim.random.ExpFloat64()
	}
	return count
}

// arrivals returns a callback that draws the requests of all tenants. Their mean rate is the tenant's rate times the factor.
func (sim *simulation) arrivals(factor func(tenant int) float64, mean float64) func() {
	return func() {
		for i, t := range sim.tenants {
			for range sim.poisson(t.RatePerSecond * factor(i) / mean) {
				amount := math.Max(1, math.Min(mean*4, mean*sim.random.ExpFloat64()))
				sim.request(sim.routers[sim.random.IntN(len(sim.routers))], t.Name, amount)
			}
		}
	}
}
