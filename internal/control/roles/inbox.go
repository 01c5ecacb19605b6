package roles

import (
	"sync"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

// maxReportBatches limits the report batches between two steps. Further batches are dropped; senders do not rely on the
// delivery of a report.
const maxReportBatches = 1024

// arrivals contains what other goroutines have added since the last step.
type arrivals struct {
	reports     []*protocol.ReportBatch
	results     []placer.Result
	inspections []placer.Inspection
}

// inbox passes messages from other goroutines to Leader.Run. Its methods are safe for concurrent use and do not block.
type inbox struct {
	wake chan struct{} // contains an element while there is something new

	mutex       sync.Mutex
	arrivals    arrivals
	generation  uint64 // number of the current placer; results and inspections of earlier placers are dropped
	steppedDown bool
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

// addReports adds the reports of an instance's routers.
func (i *inbox) addReports(batch *protocol.ReportBatch) {
	i.mutex.Lock()
	if len(i.arrivals.reports) < maxReportBatches {
		i.arrivals.reports = append(i.arrivals.reports, batch)
	}
	i.mutex.Unlock()
	i.notify()
}

// addResult adds the result of an order, unless the placer that sent the order has been replaced.
func (i *inbox) addResult(generation uint64, result placer.Result) {
	i.mutex.Lock()
	if generation == i.generation {
		i.arrivals.results = append(i.arrivals.results, result)
	}
	i.mutex.Unlock()
	i.notify()
}

// addInspection adds an inspection, unless the placer that requested it has been replaced.
func (i *inbox) addInspection(generation uint64, inspection placer.Inspection) {
	i.mutex.Lock()
	if generation == i.generation {
		i.arrivals.inspections = append(i.arrivals.inspections, inspection)
	}
	i.mutex.Unlock()
	i.notify()
}

// take returns everything that has arrived and empties the inbox.
func (i *inbox) take() arrivals {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	arrived := i.arrivals
	i.arrivals = arrivals{}
	return arrived
}

// discardReports drops the reports, because this instance is not the leader.
func (i *inbox) discardReports() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.arrivals.reports = nil
}

// nextGeneration drops the results and inspections of the previous placer, including those that are still to arrive.
func (i *inbox) nextGeneration() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.generation++
	i.arrivals.results, i.arrivals.inspections = nil, nil
}

func (i *inbox) currentGeneration() uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.generation
}

func (i *inbox) stepDown() {
	i.mutex.Lock()
	i.steppedDown = true
	i.mutex.Unlock()
	i.notify()
}

func (i *inbox) hasSteppedDown() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.steppedDown
}

func (i *inbox) notify() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}
