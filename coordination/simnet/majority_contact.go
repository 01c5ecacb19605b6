package simnet

import (
	"slices"
	"sort"
	"time"

	"raventrestle/coordination/chain"
)

// majorityContacts is the part of the reference model against which the majority contact of a member is checked: when what
// was acknowledged, and which epochs can't have a majority any more.
type majorityContacts struct {
	acknowledgements []acknowledgement        // of rising times and indexes
	promised         map[string]uint64        // newest epoch that a voter has promised to decide, by identity
	voters           map[uint64][]string      // of an epoch that isn't over
	over             map[uint64]time.Duration // by epoch: since when too few voters have promised no later one
}

// acknowledgement is a moment at which a client received the result of an index above all before.
type acknowledgement struct {
	at    time.Duration
	index uint64
}

func newMajorityContacts() majorityContacts {
	return majorityContacts{promised: map[string]uint64{}, voters: map[uint64][]string{}, over: map[uint64]time.Duration{}}
}

// noteAcknowledged notes that a client has the result of the index.
func (c *majorityContacts) noteAcknowledged(at time.Duration, index uint64) {
	if len(c.acknowledgements) == 0 || index > c.acknowledgements[len(c.acknowledgements)-1].index {
		c.acknowledgements = append(c.acknowledgements, acknowledgement{at: at, index: index})
	}
}

// newestBefore returns the highest index that was acknowledged before the moment.
func (c *majorityContacts) newestBefore(moment time.Duration) uint64 {
	later := sort.Search(len(c.acknowledgements), func(i int) bool { return c.acknowledgements[i].at >= moment })
	if later == 0 {
		return 0
	}
	return c.acknowledgements[later-1].index
}

// observe notes the voters of the node's view, and the newest epoch that the node has promised to decide.
func (c *majorityContacts) observe(now time.Duration, node *chain.Node) {
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
		if c.votersWithoutPromise(epoch, voters) <= len(voters)/2 {
			c.over[epoch] = now
			delete(c.voters, epoch)
		}
	}
}

// votersWithoutPromise counts the voters of an epoch that have promised no later one.
func (c *majorityContacts) votersWithoutPromise(epoch uint64, voters []string) int {
	left := 0
	for _, voter := range voters {
		if c.promised[voter] <= epoch {
			left++
		}
	}
	return left
}

// checkMajorityContact checks the majority contact of a machine after its step: at that moment a majority of the voters was
// in its epoch, and everything that was acknowledged before it is applied.
func (w *World) checkMajorityContact(m *machine) {
	node := m.engine.Node()
	w.model.contacts.observe(w.now, node)
	epoch, confirmed := node.View().Epoch, node.ConfirmedAt(m.localTime())
	entered := epoch != m.lastEpoch
	m.lastEpoch = epoch
	if confirmed == 0 {
		return
	}
	moment := m.worldTime(confirmed)
	if entered && node.View().Majority() > 1 {
		w.fail("%s enters epoch %d with a majority contact of %.3f s", m.address, epoch, moment.Seconds())
	}
	if moment > w.now {
		w.fail("%s has a majority contact of %.3f s, which is in the future", m.address, moment.Seconds())
	}
	if over, known := w.model.contacts.over[epoch]; known && over < moment {
		w.fail("%s has a majority contact in epoch %d of %.3f s, which was over at %.3f s",
			m.address, epoch, moment.Seconds(), over.Seconds())
	}
	if newest := w.model.contacts.newestBefore(moment); newest > m.stateMachine.lastApplied {
		w.fail("%s has a majority contact of %.3f s and has applied %d, but %d was acknowledged before",
			m.address, moment.Seconds(), m.stateMachine.lastApplied, newest)
	}
}

// contactAge returns the age of the majority contact of a machine. It reports false when there is none.
func (m *machine) contactAge() (time.Duration, bool) {
	if m.engine == nil {
		return 0, false
	}
	confirmed := m.engine.Node().ConfirmedAt(m.localTime())
	return m.localTime() - confirmed, confirmed > 0
}

// confirmedAfter reports whether the majority contact of a machine is newer than the moment.
func (m *machine) confirmedAfter(moment time.Duration) bool {
	age, known := m.contactAge()
	return known && m.worldTime(m.localTime()-age) > moment
}

// others returns all machines except the given ones.
func (w *World) others(except ...*machine) []*machine {
	var others []*machine
	for _, m := range w.machines {
		if !slices.Contains(except, m) {
			others = append(others, m)
		}
	}
	return others
}
