package members

import (
	"testing"
	"time"
)

// A bucket that is nearly empty still has room for each packet of a round, and no second costs more than the rate.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	c := Config{}
	b, f := NewBudget(now, c), c.Figures(300)
	spent, late := 0, 0
	for round := range 240 {
		least := f.Datagram
		for range f.FanOut {
			room := b.Room(now, f.Datagram)
			least = min(least, room)
			b.Spent(now, room)
			if spent += room; round >= 120 {
				late += room
			}
		}
		if least < 100 {
			t.Fatalf("round %d: %d bytes are left for the last packet", round, least)
		}
		now = now.Add(f.Gossip)
	}
	if most := 8*f.Datagram + 120*gossipRate; spent > most || late < 59*gossipRate {
		t.Errorf("spent %d, at most %d; %d in the last minute", spent, most, late)
	}
	if f.Exchange != 150*time.Second {
		t.Errorf("300 members exchange every %v", f.Exchange)
	}
	if sum := gossipRate + wholeRate + f.Probes + f.FanOut*2*f.Packet + int(2*300*float64(f.Listed)/f.Exchange.Seconds()); sum > 5050 {
		t.Errorf("%d bytes a second at 300 members", sum)
	}
}
