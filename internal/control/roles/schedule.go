package roles

import "time"

const (
	minStepInterval     = 50 * time.Millisecond
	urgentStepInterval  = 4 * time.Millisecond // the same, while requests wait for quota
	statusCheckInterval = 500 * time.Millisecond

	// After a step the placer rests for placerRestFactor times as long as it took, the allocator for allocatorRestFactor
	// times: this instance's heartbeats, configurations and routers must not wait for them.
	placerRestFactor    = 2
	allocatorRestFactor = 1
)

// schedule says when the next steps may and must take place. It is pure.
type schedule struct {
	nextStep      time.Time // no step before it, unless requests wait for quota
	nextPlacement time.Time // no step of the placer before it
	placerWakeAt  time.Time // when the placer's next step is due
	wakeAt        time.Time // when the next step is due although nothing arrives
	steppedAt     time.Time // end of the last step
	allocatorRest time.Duration
}

// begin lets all steps take place at once: this instance has begun to act.
func (s *schedule) begin(now time.Time) { s.nextStep, s.nextPlacement = now, now }

// mayStepFrom returns when the next step may take place.
func (s *schedule) mayStepFrom(requestsWait bool) time.Time {
	if requestsWait {
		return s.steppedAt.Add(max(urgentStepInterval, s.allocatorRest))
	}
	return s.nextStep
}

// placed takes in a step of the placer and when the placer wants the next one.
func (s *schedule) placed(began, ended, wakeAt time.Time) {
	s.placerWakeAt = wakeAt
	s.nextPlacement = ended.Add(placerRestFactor * ended.Sub(began))
}

// stepped takes in a step that began at now, of which the allocator took the time from allocatorBegan to ended.
func (s *schedule) stepped(now, allocatorBegan, ended time.Time) {
	s.steppedAt = ended
	s.allocatorRest = allocatorRestFactor * ended.Sub(allocatorBegan)
	s.nextStep = latest(now.Add(minStepInterval), ended.Add(s.allocatorRest))
}
