package subscription

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

func TestRoundsStartInTheLocalZoneAndBackOff(t *testing.T) {
	c := NewCandidates("z2", netip.MustParseAddr("10.2.0.9"), rand.New(rand.NewPCG(1, 2)))
	c.SetSeeds([]string{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"})
	round := func() (list []string, backoff time.Duration) {
		backoff = c.NextBackoff()
		for _, target := range c.NextRound() {
			list = append(list, target.Address)
		}
		return list, backoff
	}
	first, backoff := round()
	if first[0] != "10.2.0.1:1" || len(first) != 3 || backoff != 0 {
		t.Errorf("first round: got %v after %v, want the closest of 3 seeds first, without a backoff", first, backoff)
	}
	for last := time.Duration(0); last < maxRoundBackoff/2; {
		_, backoff = round()
		if backoff < last/2 || backoff > maxRoundBackoff {
			t.Fatalf("backoff: got %v, want %v to %v", backoff, last/2, maxRoundBackoff)
		}
		last = max(last+1, backoff)
	}
	c.SetMembers([]protocol.Member{
		{Address: "far", Zone: "z1"}, {Address: "near", Zone: "z2"}, {Address: "far2", Zone: "z3"},
	})
	c.Restart("")
	if list, backoff := round(); list[0] != "near" || backoff != 0 {
		t.Errorf("with members: got %v after %v, want the zone-local one first, without a backoff", list, backoff)
	}
	if !c.HasZoneLocalAlternative("far") || c.HasZoneLocalAlternative("near") {
		t.Errorf("zone-local alternative: got %v to far, %v to near; want true, false", c.HasZoneLocalAlternative("far"), c.HasZoneLocalAlternative("near"))
	}
	c.Restart("near")
	if list, _ := round(); list[len(list)-1] != "near" || len(list) != 6 {
		t.Errorf("after it was left: got %v, want near last of 6", list)
	}
	if list, _ := round(); list[0] != "near" {
		t.Errorf("second round after it was left: got %v, want near first", list)
	}
}
