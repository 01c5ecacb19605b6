package shares

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

const testLease = 6 * time.Second

// simulatedGroup is a replicated group with one assigner. Its proposals are committed at once.
type simulatedGroup struct {
	table     Table
	voters    []string
	live      []string
	assigner  *Assigner
	now       time.Time
	proposals []Assignment
}

func newSimulatedGroup(identities ...string) *simulatedGroup {
	g := &simulatedGroup{voters: identities, live: identities, assigner: NewAssigner(testLease), now: testStart}
	for _, identity := range identities {
		g.table = g.table.Register(Registration{Identity: identity})
	}
	return g
}

// run steps the assigner every 100 ms and commits its proposals at once.
func (g *simulatedGroup) run(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		proposed := g.assigner.Step(g.now, AssignerInput{Table: g.table, Members: g.voters, Live: g.live})
		if proposed == nil {
			continue
		}
		g.proposals = append(g.proposals, *proposed)
		if next, ok := g.table.Assign(*proposed); ok {
			g.table = next
		}
	}
}

func (g *simulatedGroup) owned() map[string]int {
	owners := make([]string, len(g.table.Shares))
	for i, share := range g.table.Shares {
		owners[i] = share.Owner
	}
	return countOwned(owners)
}

func TestFirstAssignmentIsBalancedAndNotRepeated(t *testing.T) {
	g := newSimulatedGroup("a", "b", "c", "d", "e")
	g.run(time.Minute)
	if len(g.proposals) != 1 {
		t.Fatalf("%d assignments in a minute without changes, want 1", len(g.proposals))
	}
	for _, holder := range g.voters {
		if got := g.owned()[holder]; got != Count/5 {
			t.Errorf("%s owns %d shares, want %d", holder, got, Count/5)
		}
	}
	if g.table.Shares[0].Previous != "" {
		t.Error("the first owner of share 0 has a previous owner, want none")
	}
}

func TestFirstAssignmentWaitsForInstancesThatRegisterLate(t *testing.T) {
	g := newSimulatedGroup("a", "b")
	g.voters = []string{"a", "b", "c"}
	g.live = g.voters
	g.run(firstAssignmentDelay / 2)
	if len(g.proposals) != 0 {
		t.Fatalf("assigned after %v without the third instance", firstAssignmentDelay/2)
	}
	g.table = g.table.Register(Registration{Identity: "c"})
	g.run(time.Second)
	if got := g.owned()["c"]; got != Count/3 {
		t.Errorf("c owns %d shares, want %d", got, Count/3)
	}
}

// The shares of a failed holder are spread evenly over the others after failureTimeout. After it returns it gets an equal number
// of shares again.
func TestSharesOfAFailedHolderAreReassigned(t *testing.T) {
	g := newSimulatedGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live = []string{"a", "c"}
	g.run(failureTimeout - 500*time.Millisecond)
	if owned := g.owned(); owned["b"] != Count/3 {
		t.Fatalf("owned %v before %v, want b's third by b", owned, failureTimeout)
	}
	g.run(time.Second)
	if owned := g.owned(); owned["a"] != Count/2 || owned["c"] != Count/2 {
		t.Fatalf("owned %v after %v, want a half each by a and c", owned, failureTimeout)
	}
	if g.table.HasHolder("b") {
		t.Error("b is still listed, want it removed until it registers again")
	}
	for i, share := range g.table.Shares {
		if share.Since == g.table.Sequence && share.Previous != "b" {
			t.Errorf("share %d has %q as its previous owner, want b", i, share.Previous)
		}
	}
	g.live = g.voters
	g.table = g.table.Register(Registration{Identity: "b"})
	g.run(testLease)
	if owned := g.owned(); owned["b"] != 0 {
		t.Errorf("owned %v, want none by b before it has been live for minLiveTime", owned)
	}
	g.run(10 * time.Second)
	if owned := g.owned(); owned["b"] != Count/3 {
		t.Errorf("owned %v after its return, want a third by b", owned)
	}
}

// A holder that was replaced in the group does not return, so its shares are reassigned without waiting for failureTimeout.
func TestSharesOfAReplacedHolderAreReassignedAtOnce(t *testing.T) {
	g := newSimulatedGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live, g.voters = []string{"a", "c"}, []string{"a", "c", "d"}
	g.run(time.Second)
	if owned := g.owned(); owned["a"] != Count/2 || owned["c"] != Count/2 {
		t.Errorf("owned %v, want the third of the replaced b by a and c", owned)
	}
}

// A new leader does not wait again for a failure that it observed before it led.
func TestNewLeaderUsesFailuresObservedAsFollower(t *testing.T) {
	g := newSimulatedGroup("a", "b", "c")
	g.run(5 * time.Second)
	follower := NewAssigner(testLease)
	g.live = []string{"a", "c"}
	for range int((failureTimeout - 200*time.Millisecond) / (100 * time.Millisecond)) {
		follower.Observe(g.now, AssignerInput{Table: g.table, Members: g.voters, Live: g.live})
		g.run(100 * time.Millisecond)
	}
	g.assigner = follower
	g.run(time.Second)
	if owned := g.owned(); owned["b"] != 0 {
		t.Errorf("owned %v a second after the change of leader, want b's shares reassigned", owned)
	}
}

// A new holder gets an equal number of shares, at most maxMovedShares of them at a time.
func TestNewHolderGetsAnEqualNumberOfShares(t *testing.T) {
	g := newSimulatedGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.voters = []string{"a", "b", "c", "d"}
	g.live = g.voters
	g.table = g.table.Register(Registration{Identity: "d"})
	g.run(testLease - time.Second)
	if owned := g.owned(); owned["d"] != 0 {
		t.Errorf("owned %v, want none by d before it has been live for minLiveTime", owned)
	}
	before := 0
	for range 100 {
		g.run(100 * time.Millisecond)
		if moved := g.owned()["d"] - before; moved > maxMovedShares {
			t.Fatalf("%d shares moved at once, want at most %d", moved, maxMovedShares)
		}
		before = g.owned()["d"]
	}
	if owned := g.owned(); owned["d"] != Count/4 {
		t.Errorf("owned %v, want %d by d", owned, Count/4)
	}
	if proposals := len(g.proposals); proposals > 4 {
		t.Errorf("%d assignments, want at most 4", proposals)
	}
}

func TestAssignmentForAnotherTableIsRejected(t *testing.T) {
	g := newSimulatedGroup("a", "b")
	g.run(time.Second)
	stale := g.proposals[0]
	if _, ok := g.table.Assign(stale); ok {
		t.Error("the same assignment is accepted twice, want the second one rejected")
	}
	stale.Sequence = g.table.Sequence + 1
	stale.Owners = stale.Owners[:Count-1]
	if _, ok := g.table.Assign(stale); ok {
		t.Error("an assignment of too few shares is accepted, want it rejected")
	}
}

// Members fail, return and are replaced at random, and leaders change. Each reassigned share names its previous owner. Two
// minutes after the last change all shares are owned by voters, in equal numbers.
func TestSharesBecomeBalancedAfterRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []string{"a", "b", "c", "d", "e", "f"}
		g := newSimulatedGroup(all[:rapid.IntRange(2, 6).Draw(t, "members")]...)
		former := make([]Share, Count)
		observe := func() {
			for i, share := range g.table.Shares {
				if share.Since != former[i].Since && share.Previous != former[i].Owner {
					t.Fatalf("share %d is %+v after %+v", i, share, former[i])
				}
				former[i] = share
			}
		}
		for range rapid.IntRange(3, 12).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				g.live = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, 6, rapid.ID[string]).Draw(t, "live")
			case 1:
				g.voters = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 2, 6, rapid.ID[string]).Draw(t, "voters")
			case 2:
				g.assigner = NewAssigner(testLease)
			case 3:
				g.table = g.table.Register(Registration{Identity: rapid.SampledFrom(all).Draw(t, "registered")})
			}
			for range rapid.IntRange(1, 100).Draw(t, "for") {
				g.run(100 * time.Millisecond)
				observe()
			}
		}
		g.live = g.voters
		for _, voter := range g.voters {
			g.table = g.table.Register(Registration{Identity: voter})
		}
		g.run(2 * time.Minute)
		owned := g.owned()
		fewest := slices.MinFunc(g.voters, func(x, y string) int { return owned[x] - owned[y] })
		if owned[""] > 0 || owned[fewest] < Count/len(g.voters) {
			t.Fatalf("owned after two minutes without changes: %v, want all shares spread evenly over %v", owned, g.voters)
		}
	})
}
