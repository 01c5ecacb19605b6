package simulation

import (
	"fmt"
	"slices"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
	"raventrestle/internal/emulator"
	"raventrestle/internal/emulator/model"
)

// courier simulates the process around a decision module. It carries out the module's actions and makes no decisions.
type courier struct {
	world        *world
	index        int
	settings     raventrestle.Settings
	names        *config.Names
	journal      map[string]*journalRecord // unfinished messages; it outlasts the incarnations
	journalOrder []string                  // ids in the order in which the journal received them
	module       Decider
	up           bool
	draining     bool
	incarnation  int
	steps        int
	mailbox      []raventrestle.Event
	nextStep     time.Time // time of the scheduled step; zero if none is scheduled
	lastStep     time.Time // time of the last step
	wakeAt       time.Time
	calls        []*call
}

// journalRecord is the journal's record of a message.
type journalRecord struct {
	id         string
	msg        *emulator.Message
	classIndex int
	classSpec  *emulator.ClassSpec
	sends      int
	pending    *attempt    // started, without an outcome
	mayHaveRun *attempt    // the first attempt that may have run at an endpoint
	ending     *messageEnd // set once the message has ended, until the platform has received the notice
}

type attempt struct {
	target    raventrestle.TargetID
	startedAt time.Time
}

type messageEnd struct {
	status     string
	retryAfter time.Duration
}

// call is a call in progress, which carries one or more sends.
type call struct {
	endpoint       *endpoint
	sends          []raventrestle.Send
	attemptNumbers map[raventrestle.MessageID]int // number of this attempt of the message, from 0
	startedAt      time.Time
	pending        map[raventrestle.MessageID]bool // sends without an outcome
	ledgerNumbers  map[raventrestle.MessageID]int  // numbers in the ledger of the sends that have arrived at the endpoint
	finished       bool                            // the connection was closed, or the endpoint has responded
	connected      bool                            // the call occupies a connection
}

func newCourier(w *world, n int) (*courier, error) {
	settings, names, err := w.settings(n)
	if err != nil {
		return nil, err
	}
	return &courier{world: w, index: n, settings: settings, names: names, journal: map[string]*journalRecord{}}, nil
}

// moduleTime returns the current time in the form that the module uses.
func (c *courier) moduleTime() time.Duration { return time.Duration(c.world.now.UnixNano()) }

// start starts a new incarnation, which is ready after StartDelay. It restores the messages of the journal.
func (c *courier) start() {
	w := c.world
	w.scheduleAfter(w.delays.StartDelay, func() {
		if c.up { // two restarts of this courier overlap
			return
		}
		module, err := w.make(c.index, c.settings, 0x9e3779b97f4a7c15+uint64(c.index))
		if err != nil {
			w.err = fmt.Errorf("simulation: n%d: %w", c.index, err)
			return
		}
		c.incarnation++
		c.module, c.up, c.draining, c.mailbox, c.wakeAt, c.lastStep, c.nextStep = module, true, false, nil, time.Time{}, time.Time{}, time.Time{}
		for _, channel := range w.channelOrder {
			for _, e := range channel.Endpoints {
				e.ClearWaits(c.index)
			}
		}
		w.ledger.CourierReady(c.index, w.now)
		w.front.Up(c.index)
		c.post(c.listUpdate(raventrestle.ListCached))
		for _, id := range slices.Clone(c.journalOrder) {
			record := c.journal[id]
			if record.ending != nil {
				c.sendNotice(record)
				continue
			}
			restored := raventrestle.Restored{Arrival: c.arrival(record, false), Attempts: record.sends}
			mayHaveRun := record.mayHaveRun
			if mayHaveRun == nil {
				mayHaveRun = record.pending
			} else {
				restored.AttemptFailed = true
			}
			if mayHaveRun != nil {
				restored.MayHaveRun, restored.RunTarget, restored.RunAt = true, mayHaveRun.target, time.Duration(mayHaveRun.startedAt.UnixNano())
				restored.RunZone = config.Index(c.names.Zones, w.endpoints[mayHaveRun.target].Floor)
			}
			c.post(restored)
		}
	})
}

// kill ends the incarnation immediately. Connections are reset, and what is not in the journal is lost.
func (c *courier) kill() {
	if !c.up {
		return
	}
	c.up, c.module = false, nil
	c.incarnation++
	c.world.ledger.CourierEnded(c.index, c.world.now)
	c.world.front.Down(c.index, c.world.now)
	c.abortCalls()
}

// abortCalls ends all calls and connections of the courier, because its process has ended.
func (c *courier) abortCalls() {
	for _, call := range c.calls {
		c.abortCall(call)
	}
	c.calls = nil
	for _, channel := range c.world.channelOrder {
		for _, model := range channel.Endpoints {
			endpoint := c.world.endpoints[raventrestle.TargetID(model.Name)]
			endpoint.openConnections -= len(endpoint.pools[c.index].lastUsed)
			endpoint.pools[c.index].lastUsed = nil
		}
	}
}

// shutDown ends the incarnation as SIGTERM does. It accepts no new messages, and ends when the journal is empty or at the
// latest after ShutdownTimeout. The next incarnation starts after the downtime.
func (c *courier) shutDown(downtime time.Duration) {
	w, incarnation := c.world, c.incarnation
	if !c.up {
		return
	}
	c.draining = true
	w.ledger.CourierEnded(c.index, w.now)
	w.front.Down(c.index, w.now)
	deadline := w.now.Add(w.delays.ShutdownTimeout)
	c.post(raventrestle.Shutdown{At: time.Duration(deadline.UnixNano())})
	const pollInterval = 20 * time.Millisecond
	var endWhenDone func()
	endWhenDone = func() {
		if c.incarnation != incarnation {
			return
		}
		if len(c.journal) > 0 && w.now.Before(deadline) {
			w.scheduleAfter(pollInterval, endWhenDone)
			return
		}
		c.up, c.module = false, nil
		c.incarnation++
		c.abortCalls()
		w.scheduleAfter(downtime, c.start)
	}
	w.scheduleAfter(700*time.Millisecond, endWhenDone)
}

// listUpdate returns discovery's list as an event, and records for each listed endpoint that is not ready that the courier
// knows of it.
func (c *courier) listUpdate(kind raventrestle.ListKind) raventrestle.ListUpdate {
	update := raventrestle.ListUpdate{Kind: kind}
	for _, channel := range c.world.channelOrder {
		for _, endpoint := range channel.Endpoints {
			state := c.world.listedStateOf(endpoint.Name)
			if state == raventrestle.Removed {
				continue
			}
			update.Entries = append(update.Entries, c.listEntry(channel, endpoint, state))
			if state != raventrestle.Ready {
				endpoint.NoteDraining(c.index, c.world.now)
			}
		}
	}
	return update
}

func (c *courier) listEntry(channel *model.Channel, endpoint *model.Endpoint, state raventrestle.Readiness) raventrestle.Entry {
	return raventrestle.Entry{
		Target: raventrestle.TargetID(endpoint.Name), Dest: raventrestle.DestID(channel.Dest), State: state,
		Kind: config.Index(c.names.Kinds, channel.Kind), Zone: config.Index(c.names.Zones, endpoint.Floor),
	}
}

// updateListEntry notifies the module of an endpoint's changed state in discovery's list.
func (c *courier) updateListEntry(endpoint string, state raventrestle.Readiness) {
	for _, channel := range c.world.channelOrder {
		for _, candidate := range channel.Endpoints {
			if candidate.Name != endpoint {
				continue
			}
			if state == raventrestle.Ready {
				candidate.NoteServing(c.index)
			} else {
				candidate.NoteDraining(c.index, c.world.now)
			}
			c.post(raventrestle.ListUpdate{Kind: raventrestle.ListChanges, Entries: []raventrestle.Entry{c.listEntry(channel, candidate, state)}})
		}
	}
}

// submit handles a client's request. The message is accepted once the journal contains it. A courier that shuts down or
// has MaxMessages messages rejects it.
func (c *courier) submit(message *emulator.Message, id string, class *emulator.ClassSpec, retry int, respond func(int)) {
	w := c.world
	switch {
	case !c.up:
		respond(0)
		return
	case c.draining || len(c.journal) >= c.settings.MaxMessages:
		w.scheduleAfter(w.delays.NetworkDelay, func() { respond(503) })
		return
	}
	record := &journalRecord{id: id, msg: message, classSpec: class, classIndex: config.Index(c.names.Classes, class.Name)}
	c.journal[id] = record
	c.journalOrder = append(c.journalOrder, id)
	incarnation := c.incarnation
	w.scheduleAfter(w.delays.JournalDelay, func() {
		if c.incarnation != incarnation { // the client got no response, and the next incarnation drops the message
			c.removeRecord(id)
			respond(0)
			return
		}
		respond(202)
		c.post(c.arrival(record, retry > 0))
	})
}

func (c *courier) arrival(record *journalRecord, resubmitted bool) raventrestle.Arrival {
	return raventrestle.Arrival{
		ID: raventrestle.MessageID(record.id), Class: record.classIndex, Tenant: config.Index(c.names.Tenants, record.msg.Tenant),
		Dest: raventrestle.DestID(record.msg.Dest), Budget: record.msg.Deadline.Sub(c.world.now), Resubmitted: resubmitted,
	}
}

// removeRecord removes a message from the journal.
func (c *courier) removeRecord(id string) {
	if c.journal[id] != nil {
		delete(c.journal, id)
		c.journalOrder = slices.Delete(c.journalOrder, slices.Index(c.journalOrder, id), slices.Index(c.journalOrder, id)+1)
	}
}

// post puts an event into the module's mailbox. The next step processes all events of the mailbox, at the earliest
// MinBatchInterval after the last step.
func (c *courier) post(e raventrestle.Event) {
	if c.up {
		c.mailbox = append(c.mailbox, e)
		c.scheduleStep(c.world.now)
	}
}

// scheduleStep schedules a step at the given time, unless an earlier one is scheduled.
func (c *courier) scheduleStep(at time.Time) {
	at = latest(at, c.lastStep.Add(c.settings.MinBatchInterval))
	if !c.nextStep.IsZero() && !c.nextStep.After(at) {
		return
	}
	c.nextStep = at
	incarnation := c.incarnation
	c.world.schedule(at, func() {
		if c.incarnation == incarnation && c.up && c.nextStep.Equal(at) {
			c.step()
		}
	})
}

// step passes all events of the mailbox to the module, list updates and outcomes first, and carries out its actions.
func (c *courier) step() {
	w := c.world
	c.nextStep, c.lastStep = time.Time{}, w.now
	var lists, outcomes, others []raventrestle.Event
	for _, e := range c.mailbox {
		switch e.(type) {
		case raventrestle.ListUpdate:
			lists = append(lists, e)
		case raventrestle.Outcome:
			outcomes = append(outcomes, e)
		default:
			others = append(others, e)
		}
	}
	c.mailbox = nil
	events := slices.Concat(lists, outcomes, others)
	if !c.wakeAt.IsZero() && !c.wakeAt.After(w.now) {
		c.wakeAt = time.Time{}
		events = append(events, raventrestle.Wake{})
	}
	c.steps++
	var calls []*call
	for _, action := range c.module.Step(c.moduleTime(), events) {
		switch action := action.(type) {
		case raventrestle.Send:
			calls = c.addSend(action, calls)
		case raventrestle.Refuse:
			c.endMessage(string(action.ID), "deferred", action.RetryAfter)
		case raventrestle.Fail:
			c.endMessage(string(action.ID), "undeliverable", 0)
		case raventrestle.CloseIdle:
			if endpoint := w.endpoints[action.Target]; endpoint != nil {
				endpoint.openConnections -= len(endpoint.pools[c.index].lastUsed)
				endpoint.pools[c.index].lastUsed = nil
			}
		case raventrestle.Cancel:
			for _, call := range slices.Clone(c.calls) {
				if len(call.sends) == 1 && call.sends[0].ID == action.ID {
					c.failCall(call, raventrestle.Canceled)
				}
			}
		case raventrestle.Subscribe:
			c.subscribe()
		case raventrestle.WakeAt:
			if at := time.Unix(0, int64(action.At)); c.wakeAt.IsZero() || at.Before(c.wakeAt) {
				c.wakeAt = at
			}
		}
	}
	if !c.wakeAt.IsZero() {
		c.scheduleStep(c.wakeAt)
	}
	incarnation := c.incarnation
	for _, call := range calls {
		c.calls = append(c.calls, call)
		w.scheduleAfter(w.delays.JournalDelay, func() {
			if c.incarnation == incarnation {
				c.sendCall(call)
			}
		})
	}
}

// subscribe requests the list from discovery.
func (c *courier) subscribe() {
	w, incarnation := c.world, c.incarnation
	w.scheduleAfter(2*w.delays.NetworkDelay, func() {
		if c.incarnation != incarnation || !c.up {
			return
		}
		if w.now.Before(w.discoveryOutageEnd) {
			c.post(raventrestle.ListUpdate{Kind: raventrestle.ListFailed})
			return
		}
		c.post(c.listUpdate(raventrestle.ListSnapshot))
	})
}

// addSend records the attempt in the journal and adds the send to a call of this step to the same endpoint, or to a new
// call if there is none with room.
func (c *courier) addSend(send raventrestle.Send, calls []*call) []*call {
	record, endpoint := c.journal[string(send.ID)], c.world.endpoints[send.Target]
	attemptNumber := 0
	if record != nil {
		attemptNumber = record.sends
		record.sends++
	}
	if endpoint == nil || record != nil && endpoint.dest != record.msg.Dest && c.world.channels[endpoint.dest] == nil {
		c.post(raventrestle.Outcome{ID: send.ID, Target: send.Target, Attempt: attemptNumber, Status: raventrestle.NotSent})
		return calls
	}
	if record != nil {
		if record.mayHaveRun == nil { // an attempt that was in progress when the last incarnation ended may have run
			record.mayHaveRun = record.pending
		}
		record.pending = &attempt{send.Target, c.world.now}
	}
	maxBatch := max(c.world.channels[endpoint.dest].Bulk, 1)
	i := slices.IndexFunc(calls, func(call *call) bool {
		return call.endpoint == endpoint && len(call.sends) < maxBatch && !call.pending[send.ID]
	})
	if i < 0 {
		i = len(calls)
		calls = append(calls, &call{
			endpoint: endpoint, attemptNumbers: map[raventrestle.MessageID]int{}, pending: map[raventrestle.MessageID]bool{},
			ledgerNumbers: map[raventrestle.MessageID]int{},
		})
	}
	x := calls[i]
	x.sends, x.attemptNumbers[send.ID], x.pending[send.ID] = append(x.sends, send), attemptNumber, true
	return calls
}

// endMessage records the end of a message in the journal and then notifies the platform.
func (c *courier) endMessage(id, status string, retryAfter time.Duration) {
	record := c.journal[id]
	if record == nil { // the message has already ended; the platform still receives the notice
		c.world.scheduleAfter(c.world.delays.JournalDelay+c.world.delays.NetworkDelay, func() { c.world.receiveNotice(id, status, retryAfter, c.index) })
		return
	}
	record.ending = &messageEnd{status, retryAfter}
	incarnation := c.incarnation
	c.world.scheduleAfter(c.world.delays.JournalDelay, func() {
		if c.incarnation == incarnation {
			c.sendNotice(record)
		}
	})
}

// sendNotice notifies the platform of a message's end and then removes the message from the journal.
func (c *courier) sendNotice(record *journalRecord) {
	incarnation := c.incarnation
	c.world.scheduleAfter(c.world.delays.NetworkDelay, func() {
		if c.incarnation == incarnation {
			c.world.receiveNotice(record.id, record.ending.status, record.ending.retryAfter, c.index)
			c.removeRecord(record.id)
		}
	})
}
