package systemsim

import (
	"fmt"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/protocol"
	"raventrestle/internal/router/subscription"
)

const dialTimeout = 350 * time.Millisecond

// decider decides which instance a router follows; *subscription.Decider is one.
type decider interface {
	Step(now time.Time, inputs ...subscription.Input) subscription.Output
}

// router is one router: its decider, its connections, and what is in force.
type router struct {
	process
	decider decider
	inputs  []subscription.Input // since the newest step
	stepAt  time.Duration        // virtual time of the planned step; zero: none is planned
	streams map[subscription.ConnectionID]*stream
	ids     map[*stream]subscription.ConnectionID

	table       table
	generation  int64         // of the configuration in force
	confirmedAt time.Duration // of the proof that it has, in virtual time; zero: none
	ready       bool

	pathSince time.Duration // since when it has paths to all instances that reach a majority; never: it has not
}

func newRouter(w *World, number int) *router {
	r := &router{pathSince: never}
	r.process = process{
		world: w, address: fmt.Sprintf("10.%d.1.%d:7500", number%zones, number), zone: number % zones,
		receive: r.receive, opened: r.streamOpened, ended: r.streamEnded,
	}
	r.thawed = func() { r.scheduleStep(0) }
	return r
}

func (r *router) start() {
	if r.running || r.world.failure != nil {
		return
	}
	r.begin()
	r.decider = r.world.newDecider(r)
	r.inputs, r.stepAt = nil, 0
	r.streams = make(map[subscription.ConnectionID]*stream)
	r.ids = make(map[*stream]subscription.ConnectionID)
	r.table = newTable()
	r.generation, r.confirmedAt, r.ready = 0, 0, false
	r.scheduleStep(0)
}

func (r *router) crash() {
	if r.running {
		r.world.tracef("%s crashes", r.address)
		r.end(true)
	}
}

// scheduleStep plans the next step after the delay at the latest.
func (r *router) scheduleStep(delay time.Duration) {
	now := r.world.Now()
	at := now + max(0, delay)
	if r.stepAt > now && r.stepAt <= at {
		return
	}
	r.stepAt = at
	r.after(at-now, func() {
		if r.stepAt == at {
			r.stepAt = 0
			r.step()
		}
	})
}

// enqueue gives the decider an input. It waits for a moment, as in the queue of the real router.
func (r *router) enqueue(input subscription.Input) {
	r.inputs = append(r.inputs, input)
	r.scheduleStep(r.world.between(10*time.Microsecond, 300*time.Microsecond))
}

// step has the decider step and carries out its output.
func (r *router) step() {
	w := r.world
	r.countStep()
	inputs := r.inputs
	r.inputs = nil
	out := r.decider.Step(r.clock(), inputs...)
	for _, dial := range out.Dial {
		r.dial(dial)
	}
	for _, send := range out.Send {
		if s := r.streams[send.Connection]; s != nil {
			s.endOf(&r.process).send(copyOfRequest(send.Message))
		}
	}
	for _, id := range out.Close {
		if s := r.streams[id]; s != nil {
			delete(r.streams, id)
			delete(r.ids, s)
			s.endOf(&r.process).close()
		}
	}
	if out.Apply != nil {
		change := out.Apply
		r.after(w.between(50*time.Microsecond, 2*time.Millisecond), func() { r.apply(change) })
	}
	if out.ReadSeeds {
		r.enqueue(subscription.SeedsRead{Addresses: w.seedAddresses()})
	}
	for _, event := range out.Events {
		w.tracef("%s: %T%+v", r.address, event, event)
	}
	r.ready = out.Ready
	r.claim(out.FreshAsOf)
	if !out.WakeAt.IsZero() {
		r.scheduleStep(out.WakeAt.Sub(r.clock()))
	}
}

// claim takes in as of when the router takes its state to be fresh, and checks that.
func (r *router) claim(confirmedAt time.Time) {
	if confirmedAt.IsZero() {
		return
	}
	r.confirmedAt = r.worldTime(confirmedAt)
	r.world.checkClaim(r.address, r.confirmedAt, r.generation)
}

func (r *router) dial(dial subscription.Dial) {
	to := r.world.instanceAt(dial.Address)
	if to == nil {
		r.enqueue(subscription.ConnectionClosed{Connection: dial.Connection})
		return
	}
	s := r.world.network.dial(&r.process, &to.process, dialTimeout)
	r.streams[dial.Connection], r.ids[s] = s, dial.Connection
}

// copyOfRequest returns a message as it is received: by pointer.
func copyOfRequest(message any) any {
	switch m := message.(type) {
	case protocol.Subscribe:
		return &m
	case protocol.UpdateAck:
		return &m
	case protocol.Probe:
		return &m
	case protocol.Report:
		return &m
	}
	return message
}

func (r *router) receive(s *stream, message any) {
	if id, known := r.ids[s]; known {
		r.enqueue(subscription.MessageReceived{Connection: id, Message: r.world.mutateMessage(message)})
	}
}

func (r *router) streamOpened(s *stream) {
	if id, known := r.ids[s]; known {
		r.enqueue(subscription.ConnectionOpened{Connection: id})
	}
}

func (r *router) streamEnded(s *stream) {
	if id, known := r.ids[s]; known {
		delete(r.ids, s)
		delete(r.streams, id)
		r.enqueue(subscription.ConnectionClosed{Connection: id, Err: errConnectionEnded})
	}
}

// apply puts a change in force, and checks that the version does not fall.
func (r *router) apply(change *subscription.Change) {
	if change.Document != nil {
		content := r.parse(change)
		generation := content.Generation
		if generation < r.generation {
			r.world.fail(ruleMonotone, "%s goes back from version %d to %d", r.address, r.generation, generation)
		}
		r.world.checkContent(r.address, content)
		r.generation = generation
		r.world.tracef("%s has version %d in force", r.address, generation)
	}
	r.table.merge(&change.View)
	r.enqueue(subscription.ChangeApplied{})
}

// parse reads the configuration of a change.
func (r *router) parse(change *subscription.Change) *configuration.Configuration {
	document, err := protocol.DecompressDocument(change.Document)
	if err == nil {
		var content *configuration.Configuration
		if content, err = configuration.Parse(document); err == nil {
			return content
		}
	}
	r.world.fail(ruleContent, "%s got a document that can't be read: %v", r.address, err)
	return &configuration.Configuration{Generation: change.Generation}
}
