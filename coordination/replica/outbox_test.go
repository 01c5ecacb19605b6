package replica

import (
	"bytes"
	"testing"
	"time"
)

// carried is what an outbox has sent.
type carried struct{ pieces [][]byte }

func (c *carried) send(_ string, piece []byte) { c.pieces = append(c.pieces, piece) }

// deliver has the pieces arrive in order, each told to the outbox, and returns the messages.
func (c *carried) deliver(t *testing.T, o *outbox, now time.Duration) (messages [][]byte, most int) {
	t.Helper()
	var f fragments
	for len(c.pieces) > 0 {
		most = max(most, len(c.pieces))
		piece := c.pieces[0]
		c.pieces = c.pieces[1:]
		message, err := f.join("peer", piece)
		if err != nil {
			t.Fatal(err)
		}
		if message != nil {
			messages = append(messages, message)
		}
		if piece[0] != fragmentMark {
			continue
		}
		number, place, ok := readReceipt(receipt(piece))
		if !ok {
			t.Fatal("a receipt can't be read")
		}
		o.arrived(now, "peer", number, place)
		o.arrived(now, "peer", number, place) // receipts may come twice
	}
	return messages, most
}

func marked(size int, fill byte) []byte {
	return append([]byte{wholeMark}, bytes.Repeat([]byte{fill}, size)...)
}

// Large messages go out in order and a few pieces at once; what is small passes them.
func TestLargeMessagesLeaveRoom(t *testing.T) {
	c := &carried{}
	o := newOutbox(c.send)
	o.put(0, "peer", 1, marked(20*fragmentBytes, 'a'))
	o.put(0, "peer", 2, marked(3*fragmentBytes, 'b'))
	o.put(0, "peer", 3, marked(10, 'c'))
	if len(c.pieces) != windowPieces+1 {
		t.Errorf("%d pieces are on their way", len(c.pieces))
	}
	messages, most := c.deliver(t, o, 0)
	if len(messages) != 3 || messages[0][0] != 'c' || messages[1][0] != 'a' || messages[2][0] != 'b' {
		t.Errorf("%d messages", len(messages))
	}
	if most > windowPieces+1 {
		t.Errorf("%d pieces were on their way", most)
	}
	if len(o.lanes) != 0 {
		t.Errorf("%d lanes are open", len(o.lanes))
	}
}

// A message whose pieces are lost is given up, and the next one goes.
func TestLostMessageIsGivenUp(t *testing.T) {
	c := &carried{}
	o := newOutbox(c.send)
	for number := range uint64(2 * parcelsWaiting) {
		o.put(0, "peer", number, marked(4*fragmentBytes, byte('a'+number)))
	}
	if waiting := len(o.lanes["peer"]); waiting != parcelsWaiting {
		t.Errorf("%d messages wait", waiting)
	}
	c.pieces = nil // lost with the connection
	o.expire(parcelPatience)
	if len(c.pieces) != 0 {
		t.Error("it is given up too early")
	}
	o.expire(parcelPatience + time.Millisecond)
	messages, _ := c.deliver(t, o, parcelPatience)
	if len(messages) != parcelsWaiting-1 || messages[0][0] != 'b' {
		t.Errorf("%d messages arrive", len(messages))
	}
}
