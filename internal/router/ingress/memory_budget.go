package ingress

import "sync/atomic"

// uncountedBodyBytes is the size up to which a body is not charged to the budget: the bound on connections bounds these
// as well. Memory beyond it is allocated as the body arrives, not as its length announces.
const uncountedBodyBytes = 32 << 10

// memoryBudget bounds the memory of all large bodies together. It is safe for concurrent use.
type memoryBudget struct {
	maxBytes int64
	used     atomic.Int64
}

// grow charges the budget for a body's buffer that grows from one capacity to another. It returns false, and charges
// nothing, if that would exceed the budget.
func (b *memoryBudget) grow(from, to int) bool {
	if !isCharged(to) {
		return true
	}
	if !isCharged(from) {
		from = 0
	}
	more := int64(to - from)
	if b.used.Add(more) <= b.maxBytes {
		return true
	}
	b.used.Add(-more)
	return false
}

// release returns what was charged for a body that readAll returned.
func (b *memoryBudget) release(body []byte) {
	if isCharged(cap(body)) {
		b.used.Add(-int64(cap(body)))
	}
}

// isCharged reports whether a buffer of that capacity is charged to the budget.
func isCharged(bytes int) bool { return bytes > uncountedBodyBytes }
