package protocol

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMessagesComeBackAsSent encodes and decodes messages of the kinds that routers know.
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
			t.Fatalf("encode %T: got %v, want no error", message, err)
		}
		got, err := codec.Decode(frame[4], frame[5:])
		if err != nil {
			t.Fatalf("decode %T: got %v, want no error", message, err)
		}
		if difference := cmp.Diff(message, got); difference != "" {
			t.Errorf("%T: got another message than was sent (-sent +got):\n%s", message, difference)
		}
	}
}
