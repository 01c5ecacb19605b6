// Package simulation plays a run of the emulator with the decision module only, in virtual time, without sockets,
// processes or a clock. Arrivals, channels, clients, front layer, ledger and rules are those of the emulator. Only the
// courier around the module is replaced by a model with fixed delays. The same run and module give the same ledger byte for
// byte, thousands of times faster than real time.
package simulation

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/model"
)

// Decider is the decision module, or a test double of it.
type Decider interface {
	Step(now time.Duration, events []raventrestle.Event) []raventrestle.Action
}

// DeciderFactory creates the module for one incarnation of a courier.
type DeciderFactory func(courier int, set raventrestle.Settings, seed uint64) (Decider, error)

// NewModule is the DeciderFactory of the real decision module.
func NewModule(_ int, set raventrestle.Settings, seed uint64) (Decider, error) {
	return raventrestle.New(set, seed)
}

// Delays are the delays of a courier, its disk and the loopback network.
type Delays struct {
	NetworkDelay    time.Duration // between two processes, in one direction, including reading
	JournalDelay    time.Duration // until a record is in the journal
	StartDelay      time.Duration // from the start of a process until it is ready
	ShutdownTimeout time.Duration // longest time from SIGTERM to the end of the process
}

// DefaultDelays are close to what real sockets show on an idle machine.
var DefaultDelays = Delays{NetworkDelay: 250 * time.Microsecond, JournalDelay: 500 * time.Microsecond, StartDelay: 60 * time.Millisecond, ShutdownTimeout: 2500 * time.Millisecond}

// maxSendJitter is the setting MaxSendJitter of the module: the additional delay with which a repeat may arrive.
const maxSendJitter = 250 * time.Millisecond

// trafficStart is the time at which the traffic of every run starts.
var trafficStart = time.Unix(1_800_000_000, 0)

// Result is the result of a run.
type Result struct {
	Ledger          *emulator.Recorder
	Start           time.Time
	End             time.Time
	Submitted       int
	Steps           int               // of all modules together
	CountsPerSecond []emulator.Counts // cumulative counts at the end of each second
}

// world is the state of a run in progress.
type world struct {
	emulator.Spec
	delays             Delays
	make               DeciderFactory
	now                time.Time
	queue              events
	sequence           int
	ledger             *emulator.Recorder
	channels           map[int64]*model.Channel
	channelOrder       []*model.Channel
	endpoints          map[raventrestle.TargetID]*endpoint
	couriers           []*courier
	front              *emulator.Balancer
	classes            map[string]*emulator.ClassSpec // by submission id
	lastID             int
	listedStates       []listedState // endpoints that are not listed as ready
	listRNG            *rand.Rand
	discoveryOutageEnd time.Time // discovery does not answer until then
	result             *Result
	err                error
}

type endpoint struct {
	*model.Endpoint
	dest            int64
	openConnections int // number of connections, in use or idle
	pools           []*pool
}

// pool contains, for each idle connection of a courier to an endpoint, the time at which it was last used.
type pool struct{ lastUsed []time.Time }

// listedState is the state of an endpoint in discovery's list.
type listedState struct {
	endpoint string
	state    raventrestle.Readiness
}

// event is an action at a time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// schedule schedules an action at a time.
func (w *world) schedule(t time.Time, action func()) {
	w.sequence++
	heap.Push(&w.queue, event{t, w.sequence, action})
}

func (w *world) scheduleAfter(d time.Duration, action func()) { w.schedule(w.now.Add(d), action) }

// Play plays a run. With a nil newModule it uses NewModule.
func Play(spec emulator.Spec, delays Delays, newModule DeciderFactory) (*Result, error) {
	if len(spec.Faults.Links)+len(spec.Faults.Processes) > 0 {
		return nil, errors.New("simulation: field faults: faults of links and processes are not supported")
	}
	if newModule == nil {
		newModule = NewModule
	}
	w := &world{
		Spec: spec, delays: delays, make: newModule, now: trafficStart.Add(-time.Second), ledger: emulator.NewRecorder(trafficStart),
		channels: map[int64]*model.Channel{}, endpoints: map[raventrestle.TargetID]*endpoint{}, classes: map[string]*emulator.ClassSpec{},
		front: emulator.NewBalancer(spec.Couriers, spec.FailureDetectionDelay, spec.Seed), listRNG: rand.New(rand.NewPCG(spec.Seed, 0x115)),
	}
	w.ledger.AfterFunc = func(d time.Duration, f func()) { w.scheduleAfter(d, f) }
	w.result = &Result{Ledger: w.ledger, Start: trafficStart}
	for _, channelSpec := range spec.Channels {
		channel := model.New(channelSpec, spec.Seed)
		w.channels[channelSpec.Dest], w.channelOrder = channel, append(w.channelOrder, channel)
		for _, model := range channel.Endpoints {
			target := &endpoint{Endpoint: model, dest: channelSpec.Dest}
			for range spec.Couriers {
				target.pools = append(target.pools, &pool{})
			}
			w.endpoints[raventrestle.TargetID(model.Name)] = target
		}
	}
	for n := range spec.Couriers {
		c, err := newCourier(w, n)
		if err != nil {
			return nil, err
		}
		w.couriers = append(w.couriers, c)
		c.start()
	}
	end := trafficStart.Add(spec.Traffic)
	for _, c := range spec.Classes {
		end = latest(end, trafficStart.Add(spec.Traffic+c.Deadline+time.Second))
	}
	w.scheduleSpec()
	for t := trafficStart.Add(time.Second); !t.After(end); t = t.Add(time.Second) {
		w.schedule(t, func() { w.result.CountsPerSecond = append(w.result.CountsPerSecond, w.ledger.Counts()) })
	}
	for len(w.queue) > 0 && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		if e.at.After(end) {
			break
		}
		w.now = latest(w.now, e.at)
		e.action()
	}
	w.result.End = end
	for _, c := range w.couriers {
		w.result.Steps += c.steps
	}
	return w.result, w.err
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scheduleSpec schedules the arrivals, faults, discovery outages and restarts of the run.
func (w *world) scheduleSpec() {
	plan := w.Plan()
	w.result.Submitted = len(plan)
	for _, arrival := range plan {
		w.schedule(trafficStart.Add(arrival.At), func() { w.submit(arrival.Message(trafficStart), arrival.Class, arrival.Courier, 0) })
	}
	for _, fault := range w.ChannelFaults {
		channel := w.channels[fault.Dest]
		if channel == nil {
			continue
		}
		setMode := func(mode model.Mode) {
			for _, e := range channel.Endpoints {
				e.SetMode(mode, w.now)
			}
		}
		start, end := trafficStart.Add(fault.At), trafficStart.Add(fault.At+fault.For)
		if fault.Drain {
			w.schedule(start, func() { w.setListedState(channel.Endpoints[0].Name, raventrestle.Draining) })
			w.schedule(end, func() { w.setListedState(channel.Endpoints[0].Name, raventrestle.Ready) })
			continue
		}
		w.schedule(start, func() {
			setMode(fault.Mode)
			for _, e := range channel.Endpoints {
				if e.Floor == fault.DeletedFloor {
					w.setListedState(e.Name, raventrestle.Removed)
				}
			}
		})
		w.schedule(end, func() { setMode(model.ModeHealthy) })
	}
	for _, outage := range w.DiscoveryOutages {
		w.schedule(trafficStart.Add(outage.At), func() {
			w.discoveryOutageEnd = w.now.Add(outage.For)
			for _, c := range w.couriers { // the watch of each courier ends
				c.post(raventrestle.ListUpdate{Kind: raventrestle.ListFailed})
			}
		})
	}
	for _, restart := range w.Restarts {
		c := w.couriers[restart.Courier]
		w.schedule(trafficStart.Add(restart.At), func() {
			if restart.Term {
				c.shutDown(restart.Down)
			} else {
				c.kill()
				w.scheduleAfter(restart.Down, c.start)
			}
		})
	}
}

// setListedState changes the state of an endpoint in discovery's list and notifies the couriers with a random delay.
func (w *world) setListedState(endpoint string, state raventrestle.Readiness) {
	w.listedStates = slices.DeleteFunc(w.listedStates, func(m listedState) bool { return m.endpoint == endpoint })
	if state != raventrestle.Ready {
		w.listedStates = append(w.listedStates, listedState{endpoint, state})
	}
	for _, c := range w.couriers {
		delay := w.ListDelay[0] + time.Duration(w.listRNG.Float64()*float64(w.ListDelay[1]-w.ListDelay[0]))
		at := latest(w.now, w.discoveryOutageEnd).Add(delay + w.delays.NetworkDelay)
		incarnation := c.incarnation
		w.schedule(at, func() {
			if c.incarnation == incarnation && c.up {
				c.updateListEntry(endpoint, state)
			}
		})
	}
}

func (w *world) listedStateOf(endpoint string) raventrestle.Readiness {
	for _, m := range w.listedStates {
		if m.endpoint == endpoint {
			return m.state
		}
	}
	return raventrestle.Ready
}

// submit submits a message to a courier. After a rejection it submits the message again to the next courier, until its
// deadline or the last retry.
func (w *world) submit(m *emulator.Message, class *emulator.ClassSpec, courier, retry int) {
	if w.now.After(m.Deadline) {
		return
	}
	receiver := w.front.Pick((courier+retry)%w.Couriers, w.now)
	w.lastID++
	id := fmt.Sprintf("t%08d", w.lastID)
	w.classes[id] = class
	w.ledger.Submit(m, id, receiver, w.now)
	respond := func(code int) {
		w.ledger.ClientAnswered(id, code, w.now)
		if code == 202 {
			return
		}
		if backoff, retried := emulator.RetryDelay(retry); retried {
			w.scheduleAfter(backoff, func() { w.submit(m, class, courier, retry+1) })
		}
	}
	c := w.couriers[receiver]
	w.scheduleAfter(w.delays.NetworkDelay, func() { c.submit(m, id, class, retry, respond) })
}

// receiveNotice handles a courier's notice that a message has ended. A deferred message is submitted again later.
func (w *world) receiveNotice(id, status string, retryAfter time.Duration, courier int) {
	if !w.ledger.RecordNotice(id, status, courier, w.now) || status != "deferred" {
		return
	}
	m, previousCourier := w.ledger.MessageOf(id)
	resubmitAt, resubmitted := emulator.ResubmitAt(retryAfter, previousCourier, w.now, m.Deadline)
	if resubmitted {
		w.schedule(resubmitAt, func() { w.submit(m, w.classes[id], previousCourier, 0) })
	}
}

// settings returns the platform's settings for a courier, parsed as the courier parses them.
func (w *world) settings(n int) (raventrestle.Settings, *config.Names, error) {
	text, err := json.Marshal(w.PlatformSettings(n))
	if err != nil {
		return raventrestle.Settings{}, nil, err
	}
	set, names, err := config.ParseSettings(text)
	set.MaxSendJitter = maxSendJitter
	return set, names, err
}
