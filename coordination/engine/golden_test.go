package engine_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"raventrestle/coordination/chain"
	"raventrestle/coordination/engine"
	"raventrestle/coordination/view"
	"raventrestle/coordination/wal"
	"raventrestle/coordination/wal/modeldisk"
)

// The files in testdata/golden are the disk contents of the four members of a group after an earlier release ran a
// fixed script. They are never regenerated to make a test pass. If the current code can't read them, it can't read the
// disks that are in use. If it writes other bytes, an earlier release may not be able to read them.

const (
	goldenMembers = 4
	goldenTick    = 10 * time.Millisecond
)

// goldenCommands is a replicated state machine that keeps a list of the commands.
type goldenCommands struct{ list []string }

func (c *goldenCommands) Apply(_ uint64, command []byte) []byte {
	c.list = append(c.list, string(command))
	return command
}

func (c *goldenCommands) Snapshot() []byte { return []byte(strings.Join(c.list, " ")) }

func (c *goldenCommands) Restore(snapshot []byte) error {
	c.list = strings.Fields(string(snapshot))
	return nil
}

// goldenGroup is a group without a network: the messages of a step are delivered in the next step.
type goldenGroup struct {
	t       *testing.T
	now     time.Duration
	members [goldenMembers]*goldenMember
	calls   uint64
}

type goldenMember struct {
	fs       wal.FS
	engine   *engine.Engine
	commands *goldenCommands
	inbox    []engine.Input
}

func goldenAddress(number int) string { return fmt.Sprintf("10.0.%d.1:7500", number) }

// start opens a member. If it starts on an empty disk and is not a founder, its identity is derived from the random
// number.
func (g *goldenGroup) start(number int, random uint64, bootstrap bool) {
	g.t.Helper()
	m := g.members[number]
	m.commands, m.inbox = &goldenCommands{}, nil
	opened, err := engine.Open(g.now, engine.Config{
		Self: view.Member{
			Address: goldenAddress(number), Zone: fmt.Sprint("zone", number), Tag: fmt.Sprint("tag", number),
		},
		Seeds:     []string{goldenAddress(0), goldenAddress(1), goldenAddress(2)},
		Bootstrap: bootstrap, FaultTolerance: 1, FS: m.fs, StateMachine: m.commands, RandomSeed: random,
		CompactBytes: 2500, KeepBytes: 300, SegmentBytes: 1200,
	})
	if err != nil {
		g.t.Fatalf("member %d does not start: %v", number, err)
	}
	m.engine = opened
}

func (g *goldenGroup) propose(number int, command string) {
	g.calls++
	m := g.members[number]
	m.inbox = append(m.inbox, engine.Input{CallID: g.calls, Command: []byte(command)})
}

// run steps the group for the given length of time. In each interval one member proposes a command; an interval of 0
// means no commands.
func (g *goldenGroup) run(length, interval time.Duration, prefix string) {
	end := g.now + length
	for number := 0; g.now < end; {
		g.now += goldenTick
		if interval > 0 && g.now%interval == 0 {
			for proposer := number; ; proposer++ {
				if g.members[proposer%goldenMembers].engine != nil {
					g.propose(proposer%goldenMembers, fmt.Sprintf("%s%d%s", prefix, number, strings.Repeat("w", number%20)))
					break
				}
			}
			number++
		}
		g.step()
	}
}

func (g *goldenGroup) step() {
	var sent []chain.Envelope
	var senders []string
	for number, m := range g.members {
		if m.engine == nil {
			continue
		}
		inputs := m.inbox
		m.inbox = nil
		output := m.engine.Step(g.now, inputs)
		if output.DiskError != nil {
			g.t.Fatalf("member %d: %v", number, output.DiskError)
		}
		for _, envelope := range output.Messages {
			sent, senders = append(sent, envelope), append(senders, goldenAddress(number))
		}
		if err := m.engine.Maintain(g.now); err != nil {
			g.t.Fatalf("member %d: %v", number, err)
		}
	}
	for i, envelope := range sent {
		for number, m := range g.members {
			if goldenAddress(number) == envelope.Address && m.engine != nil {
				m.inbox = append(m.inbox, engine.Input{Message: &envelope.Message, Address: senders[i]})
			}
		}
	}
}

// kill ends a member as if its process were killed.
func (g *goldenGroup) kill(number int) {
	m := g.members[number]
	m.engine, m.inbox = nil, nil
	if disk, ok := m.fs.(*modeldisk.Disk); ok {
		m.fs = disk.AfterKill()
	}
}

// runGoldenScript runs the fixed script: a group starts, loses its head and continues, the head returns, and all
// members restart.
func runGoldenScript(t *testing.T) *goldenGroup {
	t.Helper()
	g := &goldenGroup{t: t, now: time.Second}
	for number := range goldenMembers {
		g.members[number] = &goldenMember{fs: modeldisk.New()}
		g.start(number, uint64(0xabc0+number), true)
	}
	g.run(4*time.Second, 100*time.Millisecond, "a")
	g.kill(0)
	g.run(4*time.Second, 100*time.Millisecond, "b")
	g.start(0, 0xabd0, false)
	g.run(4*time.Second, 100*time.Millisecond, "c")
	for number := range goldenMembers {
		g.kill(number)
	}
	for number := range goldenMembers {
		g.start(number, uint64(0xabe0+number), false)
	}
	g.run(5*time.Second, 200*time.Millisecond, "d")
	for number := range goldenMembers {
		g.kill(number)
	}
	return g
}

func goldenPath(parts ...string) string {
	return filepath.Join(append([]string{"testdata", "golden"}, parts...)...)
}

func goldenText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// readAllFiles returns the files of a directory.
func readAllFiles(t *testing.T, fs wal.FS) (names []string, bodies map[string][]byte) {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	bodies = map[string][]byte{}
	for _, name := range names {
		if bodies[name], err = fs.Read(name); err != nil {
			t.Fatal(err)
		}
	}
	return names, bodies
}

// After the same script the current code has written the same files and bytes as the earlier release.
func TestGoldenDisksAreReproduced(t *testing.T) {
	g := runGoldenScript(t)
	for number, m := range g.members {
		wantFS, err := wal.OpenDirectory(goldenPath(fmt.Sprint(number)))
		if err != nil {
			t.Fatal(err)
		}
		names, bodies := readAllFiles(t, m.fs)
		wantNames, want := readAllFiles(t, wantFS)
		if !slices.Equal(names, wantNames) {
			t.Errorf("member %d has files %q, want %q", number, names, wantNames)
		}
		for _, name := range wantNames {
			if !bytes.Equal(bodies[name], want[name]) {
				t.Errorf("member %d: %s is\n%x, want\n%x", number, name, bodies[name], want[name])
			}
		}
	}
}

// goldenState returns a textual description of the state on a disk.
func goldenState(t *testing.T, fs wal.FS) string {
	t.Helper()
	log, recovered, err := wal.Open(fs, wal.Config{SegmentBytes: 1200})
	if err != nil {
		t.Fatal(err)
	}
	defer closeLog(t, log)
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
	fmt.Fprintf(&out, "active %d, committed %d, base %d of epoch %d, snapshot to %d of epoch %d\n", state.CompleteEpoch,
		state.CommitIndex, state.BaseIndex, state.BaseEpoch, state.Snapshot.Index, state.Snapshot.Epoch)
	for _, member := range state.KnownMembers {
		fmt.Fprintf(&out, "known %s\n", describeMember(member))
	}
	for _, entry := range state.Entries {
		fmt.Fprintf(&out, "entry %d of epoch %d, proposer %d, number %d: %q\n",
			entry.Index, entry.Epoch, entry.ID.Proposer, entry.ID.Number, entry.Command)
	}
	fmt.Fprintf(&out, "snapshot to %d of epoch %d: %q\n", snapshot.Point.Index, snapshot.Point.Epoch, snapshot.Machine)
	for _, id := range snapshot.RecentCommands {
		fmt.Fprintf(&out, "applied proposer %d, number %d\n", id.Proposer, id.Number)
	}
	return out.String()
}

func closeLog(t *testing.T, log *wal.Log) {
	t.Helper()
	if err := log.Close(); err != nil {
		t.Errorf("close: %v, want nil", err)
	}
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

// copyGolden copies the disks of the earlier release to temporary directories and returns them.
func copyGolden(t *testing.T) [goldenMembers]wal.FS {
	t.Helper()
	var disks [goldenMembers]wal.FS
	for number := range disks {
		directory := t.TempDir()
		if err := os.CopyFS(directory, os.DirFS(goldenPath(fmt.Sprint(number)))); err != nil {
			t.Fatal(err)
		}
		fs, err := wal.OpenDirectory(directory)
		if err != nil {
			t.Fatal(err)
		}
		disks[number] = fs
	}
	return disks
}

func TestGoldenDisksAreRecovered(t *testing.T) {
	for number, fs := range copyGolden(t) {
		want := goldenText(t, fmt.Sprintf("state-%d.txt", number))
		if got := goldenState(t, fs); got != want {
			t.Errorf("member %d:\n%s\nwant\n%s", number, got, want)
		}
	}
}

// A group that runs the current code continues from the disks of the earlier release, and again after a restart.
func TestGroupContinuesFromGoldenDisks(t *testing.T) {
	g := &goldenGroup{t: t, now: time.Second}
	for number, fs := range copyGolden(t) {
		g.members[number] = &goldenMember{fs: fs}
	}
	want := strings.TrimSpace(goldenText(t, "words.txt"))
	for restart := range 2 {
		for number := range goldenMembers {
			g.start(number, uint64(100+10*restart+number), false)
		}
		g.run(2*time.Second, 0, "")
		command := fmt.Sprint("later", restart)
		g.propose(restart, command)
		want += " " + command
		g.run(time.Second, 0, "")
		for number, m := range g.members {
			if got := string(m.commands.Snapshot()); got != want {
				t.Errorf("restart %d: member %d has %q, want %q", restart, number, got, want)
			}
			if got, want := m.engine.Status(g.now).Self.Identity, goldenIdentity(t, number); got != want {
				t.Errorf("restart %d: member %d is %q, want %q", restart, number, got, want)
			}
			if err := m.engine.Close(); err != nil {
				t.Errorf("restart %d: member %d: close: %v, want nil", restart, number, err)
			}
		}
	}
}

// goldenIdentity returns the identity in the description of a member's state.
func goldenIdentity(t *testing.T, number int) string {
	t.Helper()
	identity, _, _ := strings.Cut(strings.TrimPrefix(goldenText(t, fmt.Sprintf("state-%d.txt", number)), "self "), "|")
	return identity
}
