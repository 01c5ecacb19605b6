package state

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/simnet"
)

// Histories of operators' changes and reads on the simulated chain, with all its faults, are checked for linearizability
// (porcupine) against the model in history_model_test.go.

// runHistory runs the history of a seed and checks its responses.
func runHistory(seed uint64, newMachine func() engine.StateMachine, localRejection bool) (p *clients, steps int, err error) {
	p = &clients{changes: changesByID{}, injectLocalRejection: localRejection}
	world, err := simnet.PlayEmbedded(seed, newMachine, func(site *simnet.Cluster) {
		p.site = site
		for operator := range clientCount {
			p.run(operator, 0)
		}
	})
	if err != nil {
		return p, world.Steps(), err
	}
	const checkTimeout = 20 * time.Second
	if result := porcupine.CheckOperationsTimeout(p.changes.model(), p.history, checkTimeout); result != porcupine.Ok {
		return p, world.Steps(), fmt.Errorf("seed %d: check of %d changes and reads: %v", seed, len(p.history), result)
	}
	return p, world.Steps(), nil
}

func correctMachine() engine.StateMachine { return New() }

// TestHistoriesAreLinearizable runs HISTORIES_SEEDS seeds from HISTORIES_FIRST on.
func TestHistoriesAreLinearizable(t *testing.T) {
	first, count := environmentInt(t, "HISTORIES_FIRST", 1), environmentInt(t, "HISTORIES_SEEDS", 12)
	operations, determinate, accepted, steps := 0, 0, 0, 0
	for seed := first; seed < first+count; seed++ {
		p, taken, err := runHistory(uint64(seed), correctMachine, false)
		if err != nil {
			t.Error(err)
		}
		steps += taken
		operations += len(p.history)
		for _, operation := range p.history {
			got := operation.Output.(response)
			if !got.indeterminate {
				determinate++
			}
			if _, is := got.result.(Accepted); is {
				accepted++
			}
		}
	}
	t.Logf("%d histories, %d steps, %d changes and reads, %d with a determinate response, %d accepted",
		count, steps, operations, determinate, accepted)
	if accepted == 0 {
		t.Error("0 changes were accepted, want some")
	}
}

func environmentInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// The injected faults below are machines of these tests only.

// memoryLostOnRestore forgets the accepted changes with each restart and snapshot.
type memoryLostOnRestore struct{ *Machine }

func (m memoryLostOnRestore) Restore(snapshot []byte) error {
	err := m.Machine.Restore(snapshot)
	m.log.changes, m.log.generationByFingerprint = nil, make(map[fingerprint]int64)
	return err
}

// identifiedByGeneration takes a change for an accepted one if their generations are equal.
type identifiedByGeneration struct{ *Machine }

func (m identifiedByGeneration) Apply(index uint64, command []byte) []byte {
	if change, err := decodeCommand(command); err == nil {
		var body struct{ Generation int64 }
		_ = json.Unmarshal(change.Body, &body) // an invalid one is rejected below
		for _, accepted := range m.log.changes {
			if accepted.version.Generation == body.Generation {
				return encodeResult(Accepted{Generation: body.Generation})
			}
		}
	}
	return m.Machine.Apply(index, command)
}

// baseVersionIgnored applies a change to the current version, whatever it builds on.
type baseVersionIgnored struct{ *Machine }

func (m baseVersionIgnored) Apply(index uint64, command []byte) []byte {
	change, err := decodeCommand(command)
	if err != nil {
		return m.Machine.Apply(index, command)
	}
	change.IfMatch = m.generation()
	rebased, err := NewCommand(change.Method, change.IfMatch, change.Body)
	if err != nil {
		return m.Machine.Apply(index, command)
	}
	return m.Machine.Apply(index, rebased)
}

// deduplicationDisabled recognises no accepted change.
type deduplicationDisabled struct{ *Machine }

func (m deduplicationDisabled) Apply(index uint64, command []byte) []byte {
	clear(m.log.generationByFingerprint)
	return m.Machine.Apply(index, command)
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	const seeds = 20
	for name, mutant := range map[string]struct {
		newMachine     func() engine.StateMachine
		localRejection bool
	}{
		"accepted changes lost at a restart":    {func() engine.StateMachine { return memoryLostOnRestore{New()} }, false},
		"changes identified by generation only": {func() engine.StateMachine { return identifiedByGeneration{New()} }, false},
		"base version ignored":                  {func() engine.StateMachine { return baseVersionIgnored{New()} }, false},
		"deduplication disabled":                {func() engine.StateMachine { return deduplicationDisabled{New()} }, false},
		"rejected without asking the chain":     {correctMachine, true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if _, _, err := runHistory(seed, mutant.newMachine, mutant.localRejection); err != nil {
					t.Logf("detected: %v", err)
					return
				}
			}
			t.Errorf("not detected in %d histories, want it detected", seeds)
		})
	}
}
