package members

import (
	"testing"
	"time"
)

// An almost empty bucket still allows something for each packet of a round, and the rate is never exceeded.
func TestBudget(t *testing.T) {
	now := time.Unix(0, 0)
	c := Config{}
	b, f := NewBudget(now, c), c.TrafficModel(300)
	charged, chargedLate := 0, 0
	for round := range 240 {
		smallest := f.MaxDatagram
		for range f.FanOut {
			allowance := b.PacketAllowance(now, f.MaxDatagram)
			smallest = min(smallest, allowance)
			b.ChargePacket(now, allowance)
			if charged += allowance; round >= 120 {
				chargedLate += allowance
			}
		}
		if smallest < 100 {
			t.Fatalf("round %d: %d bytes are allowed for the last packet", round, smallest)
		}
		now = now.Add(f.GossipInterval)
	}
	if limit := 8*f.MaxDatagram + 120*gossipRate; charged > limit || chargedLate < 59*gossipRate {
		t.Errorf("charged %d, limit %d; %d in the last minute", charged, limit, chargedLate)
	}
	if f.ExchangeInterval != 150*time.Second {
		t.Errorf("300 members exchange every %v", f.ExchangeInterval)
	}
	if sum := gossipRate + fullStateRate + f.ProbeRate + f.FanOut*2*f.PacketOverhead + int(2*300*float64(f.MemberBytes)/f.ExchangeInterval.Seconds()); sum > 5050 {
		t.Errorf("%d bytes a second at 300 members", sum)
	}
}
