package state

import (
	"fmt"
	"testing"
	"time"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/simnet"
	"raventrestle/internal/control/shares"
)

// sharesClient registers holders and assigns shares to them on the simulated chain, and reads the table. At some of its
// acknowledgements all processes end.
type sharesClient struct {
	site        *simnet.Cluster
	power       bool
	ends        int    // how often all processes still end
	sequence    uint64 // newest that was acknowledged or read
	assignments int
	reads       int
	failure     error
}

const (
	holderCount            = 3
	assignmentsBetweenEnds = 4 // on average
)

// run goes on with the next step until the simulated time for clients is over.
func (c *sharesClient) run() {
	if c.site.Now() >= c.site.ClientsUntil {
		return
	}
	next := func() { c.site.After(time.Duration(20+c.site.RandomInt(300))*time.Millisecond, c.run) }
	ended := false
	end := func() {
		if !ended {
			ended = true
			next()
		}
	}
	c.site.After(responseTimeout, end) // the process that was asked may have ended
	if c.site.RandomInt(2) == 0 {
		c.read(end)
	} else {
		c.propose(end)
	}
}

// propose registers a holder or assigns all shares to one.
func (c *sharesClient) propose(end func()) {
	holder := fmt.Sprintf("control-%d", c.site.RandomInt(holderCount))
	command, err := NewRegistration(holder)
	sequence := c.sequence
	if c.site.RandomInt(3) > 0 {
		sequence++
		command, err = NewAssignment(shares.Assignment{Sequence: sequence, Holders: []string{holder}, Owners: ownersOf(holder)})
	}
	if err != nil {
		c.fail("command for %s: %v", holder, err)
		return
	}
	c.site.Propose(command, func(encoded []byte, err error) {
		result, decodeErr := DecodeResult(encoded)
		if accepted, is := result.(Accepted); is && err == nil && decodeErr == nil && uint64(accepted.Generation) > c.sequence {
			c.sequence = uint64(accepted.Generation)
			c.assignments++
			c.maybeEndAll()
		}
		end()
	})
}

func (c *sharesClient) maybeEndAll() {
	if c.ends == 0 || c.site.RandomInt(assignmentsBetweenEnds) > 0 {
		return
	}
	c.ends--
	c.site.EndAll(c.power)
}

// read reads the table after a barrier. It is never older than what was acknowledged before, and the same table for the
// same sequence.
func (c *sharesClient) read(end func()) {
	before := c.sequence
	c.site.Read(func(machine engine.StateMachine) {
		table := machine.(interface{ Shares() shares.Table }).Shares()
		c.reads++
		if table.Sequence < before {
			c.fail("read table %d after table %d was acknowledged", table.Sequence, before)
		}
		c.sequence = max(c.sequence, table.Sequence)
		end()
	})
}

func (c *sharesClient) fail(format string, values ...any) {
	if c.failure == nil {
		c.failure = fmt.Errorf("at %v: %s", c.site.Now(), fmt.Sprintf(format, values...))
	}
}

// runSharesHistory plays a history in which all processes end the given number of times.
func runSharesHistory(seed uint64, newMachine func() engine.StateMachine, ends int, power bool) (*sharesClient, error) {
	c := &sharesClient{power: power, ends: ends}
	_, err := simnet.PlayEmbedded(seed, newMachine, func(site *simnet.Cluster) {
		c.site = site
		c.run()
	})
	if err == nil {
		err = c.failure
	}
	return c, err
}

// TestAcknowledgedSharesOutliveAllProcesses ends all processes at the moment at which a change of the shares' owners is
// acknowledged, several times in each history.
func TestAcknowledgedSharesOutliveAllProcesses(t *testing.T) {
	const ends, seeds = 3, 12
	for name, power := range map[string]bool{"kill": false, "loss of power": true} {
		t.Run(name, func(t *testing.T) {
			changes := 0
			for seed := uint64(1); seed <= seeds; seed++ {
				c, err := runSharesHistory(seed, correctMachine, ends, power)
				switch {
				case err != nil:
					t.Errorf("seed %d: %v", seed, err)
				case c.ends > 0 || c.reads == 0:
					t.Errorf("seed %d: all processes ended %d times too few, %d reads", seed, c.ends, c.reads)
				}
				changes += c.assignments
			}
			t.Logf("%d histories, %d changes", seeds, changes)
		})
	}
}

// sharesLostOnRestore forgets the shares with each restart and snapshot; a machine of this test only.
type sharesLostOnRestore struct{ *Machine }

func (m sharesLostOnRestore) Restore(snapshot []byte) error {
	err := m.Machine.Restore(snapshot)
	m.shares = shares.Table{}
	return err
}

func TestForgottenSharesAreDetected(t *testing.T) {
	const ends, seeds = 3, 20
	for seed := uint64(1); seed <= seeds; seed++ {
		if _, err := runSharesHistory(seed, func() engine.StateMachine { return sharesLostOnRestore{New()} }, ends, false); err != nil {
			t.Logf("detected: seed %d: %v", seed, err)
			return
		}
	}
	t.Errorf("not detected in %d histories, want it detected", seeds)
}
