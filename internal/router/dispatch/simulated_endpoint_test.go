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
	call     *simulatedCall
	priority int
	at       time.Duration
	read     float64 // prompt tokens left to prefill
	size     float64 // tokens in memory
	put      float64 // tokens left to decode, or ms of work
	begun    bool    // first byte sent

	steps        int     // since its last event
	sinceEventMS float64 // of these steps
	longestGapMS float64 // between two events
}

type simulatedEndpoint struct {
	row              protocol.Endpoint
	engine           bool
	condition        condition
	slow             float64 // factor of its times, 1: normal
	resetProbability float64 // of a call
	running          []*job
	due              []time.Duration // of row.Loading
	queue            []*job
	maxQueue         int
	cached           map[uint64]bool
	ready            float64       // ms of the step that have passed
	step             float64       // ms that it takes
	first            []*job        // that decode their first token in it
	saved            float64       // tokens that were cached
	shared           float64       // tokens that could have been cached
	drainAt          time.Duration // when the routers were notified of draining, 0: not
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

// accept queues a call; false: rejected.
func (s *simulatedEndpoint) accept(c *simulatedCall, priority int, now time.Duration, rng *rand.Rand) bool {
	if len(s.queue) >= s.maxQueue {
		return false
	}
	r := &c.client.request
	j := &job{call: c, priority: priority, at: now, read: float64(r.PromptTokens), put: float64(r.OutputTokens)}
	j.size = j.read + j.put
	if !s.engine {
		j.read, j.put = 0, 15*(0.6+rng.Float64()*0.8)
	}
	for _, link := range c.links {
		if !s.cached[link.key] {
			break
		}
		j.read -= link.tokens
		s.saved += link.tokens
	}
	for _, link := range c.links {
		s.shared += link.tokens
		s.cached[link.key] = true
	}
	j.read = max(j.read, 0)
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
		return s.work(ms)
	}
	s.ready += ms
	for s.ready >= s.step { // the step under way is over
		s.ready -= s.step
		s.passEvents()
		for _, j := range s.first {
			j.begun = true
		}
		begun = append(begun, s.first...)
		ended = append(ended, s.reap()...)
		if s.first, s.step = nil, 0; len(s.queue)+len(s.running) == 0 {
			s.ready = 0
			break
		}
		s.stepOnce()
	}
	return begun, ended
}

// tokensPerSimulatedEvent is how many tokens an event of a simulated stream holds.
const tokensPerSimulatedEvent = 3

// passEvents notes the events that streams put out with the step that is over. A step lasts as long as all that it prefills, so that
// prompts make the running streams pause.
func (s *simulatedEndpoint) passEvents() {
	for _, j := range s.running {
		if !j.begun {
			continue
		}
		j.sinceEventMS += s.step * s.slow
		if j.steps++; j.steps == tokensPerSimulatedEvent {
			j.longestGapMS = max(j.longestGapMS, j.sinceEventMS)
			j.steps, j.sinceEventMS = 0, 0
		}
	}
}

const (
	prefillChunk       = 1024.0 // maximum of prompt tokens read in a step
	prefillTokensPerMS = 19.2   // tokens read in a ms
	kvCacheTokens      = 130518.0
)

// stepOnce begins a step of the batch: a token for each running request, and a chunk of the first prompts.
func (s *simulatedEndpoint) stepOnce() {
	left := prefillChunk
	memory := kvCacheTokens
	for _, j := range s.running {
		j.put--
		memory -= j.size
	}
	s.step = 10.5 + 0.00733*float64(len(s.running)) + 0.0171*(kvCacheTokens-memory)/1000
	for len(s.queue) > 0 && len(s.running) < s.row.Slots && left > 0 {
		j := s.queue[0]
		if memory -= j.size; memory < 0 {
			break
		}
		read := min(j.read, left)
		j.read -= read
		left -= read
		if j.read > 0 {
			break
		}
		s.first = append(s.first, j)
		s.running = append(s.running, j)
		s.queue = s.queue[1:]
	}
	s.step += (prefillChunk - left) / prefillTokensPerMS
}

func (s *simulatedEndpoint) work(ms float64) (begun, ended []*job) {
	for len(s.queue) > 0 && len(s.running) < s.row.Slots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	for _, j := range s.running {
		if j.put -= ms; j.put <= 0 {
			j.begun = true
			begun = append(begun, j)
		}
	}
	return begun, s.reap()
}

func (s *simulatedEndpoint) reap() (ended []*job) {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.put <= 0 {
			ended = append(ended, j)
		}
		return j.put <= 0
	})
	return ended
}

// drop removes a call whose connection was closed.
func (s *simulatedEndpoint) drop(c *simulatedCall) {
	isCall := func(j *job) bool { return j.call == c }
	s.running = slices.DeleteFunc(s.running, isCall)
	s.queue = slices.DeleteFunc(s.queue, isCall)
}

func (s *simulatedEndpoint) load() *AdvertisedLoad {
	return &AdvertisedLoad{Running: len(s.running), Waiting: len(s.queue), Slots: s.row.Slots}
}
