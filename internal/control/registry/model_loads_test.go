package registry

import (
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestOrdersOfTheNewestPlacerAreShown(t *testing.T) {
	x := newTestRegistry(t)
	x.heartbeat(report("e", 1, protocol.Ready))
	table := func(epoch, sequence uint64, models ...string) *protocol.LoadingTable {
		table := &protocol.LoadingTable{
			Origin: protocol.Origin{Address: "other", Incarnation: 2}, Epoch: epoch, Sequence: sequence,
		}
		for _, model := range models {
			table.Loading = append(table.Loading, protocol.EndpointLoading{
				Endpoint: "e",
				Loads:    []protocol.ModelLoad{{Model: model, Remaining: 5 * time.Second}},
			})
		}
		return table
	}
	x.step(PeerMessage{Content: table(3, 1, "m")})
	x.now = x.now.Add(2 * time.Second)
	loads := x.Endpoints(x.now)[0].Loading
	if len(loads) != 1 || loads[0].Model != "m" || loads[0].Remaining != 3*time.Second {
		t.Errorf("got %+v, want m with 3s left", loads)
	}
	x.step(PeerMessage{Content: table(2, 9, "old")})
	if loads := x.Endpoints(x.now)[0].Loading; loads[0].Model != "m" {
		t.Errorf("after a former placer's table: got %+v, want m", loads)
	}
	if out := x.step(PeerMessage{Content: table(3, 2)}); len(out.Changed) != 1 || len(out.Changed[0].Loading) != 0 {
		t.Errorf("once it is done: got %+v, want one change without orders", out.Changed)
	}
}
