package systemsim

import (
	"errors"
	"time"

	"raventrestle/internal/protocol"
	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/subscription"
)

var errConnectionEnded = errors.New("the connection has ended")

const (
	naiveBeaconTimeout = 750 * time.Millisecond
	naiveInterval      = 100 * time.Millisecond
)

// naiveDecider follows the first instance that answers and never asks how old its proof is, as routers did before proofs of
// freshness were stated. It is the mutant FollowFirst: the checks must find it.
type naiveDecider struct {
	router      *router
	addresses   []string
	next        int
	connection  subscription.ConnectionID // zero: none
	receivedAt  time.Time
	dialAt      time.Time
	sequence    uint64
	generation  int64
	applying    bool
	pending     []*protocol.Update
	out         subscription.Output
	now         time.Time
	connections subscription.ConnectionID
}

func newNaiveDecider(r *router) *naiveDecider {
	d := &naiveDecider{router: r, addresses: r.world.seedAddresses()}
	r.world.random.Shuffle(len(d.addresses), func(i, j int) {
		d.addresses[i], d.addresses[j] = d.addresses[j], d.addresses[i]
	})
	return d
}

// Step implements decider.
func (d *naiveDecider) Step(now time.Time, inputs ...subscription.Input) subscription.Output {
	d.out, d.now = subscription.Output{}, now
	for _, input := range inputs {
		d.apply(input)
	}
	switch {
	case d.connection == 0 && !now.Before(d.dialAt):
		d.dial()
	case d.connection != 0 && now.Sub(d.receivedAt) > naiveBeaconTimeout:
		d.leave()
	}
	d.applyNext()
	d.out.WakeAt = now.Add(naiveInterval)
	d.out.Ready = d.generation > 0
	return d.out
}

func (d *naiveDecider) dial() {
	d.connections++
	d.connection = d.connections
	d.receivedAt, d.sequence = d.now, 0
	d.out.Dial = append(d.out.Dial,
		subscription.Dial{Connection: d.connection, Address: d.addresses[d.next%len(d.addresses)]})
	d.next++
}

func (d *naiveDecider) leave() {
	d.out.Close = append(d.out.Close, d.connection)
	d.connection, d.pending = 0, nil
	d.dialAt = d.now.Add(naiveInterval / 2)
}

func (d *naiveDecider) apply(input subscription.Input) {
	switch in := input.(type) {
	case subscription.ConnectionOpened:
		d.send(in.Connection, protocol.Subscribe{
			Node: d.router.address, Zone: zoneName(d.router.zone),
			Incarnation: uint64(d.router.incarnation), Generation: d.generation, Ready: d.generation > 0,
		})
	case subscription.ConnectionClosed:
		if in.Connection == d.connection {
			d.leave()
		}
	case subscription.MessageReceived:
		if in.Connection != d.connection {
			return
		}
		d.receivedAt = d.now
		if update, isUpdate := in.Message.(*protocol.Update); isUpdate {
			d.pending = append(d.pending, update)
		}
	case subscription.ChangeApplied:
		d.applying = false
		if d.connection != 0 {
			d.send(d.connection, protocol.UpdateAck{Sequence: d.sequence})
		}
	}
}

func (d *naiveDecider) send(to subscription.ConnectionID, message any) {
	d.out.Send = append(d.out.Send, subscription.Send{Connection: to, Message: message})
}

func (d *naiveDecider) applyNext() {
	if d.applying || len(d.pending) == 0 {
		return
	}
	update := d.pending[0]
	d.pending = d.pending[1:]
	d.sequence = update.Sequence
	d.addMembers(update.Members)
	change := &subscription.Change{
		View: dispatch.ViewChanged{Full: update.Snapshot, Endpoints: update.Endpoints, RouterCount: update.RouterCount},
	}
	if update.Generation > d.generation && len(update.Document) > 0 {
		change.Generation, change.Document = update.Generation, update.Document
		d.generation = update.Generation
	}
	d.applying = true
	d.out.Apply = change
}

func (d *naiveDecider) addMembers(members []protocol.Member) {
	for _, member := range members {
		known := false
		for _, address := range d.addresses {
			known = known || address == member.Address
		}
		if !known {
			d.addresses = append(d.addresses, member.Address)
		}
	}
}
