package roles

const (
	maxConcurrentInspections = 16
	maxInspectionsPerStep    = 4 // spreads the inspections of a large fleet over seconds
)

// inspectionQueue limits how many of the inspections requested by the placer are in flight. It does no I/O.
type inspectionQueue struct {
	queue    []string        // IDs of endpoints, each once
	pending  map[string]bool // queued or in flight
	inFlight int
}

func newInspectionQueue() *inspectionQueue { return &inspectionQueue{pending: make(map[string]bool)} }

// add queues the endpoints that are not pending. A pending inspection also serves the new request.
func (q *inspectionQueue) add(ids []string) {
	for _, id := range ids {
		if !q.pending[id] {
			q.pending[id] = true
			q.queue = append(q.queue, id)
		}
	}
}

// next returns the endpoints to inspect in this step.
func (q *inspectionQueue) next() []string {
	count := max(0, min(maxInspectionsPerStep, maxConcurrentInspections-q.inFlight, len(q.queue)))
	ids := q.queue[:count]
	q.queue = q.queue[count:]
	q.inFlight += count
	return ids
}

// done records that an inspection has ended.
func (q *inspectionQueue) done(id string) {
	if q.pending[id] {
		delete(q.pending, id)
		q.inFlight--
	}
}

// hasNext reports whether next would return any endpoint.
func (q *inspectionQueue) hasNext() bool {
	return len(q.queue) > 0 && q.inFlight < maxConcurrentInspections
}
