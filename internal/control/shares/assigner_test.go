package shares

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

const testLease = 6 * time.Second

// group is a replicated group as an assigner sees it.
type group struct {
	table    Table
	voters   []string
	live     []string
	address  map[string]string // where it isn't the identity
	assigner *Assigner
	now      time.Time
	proposed []Assignment
}

func newGroup(identities ...string) *group {
	g := &group{voters: identities, live: identities, assigner: NewAssigner(testLease), now: testStart}
	for _, identity := range identities {
		g.table = g.table.Register(Registration{Identity: identity})
	}
	return g
}

// run steps the assigner each 100 ms and commits at once what it proposes.
func (g *group) run(length time.Duration) {
	for end := g.now.Add(length); g.now.Before(end); g.now = g.now.Add(100 * time.Millisecond) {
		proposed := g.assigner.Step(g.now, AssignerInput{Table: g.table, Members: g.voters, Live: g.instances()})
		if proposed == nil {
			continue
		}
		g.proposed = append(g.proposed, *proposed)
		if next, ok := g.table.Assign(*proposed); ok {
			g.table = next
		}
	}
}

func (g *group) instances() []Instance {
	var list []Instance
	for _, identity := range g.live {
		address := identity
		if other, moved := g.address[identity]; moved {
			address = other
		}
		list = append(list, Instance{Identity: identity, Address: address})
	}
	return list
}

func (g *group) owned() map[string]int {
	owners := make([]string, len(g.table.Shares))
	for i, share := range g.table.Shares {
		owners[i] = share.Owner
	}
	return countOwned(owners)
}

func TestFirstAssignmentIsEvenAndStays(t *testing.T) {
	g := newGroup("a", "b", "c", "d", "e")
	g.run(time.Minute)
	if len(g.proposed) != 1 {
		t.Fatalf("%d assignments in a calm minute, want 1", len(g.proposed))
	}
	for _, holder := range g.voters {
		if got := g.owned()[holder]; got != Count/5 {
			t.Errorf("%s owns %d shares, want %d", holder, got, Count/5)
		}
	}
	if !g.table.Shares[0].First {
		t.Error("the first owners are not marked as such")
	}
}

func TestFirstAssignmentWaitsForInstancesThatRegisterLate(t *testing.T) {
	g := newGroup("a", "b")
	g.voters = []string{"a", "b", "c"}
	g.live = g.voters
	g.run(firstAssignmentDelay / 2)
	if len(g.proposed) != 0 {
		t.Fatalf("assigned after %v without the third instance", firstAssignmentDelay/2)
	}
	g.table = g.table.Register(Registration{Identity: "c"})
	g.run(time.Second)
	if got := g.owned()["c"]; got != Count/3 {
		t.Errorf("c owns %d shares, want %d", got, Count/3)
	}
}

// TestRestartedHolderKeepsItsShares: one that is back within goneTimeout goes on with what it had.
func TestRestartedHolderKeepsItsShares(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	before := g.table
	g.live = []string{"a", "c"}
	g.run(goneTimeout - 500*time.Millisecond)
	g.live = g.voters
	g.run(30 * time.Second)
	if g.table.Sequence != before.Sequence {
		t.Errorf("%d changes of shares for a restart, want none", g.table.Sequence-before.Sequence)
	}
}

// TestSharesOfAGoneHolderAreGivenOnAfterItsLease: in two changes, more than a testLease apart.
func TestSharesOfAGoneHolderAreGivenOnAfterItsLease(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live = []string{"a", "c"}
	g.run(goneTimeout + time.Second)
	if owned := g.owned(); owned[""] != Count/3 || owned["b"] != 0 {
		t.Fatalf("owned %v after %v, want b's third by nobody", owned, goneTimeout)
	}
	g.run(testLease - time.Second)
	if owned := g.owned(); owned[""] != Count/3 {
		t.Fatalf("owned %v before the lease of the gone holder ended, want its third by nobody", owned)
	}
	g.run(3 * time.Second)
	if owned := g.owned(); owned["a"] != Count/2 || owned["c"] != Count/2 {
		t.Errorf("owned %v after the lease, want a half each by a and c", owned)
	}
	if g.table.HasHolder("b") {
		t.Error("b is listed still, want it to register again when it is back")
	}
}

// TestLaterLeaderWaitsForALeaseOfItsOwn: it can't know when a share lost its owner.
func TestLaterLeaderWaitsForALeaseOfItsOwn(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live = []string{"a", "c"}
	g.run(goneTimeout + testLease)
	g.assigner = NewAssigner(testLease)
	g.run(testLease)
	if owned := g.owned(); owned[""] != Count/3 {
		t.Errorf("owned %v, want b's third by nobody within the new leader's first %v", owned, testLease)
	}
	g.run(2 * time.Second)
	if owned := g.owned(); owned[""] != 0 {
		t.Errorf("owned %v, want all shares owned", owned)
	}
}

// TestReplacedHolderLosesItsSharesAtOnce: a member that has been replaced in the group will not be back.
func TestReplacedHolderLosesItsSharesAtOnce(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live, g.voters = []string{"a", "c"}, []string{"a", "c", "d"}
	g.run(time.Second)
	if owned := g.owned(); owned[""] != Count/3 {
		t.Errorf("owned %v, want the third of the replaced b by nobody", owned)
	}
}

// TestWipedHolderIsFollowedAtOnce: an instance with another identity at its address shows that it has ended, so nobody waits for
// its lease.
func TestWipedHolderIsFollowedAtOnce(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.live = []string{"a", "c"}
	g.run(time.Second)
	g.live, g.address = []string{"a", "c", "d"}, map[string]string{"d": "b"}
	g.table = g.table.Register(Registration{Identity: "d"})
	g.run(time.Second)
	if owned := g.owned(); owned["b"]+owned[""] != 0 || owned["d"] != Count/3 {
		t.Errorf("owned %v, want the third of the wiped b by d", owned)
	}
	if g.table.Shares[1].First {
		t.Error("a share that b owned counts as never owned before")
	}
}

// TestNewLeaderKnowsWhatItObserved: it does not wait anew for what it saw before it led.
func TestNewLeaderKnowsWhatItObserved(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	follower := NewAssigner(testLease)
	g.live = []string{"a", "c"}
	for range int((goneTimeout + testLease) / (100 * time.Millisecond)) {
		g.run(100 * time.Millisecond)
		follower.Observe(g.now, AssignerInput{Table: g.table, Members: g.voters, Live: g.instances()})
	}
	g.assigner = follower
	g.run(time.Second)
	if owned := g.owned(); owned[""] != 0 {
		t.Errorf("owned %v a second after the change of leader, want all shares owned", owned)
	}
}

// TestNewHolderGetsAnEvenPart: by a few shares at a time, so that only these rest meanwhile.
func TestNewHolderGetsAnEvenPart(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.run(5 * time.Second)
	g.voters = []string{"a", "b", "c", "d"}
	g.live = g.voters
	g.table = g.table.Register(Registration{Identity: "d"})
	for range 600 {
		g.run(100 * time.Millisecond)
		if resting := g.owned()[""]; resting > maxMovedShares {
			t.Fatalf("%d shares are owned by nobody, want at most %d", resting, maxMovedShares)
		}
	}
	if owned := g.owned(); owned["d"] != Count/4 {
		t.Errorf("owned %v, want %d by d", owned, Count/4)
	}
}

func TestAssignmentForAnotherTableIsRejected(t *testing.T) {
	g := newGroup("a", "b")
	g.run(time.Second)
	stale := g.proposed[0]
	if _, ok := g.table.Assign(stale); ok {
		t.Error("the same assignment is accepted twice, want it rejected")
	}
	stale.Sequence = g.table.Sequence + 1
	stale.Owners = stale.Owners[:Count-1]
	if _, ok := g.table.Assign(stale); ok {
		t.Error("an assignment of too few shares is accepted, want it rejected")
	}
}

// TestNoShareChangesHandsWithinALease draws groups whose members come and go and whose leaders change: between an owner and
// the next, each share has none for longer than testLease. In a calm end all shares are owned, evenly but for one.
func TestNoShareChangesHandsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []string{"a", "b", "c", "d", "e", "f"}
		g := newGroup(all[:rapid.IntRange(2, 6).Draw(t, "members")]...)
		type past struct {
			owner string
			until time.Time
		}
		last := make([]past, Count)
		observe := func() {
			for i, share := range g.table.Shares {
				if share.Owner == "" {
					continue
				}
				if p := last[i]; p.owner != "" && p.owner != share.Owner && g.now.Sub(p.until) <= testLease {
					t.Fatalf("share %d went from %s to %s after %v", i, p.owner, share.Owner, g.now.Sub(p.until))
				}
				last[i] = past{share.Owner, g.now}
			}
		}
		steps := rapid.IntRange(3, 12).Draw(t, "changes")
		for range steps {
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
			for range rapid.IntRange(1, 300).Draw(t, "for") {
				g.run(100 * time.Millisecond)
				observe()
			}
		}
		g.live = g.voters
		for _, voter := range g.voters {
			g.table = g.table.Register(Registration{Identity: voter})
		}
		g.run(5 * time.Minute)
		owned := g.owned()
		fewest := slices.MinFunc(g.voters, func(x, y string) int { return owned[x] - owned[y] })
		if owned[""] > 0 || owned[fewest] < Count/len(g.voters) {
			t.Fatalf("after five calm minutes owned are %v by voters %v", owned, g.voters)
		}
	})
}
