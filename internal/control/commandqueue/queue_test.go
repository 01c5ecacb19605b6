package commandqueue

import (
	"context"
	"slices"
	"testing"
)

func TestDrainHandlesNoMoreThanItsLimitInOrder(t *testing.T) {
	q := New(3)
	for n := range 3 {
		if !q.Post(t.Context(), n) {
			t.Fatalf("command %d was not queued", n)
		}
	}
	var got []any
	handle := func(command any) { got = append(got, command) }
	q.Drain(2, handle)
	if !slices.Equal(got, []any{0, 1}) {
		t.Errorf("handled %v, want the first two", got)
	}
	q.Drain(2, handle)
	if !slices.Equal(got, []any{0, 1, 2}) {
		t.Errorf("handled %v, want all three", got)
	}
}

func TestPostToAFullQueueEndsWithReaderOrContext(t *testing.T) {
	q := New(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if q.Post(ctx, 1) {
		t.Error("queued a command although the context had ended")
	}
	q.End()
	if q.Post(t.Context(), 1) {
		t.Error("queued a command although the reader had ended")
	}
}
