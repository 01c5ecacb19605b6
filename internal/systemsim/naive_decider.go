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

// naiveDecider is a router that settles with whoever answers first and never asks how old that is: as routers did before
// ages were stated. The checks must find it.
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
	b := &naiveDecider{router: r, addresses: r.world.seedAddresses()}
	r.world.random.Shuffle(len(b.addresses), func(i, j int) {
		b.addresses[i], b.addresses[j] = b.addresses[j], b.addresses[i]
	})
	return b
}

// Step implements decider.
func (b *naiveDecider) Step(now time.Time, inputs ...subscription.Input) subscription.Output {
	b.out, b.now = subscription.Output{}, now
	for _, input := range inputs {
		b.apply(input)
	}
	switch {
	case b.connection == 0 && !now.Before(b.dialAt):
		b.dial()
	case b.connection != 0 && now.Sub(b.receivedAt) > naiveBeaconTimeout:
		b.leave()
	}
	b.applyNext()
	b.out.WakeAt = now.Add(naiveInterval)
	b.out.Ready = b.generation > 0
	return b.out
}

func (b *naiveDecider) dial() {
	b.connections++
	b.connection = b.connections
	b.receivedAt, b.sequence = b.now, 0
	b.out.Dial = append(b.out.Dial,
		subscription.Dial{Connection: b.connection, Address: b.addresses[b.next%len(b.addresses)]})
	b.next++
}

func (b *naiveDecider) leave() {
	b.out.Close = append(b.out.Close, b.connection)
	b.connection, b.pending = 0, nil
	b.dialAt = b.now.Add(naiveInterval / 2)
}

func (b *naiveDecider) apply(input subscription.Input) {
	switch in := input.(type) {
	case subscription.ConnectionOpened:
		b.send(in.Connection, protocol.Subscribe{
			Node: b.router.address, Zone: zoneName(b.router.zone),
			Incarnation: uint64(b.router.incarnation), Generation: b.generation, Ready: b.generation > 0,
		})
	case subscription.ConnectionClosed:
		if in.Connection == b.connection {
			b.leave()
		}
	case subscription.MessageReceived:
		if in.Connection != b.connection {
			return
		}
		b.receivedAt = b.now
		if update, isUpdate := in.Message.(*protocol.Update); isUpdate {
			b.pending = append(b.pending, update)
		}
	case subscription.ChangeApplied:
		b.applying = false
		if b.connection != 0 {
			b.send(b.connection, protocol.UpdateAck{Sequence: b.sequence})
		}
	}
}

func (b *naiveDecider) send(to subscription.ConnectionID, message any) {
	b.out.Send = append(b.out.Send, subscription.Send{Connection: to, Message: message})
}

func (b *naiveDecider) applyNext() {
	if b.applying || len(b.pending) == 0 {
		return
	}
	update := b.pending[0]
	b.pending = b.pending[1:]
	b.sequence = update.Sequence
	b.addMembers(update.Members)
	change := &subscription.Change{
		View: dispatch.ViewChanged{Full: update.Snapshot, Endpoints: update.Endpoints, Routers: update.RouterCount},
	}
	if update.Generation > b.generation && len(update.Document) > 0 {
		change.Generation, change.Document = update.Generation, update.Document
		b.generation = update.Generation
	}
	b.applying = true
	b.out.Apply = change
}

func (b *naiveDecider) addMembers(members []protocol.Member) {
	for _, member := range members {
		known := false
		for _, address := range b.addresses {
			known = known || address == member.Address
		}
		if !known {
			b.addresses = append(b.addresses, member.Address)
		}
	}
}
