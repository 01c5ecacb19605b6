package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"raventrestle/internal/protocol"
)

// The endpoints of the world: batch engines with prefill in pieces, and plain servers. Time goes in ticks.

const worldTick = 2 * time.Millisecond

// mood is how an endpoint is.
type mood int

const (
	well mood = iota
	crashed
	isDark
)

// job is a call at an endpoint.
type job struct {
	call     *worldCall
	priority int
	at       time.Duration
	read     float64 // tokens of the prompt still to be read
	put      float64 // tokens still to be put out, or ms of work
	begun    bool    // first byte sent
}

type server struct {
	row     protocol.Endpoint
	engine  bool
	mood    mood
	slow    float64 // 1: as usual
	garble  float64 // chance that a call is reset
	running []*job
	queue   []*job
	most    int // queue
	cached  map[uint64]bool
	drainAt time.Duration // when draining was told to the routers, 0: not
	gone    bool
}

func (s *server) holds(model, adapter string) bool {
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

// accept takes a call in; false: turned away.
func (s *server) accept(c *worldCall, priority int, now time.Duration, rng *rand.Rand) bool {
	if len(s.queue) >= s.most {
		return false
	}
	r := &c.client.request
	j := &job{call: c, priority: priority, at: now, read: float64(r.PromptTokens), put: float64(r.OutputTokens)}
	if !s.engine {
		j.read, j.put = 0, 15*(0.6+rng.Float64()*0.8)
	}
	for _, link := range c.links {
		if !s.cached[link.key] {
			break
		}
		j.read -= link.tokens
	}
	for _, link := range c.links {
		s.cached[link.key] = true
	}
	j.read = max(j.read, 0)
	s.queue = append(s.queue, j)
	slices.SortStableFunc(s.queue, func(a, b *job) int { return cmp.Compare(a.priority, b.priority) })
	return true
}

// tick works for one tick and says which jobs began and which ended.
func (s *server) tick() (begun, ended []*job) {
	if s.mood == isDark {
		return nil, nil
	}
	for len(s.queue) > 0 && len(s.running) < s.row.Slots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	ms := float64(worldTick) / float64(time.Millisecond) / s.slow
	if !s.engine {
		return s.work(ms)
	}
	reading := 19.2 * ms
	stepMS := 10.5 + 0.0073*float64(len(s.running))
	if slices.ContainsFunc(s.running, func(j *job) bool { return j.read > 0 }) {
		stepMS *= 2.5
	}
	for _, j := range s.running {
		switch {
		case j.read > 0:
			part := min(j.read, reading)
			j.read -= part
			reading -= part
		case !j.begun:
			j.begun = true
			begun = append(begun, j)
		default:
			j.put -= ms / stepMS
		}
	}
	return begun, s.reap()
}

func (s *server) work(ms float64) (begun, ended []*job) {
	for _, j := range s.running {
		if j.put -= ms; j.put <= 0 {
			j.begun = true
			begun = append(begun, j)
		}
	}
	return begun, s.reap()
}

func (s *server) reap() (ended []*job) {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool {
		if j.put <= 0 {
			ended = append(ended, j)
		}
		return j.put <= 0
	})
	return ended
}

// drop takes a call out, as its connection was closed.
func (s *server) drop(c *worldCall) {
	gone := func(j *job) bool { return j.call == c }
	s.running = slices.DeleteFunc(s.running, gone)
	s.queue = slices.DeleteFunc(s.queue, gone)
}

func (s *server) load() *ToldLoad {
	began := 0
	for _, j := range s.running {
		if j.begun || !s.engine {
			began++
		}
	}
	return &ToldLoad{Running: began, Waiting: len(s.queue) + len(s.running) - began, Slots: s.row.Slots}
}
