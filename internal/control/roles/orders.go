package roles

import (
	"context"

	"raventrestle/internal/control/placer"
)

// sendOrders sends each order in its own goroutine. Run waits for these goroutines.
func (l *Leader) sendOrders(ctx context.Context, orders []placer.Order) {
	epoch, generation := l.current.Epoch, l.inbox.currentGeneration()
	for _, order := range orders {
		l.calls.Add(1)
		go l.sendOrder(ctx, epoch, generation, order)
	}
}

func (l *Leader) sendOrder(ctx context.Context, epoch, generation uint64, order placer.Order) {
	defer l.calls.Done()
	outcome, err := l.client.SendOrder(ctx, epoch, order)
	l.dependencies.Events.OrderCompleted(epoch, order, outcome, err)
	l.inbox.addResult(generation, placer.Result{ID: order.ID, Outcome: outcome})
}

// startInspections starts the next inspections, each in its own goroutine. Run waits for these goroutines. The inspection of
// an endpoint that is no longer known fails at once.
func (l *Leader) startInspections(ctx context.Context) {
	epoch, generation := l.current.Epoch, l.inbox.currentGeneration()
	for _, id := range l.placement.inspections.next() {
		address, known := l.placement.addressOf(id)
		if !known {
			l.inbox.addInspection(generation, placer.Inspection{Endpoint: id, Failed: true})
			continue
		}
		l.calls.Add(1)
		go l.inspect(ctx, epoch, generation, id, address)
	}
}

func (l *Leader) inspect(ctx context.Context, epoch, generation uint64, id, address string) {
	defer l.calls.Done()
	inspection, _ := l.client.Inspect(ctx, epoch, id, address) // the inspection itself is marked as failed
	l.inbox.addInspection(generation, inspection)
}
