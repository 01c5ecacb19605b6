package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"raventrestle/coordination/internal/mutation"
)

func member(number int) Member {
	return Member{Identity: fmt.Sprintf("m%d", number), Address: fmt.Sprintf("10.0.0.%d:1", number)}
}

func members(count int) []Member {
	var list []Member
	for i := range count {
		list = append(list, member(i))
	}
	return list
}

// duel lets proposers with values of their own race through acceptors, with messages lost, doubled and late, and
// returns the values that were decided.
func duel(random *rand.Rand, voters int, planted mutation.Set) []View {
	current := View{Epoch: 1, Chain: members(voters), Voters: members(voters)}
	acceptors := make([]Acceptor, voters)
	var decided []View
	var flying []func()
	send := func(deliver func()) {
		if random.IntN(10) > 0 {
			flying = append(flying, deliver)
		}
		if random.IntN(10) == 0 {
			flying = append(flying, deliver)
		}
	}
	attempt := func(round uint64, identity string) {
		p := &Proposer{Current: current, Ballot: Ballot{Round: round, Identity: identity}}
		propose := func() {
			value, bound := p.Bound()
			if !bound {
				value = View{Epoch: 2, Chain: []Member{{Identity: fmt.Sprint(identity, round)}}}
			}
			p.Value = value
			for i := range acceptors {
				send(func() {
					if acceptors[i].Accept(p.Ballot, value, planted) {
						send(func() {
							if p.Accepted(member(i).Identity) {
								decided = append(decided, value)
							}
						})
					}
				})
			}
		}
		for i := range acceptors {
			send(func() {
				given := acceptors[i].Prepare(2, p.Ballot)
				promise := Promise{Ballot: p.Ballot, Given: given, Report: Report{Member: member(i)}}
				if given {
					promise.Accepted, promise.Value = acceptors[i].Accepted, acceptors[i].Value
				}
				send(func() {
					p.Promised(promise)
					if p.Prepared() && p.Value.Epoch == 0 {
						propose()
					}
				})
			})
		}
	}
	for round := range 4 {
		attempt(uint64(round+1), "x")
		attempt(uint64(round+1), "y")
	}
	for len(flying) > 0 {
		at := random.IntN(len(flying))
		deliver := flying[at]
		flying = slices.Delete(flying, at, at+1)
		deliver()
	}
	return decided
}

// An epoch decides one view, whatever the order of the messages; a voter that forgets its promise breaks that.
func TestOneViewIsDecided(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 3000; seed++ {
		voters := 3 + 2*int(seed%2)
		same := func(decided []View) bool {
			return !slices.ContainsFunc(decided, func(v View) bool { return !slices.Equal(v.Chain, decided[0].Chain) })
		}
		if decided := duel(rand.New(rand.NewPCG(seed, 0)), voters, mutation.Set{}); !same(decided) {
			t.Fatalf("seed %d: %v", seed, decided)
		}
		found = found || !same(duel(rand.New(rand.NewPCG(seed, 0)), voters, mutation.Set{AnyBallot: true}))
	}
	if !found {
		t.Error("accepting a ballot below the promise is not found")
	}
}

// drawPlan draws a situation in which a view has to be planned.
func drawPlan(t *rapid.T) (View, []Report, Wish) {
	faults := rapid.IntRange(0, 2).Draw(t, "faults")
	voters := members(rapid.IntRange(1, 7).Draw(t, "voters"))
	current := View{Epoch: 5, Voters: voters, Chain: voters[:rapid.IntRange(1, len(voters)).Draw(t, "chain")]}
	promised := rapid.Permutation(voters).Draw(t, "order")
	promised = promised[:rapid.IntRange(current.Majority(), len(voters)).Draw(t, "promises")]
	var reports []Report
	for _, voter := range promised {
		reports = append(reports, Report{
			Member:  voter,
			Active:  rapid.Uint64Range(1, 5).Draw(t, "active"),
			Last:    rapid.Uint64Range(0, 9).Draw(t, "last"),
			Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		})
	}
	identity := rapid.Custom(func(t *rapid.T) string { return member(rapid.IntRange(0, 9).Draw(t, "identity")).Identity })
	wish := Wish{
		Faults: faults,
		Target: rapid.IntRange(0, 9).Draw(t, "target"),
		Out:    rapid.SliceOfN(identity, 0, 3).Draw(t, "out"),
		Gone:   rapid.SliceOfN(identity, 0, 3).Draw(t, "gone"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "standbys") {
		wish.Standbys = append(wish.Standbys, member(20+i))
	}
	return current, reports, wish
}

// A plan keeps what the proof needs, whatever is wished for.
func TestPlanIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, reports, wish := drawPlan(t)
		next := Plan(current, reports, wish)
		holders := holdersOf(reports)
		if !slices.ContainsFunc(holders, func(r Report) bool { return r.Member == next.Head() }) {
			t.Fatalf("the head %v is none of the holders %v", next.Head(), holders)
		}
		for i, link := range next.Chain {
			if !next.Votes(link.Identity) {
				t.Fatalf("%v of the chain is no voter", link)
			}
			if next.Place(link.Identity) != i {
				t.Fatalf("%v is in the chain twice", link)
			}
		}
		if len(next.Voters) > max(wish.Target, len(current.Voters)) {
			t.Fatalf("%d voters", len(next.Voters))
		}
		if slices.Equal(next.Voters, current.Voters) {
			return
		}
		kept := 0
		for _, holder := range holders {
			if next.Votes(holder.Member.Identity) {
				kept++
			}
		}
		founding := len(current.Voters) < current.CommitMinimum(wish.Faults)
		if kept < CommitMinimum(len(next.Voters), wish.Faults) && !founding {
			t.Fatalf("%d of the new voters hold what was committed: %v", kept, next.Voters)
		}
	})
}

// Every chain that may commit meets every majority of its voters, also after as many lost disks as must be borne.
func TestCommitMinimum(t *testing.T) {
	for faults := range 4 {
		for voters := 1; voters <= maximumVoters; voters++ {
			minimum := CommitMinimum(voters, faults)
			majority := voters/2 + 1
			if minimum+majority <= voters || minimum <= faults {
				t.Errorf("%d voters, %d faults: a chain of %d", voters, faults, minimum)
			}
		}
	}
}
