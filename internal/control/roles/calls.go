package roles

import (
	"context"
	"slices"
	"strings"

	"raventrestle/internal/control/placer"
	"raventrestle/internal/protocol"
)

// carryOut begins what the placer decided, one goroutine for each call.
func (h *Leader) carryOut(ctx context.Context, out placer.Output) {
	epoch, term := h.turn.Epoch, h.term
	for _, order := range out.Orders {
		h.orders[order.ID] = order
		h.tasks.Add(1)
		go h.order(ctx, epoch, term, order)
	}
	h.looks.want(out.Inspect)
}

// ask has the next endpoints report, at the addresses that the placer saw last.
func (h *Leader) ask(ctx context.Context) {
	epoch, term := h.turn.Epoch, h.term
	for _, id := range h.looks.next() {
		at, known := slices.BinarySearchFunc(h.endpoints, id, compareID)
		if !known {
			h.deliver(term, func(in *inbox) { in.looks = append(in.looks, placer.Inspection{Endpoint: id, Failed: true}) })
			continue
		}
		h.tasks.Add(1)
		go h.lookAt(ctx, epoch, term, id, h.endpoints[at].Address)
	}
}

// compareID orders endpoints as tables have them.
func compareID(e protocol.Endpoint, id string) int { return strings.Compare(e.ID, id) }

func (h *Leader) order(ctx context.Context, epoch, term uint64, order placer.Order) {
	defer h.tasks.Done()
	outcome, err := h.sender.SendOrder(ctx, epoch, order)
	h.parts.EventRecorder.OrderCompleted(epoch, order, outcome, err)
	h.deliver(term, func(in *inbox) {
		in.results = append(in.results, placer.Result{ID: order.ID, Outcome: outcome})
	})
}

func (h *Leader) lookAt(ctx context.Context, epoch, term uint64, id, address string) {
	defer h.tasks.Done()
	look, _ := h.sender.Inspect(ctx, epoch, id, address) // a failure is said in the look itself
	h.deliver(term, func(in *inbox) { in.looks = append(in.looks, look) })
}

// deliver puts an answer into the inbox, unless the placer that asked is gone.
func (h *Leader) deliver(term uint64, put func(in *inbox)) {
	h.mutex.Lock()
	if term == h.term {
		put(&h.inbox)
	}
	h.mutex.Unlock()
	h.nudge()
}
