package roles

import "time"

const (
	minStepInterval     = 50 * time.Millisecond
	statusCheckInterval = 500 * time.Millisecond

	// placerCooldownFactor is the minimum time from the end of a placer step to the next one, as a multiple of the step's
	// duration. Without this time, the instance's heartbeats, configurations, routers and credit would wait for the placer.
	placerCooldownFactor = 2
)

// schedule determines when the next steps may and must take place. It reads no clock.
type schedule struct {
	nextStep      time.Time // no step before this time
	nextPlacement time.Time // no step of the placer before this time
	placerWakeAt  time.Time // when the placer's next step is due even if nothing arrives
}

// reset allows all steps at once, because this instance starts to act.
func (s *schedule) reset(now time.Time) { s.nextStep, s.nextPlacement = now, now }

// recordPlacerStep records a step of the placer, and wakeAt, when the placer's next step is due.
func (s *schedule) recordPlacerStep(startedAt, endedAt, wakeAt time.Time) {
	s.placerWakeAt = wakeAt
	s.nextPlacement = endedAt.Add(placerCooldownFactor * endedAt.Sub(startedAt))
}

// recordStep records a step that started at now.
func (s *schedule) recordStep(now time.Time) { s.nextStep = now.Add(minStepInterval) }
