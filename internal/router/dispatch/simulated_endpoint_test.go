package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// Simulated endpoints: batch engines with chunked prefill, and plain servers. Time advances in ticks.

const simulationTick = 2 * time.Millisecond

// condition is the state of an endpoint's process.
type condition int

const (
	healthy condition = iota
	crashed
	hung
)

// job is a call at an endpoint.
type job struct {
	call          *simulatedCall
	priority      int
	arrivedAt     time.Duration
	prefillTokens float64 // prompt tokens that remain to be prefilled
	kvTokens      float64 // tokens in the KV cache
	remainingWork float64 // tokens that remain to be decoded; ms of work at a plain server
	begun         bool    // first byte sent

	steps        int     // since its last event
	sinceEventMS float64 // duration of these steps
	longestGapMS float64 // between two events
}

type simulatedEndpoint struct {
	row              protocol.Endpoint
	engine           bool
	condition        condition
	slow             float64 // factor of all its times; 1: normal
	resetProbability float64 // that a call is reset
	running          []*job
	loadsDueAt       []time.Duration // when the loads of row.Loading finish
	queue            []*job
	maxQueue         int
	cached           map[uint64]bool
	stepElapsedMS    float64       // elapsed part of the current step
	stepMS           float64       // duration of the current step
	firstTokenJobs   []*job        // jobs that get their first token in the current step
	cachedTokens     float64       // those of them that were cached
	sharedTokens     float64       // prompt tokens of shared parts
	drainNotifiedAt  time.Duration // when the routers were informed that it drains; 0: they weren't
	departed         bool
}

func (s *simulatedEndpoint) serves(model, adapter string) bool {
	if !s.engine {
		return true
	}
	for _, m := range s.row.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// accept queues a call; it returns false if the call is rejected.
func (s *simulatedEndpoint) accept(c *simulatedCall, priority int, now time.Duration, rng *rand.Rand) bool {
	if len(s.queue) >= s.maxQueue {
		return false
	}
	r := &c.client.request
	j := &job{call: c, priority: priority, arrivedAt: now, prefillTokens: float64(r.PromptTokens), remainingWork: float64(r.OutputTokens)}
	j.kvTokens = j.prefillTokens + j.remainingWork
	if !s.engine {
		j.prefillTokens, j.remainingWork = 0, 15*(0.6+rng.Float64()*0.8)
	}
	for _, prefix := range c.prefixes {
		if !s.cached[prefix.key] {
			break
		}
		j.prefillTokens -= prefix.tokens
		s.cachedTokens += prefix.tokens
	}
	for _, prefix := range c.prefixes {
		s.sharedTokens += prefix.tokens
		s.cached[prefix.key] = true
	}
	j.prefillTokens = max(j.prefillTokens, 0)
	s.queue = append(s.queue, j)
	slices.SortStableFunc(s.queue, func(a, b *job) int { return cmp.Compare(a.priority, b.priority) })
	return true
}

// tick advances the endpoint by one tick and returns the jobs that began to answer and those that ended.
func (s *simulatedEndpoint) tick() (begun, ended []*job) {
	if s.condition == hung {
		return nil, nil
	}
	ms := float64(simulationTick) / float64(time.Millisecond) / s.slow
	if !s.engine {
		return s.serveJobs(ms)
	}
	s.stepElapsedMS += ms
	for s.stepElapsedMS >= s.stepMS { // the current step has ended
		s.stepElapsedMS -= s.stepMS
		s.recordEvents()
		for _, j := range s.firstTokenJobs {
			j.begun = true
		}
		begun = append(begun, s.firstTokenJobs...)
		ended = append(ended, s.removeEnded()...)
		if s.firstTokenJobs, s.stepMS = nil, 0; len(s.queue)+len(s.running) == 0 {
			s.stepElapsedMS = 0
			break
		}
		s.beginStep()
	}
	return begun, ended
}

// tokensPerSimulatedEvent is the number of tokens per event of a simulated stream.
const tokensPerSimulatedEvent = 3

// recordEvents records the events of the running streams at the end of a step. A step takes longer the more tokens it
// prefills, so that prompts make the running streams pause.
func (s *simulatedEndpoint) recordEvents() {
	for _, j := range s.running {
		if !j.begun {
			continue
		}
		j.sinceEventMS += s.stepMS * s.slow
		if j.steps++; j.steps == tokensPerSimulatedEvent {
			j.longestGapMS = max(j.longestGapMS, j.sinceEventMS)
			j.steps, j.sinceEventMS = 0, 0
		}
	}
}

const (
	prefillChunk       = 1024.0 // maximum of prompt tokens prefilled in a step
	prefillTokensPerMS = 19.2   // tokens prefilled per ms
	kvCacheTokens      = 130518.0
)

// beginStep begins a step of the batch: it decodes one token of each running request and prefills a chunk of the
// first prompts in the queue.
func (s *simulatedEndpoint) beginStep() {
	remaining := prefillChunk
	freeKVTokens := kvCacheTokens
	for _, j := range s.running {
		j.remainingWork--
		freeKVTokens -= j.kvTokens
	}
	s.stepMS = 10.5 + 0.00733*float64(len(s.running)) + 0.0171*(kvCacheTokens-freeKVTokens)/1000
	for len(s.queue) > 0 && len(s.running) < s.row.Slots && remaining > 0 {
		j := s.queue[0]
		if freeKVTokens -= j.kvTokens; freeKVTokens < 0 {
			break
		}
		read := min(j.prefillTokens, remaining)
		j.prefillTokens -= read
		remaining -= read
		if j.prefillTokens > 0 {
			break
		}
		s.firstTokenJobs = append(s.firstTokenJobs, j)
		s.running = append(s.running, j)
		s.queue = s.queue[1:]
	}
	s.stepMS += (prefillChunk - remaining) / prefillTokensPerMS
}

func (s *simulatedEndpoint) serveJobs(ms float64) (begun, ended []*job) {
	for len(s.queue) > 0 && len(s.running) < s.row.Slots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	for _, j := range s.running {
		if j.remainingWork -= ms; j.remainingWork <= 0 {
			j.begun = true
			begun = append(begun, j)
		}
	}
	return begun, s.removeEnded()
}

func (s *simulatedEndpoint) removeEnded() (ended []*job) {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.remainingWork <= 0 {
			ended = append(ended, j)
		}
		return j.remainingWork <= 0
	})
	return ended
}

// drop removes a call whose connection was closed.
func (s *simulatedEndpoint) drop(c *simulatedCall) {
	isCall := func(j *job) bool { return j.call == c }
	s.running = slices.DeleteFunc(s.running, isCall)
	s.queue = slices.DeleteFunc(s.queue, isCall)
}

func (s *simulatedEndpoint) advertisedLoad() *AdvertisedLoad {
	return &AdvertisedLoad{Running: len(s.running), Waiting: len(s.queue), Slots: s.row.Slots}
}
