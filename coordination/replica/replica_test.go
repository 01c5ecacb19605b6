package replica_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/coordination/wal/modeldisk"
)

// waitTimeout bounds each wait of a test.
const waitTimeout = 20 * time.Second

// group is a group of members in one process, on simulated disks.
type group struct {
	t        *testing.T
	net      *network
	seeds    []string
	disks    map[string]*modeldisk.Disk
	machines map[string]*commandList
}

// newGroup starts count members; the first three are the seeds that found the group.
func newGroup(t *testing.T, count int) *group {
	t.Helper()
	g := &group{
		t: t, net: &network{members: map[string]*replica.Replica{}},
		disks: map[string]*modeldisk.Disk{}, machines: map[string]*commandList{},
	}
	for i := range 3 {
		g.seeds = append(g.seeds, address(i))
	}
	for i := range count {
		g.start(i, true)
	}
	t.Cleanup(func() {
		for i := range 10 {
			g.kill(i)
		}
	})
	return g
}

func address(number int) string { return fmt.Sprintf("10.0.%d.1:7500", number) }

func (g *group) member(number int) *replica.Replica {
	g.net.lock.Lock()
	defer g.net.lock.Unlock()
	return g.net.members[address(number)]
}

// start starts a member on its disk, which is empty at the first start.
func (g *group) start(number int, bootstrap bool) *replica.Replica {
	g.t.Helper()
	memberAddress := address(number)
	if g.disks[memberAddress] == nil {
		g.disks[memberAddress] = modeldisk.New()
	}
	g.machines[memberAddress] = &commandList{}
	member, err := replica.Open(replica.Config{
		Self:  replica.Member{Address: memberAddress, Zone: fmt.Sprint("zone", number), Tag: fmt.Sprint("tag", number)},
		Seeds: g.seeds, Bootstrap: bootstrap, FaultTolerance: 1, FS: g.disks[memberAddress],
		Transport: transport{network: g.net, address: memberAddress}, StateMachine: g.machines[memberAddress],
	})
	if err != nil {
		g.t.Fatalf("open member %d: %v, want nil", number, err)
	}
	g.net.lock.Lock()
	g.net.members[memberAddress] = member
	g.net.lock.Unlock()
	return member
}

// kill ends a member as a crash of its process would, and keeps its disk.
func (g *group) kill(number int) {
	member := g.member(number)
	if member == nil {
		return
	}
	g.net.lock.Lock()
	delete(g.net.members, address(number))
	g.net.lock.Unlock()
	member.Kill()
	g.disks[address(number)] = g.disks[address(number)].AfterKill()
}

// waitUntil waits until the member's status meets the condition.
func (g *group) waitUntil(member *replica.Replica, description string, condition func(replica.Status) bool) {
	g.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		changed := member.Changed()
		if condition(member.Status()) {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			g.t.Fatalf("%s: not within %v; status %+v", description, waitTimeout, member.Status())
		}
	}
}

// testContext returns a context with waitTimeout as its timeout.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func (g *group) propose(number int, command string) {
	g.t.Helper()
	if _, err := g.member(number).Propose(testContext(g.t), []byte(command)); err != nil {
		g.t.Fatalf("propose %q at member %d: %v, want nil", command, number, err)
	}
}

// expectState performs a barrier at a member and then checks its state.
func (g *group) expectState(number int, want string) {
	g.t.Helper()
	if _, err := g.member(number).Barrier(testContext(g.t)); err != nil {
		g.t.Fatalf("barrier at member %d: %v, want nil", number, err)
	}
	if got := g.machines[address(number)].String(); got != want {
		g.t.Errorf("member %d has %q, want %q", number, got, want)
	}
}

func TestEveryMemberServesCalls(t *testing.T) {
	g := newGroup(t, 4)
	want := ""
	for i := range 4 {
		g.propose(i, fmt.Sprint("w", i))
		want += fmt.Sprint("w", i, " ")
	}
	for i := range 4 {
		g.expectState(i, want[:len(want)-1])
	}
	g.waitUntil(g.member(0), "the head is the leader", func(s replica.Status) bool { return s.IsLeader })
	g.waitUntil(g.member(3), "all are known", func(s replica.Status) bool {
		tags := map[string]bool{}
		for _, member := range s.LiveMembers {
			tags[member.Tag] = true
		}
		return len(tags) == 4 && s.View.Head().Zone == "zone0"
	})
}

func TestKilledHeadRejoinsTheChain(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(1, "before")
	g.kill(0)
	g.propose(2, "during")
	g.start(0, false)
	g.propose(0, "after")
	g.expectState(0, "before during after")
	g.waitUntil(g.member(0), "the member is in the chain again", func(s replica.Status) bool {
		return s.View.ChainIndex(s.Self.Identity) >= 0 && len(s.View.Chain) == 3
	})
}

func TestStoppedHeadHandsOverLeadership(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.waitUntil(g.member(0), "the head is the leader", func(s replica.Status) bool { return s.IsLeader })
	if err := g.member(0).Stop(testContext(t)); err != nil {
		t.Fatalf("stop: %v, want nil", err)
	}
	g.waitUntil(g.member(1), "the next member is the leader", func(s replica.Status) bool { return s.IsLeader })
	g.propose(2, "two")
	g.expectState(1, "one two")
	if _, err := g.member(0).Propose(testContext(t), []byte("three")); !errors.Is(err, replica.ErrStopped) {
		t.Errorf("propose at a stopped replica: %v, want %v", err, replica.ErrStopped)
	}
}

// With one of three members down, the group still needs the other two: Stop ends the member anyway and returns the reason
// why it was still needed.
func TestStopOfANeededMemberSaysWhy(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.kill(2)
	g.waitUntil(g.member(0), "two members are left in the chain", func(s replica.Status) bool {
		return len(s.View.Chain) == 2
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := g.member(1).Stop(ctx)
	if !errors.Is(err, replica.ErrStillNeeded) || !strings.Contains(err.Error(), "the chain needs it") {
		t.Errorf("stop: %v, want %v and that the chain needs it", err, replica.ErrStillNeeded)
	}
}

// A wiped member restarts with a new identity and receives a snapshot of several MiB.
func TestWipedMemberReceivesLargeEntries(t *testing.T) {
	g := newGroup(t, 3)
	large := string(bytes.Repeat([]byte("x"), 5<<20))
	want := large
	g.propose(1, large)
	for i := range 3 {
		g.propose(i, fmt.Sprint("small", i))
		want += fmt.Sprint(" small", i)
	}
	before := g.member(2).Status().Self.Identity
	g.kill(2)
	g.disks[address(2)] = nil
	g.start(2, false)
	g.expectState(2, want)
	g.waitUntil(g.member(2), "the new identity votes", func(s replica.Status) bool {
		return s.View.IsVoter(s.Self.Identity) && !s.View.IsVoter(before) && s.Self.Identity != before
	})
}

func TestGroupRecoversAfterAllMembersAreKilled(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "kept")
	for i := range 3 {
		g.kill(i)
	}
	for i := range 3 {
		g.start(i, false)
	}
	g.propose(2, "more")
	g.expectState(1, "kept more")
}

func TestCallsWithoutAGroupFail(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.kill(0)
	g.kill(1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := g.member(2).Propose(ctx, []byte("two"))
	var failure *replica.OperationError
	if !errors.Is(err, replica.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) || !errors.As(err, &failure) {
		t.Errorf("propose with the others down: %v, want an OperationError with %v and %v",
			err, replica.ErrOutcomeUnknown, context.DeadlineExceeded)
	}
	if _, err := g.member(2).Barrier(ctx); !errors.Is(err, replica.ErrUnavailable) {
		t.Errorf("barrier with the others down: %v, want %v", err, replica.ErrUnavailable)
	}
	learner := g.start(5, false) // it has no view yet
	g.net.lock.Lock()
	delete(g.net.members, address(2)) // the network no longer delivers to it
	g.net.lock.Unlock()
	_, err = learner.Propose(ctx, []byte("three"))
	if !errors.Is(err, replica.ErrUnavailable) && !errors.Is(err, replica.ErrOutcomeUnknown) {
		t.Errorf("propose at a learner without a view: %v, want %v or %v",
			err, replica.ErrUnavailable, replica.ErrOutcomeUnknown)
	}
}

func TestMemberWithAFullDiskLeavesAndRejoinsTheChain(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.disks[address(1)].SetFull(true)
	g.propose(0, "two")
	g.expectState(1, "one two")
	g.disks[address(1)].SetFull(false)
	g.waitUntil(g.member(0), "the member is in the chain again", func(s replica.Status) bool {
		return len(s.View.Chain) == 3 && s.View.Epoch > 2
	})
	g.propose(1, "three")
	g.expectState(1, "one two three")
}

// Commands of concurrent callers are applied once each, in the same order on every member.
func TestConcurrentCommandsAreAppliedOnceInOneOrder(t *testing.T) {
	g := newGroup(t, 4)
	var running sync.WaitGroup
	const callers, calls = 8, 20
	for caller := range callers {
		running.Go(func() {
			for call := range calls {
				command := fmt.Sprintf("w%d.%d", caller, call)
				if _, err := g.member(caller%4).Propose(testContext(t), []byte(command)); err != nil {
					t.Errorf("propose %q: %v, want nil", command, err)
				}
			}
		})
	}
	running.Wait()
	for i := range 4 {
		if _, err := g.member(i).Barrier(testContext(t)); err != nil {
			t.Fatalf("barrier at member %d: %v, want nil", i, err)
		}
		if first, other := g.machines[address(0)].String(), g.machines[address(i)].String(); first != other {
			t.Errorf("member %d has %q, want %q as member 0", i, other, first)
		}
	}
	if got := len(g.machines[address(0)].list); got != callers*calls {
		t.Errorf("%d commands are applied, want %d", got, callers*calls)
	}
}

// Every member's majority contact is renewed while the group is idle.
func TestMajorityContactIsRenewedOnEveryMember(t *testing.T) {
	g := newGroup(t, 4)
	for i := range 4 {
		g.propose(i, fmt.Sprint("w", i))
	}
	const pollInterval = 50 * time.Millisecond
	for i := range 4 {
		member := g.member(i)
		began := time.Now()
		timeout := time.After(waitTimeout)
		for !member.Status().ConfirmedAt.After(began) {
			select {
			case <-time.After(pollInterval):
			case <-timeout:
				t.Fatalf("member %d: newest contact at %v, want one after %v", i, member.Status().ConfirmedAt, began)
			}
		}
	}
}
