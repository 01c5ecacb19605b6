package protocol

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMessagesComeBackAsSent sends each kind through the codec.
func TestMessagesComeBackAsSent(t *testing.T) {
	codec := NewCodec()
	for _, message := range []any{
		&Subscribe{Node: "n", Zone: "z", Incarnation: 1 << 63, Generation: 7, Ready: true},
		&Update{
			Sequence: 3, Generation: 7, Document: []byte("{}"), Snapshot: true, RouterCount: 9, GenerationConfirmed: true,
			Endpoints: []Endpoint{{
				ID: "i", State: Draining, WarmUpRemaining: time.Second,
				Models: []LoadedModel{{Name: "m", Generation: 2, Adapters: []string{"a1"}}},
			}},
			Members: []Member{{Identity: "c", Address: "10.0.0.1:7500"}},
			Quotas:  []QuotaGrant{{Tenant: "t", RatePerSecond: 2.5, Burst: 1, TTL: time.Second}},
		},
		&UpdateAck{Sequence: 4},
		&Beacon{Sequence: 5, Generation: 7},
		&Report{Node: "n", Models: []ModelDemand{{Model: "m", Requests: 2}}, Reachable: []string{"i"}},
		&ReplicaMessage{From: "10.0.0.1:7500", Body: []byte{1, 2}},
	} {
		frame, err := codec.Encode(message)
		if err != nil {
			t.Fatal(err)
		}
		got, err := codec.Decode(frame[4], frame[5:])
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(message, got); difference != "" {
			t.Errorf("%T changed on its way: %s", message, difference)
		}
	}
}
