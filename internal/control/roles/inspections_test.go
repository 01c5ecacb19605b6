package roles

import (
	"fmt"
	"testing"
)

func TestInspectionsAreBounded(t *testing.T) {
	q := newInspectionQueue()
	var ids []string
	for n := range 100 {
		ids = append(ids, fmt.Sprint(n))
	}
	q.add(ids)
	q.add(ids) // pending ones are not added again
	inspected := make(map[string]int)
	var inFlight []string
	for steps := 0; q.hasNext() || len(inFlight) > 0; steps++ {
		if steps > 1000 {
			t.Fatalf("inspections not finished after %d steps", steps)
		}
		started := q.next()
		if len(started) > maxInspectionsPerStep {
			t.Fatalf("%d inspections in one step, want at most %d", len(started), maxInspectionsPerStep)
		}
		for _, id := range started {
			inspected[id]++
		}
		inFlight = append(inFlight, started...)
		if len(inFlight) > maxConcurrentInspections {
			t.Fatalf("%d inspections in flight, want at most %d", len(inFlight), maxConcurrentInspections)
		}
		if !q.hasNext() {
			q.done(inFlight[0])
			inFlight = inFlight[1:]
		}
	}
	for _, id := range ids {
		if inspected[id] != 1 {
			t.Errorf("%s was inspected %d times, want once", id, inspected[id])
		}
	}
	q.add(ids[:1])
	if got := q.next(); len(got) != 1 {
		t.Errorf("added again after its inspection: next returns %v, want %v", got, ids[:1])
	}
}
