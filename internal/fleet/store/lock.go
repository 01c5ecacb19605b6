package store

import "sync"

// mutex is a mutex with a place in the lock order at the top of the package. Tests hang a watcher in that fails when a
// goroutine takes one whose rank is not above all that it holds.
type mutex struct {
	mu    sync.Mutex
	rank  int
	watch watcher
}

type watcher interface {
	Locking(rank int)
	Unlocked(rank int)
}

func (m *mutex) Lock() {
	if m.watch != nil {
		m.watch.Locking(m.rank)
	}
	m.mu.Lock()
}

func (m *mutex) Unlock() {
	m.mu.Unlock()
	if m.watch != nil {
		m.watch.Unlocked(m.rank)
	}
}
