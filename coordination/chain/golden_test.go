package chain

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/coordination/view"
)

// The files in testdata/golden contain bytes written by build 73ca247, which is in use: messages between processes of
// different builds, and logs and snapshots on disk. Each line consists of a name and the bytes in hex. The name is the
// number of a cbor key or the position in a sequence. The files never change; a new field gets files of its own.

// goldenLine is one named value of a golden file.
type goldenLine struct {
	name string
	body []byte
}

// readGolden returns the lines of a golden file in their order.
func readGolden(t *testing.T, file string) []goldenLine {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", file))
	if err != nil {
		t.Fatalf("reading golden data: %v", err)
	}
	var lines []goldenLine
	for line := range strings.Lines(string(text)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), " ")
		body, err := hex.DecodeString(digits)
		if err != nil || !found {
			t.Fatalf("%s: line %q is not a name and bytes in hex: %v", file, line, err)
		}
		lines = append(lines, goldenLine{name: name, body: body})
	}
	return lines
}

// goldenBodies returns the bytes of a golden file without the names.
func goldenBodies(t *testing.T, file string) [][]byte {
	t.Helper()
	var bodies [][]byte
	for _, line := range readGolden(t, file) {
		bodies = append(bodies, line.body)
	}
	return bodies
}

// goldenValue is a value that must decode from the golden bytes of its name and encode to the same bytes.
type goldenValue struct {
	name    string
	content any // a pointer to the value
}

// checkGolden checks that the lines of a golden file decode to the values, and that the values encode to the lines.
func checkGolden(t *testing.T, file string, values []goldenValue) {
	t.Helper()
	lines := readGolden(t, file)
	if len(lines) != len(values) {
		t.Errorf("%s: got %d lines, want %d", file, len(lines), len(values))
	}
	for i, value := range values[:min(len(values), len(lines))] {
		line := lines[i]
		if line.name != value.name {
			t.Errorf("%s, line %d: got name %s, want %s", file, i+1, line.name, value.name)
		}
		read := reflect.New(reflect.TypeOf(value.content).Elem()).Interface()
		if err := cbor.Unmarshal(line.body, read); err != nil {
			t.Errorf("%s %s: reading: %v", file, value.name, err)
		}
		if !reflect.DeepEqual(read, value.content) {
			t.Errorf("%s %s is read as\ngot  %+v\nwant %+v", file, value.name, read, value.content)
		}
		written, err := cbor.Marshal(value.content)
		if err != nil {
			t.Errorf("%s %s: writing: %v", file, value.name, err)
		}
		if !bytes.Equal(written, line.body) {
			t.Errorf("%s %s is written as\ngot  %x\nwant %x", file, value.name, written, line.body)
		}
	}
}

// checkAllSet reports the fields of a struct that are not set, at any depth, because golden data must cover each of
// them.
func checkAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s is not set", path)
			return
		}
		checkAllSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			checkAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		if v.Type().Elem().Kind() != reflect.Struct {
			return
		}
		for i := range v.Len() {
			checkAllSet(t, path+"[]", v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is zero", path)
		}
	}
}

// cborKey returns the number that identifies a field in the encoding.
func cborKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
	return key
}

func goldenMember(name string) view.Member {
	return view.Member{Identity: "identity-" + name, Address: "address-" + name, Zone: "zone-" + name, Tag: "tag-" + name}
}

func goldenView(epoch uint64) view.View {
	return view.View{
		Epoch:  epoch,
		Chain:  []view.Member{goldenMember("a"), goldenMember("b")},
		Voters: []view.Member{goldenMember("b"), goldenMember("c"), goldenMember("a")},
	}
}

func goldenMessage(body Message) *Message {
	body.From, body.To, body.Epoch = "sender", "receiver", 300
	return &body
}

// goldenMessages holds one message of each kind with all its fields set to different values.
func goldenMessages() []goldenValue {
	return []goldenValue{
		{"10", goldenMessage(Message{Hello: &Hello{Member: goldenMember("h")}})},
		{"11", goldenMessage(Message{ViewRequest: &ViewRequest{}})},
		{"12", goldenMessage(Message{ViewDecision: &ViewDecision{View: goldenView(401), PriorLeasesExpired: true}})},
		{"13", goldenMessage(Message{Heartbeat: &Heartbeat{
			Incarnation: 501, SentAt: 502 * time.Millisecond, Echo: 503 * time.Millisecond, CommitIndex: 504,
			LastIndex: 505, StepDown: true,
			MembershipVersion: 506, Members: []view.Member{goldenMember("p"), goldenMember("q")}, Live: []bool{true, false},
			DurableReplicas: 507, EchoReceivedAt: 508 * time.Millisecond, EchoGeneration: 509,
			ProofAt: 510 * time.Millisecond, ProofIndex: 511,
		}})},
		{"14", goldenMessage(Message{HeartbeatReply: &HeartbeatReply{
			Incarnation: 601, HeartbeatSentAt: 602 * time.Millisecond, CommitIndex: 603, LastIndex: 604,
			CompleteEpoch: 605, Matched: true, PromisedEpoch: 606,
			DiskFailing: true, Leaving: true, MembershipVersion: 607, ReceiptGeneration: 608,
		}})},
		{"15", goldenMessage(Message{Fetch: &Fetch{
			RequestID: 701, CommitIndex: 702, EpochEnds: []EpochEnd{{Epoch: 703, LastIndex: 704}, {Epoch: 705, LastIndex: 706}},
		}})},
		{"16", goldenMessage(Message{Append: &Append{
			InReplyTo: 801, PreviousIndex: 802,
			Entries: []Entry{
				{Index: 803, Epoch: 804, ID: CommandID{Proposer: 805, Number: 806}, Command: []byte("first")},
				{Index: 807, Epoch: 808, ID: CommandID{Proposer: 809, Number: 810}, Command: []byte("second")},
			},
			CommitIndex: 811, EpochStartIndex: 812, More: true, Snapshot: []byte("snapshot"),
		}})},
		{"17", goldenMessage(Message{Commit: &Commit{Index: 901}})},
		{"18", goldenMessage(Message{Forward: &Forward{
			ID: CommandID{Proposer: 1001, Number: 1002}, Command: []byte("command"),
		}})},
		{"19", goldenMessage(Message{Barrier: &Barrier{RequestID: 1101, Requester: "asker", RequesterAddress: "address"}})},
		{"20", goldenMessage(Message{BarrierReply: &BarrierReply{RequestID: 1201, Index: 1202}})},
		{"21", goldenMessage(Message{PreVote: &PreVote{RequestID: 1301}})},
		{"22", goldenMessage(Message{PreVoteReply: &PreVoteReply{RequestID: 1401}})},
		{"23", goldenMessage(Message{Prepare: &Prepare{
			View: goldenView(1501), Number: view.ProposalNumber{Round: 1502, Proposer: "proposer"},
		}})},
		{"24", goldenMessage(Message{Promise: &view.Promise{
			Number: view.ProposalNumber{Round: 1601, Proposer: "asked"}, Granted: true,
			Promised: view.ProposalNumber{Round: 1602, Proposer: "promised"},
			Accepted: view.ProposalNumber{Round: 1603, Proposer: "accepted"}, Value: goldenView(1604),
			Report: view.Report{Member: goldenMember("r"), CompleteEpoch: 1605, LastIndex: 1606, LastEpoch: 1607, Leaving: true},
		}})},
		{"25", goldenMessage(Message{Accept: &Accept{
			Number: view.ProposalNumber{Round: 1701, Proposer: "proposer"}, Value: goldenView(1702),
		}})},
		{"26", goldenMessage(Message{Accepted: &Accepted{Number: view.ProposalNumber{Round: 1801, Proposer: "proposer"}}})},
	}
}

// goldenEmptyMessages holds one message of each kind with no field set: it shows which fields are then omitted.
func goldenEmptyMessages() []goldenValue {
	return []goldenValue{
		{"0", &Message{}},
		{"10", &Message{Hello: &Hello{}}},
		{"11", &Message{ViewRequest: &ViewRequest{}}},
		{"12", &Message{ViewDecision: &ViewDecision{}}},
		{"13", &Message{Heartbeat: &Heartbeat{}}},
		{"14", &Message{HeartbeatReply: &HeartbeatReply{}}},
		{"15", &Message{Fetch: &Fetch{}}},
		{"15", &Message{Fetch: &Fetch{EpochEnds: []EpochEnd{{}}}}},
		{"16", &Message{Append: &Append{}}},
		{"17", &Message{Commit: &Commit{}}},
		{"18", &Message{Forward: &Forward{}}},
		{"19", &Message{Barrier: &Barrier{}}},
		{"20", &Message{BarrierReply: &BarrierReply{}}},
		{"21", &Message{PreVote: &PreVote{}}},
		{"22", &Message{PreVoteReply: &PreVoteReply{}}},
		{"23", &Message{Prepare: &Prepare{}}},
		{"24", &Message{Promise: &view.Promise{}}},
		{"25", &Message{Accept: &Accept{}}},
		{"26", &Message{Accepted: &Accepted{}}},
	}
}

// Members of build 73ca247 and of this build are compatible: messages are decoded and encoded as before.
func TestGoldenMessages(t *testing.T) {
	checkGolden(t, "messages.hex", goldenMessages())
	checkGolden(t, "messages_empty.hex", goldenEmptyMessages())
}

// The golden data contains each kind of message once, with all its fields set.
func TestGoldenMessagesAreComplete(t *testing.T) {
	var keys []string
	for i := range reflect.TypeFor[Message]().NumField() {
		if field := reflect.TypeFor[Message]().Field(i); field.Type.Kind() == reflect.Pointer {
			keys = append(keys, cborKey(field))
		}
	}
	messages := goldenMessages()
	if len(messages) != len(keys) {
		t.Fatalf("got %d golden messages, want the %d kinds", len(messages), len(keys))
	}
	for i, value := range messages {
		if value.name != keys[i] {
			t.Errorf("golden message %d: got key %s, want %s", i, value.name, keys[i])
		}
		message := reflect.ValueOf(value.content).Elem()
		for j := range message.NumField() {
			field := message.Type().Field(j)
			if field.Type.Kind() != reflect.Pointer || cborKey(field) == value.name {
				checkAllSet(t, field.Name, message.Field(j))
			}
		}
	}
}

// goldenRecords holds one record for each field, then one with all of them.
func goldenRecords() []goldenValue {
	self, truncateAfter, v := goldenMember("s"), uint64(101), goldenView(102)
	acceptor := view.Acceptor{
		Epoch: 103, Promised: view.ProposalNumber{Round: 104, Proposer: "promised"},
		Accepted: view.ProposalNumber{Round: 105, Proposer: "accepted"}, Value: goldenView(106),
	}
	entry := Entry{Index: 108, Epoch: 109, ID: CommandID{Proposer: 110, Number: 111}, Command: []byte("command")}
	known := []view.Member{goldenMember("k"), goldenMember("l")}
	base := checkpointBase{Index: 113, Epoch: 114, Snapshot: SnapshotPoint{Index: 115, Epoch: 116}}
	return []goldenValue{
		{"1", &record{Self: &self}},
		{"2", &record{View: &v}},
		{"3", &record{Acceptor: &acceptor}},
		{"4", &record{CompleteEpoch: 107}},
		{"5", &record{Entry: &entry}},
		{"6", &record{TruncateAfter: &truncateAfter}},
		{"7", &record{CommitIndex: 112}},
		{"8", &record{KnownMembers: known}},
		{"9", &record{Base: &base}},
		{"all", &record{
			Self: &self, View: &v, Acceptor: &acceptor, CompleteEpoch: 107, Entry: &entry, TruncateAfter: &truncateAfter,
			CommitIndex:  112,
			KnownMembers: known, Base: &base,
		}},
	}
}

// goldenEmptyRecords holds records whose parts have no field set.
func goldenEmptyRecords() []goldenValue {
	return []goldenValue{
		{"0", &record{}},
		{"1", &record{Self: &view.Member{}}},
		{"2", &record{View: &view.View{}}},
		{"3", &record{Acceptor: &view.Acceptor{}}},
		{"5", &record{Entry: &Entry{}}},
		{"6", &record{TruncateAfter: new(uint64)}},
		{"9", &record{Base: &checkpointBase{}}},
	}
}

// This build reads a disk of build 73ca247 and the reverse: records are decoded and encoded as before.
func TestGoldenRecords(t *testing.T) {
	checkGolden(t, "records.hex", goldenRecords())
	checkGolden(t, "records_empty.hex", goldenEmptyRecords())
	records := goldenRecords()
	checkAllSet(t, "record", reflect.ValueOf(records[len(records)-1].content))
	if got, want := len(records)-1, reflect.TypeFor[record]().NumField(); got != want {
		t.Errorf("got golden records of %d fields, want %d", got, want)
	}
}

// goldenSnapshot is a snapshot with all fields set.
func goldenSnapshot() Snapshot {
	return Snapshot{
		Point:          SnapshotPoint{Index: 201, Epoch: 202},
		RecentCommands: []CommandID{{Proposer: 203, Number: 204}, {Proposer: 205, Number: 206}},
		Machine:        []byte("machine"),
	}
}

// Snapshots are decoded and encoded as in build 73ca247, on disk and in messages.
func TestGoldenSnapshot(t *testing.T) {
	full, empty := goldenSnapshot(), Snapshot{}
	checkAllSet(t, "snapshot", reflect.ValueOf(full))
	checkGolden(t, "snapshots.hex", []goldenValue{{"all", &full}, {"0", &empty}})
	lines := readGolden(t, "snapshots.hex")
	if got := full.Encode(); !bytes.Equal(got, lines[0].body) {
		t.Errorf("got %x, want %x", got, lines[0].body)
	}
	if got, err := DecodeSnapshot(lines[0].body); err != nil || !reflect.DeepEqual(got, full) {
		t.Errorf("got %+v, %v, want %+v", got, err, full)
	}
}

func goldenEntry(index, epoch uint64, command string) Entry {
	return Entry{
		Index: index, Epoch: epoch, ID: CommandID{Proposer: 900 + epoch, Number: 1000 + index}, Command: []byte(command),
	}
}

// goldenLog is a log as a member writes it: a checkpoint, entries, entries that are truncated and replaced, a new
// view.
func goldenLog() []goldenValue {
	self, old, newer, truncateAfter := goldenMember("a"), goldenView(5), goldenView(6), uint64(13)
	first := view.Acceptor{Epoch: 5, Promised: view.ProposalNumber{Round: 2, Proposer: "identity-b"}}
	second := view.Acceptor{
		Epoch: 6, Promised: view.ProposalNumber{Round: 4, Proposer: "identity-c"},
		Accepted: view.ProposalNumber{Round: 3, Proposer: "identity-a"}, Value: goldenView(6),
	}
	entry := func(index, epoch uint64, command string) *Entry {
		e := goldenEntry(index, epoch, command)
		return &e
	}
	return []goldenValue{
		{"1", &record{
			Base: &checkpointBase{Index: 10, Epoch: 3, Snapshot: SnapshotPoint{Index: 12, Epoch: 4}},
			Self: &self, View: &old, Acceptor: &first, CompleteEpoch: 4, CommitIndex: 11,
			KnownMembers: []view.Member{goldenMember("b")},
		}},
		{"2", &record{Entry: entry(11, 3, "eleven")}},
		{"3", &record{Entry: entry(12, 4, "twelve")}},
		{"4", &record{Entry: entry(13, 5, "replaced")}},
		{"5", &record{Entry: entry(14, 5, "cut off")}},
		{"6", &record{TruncateAfter: &truncateAfter}},
		{"7", &record{Entry: entry(14, 5, "replaced with its predecessor")}},
		{"8", &record{View: &newer, CompleteEpoch: 6}},
		{"9", &record{Entry: entry(13, 6, "thirteen")}},
		{"10", &record{Acceptor: &second}},
		{"11", &record{
			Entry: entry(14, 6, "fourteen"), CommitIndex: 13, KnownMembers: []view.Member{goldenMember("b"), goldenMember("c")},
		}},
	}
}

// goldenState is the state after replaying the golden log.
func goldenState() State {
	return State{
		Self: goldenMember("a"), View: goldenView(6),
		Acceptor: view.Acceptor{
			Epoch: 6, Promised: view.ProposalNumber{Round: 4, Proposer: "identity-c"},
			Accepted: view.ProposalNumber{Round: 3, Proposer: "identity-a"}, Value: goldenView(6),
		},
		CompleteEpoch: 6, CommitIndex: 13, BaseIndex: 10, BaseEpoch: 3,
		Entries: []Entry{
			goldenEntry(11, 3, "eleven"), goldenEntry(12, 4, "twelve"),
			goldenEntry(13, 6, "thirteen"), goldenEntry(14, 6, "fourteen"),
		},
		Snapshot:     SnapshotPoint{Index: 12, Epoch: 4},
		KnownMembers: []view.Member{goldenMember("b"), goldenMember("c")},
	}
}

// Restoring the log of build 73ca247 gives the same state and the same checkpoint as in that build.
func TestGoldenState(t *testing.T) {
	checkGolden(t, "log.hex", goldenLog())
	got, err := Restore(goldenBodies(t, "log.hex"))
	if err != nil {
		t.Fatalf("loading the golden log: %v", err)
	}
	if want := goldenState(); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	checkpoint := goldenBodies(t, "checkpoint.hex")
	if records := got.Records(); !reflect.DeepEqual(records, checkpoint) {
		t.Errorf("checkpoint\ngot  %x\nwant %x", records, checkpoint)
	}
	again, err := Restore(checkpoint)
	if err != nil || !reflect.DeepEqual(again, got) {
		t.Errorf("got  %+v, %v\nwant %+v", again, err, got)
	}
}

// A member that continues from the golden log writes the same records as build 73ca247: a command as head, a promise
// as voter.
func TestGoldenLogIsContinued(t *testing.T) {
	state, err := Restore(goldenBodies(t, "log.hex"))
	if err != nil {
		t.Fatalf("loading the golden log: %v", err)
	}
	state.RecentCommands = []CommandID{{Proposer: 1, Number: 2}}
	n := New(time.Second, state, Config{FaultTolerance: 1, RandomSeed: 1})
	var got [][]byte
	step := func(from string, message Message) {
		message.From, message.Epoch = goldenMember(from).Identity, 6
		out := n.Receive(time.Second, goldenMember(from).Address, message)
		n.Persisted()
		got = append(got, out.Records...)
	}
	step("b", Message{Forward: &Forward{ID: CommandID{Proposer: 21, Number: 22}, Command: []byte("fifteen")}})
	number := view.ProposalNumber{Round: 7, Proposer: "identity-c"}
	step("c", Message{Prepare: &Prepare{View: goldenView(6), Number: number}})
	accepted := goldenView(7)
	step("c", Message{Accept: &Accept{Number: number, Value: accepted}})
	step("c", Message{ViewDecision: &ViewDecision{View: accepted}})
	if want := goldenBodies(t, "continued.hex"); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	applied, want := n.TakeCommitted(), []Applied{{Entry: goldenEntry(13, 6, "thirteen")}}
	if !reflect.DeepEqual(applied, want) {
		t.Errorf("got %+v to apply, want %+v", applied, want)
	}
}

// A founder's first checkpoint is the same, with the identities that all founders compute.
func TestGoldenFounder(t *testing.T) {
	self := view.Member{Address: "10.0.0.2:1", Zone: "zone", Tag: "tag"}
	state, founder := Bootstrap(self, []string{"10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"})
	if !founder {
		t.Fatal("the member is no founder, want one")
	}
	if got, want := state.Records(), goldenBodies(t, "founder.hex"); !reflect.DeepEqual(got, want) {
		t.Errorf("founder\ngot  %x\nwant %x", got, want)
	}
	joining := JoinAsLearner(self, "drawn")
	if got, want := joining.Records(), goldenBodies(t, "joining.hex"); !reflect.DeepEqual(got, want) {
		t.Errorf("joining\ngot  %x\nwant %x", got, want)
	}
}
