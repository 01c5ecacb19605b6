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

// paxosSimulation runs proposers that compete for the acceptors of one epoch. Messages are lost, duplicated and
// reordered.
type paxosSimulation struct {
	random    *rand.Rand
	mutants   mutation.Set
	current   View
	acceptors []Acceptor
	inFlight  []func()
	decided   []View
}

// send queues a message for later delivery: once, twice or not at all.
func (s *paxosSimulation) send(deliver func()) {
	if s.random.IntN(10) > 0 {
		s.inFlight = append(s.inFlight, deliver)
	}
	if s.random.IntN(10) == 0 {
		s.inFlight = append(s.inFlight, deliver)
	}
}

// prepare starts the first phase of a proposal.
func (s *paxosSimulation) prepare(number ProposalNumber) {
	p := &Proposer{Current: s.current, Number: number}
	for i := range s.acceptors {
		s.send(func() {
			granted := s.acceptors[i].Prepare(2, number)
			promise := Promise{Number: number, Granted: granted, Report: Report{Member: member(i)}}
			if granted {
				promise.Accepted, promise.Value = s.acceptors[i].Accepted, s.acceptors[i].Value
			}
			s.send(func() {
				p.AddPromise(promise)
				if p.Prepared() && p.Value.Epoch == 0 {
					s.propose(p)
				}
			})
		})
	}
}

// propose starts the second phase, with a value of the proposer's own unless another one may already be decided.
func (s *paxosSimulation) propose(p *Proposer) {
	value, required := p.RequiredValue()
	if !required {
		value = View{Epoch: 2, Chain: []Member{{Identity: fmt.Sprint(p.Number)}}}
	}
	p.Value = value
	for i := range s.acceptors {
		s.send(func() {
			if !s.acceptors[i].Accept(p.Number, value, s.mutants) {
				return
			}
			s.send(func() {
				if p.AddAcceptance(member(i).Identity) {
					s.decided = append(s.decided, value)
				}
			})
		})
	}
}

// run lets two proposers make four proposals each, and returns the values that were decided.
func (s *paxosSimulation) run() []View {
	for round := range uint64(4) {
		s.prepare(ProposalNumber{Round: round + 1, Proposer: "x"})
		s.prepare(ProposalNumber{Round: round + 1, Proposer: "y"})
	}
	for len(s.inFlight) > 0 {
		next := s.random.IntN(len(s.inFlight))
		deliver := s.inFlight[next]
		s.inFlight = slices.Delete(s.inFlight, next, next+1)
		deliver()
	}
	return s.decided
}

func simulatePaxos(seed uint64, voters int, mutants mutation.Set) []View {
	s := &paxosSimulation{
		random:    rand.New(rand.NewPCG(seed, 0)),
		mutants:   mutants,
		current:   View{Epoch: 1, Chain: members(voters), Voters: members(voters)},
		acceptors: make([]Acceptor, voters),
	}
	return s.run()
}

// Each epoch decides only one view, whatever the order of the messages. With an acceptor that ignores its promise,
// some seed must decide two.
func TestEachEpochDecidesOneViewOnly(t *testing.T) {
	detected := false
	for seed := uint64(0); seed < 3000; seed++ {
		voters := 3 + 2*int(seed%2)
		allEqual := func(decided []View) bool {
			return !slices.ContainsFunc(decided, func(v View) bool { return !slices.Equal(v.Chain, decided[0].Chain) })
		}
		if decided := simulatePaxos(seed, voters, mutation.Set{}); !allEqual(decided) {
			t.Fatalf("seed %d: got decided views %v, want all equal", seed, decided)
		}
		detected = detected || !allEqual(simulatePaxos(seed, voters, mutation.Set{AcceptAnyProposal: true}))
	}
	if !detected {
		t.Error("got one decided view for each seed with an acceptor that accepts below its promise, want two for some seed")
	}
}

// drawReconfiguration draws a view, reports of a majority of its voters and a reconfiguration.
func drawReconfiguration(t *rapid.T) (View, []Report, Reconfiguration) {
	faults := rapid.IntRange(0, 2).Draw(t, "faults")
	voters := members(rapid.IntRange(1, 7).Draw(t, "voters"))
	current := View{Epoch: 5, Voters: voters, Chain: voters[:rapid.IntRange(1, len(voters)).Draw(t, "chain")]}
	promised := rapid.Permutation(voters).Draw(t, "order")
	promised = promised[:rapid.IntRange(current.Majority(), len(voters)).Draw(t, "promises")]
	var reports []Report
	for _, voter := range promised {
		reports = append(reports, Report{
			Member:        voter,
			CompleteEpoch: rapid.Uint64Range(1, 5).Draw(t, "complete"),
			LastIndex:     rapid.Uint64Range(0, 9).Draw(t, "last"),
			Leaving:       rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		})
	}
	identity := rapid.Custom(func(t *rapid.T) string { return member(rapid.IntRange(0, 9).Draw(t, "identity")).Identity })
	change := Reconfiguration{
		FaultTolerance:  faults,
		TargetVoters:    rapid.IntRange(0, 9).Draw(t, "target"),
		RemoveFromChain: rapid.SliceOfN(identity, 0, 3).Draw(t, "remove"),
		ReplaceVoters:   rapid.SliceOfN(identity, 0, 3).Draw(t, "replace"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "learners") {
		change.Learners = append(change.Learners, member(20+i))
	}
	return current, reports, change
}

// A planned view keeps the invariants that the safety argument needs, whatever reconfiguration is requested.
func TestPlannedViewIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, reports, change := drawReconfiguration(t)
		next := Plan(current, reports, change)
		complete := completeReports(reports)
		if !slices.ContainsFunc(complete, func(r Report) bool { return r.Member == next.Head() }) {
			t.Fatalf("got head %v, want one of the complete members %v", next.Head(), complete)
		}
		for i, member := range next.Chain {
			if !next.IsVoter(member.Identity) {
				t.Fatalf("got %v in the chain without a vote, want voters only", member)
			}
			if first := next.ChainIndex(member.Identity); first != i {
				t.Fatalf("got %v in the chain at %d and %d, want it once", member, first, i)
			}
		}
		if limit := max(change.TargetVoters, len(current.Voters)); len(next.Voters) > limit {
			t.Fatalf("got %d voters, want %d at most", len(next.Voters), limit)
		}
		if slices.Equal(next.Voters, current.Voters) {
			return
		}
		retained := 0
		for _, report := range complete {
			if next.IsVoter(report.Member.Identity) {
				retained++
			}
		}
		neverCommitted := len(current.Voters) < current.MinChainLength(change.FaultTolerance)
		want := MinChainLength(len(next.Voters), change.FaultTolerance)
		if retained < want && !neverCommitted {
			t.Fatalf("got %d complete members among the new voters %v, want %d", retained, next.Voters, want)
		}
	})
}

// A learner gets no vote while too few voters are known to have everything that was committed.
func TestVotersDoNotChangeWithoutEnoughCompleteMembers(t *testing.T) {
	voters := members(3)
	current := View{Epoch: 5, Voters: voters, Chain: voters[:2]}
	reports := []Report{{Member: voters[0], CompleteEpoch: 5}, {Member: voters[1], CompleteEpoch: 4}}
	change := Reconfiguration{
		FaultTolerance: 1, TargetVoters: 3,
		ReplaceVoters: []string{voters[2].Identity}, Learners: []Member{member(20)},
	}
	if next := Plan(current, reports, change); next.IsVoter(member(20).Identity) {
		t.Errorf("got voters %v, want no change with one complete member", next.Voters)
	}
	change.Mutation.UncheckedVoters = true
	if next := Plan(current, reports, change); !next.IsVoter(member(20).Identity) {
		t.Errorf("got voters %v with the check disabled, want a change", next.Voters)
	}
}

// Every chain that may commit has a member in every majority of the voters, and more members than disks that may be
// lost.
func TestMinChainLengthMeetsEveryMajority(t *testing.T) {
	for faults := range 4 {
		for voters := 1; voters <= maxVoters; voters++ {
			got := MinChainLength(voters, faults)
			majority := voters/2 + 1
			if got+majority <= voters || got <= faults {
				t.Errorf("%d voters, %d faults: got a chain of %d, want more than %d and more than %d",
					voters, faults, got, voters-majority, faults)
			}
		}
	}
}
