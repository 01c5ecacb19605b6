package host

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/protocol"
)

// TestFrameOfAnUpdate reads frames back and compares them with the update.
func TestFrameOfAnUpdate(t *testing.T) {
	codec := protocol.NewCodec()
	encoder := updateEncoder{codec: codec}
	list := []protocol.Endpoint{{
		ID: "e", Service: "s", Slots: 3, WarmUpRemaining: time.Second,
		Models: []protocol.LoadedModel{{Name: "m", Adapters: []string{"a"}}}, Loading: []protocol.ModelLoad{{Model: "n"}},
	}}
	updates := []*protocol.Update{
		{
			Sequence: 1, Generation: 2, Document: []byte("{}"), Snapshot: true, Endpoints: list,
			Members: []protocol.Member{{Identity: "m"}}, RouterCount: 4, GenerationConfirmed: true,
			Freshness: protocol.FreshnessProof{
				Epoch: 3, HasMajorityContact: true, MajorityContactAge: time.Second, SentAt: time.Hour, EchoedSequence: 8,
			},
			Quotas:       []protocol.QuotaGrant{{Tenant: "t", RatePerSecond: 5, Burst: 6, TTL: time.Second}},
			IssuesCredit: true,
		},
		{Sequence: 2, Endpoints: list},
		{Sequence: 3},
	}
	for _, update := range updates {
		frame, err := encoder.encode(update)
		if err != nil {
			t.Fatal(err)
		}
		const headBytes = 5
		read, err := codec.Decode(frame[headBytes-1], frame[headBytes:])
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(update, read); diff != "" {
			t.Error(diff)
		}
	}
}

// TestEncodedUpdateHasAllFields fails when protocol.Update gets a field that frames leave out.
func TestEncodedUpdateHasAllFields(t *testing.T) {
	update, encoded := reflect.TypeFor[protocol.Update](), reflect.TypeFor[encodedUpdate]()
	for i := range update.NumField() {
		field := update.Field(i)
		same, present := encoded.FieldByName(field.Name)
		if !present || same.Tag != field.Tag {
			t.Errorf("field %s: %q in the update, %q in the frame", field.Name, field.Tag, same.Tag)
		}
	}
	if update.NumField() != encoded.NumField() {
		t.Errorf("%d fields, %d in the frame", update.NumField(), encoded.NumField())
	}
}
