package roles

const (
	maxConcurrentInspections = 16 // of endpoints
	maxInspectionsPerStep    = 4  // so that inspections of a large fleet are spread over seconds
)

// inspectionQueue bounds how many of the inspections that the placer requested are in progress. It is pure.
type inspectionQueue struct {
	queue    []string        // IDs of endpoints, each once
	pending  map[string]bool // queued or in flight
	inFlight int
}

func newInspectionQueue() *inspectionQueue { return &inspectionQueue{pending: make(map[string]bool)} }

// add appends endpoints, except for pending ones: one inspection serves both requests.
func (q *inspectionQueue) add(ids []string) {
	for _, id := range ids {
		if !q.pending[id] {
			q.pending[id] = true
			q.queue = append(q.queue, id)
		}
	}
}

// next returns the endpoints to be inspected in this step.
func (q *inspectionQueue) next() []string {
	count := max(0, min(maxInspectionsPerStep, maxConcurrentInspections-q.inFlight, len(q.queue)))
	ids := q.queue[:count]
	q.queue = q.queue[count:]
	q.inFlight += count
	return ids
}

// done takes in that an inspection has ended.
func (q *inspectionQueue) done(id string) {
	if q.pending[id] {
		delete(q.pending, id)
		q.inFlight--
	}
}

// hasNext reports whether next would return any.
func (q *inspectionQueue) hasNext() bool {
	return len(q.queue) > 0 && q.inFlight < maxConcurrentInspections
}
