package simnet

import (
	"slices"
	"sort"
	"time"

	"raventrestle/coordination/chain"
)

// contacts is what the world has seen of acknowledgements and promises, to check the proofs of the members against.
type contacts struct {
	acked    []ackedMoment            // both rise
	promised map[string]uint64        // newest epoch that a voter has promised to decide, by identity
	voters   map[uint64][]string      // by epoch, while it isn't over
	over     map[uint64]time.Duration // when the voters without a promise of a later epoch were no majority any more
}

// ackedMoment is when a client was told of an index that is above all before.
type ackedMoment struct {
	at    time.Duration
	index uint64
}

func newContacts() contacts {
	return contacts{promised: map[string]uint64{}, voters: map[uint64][]string{}, over: map[uint64]time.Duration{}}
}

// acknowledged notes what a client was told.
func (c *contacts) acknowledged(at time.Duration, index uint64) {
	if len(c.acked) == 0 || index > c.acked[len(c.acked)-1].index {
		c.acked = append(c.acked, ackedMoment{at: at, index: index})
	}
}

// newestBefore is the highest index that a client was told before the moment.
func (c *contacts) newestBefore(moment time.Duration) uint64 {
	later := sort.Search(len(c.acked), func(i int) bool { return c.acked[i].at >= moment })
	if later == 0 {
		return 0
	}
	return c.acked[later-1].index
}

// observe notes the voters of the node's view and what the node has promised.
func (c *contacts) observe(now time.Duration, node *chain.Node) {
	v := node.View()
	if _, over := c.over[v.Epoch]; !over && c.voters[v.Epoch] == nil {
		for _, voter := range v.Voters {
			c.voters[v.Epoch] = append(c.voters[v.Epoch], voter.Identity)
		}
	}
	identity, promised := node.Self().Identity, node.PromisedEpoch()
	if promised <= c.promised[identity] {
		return
	}
	c.promised[identity] = promised
	for epoch, voters := range c.voters {
		if c.left(epoch, voters) <= len(voters)/2 {
			c.over[epoch] = now
			delete(c.voters, epoch)
		}
	}
}

// left counts the voters of an epoch that have promised no later one.
func (c *contacts) left(epoch uint64, voters []string) int {
	left := 0
	for _, voter := range voters {
		if c.promised[voter] <= epoch {
			left++
		}
	}
	return left
}

// checkContact checks what a machine proves after a step of its: at the moment that it tells a majority was in its
// epoch, and all that was acknowledged before it is applied.
func (w *World) checkContact(m *machine) {
	node := m.engine.Node()
	w.ledger.contacts.observe(w.now, node)
	epoch, confirmed := node.View().Epoch, node.ConfirmedAt(m.local())
	entered := epoch != m.epoch
	m.epoch = epoch
	if confirmed == 0 {
		return
	}
	moment := m.moment(confirmed)
	if entered && node.View().Majority() > 1 {
		w.fail("%s enters epoch %d with a proof of %.3f s", m.address, epoch, moment.Seconds())
	}
	if moment > w.now {
		w.fail("%s proves its contact of %.3f s", m.address, moment.Seconds())
	}
	if over, known := w.ledger.contacts.over[epoch]; known && over < moment {
		w.fail("%s proves its contact in epoch %d of %.3f s, which was over at %.3f s",
			m.address, epoch, moment.Seconds(), over.Seconds())
	}
	if newest := w.ledger.contacts.newestBefore(moment); newest > m.state.last {
		w.fail("%s proves to know all of %.3f s and has applied %d, but %d was acknowledged before",
			m.address, moment.Seconds(), m.state.last, newest)
	}
}

// age is how old the knowledge of a machine is by its own proof.
func (m *machine) age() (time.Duration, bool) {
	if m.engine == nil {
		return 0, false
	}
	confirmed := m.engine.Node().ConfirmedAt(m.local())
	return m.local() - confirmed, confirmed > 0
}

// confirmedAfter tells whether a machine proves a contact from after the moment.
func (m *machine) confirmedAfter(moment time.Duration) bool {
	age, known := m.age()
	return known && m.moment(m.local()-age) > moment
}

// others are all machines but these.
func (w *World) others(but ...*machine) []*machine {
	var others []*machine
	for _, m := range w.machines {
		if !slices.Contains(but, m) {
			others = append(others, m)
		}
	}
	return others
}
