package replica_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/replica"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal"
)

// testdata/golden/group contains the data directories of a group of four members, as an earlier release left them when all
// members were killed at once: segments, a snapshot, identities, and the promises and accepted proposals of the voters.
// Never regenerate them to make a test pass.

const goldenMembers = 4

func goldenGroup(parts ...string) string {
	return filepath.Join(append([]string{"testdata", "golden", "group"}, parts...)...)
}

func goldenText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(goldenGroup(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// storedState returns a description of the state in a data directory.
func storedState(t *testing.T, directory string) string {
	t.Helper()
	fs, err := wal.OpenDirectory(directory)
	if err != nil {
		t.Fatal(err)
	}
	log, recovered, err := wal.Open(fs, wal.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := log.Close(); err != nil {
			t.Errorf("close: %v, want nil", err)
		}
	}()
	state, err := chain.Restore(recovered.Records)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := chain.DecodeSnapshot(recovered.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "self %s\n", describeMember(state.Self))
	fmt.Fprintf(&out, "view %s\n", describeView(state.View))
	fmt.Fprintf(&out, "acceptor of epoch %d: promised %d %s, accepted %d %s: %s\n", state.Acceptor.Epoch,
		state.Acceptor.Promised.Round, state.Acceptor.Promised.Proposer,
		state.Acceptor.Accepted.Round, state.Acceptor.Accepted.Proposer, describeView(state.Acceptor.Value))
	fmt.Fprintf(&out, "active %d, committed %d, base %d of epoch %d\n",
		state.CompleteEpoch, state.CommitIndex, state.BaseIndex, state.BaseEpoch)
	for _, member := range state.KnownMembers {
		fmt.Fprintf(&out, "known %s\n", describeMember(member))
	}
	for _, entry := range state.Entries {
		fmt.Fprintf(&out, "entry %d of epoch %d, number %d: %q\n", entry.Index, entry.Epoch, entry.ID.Number, entry.Command)
	}
	fmt.Fprintf(&out, "snapshot to %d of epoch %d, %d identities: %q\n",
		snapshot.Point.Index, snapshot.Point.Epoch, len(snapshot.RecentCommands), snapshot.Machine)
	return out.String()
}

func describeMember(member view.Member) string {
	return strings.Join([]string{member.Identity, member.Address, member.Zone, member.Tag}, "|")
}

func describeView(v view.View) string {
	var members []string
	for _, member := range v.Chain {
		members = append(members, describeMember(member))
	}
	members = append(members, "voters")
	for _, member := range v.Voters {
		members = append(members, describeMember(member))
	}
	return fmt.Sprintf("%d %s", v.Epoch, strings.Join(members, " "))
}

// goldenNetwork is a group whose members use real directories.
type goldenNetwork struct {
	*group
	directories string
}

// copyGolden copies the data directories of the earlier release to a temporary directory.
func copyGolden(t *testing.T) *goldenNetwork {
	t.Helper()
	g := &goldenNetwork{group: newGroup(t, 0), directories: t.TempDir()}
	for number := range goldenMembers {
		if err := os.CopyFS(g.directory(number), os.DirFS(goldenGroup(fmt.Sprint(number)))); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

func (g *goldenNetwork) directory(number int) string {
	return filepath.Join(g.directories, fmt.Sprint(number))
}

// open starts a member on its directory.
func (g *goldenNetwork) open(number int, random uint64, bootstrap bool) *replica.Replica {
	g.t.Helper()
	at := address(number)
	g.machines[at] = &commandList{}
	member, err := replica.Open(replica.Config{
		Self:  replica.Member{Address: at, Zone: fmt.Sprint("zone", number), Tag: fmt.Sprint("tag", number)},
		Seeds: g.seeds, Bootstrap: bootstrap, FaultTolerance: 1, Directory: g.directory(number), RandomSeed: random,
		Transport: transport{network: g.net, address: at}, StateMachine: g.machines[at], CompactBytes: 6000,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.net.lock.Lock()
	g.net.members[at] = member
	g.net.lock.Unlock()
	return member
}

// stop kills a member and keeps its directory.
func (g *goldenNetwork) stop(number int) {
	g.net.lock.Lock()
	member := g.net.members[address(number)]
	delete(g.net.members, address(number))
	g.net.lock.Unlock()
	if member != nil {
		member.Kill()
	}
}

// The state recovered from each data directory is the one that the earlier release recovered from it.
func TestGoldenDirectoriesAreRecovered(t *testing.T) {
	g := copyGolden(t)
	for number := range goldenMembers {
		want := goldenText(t, fmt.Sprintf("state-%d.txt", number))
		if got := storedState(t, g.directory(number)); got != want {
			t.Errorf("member %d:\n%s\nwant\n%s", number, got, want)
		}
	}
}

// A group that runs the current code starts on the data directories of the earlier release. Its members keep their
// identities, have every acknowledged command, and accept further ones, which survive a restart.
func TestGoldenDirectoriesAreCarriedOn(t *testing.T) {
	g := copyGolden(t)
	want := strings.TrimSpace(goldenText(t, "words.txt"))
	identities := strings.Fields(goldenText(t, "identities.txt"))
	for restart := range 2 {
		for number := range goldenMembers {
			member := g.open(number, uint64(100+10*restart+number), false)
			if got := member.Status().Self.Identity; got != identities[number] {
				t.Errorf("restart %d: member %d is %q, want %q", restart, number, got, identities[number])
			}
		}
		for number := range goldenMembers {
			g.expectState(number, want)
		}
		for number := range goldenMembers {
			command := fmt.Sprintf("later-%d-%d", restart, number)
			g.propose(number, command)
			want += " " + command
		}
		for number := range goldenMembers {
			g.expectState(number, want)
		}
		for number := range goldenMembers {
			g.stop(number)
		}
	}
}
