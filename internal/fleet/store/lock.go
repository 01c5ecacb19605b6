package store

import "sync"

// mutex is a mutex with a rank in the lock order that the package comment defines. A checker of a test fails if a
// goroutine locks a mutex whose rank is not above that of all mutexes it holds.
type mutex struct {
	mu      sync.Mutex
	rank    int
	checker lockChecker
}

// lockChecker observes the locking of mutexes.
type lockChecker interface {
	Locking(rank int)
	Unlocked(rank int)
}

func (m *mutex) Lock() {
	if m.checker != nil {
		m.checker.Locking(m.rank)
	}
	m.mu.Lock()
}

func (m *mutex) Unlock() {
	m.mu.Unlock()
	if m.checker != nil {
		m.checker.Unlocked(m.rank)
	}
}
