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

// duel lets proposers race through acceptors, with messages lost, doubled and in any order.
type duel struct {
	random    *rand.Rand
	planted   mutation.Set
	current   View
	acceptors []Acceptor
	flying    []func()
	decided   []View
}

// send has a message delivered some time later: once, twice or not at all.
func (d *duel) send(deliver func()) {
	if d.random.IntN(10) > 0 {
		d.flying = append(d.flying, deliver)
	}
	if d.random.IntN(10) == 0 {
		d.flying = append(d.flying, deliver)
	}
}

// prepare opens a ballot.
func (d *duel) prepare(ballot ProposalNumber) {
	p := &Proposer{Current: d.current, Number: ballot}
	for i := range d.acceptors {
		d.send(func() {
			given := d.acceptors[i].Prepare(2, ballot)
			promise := Promise{Number: ballot, Granted: given, Report: Report{Member: member(i)}}
			if given {
				promise.Accepted, promise.Value = d.acceptors[i].Accepted, d.acceptors[i].Value
			}
			d.send(func() {
				p.AddPromise(promise)
				if p.Prepared() && p.Value.Epoch == 0 {
					d.propose(p)
				}
			})
		})
	}
}

// propose sends the ballot's value: one of its own, unless another may be decided.
func (d *duel) propose(p *Proposer) {
	value, bound := p.RequiredValue()
	if !bound {
		value = View{Epoch: 2, Chain: []Member{{Identity: fmt.Sprint(p.Number)}}}
	}
	p.Value = value
	for i := range d.acceptors {
		d.send(func() {
			if !d.acceptors[i].Accept(p.Number, value, d.planted) {
				return
			}
			d.send(func() {
				if p.AddAcceptance(member(i).Identity) {
					d.decided = append(d.decided, value)
				}
			})
		})
	}
}

// play returns the values that two proposers of four ballots each have decided.
func (d *duel) play() []View {
	for round := range uint64(4) {
		d.prepare(ProposalNumber{Round: round + 1, Proposer: "x"})
		d.prepare(ProposalNumber{Round: round + 1, Proposer: "y"})
	}
	for len(d.flying) > 0 {
		at := d.random.IntN(len(d.flying))
		deliver := d.flying[at]
		d.flying = slices.Delete(d.flying, at, at+1)
		deliver()
	}
	return d.decided
}

func playDuel(seed uint64, voters int, planted mutation.Set) []View {
	d := &duel{
		random:    rand.New(rand.NewPCG(seed, 0)),
		planted:   planted,
		current:   View{Epoch: 1, Chain: members(voters), Voters: members(voters)},
		acceptors: make([]Acceptor, voters),
	}
	return d.play()
}

// An epoch decides one view, whatever the order of the messages; a voter that forgets its promise breaks that.
func TestOneViewIsDecided(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 3000; seed++ {
		voters := 3 + 2*int(seed%2)
		same := func(decided []View) bool {
			return !slices.ContainsFunc(decided, func(v View) bool { return !slices.Equal(v.Chain, decided[0].Chain) })
		}
		if decided := playDuel(seed, voters, mutation.Set{}); !same(decided) {
			t.Fatalf("seed %d: %v", seed, decided)
		}
		found = found || !same(playDuel(seed, voters, mutation.Set{AcceptAnyProposal: true}))
	}
	if !found {
		t.Error("accepting a ballot below the promise is not found")
	}
}

// drawPlan draws a situation in which a view has to be planned.
func drawPlan(t *rapid.T) (View, []Report, Reconfiguration) {
	faults := rapid.IntRange(0, 2).Draw(t, "faults")
	voters := members(rapid.IntRange(1, 7).Draw(t, "voters"))
	current := View{Epoch: 5, Voters: voters, Chain: voters[:rapid.IntRange(1, len(voters)).Draw(t, "chain")]}
	promised := rapid.Permutation(voters).Draw(t, "order")
	promised = promised[:rapid.IntRange(current.Majority(), len(voters)).Draw(t, "promises")]
	var reports []Report
	for _, voter := range promised {
		reports = append(reports, Report{
			Member:        voter,
			CompleteEpoch: rapid.Uint64Range(1, 5).Draw(t, "active"),
			LastIndex:     rapid.Uint64Range(0, 9).Draw(t, "last"),
			Leaving:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		})
	}
	identity := rapid.Custom(func(t *rapid.T) string { return member(rapid.IntRange(0, 9).Draw(t, "identity")).Identity })
	wish := Reconfiguration{
		FaultTolerance:  faults,
		TargetVoters:    rapid.IntRange(0, 9).Draw(t, "target"),
		RemoveFromChain: rapid.SliceOfN(identity, 0, 3).Draw(t, "out"),
		ReplaceVoters:   rapid.SliceOfN(identity, 0, 3).Draw(t, "gone"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "standbys") {
		wish.Learners = append(wish.Learners, member(20+i))
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
			if !next.IsVoter(link.Identity) {
				t.Fatalf("%v of the chain is no voter", link)
			}
			if next.ChainIndex(link.Identity) != i {
				t.Fatalf("%v is in the chain twice", link)
			}
		}
		if len(next.Voters) > max(wish.TargetVoters, len(current.Voters)) {
			t.Fatalf("%d voters", len(next.Voters))
		}
		if slices.Equal(next.Voters, current.Voters) {
			return
		}
		kept := 0
		for _, holder := range holders {
			if next.IsVoter(holder.Member.Identity) {
				kept++
			}
		}
		founding := len(current.Voters) < current.MinChainLength(wish.FaultTolerance)
		if kept < MinChainLength(len(next.Voters), wish.FaultTolerance) && !founding {
			t.Fatalf("%d of the new voters hold what was committed: %v", kept, next.Voters)
		}
	})
}

// A standby gets no vote while too few of the voters are known to hold everything.
func TestVotesWaitForHolders(t *testing.T) {
	voters := members(3)
	current := View{Epoch: 5, Voters: voters, Chain: voters[:2]}
	reports := []Report{{Member: voters[0], CompleteEpoch: 5}, {Member: voters[1], CompleteEpoch: 4}}
	wish := Reconfiguration{FaultTolerance: 1, TargetVoters: 3, ReplaceVoters: []string{voters[2].Identity}, Learners: []Member{member(20)}}
	if next := Plan(current, reports, wish); next.IsVoter(member(20).Identity) {
		t.Errorf("one of %v holds everything", next.Voters)
	}
	wish.Mutation.UncheckedVoters = true
	if next := Plan(current, reports, wish); !next.IsVoter(member(20).Identity) {
		t.Error("votes without holders are not found")
	}
}

// Every chain that may commit meets every majority of its voters, also after as many lost disks as must be borne.
func TestCommitMinimum(t *testing.T) {
	for faults := range 4 {
		for voters := 1; voters <= maximumVoters; voters++ {
			minimum := MinChainLength(voters, faults)
			majority := voters/2 + 1
			if minimum+majority <= voters || minimum <= faults {
				t.Errorf("%d voters, %d faults: a chain of %d", voters, faults, minimum)
			}
		}
	}
}
