package roles

import "time"

const (
	minStepInterval     = 50 * time.Millisecond
	statusCheckInterval = 500 * time.Millisecond

	// After a step the placer rests for placerRestFactor times as long as it took: this instance's heartbeats,
	// configurations, routers and credit must not wait for it.
	placerRestFactor = 2
)

// schedule says when the next steps may and must take place. It is pure.
type schedule struct {
	nextStep      time.Time // no step before it
	nextPlacement time.Time // no step of the placer before it
	placerWakeAt  time.Time // when the placer's next step is due although nothing arrives
}

// begin lets all steps take place at once: this instance has begun to act.
func (s *schedule) begin(now time.Time) { s.nextStep, s.nextPlacement = now, now }

// placed takes in a step of the placer and when the placer wants the next one.
func (s *schedule) placed(began, ended, wakeAt time.Time) {
	s.placerWakeAt = wakeAt
	s.nextPlacement = ended.Add(placerRestFactor * ended.Sub(began))
}

// stepped takes in a step that began at now.
func (s *schedule) stepped(now time.Time) { s.nextStep = now.Add(minStepInterval) }
