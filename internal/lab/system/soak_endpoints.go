package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"raventrestle/internal/lab/standin"
)

const (
	drainTimeout     = 2 * time.Second // drain_ms: an endpoint gets no requests so long after its end was acknowledged
	announceTimeout  = 6 * time.Second // an endpoint whose end nobody acknowledges ends all the same
	maxServedLonger  = 4 * time.Second // beyond drainTimeout
	minLeavePause    = 300 * time.Millisecond
	maxLeavePause    = 1500 * time.Millisecond
	successorLead    = time.Second     // from the start of an endpoint's successor until the endpoint announces its end
	maxHeartbeatLate = 3 * time.Second // that a heartbeat from before an announced end arrives after it
	stopEndpointTime = 8 * time.Second // for its last requests
	maxLeaving       = 3               // endpoints at a time
	endpointPlaces   = 100             // addresses; the next successor gets one that was used long ago

	// Chances that an answer is sent again where the next one is due.
	surplusSuccessChance = 0.05
	surplusRefusalChance = 0.5

	maxExtraLoadTime = 300 * time.Millisecond // a load takes longer while many requests run
)

// replaceEndpoints starts successors of endpoints, which then announce their end and leave, up to maxLeaving at a time.
func (s *soak) replaceEndpoints(ctx, faults context.Context) {
	random := s.random(4)
	var leaving sync.WaitGroup
	defer leaving.Wait()
	free := make(chan struct{}, maxLeaving)
	order := random.Perm(len(s.world.endpoints))
	for turn := 0; sleep(faults, between(random, minLeavePause, maxLeavePause)); turn++ {
		number := order[turn%len(order)]
		draw := rand.New(rand.NewPCG(random.Uint64(), 0))
		select {
		case free <- struct{}{}:
		case <-faults.Done():
			return
		}
		leaving.Go(func() {
			defer func() { <-free }()
			s.replaceEndpoint(ctx, draw, number, turn)
		})
	}
}

// replaceEndpoint replaces an endpoint by a successor, which is as the endpoint was at its start.
func (s *soak) replaceEndpoint(ctx context.Context, random *rand.Rand, number, turn int) {
	old := s.endpoint(number)
	plan := old.plan
	plan.id = fmt.Sprintf("%s-%d", s.world.plans()[number].id, turn+1)
	plan.place = len(s.world.plans()) + turn%endpointPlaces
	successor, err := s.world.launchEndpoint(plan)
	if err != nil {
		s.checker.broken("SOAK", time.Now(), "start %s: %v", plan.id, err)
		return
	}
	s.setEndpoint(number, runningEndpoint{successor, plan})
	sleep(ctx, successorLead)
	s.letLeave(ctx, random, old.Endpoint)
}

// letLeave has an endpoint announce its end and serve for some time, while a heartbeat from before may arrive late.
func (s *soak) letLeave(ctx context.Context, random *rand.Rand, e *standin.Endpoint) {
	s.countDeparture()
	announcing, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	announce, name := e.Leave, "is deregistered"
	if random.IntN(2) == 0 {
		announce, name = e.Drain, "drains"
	}
	late, err := announce(announcing)
	if err == nil {
		s.checker.recordEnd(e.ID(), time.Now())
		s.journal.add("%s %s", e.ID(), name)
	} else {
		s.journal.add("%s ends unacknowledged: %v", e.ID(), err)
	}
	sleep(ctx, between(random, 0, maxHeartbeatLate))
	late.Deliver(ctx, s.world.places.control(random.IntN(instances)))
	sleep(ctx, drainTimeout+between(random, 0, maxServedLonger))
	stopping, cancelStop := context.WithTimeout(ctx, stopEndpointTime)
	defer cancelStop()
	if err := e.Stop(stopping); err != nil {
		s.journal.add("%s ends with requests under way: %v", e.ID(), err)
		return
	}
	s.journal.add("%s has ended", e.ID())
}

func (s *soak) endpoint(number int) runningEndpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.world.endpoints[number]
}

func (s *soak) setEndpoint(number int, e runningEndpoint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.world.endpoints[number] = e
}

func (s *soak) countDeparture() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.departures++
}

// surplusAnswers returns a function that draws whether an answer is sent again.
func (s *soak) surplusAnswers() standin.RepeatAnswer {
	random := s.random(5)
	var mutex sync.Mutex
	return func(success bool) bool {
		chance := surplusRefusalChance
		if success {
			chance = surplusSuccessChance
		}
		mutex.Lock()
		repeats := random.Float64() < chance
		mutex.Unlock()
		if repeats {
			s.countSurplusAnswer()
		}
		return repeats
	}
}

// extraLoadTimes returns a function that draws how much longer a load takes than the configuration says.
func (s *soak) extraLoadTimes() func() time.Duration {
	random := s.random(6)
	var mutex sync.Mutex
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return between(random, 0, maxExtraLoadTime)
	}
}

func (s *soak) countSurplusAnswer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.surplus++
}
