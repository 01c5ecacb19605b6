package systemsim

import "time"

// Phases of a history.
const (
	startupTime  = 4 * time.Second
	faultTime    = 25 * time.Second
	recoveryTime = 7 * time.Second // without faults, at the end
)

// SetupOf returns the setup of a seed's history.
func SetupOf(seed uint64) Setup {
	return Setup{Seed: seed, Instances: 3 + int(seed%3), Routers: 4, Endpoints: 4, Operators: 2}
}

// Simulate simulates a history and returns its end and the first violation, if any.
func Simulate(setup Setup) (*World, error) {
	w := NewWorld(setup)
	if err := w.Run(startupTime); err != nil {
		return w, err
	}
	w.injectFaults(w.Now() + faultTime)
	if err := w.Run(faultTime); err != nil {
		return w, err
	}
	return w, w.Finish()
}

// Finish heals all faults and checks that all processes then have what was acknowledged.
func (w *World) Finish() error {
	w.finishing = true
	w.healAll()
	if err := w.Run(recoveryTime); err != nil {
		return err
	}
	newest := w.model.newestBefore(never)
	for _, r := range w.routers {
		if r.generation < newest {
			w.fail(ruleReadBack, "%s has version %d at the end, %d was acknowledged", r.address, r.generation, newest)
		}
	}
	for _, i := range w.instances {
		w.readBack(i, newest)
	}
	return w.Run(time.Second)
}

// readBack checks that an instance answers with the newest version, in 0.9 s.
func (w *World) readBack(i *instance, newest int64) {
	answered := false
	i.read(func(result any) {
		answer, _ := result.(changeAnswer)
		answered = answer.code == codeAccepted
		if answered && answer.generation < newest {
			w.fail(ruleReadBack, "%s reads version %d, %d was acknowledged", i.address, answer.generation, newest)
		}
		if view := i.machine.View(); view.Configuration != nil {
			w.checkContent(i.address, view.Configuration)
		}
	})
	w.After(900*time.Millisecond, func() {
		if !answered {
			w.fail(ruleReadBack, "%s does not answer at the end", i.address)
		}
	})
}
