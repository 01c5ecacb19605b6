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

// deadline bounds each wait of a test.
const deadline = 20 * time.Second

// group is some members in one process, on modelled disks.
type group struct {
	t        *testing.T
	net      *network
	seeds    []string
	disks    map[string]*modeldisk.Disk
	machines map[string]*words
}

func newGroup(t *testing.T, count int) *group {
	g := &group{
		t: t, net: &network{members: map[string]*replica.Replica{}},
		disks: map[string]*modeldisk.Disk{}, machines: map[string]*words{},
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

func (g *group) start(number int, bootstrap bool) *replica.Replica {
	g.t.Helper()
	at := address(number)
	if g.disks[at] == nil {
		g.disks[at] = modeldisk.New()
	}
	g.machines[at] = &words{}
	member, err := replica.Open(replica.Config{
		Self:  replica.Member{Address: at, Zone: fmt.Sprint("zone", number), Tag: fmt.Sprint("tag", number)},
		Seeds: g.seeds, Bootstrap: bootstrap, FaultTolerance: 1, FS: g.disks[at],
		Transport: port{network: g.net, address: at}, StateMachine: g.machines[at],
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.net.lock.Lock()
	g.net.members[at] = member
	g.net.lock.Unlock()
	return member
}

// kill ends a member as the end of its process would.
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

// wait waits until the member's status is as asked for.
func (g *group) wait(member *replica.Replica, what string, holds func(replica.Status) bool) {
	g.t.Helper()
	late := time.After(deadline)
	for {
		changed := member.Changed()
		if holds(member.Status()) {
			return
		}
		select {
		case <-changed:
		case <-late:
			g.t.Fatalf("%s: not in %v; status %+v", what, deadline, member.Status())
		}
	}
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	t.Cleanup(cancel)
	return ctx
}

func (g *group) propose(number int, command string) {
	g.t.Helper()
	if _, err := g.member(number).Propose(within(g.t), []byte(command)); err != nil {
		g.t.Fatalf("propose %q at %d: %v", command, number, err)
	}
}

// expect checks what a member has after a barrier.
func (g *group) expect(number int, want string) {
	g.t.Helper()
	if _, err := g.member(number).Barrier(within(g.t)); err != nil {
		g.t.Fatalf("barrier at %d: %v", number, err)
	}
	if got := g.machines[address(number)].String(); got != want {
		g.t.Errorf("member %d has %q, want %q", number, got, want)
	}
}

func TestEveryMemberTakesCalls(t *testing.T) {
	g := newGroup(t, 4)
	want := ""
	for i := range 4 {
		g.propose(i, fmt.Sprint("w", i))
		want += fmt.Sprint("w", i, " ")
	}
	for i := range 4 {
		g.expect(i, want[:len(want)-1])
	}
	g.wait(g.member(0), "the head leads", func(s replica.Status) bool { return s.IsLeader })
	g.wait(g.member(3), "all are known", func(s replica.Status) bool {
		tags := map[string]bool{}
		for _, member := range s.LiveMembers {
			tags[member.Tag] = true
		}
		return len(tags) == 4 && s.View.Head().Zone == "zone0"
	})
}

func TestHeadDiesAndComesBack(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(1, "before")
	g.kill(0)
	g.propose(2, "during")
	g.start(0, false)
	g.propose(0, "after")
	g.expect(0, "before during after")
	g.wait(g.member(0), "it is in the chain again", func(s replica.Status) bool {
		return s.View.ChainIndex(s.Self.Identity) >= 0 && len(s.View.Chain) == 3
	})
}

func TestPlannedLeave(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.wait(g.member(0), "the head leads", func(s replica.Status) bool { return s.IsLeader })
	if err := g.member(0).Stop(within(t)); err != nil {
		t.Fatal(err)
	}
	g.wait(g.member(1), "the next one leads", func(s replica.Status) bool { return s.IsLeader })
	g.propose(2, "two")
	g.expect(1, "one two")
	if _, err := g.member(0).Propose(within(t), []byte("three")); !errors.Is(err, replica.ErrStopped) {
		t.Errorf("a stopped replica answers %v", err)
	}
}

// With one of three away, a second one is needed, and says why it goes all the same.
func TestNeededMemberSaysWhy(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.kill(2)
	g.wait(g.member(0), "two are left", func(s replica.Status) bool { return len(s.View.Chain) == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := g.member(1).Stop(ctx)
	if !errors.Is(err, replica.ErrStillNeeded) || !strings.Contains(err.Error(), "the chain needs it") {
		t.Errorf("%v", err)
	}
}

// A wiped member comes back with a new identity and gets entries of several MiB through a snapshot.
func TestLargeEntriesReachAWipedMember(t *testing.T) {
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
	g.expect(2, want)
	g.wait(g.member(2), "it votes", func(s replica.Status) bool {
		return s.View.IsVoter(s.Self.Identity) && !s.View.IsVoter(before) && s.Self.Identity != before
	})
}

func TestAllAreKilledAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "kept")
	for i := range 3 {
		g.kill(i)
	}
	for i := range 3 {
		g.start(i, false)
	}
	g.propose(2, "more")
	g.expect(1, "kept more")
}

func TestCallsThatCannotBeServed(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.kill(0)
	g.kill(1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := g.member(2).Propose(ctx, []byte("two"))
	var failure *replica.OperationError
	if !errors.Is(err, replica.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) || !errors.As(err, &failure) {
		t.Errorf("a command on its way: %v", err)
	}
	if _, err := g.member(2).Barrier(ctx); !errors.Is(err, replica.ErrUnavailable) {
		t.Errorf("a barrier: %v", err)
	}
	lonely := g.start(5, false) // has no view to send anything by
	g.net.lock.Lock()
	delete(g.net.members, address(2)) // is no longer reached
	g.net.lock.Unlock()
	_, err = lonely.Propose(ctx, []byte("three"))
	if !errors.Is(err, replica.ErrUnavailable) && !errors.Is(err, replica.ErrOutcomeUnknown) {
		t.Errorf("a command without a group: %v", err)
	}
}

func TestFullDiskIsLeftAndComesBack(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(0, "one")
	g.disks[address(1)].SetFull(true)
	g.propose(0, "two")
	g.expect(1, "one two")
	g.disks[address(1)].SetFull(false)
	g.wait(g.member(0), "it is in the chain again", func(s replica.Status) bool {
		return len(s.View.Chain) == 3 && s.View.Epoch > 2
	})
	g.propose(1, "three")
	g.expect(1, "one two three")
}

// Many callers at many members: every acknowledged command is there once, in the same order everywhere.
func TestManyCallers(t *testing.T) {
	g := newGroup(t, 4)
	var group sync.WaitGroup
	const callers, calls = 8, 20
	for caller := range callers {
		group.Go(func() {
			for call := range calls {
				word := fmt.Sprintf("w%d.%d", caller, call)
				if _, err := g.member(caller%4).Propose(within(t), []byte(word)); err != nil {
					t.Errorf("%s: %v", word, err)
				}
			}
		})
	}
	group.Wait()
	for i := range 4 {
		if _, err := g.member(i).Barrier(within(t)); err != nil {
			t.Fatal(err)
		}
		if first, other := g.machines[address(0)].String(), g.machines[address(i)].String(); first != other {
			t.Errorf("members 0 and %d differ", i)
		}
	}
	if got := len(g.machines[address(0)].list); got != callers*calls {
		t.Errorf("%d words, want %d", got, callers*calls)
	}
}

// Every member proves a fresh contact with the majority, and goes on doing so without a change that it would tell.
func TestEveryMemberProvesItsContact(t *testing.T) {
	g := newGroup(t, 4)
	for i := range 4 {
		g.propose(i, fmt.Sprint("w", i))
	}
	const often = 50 * time.Millisecond
	for i := range 4 {
		member := g.member(i)
		began := time.Now()
		late := time.After(deadline)
		for !member.Status().ConfirmedAt.After(began) {
			select {
			case <-time.After(often):
			case <-late:
				t.Fatalf("member %d: confirmed at %v, asked at %v", i, member.Status().ConfirmedAt, began)
			}
		}
	}
}
