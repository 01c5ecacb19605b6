package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/configuration"
)

// The files in testdata/golden were written by build 73ca247, before its names were changed. Commands are in members'
// logs and on their links, snapshots on their disks, results on the way to the member that proposed: today's code has
// to read all of them, to go on from them, and to write the same bytes for the same content. The files are never
// written by a test.

// goldenLine is one line of a golden file: columns divided by tabs. Lines that begin with # are comments.
type goldenLine []string

func readGolden(t *testing.T, name string, columns int) []goldenLine {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	var lines []goldenLine
	for _, text := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		if strings.HasPrefix(text, "#") {
			continue
		}
		line := goldenLine(strings.Split(text, "\t"))
		if len(line) != columns {
			t.Fatalf("%s: %d columns, want %d: %.80s", name, len(line), columns, text)
		}
		lines = append(lines, line)
	}
	return lines
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// goldenStep is one command of the fixed history.
type goldenStep struct {
	name   string
	method string
	base   int64
	body   []byte
}

// goldenText is a text of many bytes that compresses well, but not to nothing.
func goldenText(seed uint64, tokens int) string {
	random := rand.New(rand.NewPCG(seed, 73))
	var text strings.Builder
	for range tokens {
		fmt.Fprintf(&text, "w%03d ", random.IntN(200))
	}
	return text.String()
}

// goldenSteps is the history: changes that are accepted, repeated, rejected, and on other versions; with documents
// and bodies on both sides of the size above which they are compressed.
func goldenSteps() []goldenStep {
	document := func(generation int64, note string) []byte {
		return fmt.Appendf(nil, `{"generation":%d,"note":%q,"routes":[{"name":"r1","hostname":"h.example",`+
			`"path_prefix":"/a/","type":"idempotent","timeout_ms":1500,"target_latency_ms":500,"priority":1,`+
			`"backend":"s1","max_retries":2}],"services":[{"name":"s1","health_check":"/healthz",`+
			`"max_connections":37}],"tenants":[{"name":"t1","api_keys":["k1"],"rate_per_s":170,"burst":19}]}`,
			generation, note)
	}
	tenant := func(generation int64, name, note string) []byte {
		return fmt.Appendf(nil, `{"generation":%d,"upsert":{"tenants":[{"name":%q,"api_keys":[%q],"note":%q}]},`+
			`"delete":{"routes":["r-old"]}}`, generation, name, "key-"+name, note)
	}
	var keys []string // each at two tenants: more faults than a result contains
	for n := range 60 {
		keys = append(keys, fmt.Sprintf(`{"name":"a%d","api_keys":["k%d"]},{"name":"b%d","api_keys":["k%d"]}`, n, n, n, n))
	}
	faulty := fmt.Appendf(nil, `{"generation":900,"routes":[],"services":[{"name":"s"}],"tenants":[%s]}`,
		strings.Join(keys, ","))
	first := goldenStep{"first", "PUT", 0, document(11, "first")}
	small := goldenStep{"patch", "PATCH", 11, tenant(23, "t2", "short")}
	long := goldenStep{"packed patch", "PATCH", 23, tenant(31, "t3", goldenText(1, 8000))}
	large := goldenStep{"packed document", "PUT", 31, document(47, goldenText(2, 9000))}
	return []goldenStep{
		{"patch of nothing", "PATCH", 5, tenant(7, "t0", "")},
		first,
		{"first, repeated", first.method, first.base, first.body},
		{"competing on version 0", "PUT", 0, document(13, "competing")},
		small,
		{"first, repeated later", first.method, first.base, first.body},
		{"generation not above", "PUT", 23, document(23, "again")},
		{"unknown method", "POST", 23, document(29, "post")},
		{"not JSON", "PUT", 23, []byte(`{"generation":`)},
		{"many faults", "PUT", 23, faulty},
		long,
		{"on a version in the future", "PATCH", 32, tenant(37, "t4", "")},
		large,
		{"patch after packed", "PATCH", 47, tenant(53, "t5", "last but one")},
		{"packed patch, repeated", long.method, long.base, long.body},
		{"packed document, repeated", large.method, large.base, large.body},
		{"replaced by a small one", "PUT", 53, document(1<<40, "small again")},
		{"patch, repeated", small.method, small.base, small.body},
	}
}

// resultText is a result without the texts for people, which may be worded better.
func resultText(encoded []byte, result Result) string {
	if rejected, is := result.(Rejected); is {
		return fmt.Sprintf("rejected %d", len(rejected.Faults))
	}
	return hex.EncodeToString(encoded)
}

// goldenIndex is the index of a step's command in the log.
func goldenIndex(step int) uint64 { return 1000 + 3*uint64(step) }

// snapshotAfter are the steps after which a snapshot is in a file: a document that is not compressed, one that is, and
// the end, with a document that is not compressed after those that were.
var snapshotAfter = map[int]string{9: "snapshot-small.hex", 15: "snapshot-packed.hex", 17: "snapshot-end.hex"}

func readSnapshot(t *testing.T, name string) []byte {
	t.Helper()
	return unhex(t, readGolden(t, name, 1)[0][0])
}

// TestGoldenHistory has the commands of history.tsv applied: the same commands are built today, they read the same, they
// get the same results and make the same documents and snapshots.
func TestGoldenHistory(t *testing.T) {
	steps := goldenSteps()
	lines := readGolden(t, "history.tsv", 6)
	if len(lines) != len(steps) {
		t.Fatalf("%d lines, want %d", len(lines), len(steps))
	}
	m := New()
	for at, step := range steps {
		name, stored := lines[at][0], unhex(t, lines[at][2])
		if name != step.name || lines[at][1] != strconv.FormatUint(goldenIndex(at), 10) {
			t.Fatalf("step %d is %q at %s, want %q at %d", at, name, lines[at][1], step.name, goldenIndex(at))
		}
		if built := command(t, step.method, step.base, step.body); !bytes.Equal(built, stored) {
			t.Errorf("%s: the command is %.80x, want %.80x", name, built, stored)
		}
		read, err := decodeCommand(stored)
		want := &commandMessage{ChangeConfiguration: ChangeConfiguration{Method: step.method, IfMatch: step.base, Body: step.body}}
		if difference := cmp.Diff(want, read); err != nil || difference != "" {
			t.Errorf("%s: the stored command reads as: %v %.300s", name, err, difference)
		}
		encoded := m.Apply(goldenIndex(at), stored)
		result, err := DecodeResult(encoded)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := resultText(encoded, result); got != lines[at][3] {
			t.Errorf("%s: the result is %s, want %s", name, got, lines[at][3])
		}
		generation, document := m.Current()
		if got := strconv.FormatInt(generation, 10); got != lines[at][4] {
			t.Errorf("%s: generation %s, want %s", name, got, lines[at][4])
		}
		if got := digest(document); got != lines[at][5] {
			t.Errorf("%s: the document's digest is %s, want %s", name, got, lines[at][5])
		}
		if file, kept := snapshotAfter[at]; kept {
			if got, want := m.Snapshot(), readSnapshot(t, file); !bytes.Equal(got, want) {
				t.Errorf("%s: the snapshot is %.200x, want %.200x", name, got, want)
			}
		}
	}
	if difference := cmp.Diff(goldenVersions(), m.History()); difference != "" {
		t.Error(difference)
	}
}

// goldenVersions is the history at the end of goldenSteps.
func goldenVersions() []Version {
	return []Version{
		{Generation: 11, Index: 1003, Method: "PUT", Bytes: 352},
		{Generation: 23, Index: 1012, Method: "PATCH", Bytes: 403},
		{Generation: 31, Index: 1030, Method: "PATCH", Bytes: 40449},
		{Generation: 47, Index: 1036, Method: "PUT", Bytes: 45347},
		{Generation: 53, Index: 1039, Method: "PATCH", Bytes: 45405},
		{Generation: 1 << 40, Index: 1048, Method: "PUT", Bytes: 369},
	}
}

// TestGoldenSnapshots has today's machine go on from each stored snapshot: it writes the same snapshot again, gives the
// rest of the history's commands the same results, and ends in the same state.
func TestGoldenSnapshots(t *testing.T) {
	lines := readGolden(t, "history.tsv", 6)
	for after, file := range snapshotAfter {
		stored := readSnapshot(t, file)
		m := New()
		if err := m.Restore(stored); err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if again := m.Snapshot(); !bytes.Equal(again, stored) {
			t.Errorf("%s: written again it is %.200x, want %.200x", file, again, stored)
		}
		generation, document := m.Current()
		if got := strconv.FormatInt(generation, 10); got != lines[after][4] || digest(document) != lines[after][5] {
			t.Errorf("%s: generation %s with digest %s, want %s with %s", file, got, digest(document), lines[after][4],
				lines[after][5])
		}
		for at := after + 1; at < len(lines); at++ {
			encoded := m.Apply(goldenIndex(at), unhex(t, lines[at][2]))
			result, err := DecodeResult(encoded)
			if err != nil {
				t.Fatalf("%s, %s: %v", file, lines[at][0], err)
			}
			if got := resultText(encoded, result); got != lines[at][3] {
				t.Errorf("%s, %s: the result is %s, want %s", file, lines[at][0], got, lines[at][3])
			}
		}
		if got, want := m.Snapshot(), readSnapshot(t, "snapshot-end.hex"); !bytes.Equal(got, want) {
			t.Errorf("%s: the end is %.200x, want %.200x", file, got, want)
		}
		if difference := cmp.Diff(goldenVersions(), m.History()); difference != "" {
			t.Errorf("%s: %s", file, difference)
		}
	}
}

// TestGoldenSnapshotOfForgottenChanges has the memory of changes run over: what is forgotten when, what the snapshot
// says of it, and the results of changes before and after that bound, by the machine and by one restored.
func TestGoldenSnapshotOfForgottenChanges(t *testing.T) {
	lines := readGolden(t, "forgotten.tsv", 3)
	m := New()
	for n := range int64(4100) {
		body := fmt.Appendf(nil, `{"generation":%d,"routes":[],"services":[{"name":"s"}]}`, 7*(n+1))
		apply(t, m, 5*uint64(n+1), command(t, "PUT", 7*n, body))
	}
	restored := New()
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for name, machine := range map[string]*Machine{"applied": m, "restored": restored} {
		snapshot := machine.Snapshot()
		got := []goldenLine{
			{"snapshot", strconv.Itoa(len(snapshot)), digest(snapshot)},
			{"head", "64", hex.EncodeToString(snapshot[:64])},
			{"tail", "64", hex.EncodeToString(snapshot[len(snapshot)-64:])},
			{"history", strconv.Itoa(len(machine.History())), fmt.Sprint(machine.History()[0])},
		}
		for n := range int64(8) {
			body := fmt.Appendf(nil, `{"generation":%d,"routes":[],"services":[{"name":"s"}]}`, 7*(n+1))
			same := machine.Apply(90000, command(t, "PUT", 7*n, body))
			other := machine.Apply(90001, command(t, "PUT", 7*n, []byte(`{}`)))
			got = append(got, goldenLine{
				"on " + strconv.FormatInt(7*n, 10), hex.EncodeToString(same),
				hex.EncodeToString(other),
			})
		}
		if difference := cmp.Diff(lines, got); difference != "" {
			t.Errorf("%s: %s", name, difference)
		}
	}
}

// goldenResults are all kinds of result, with every field set to another value.
func goldenResults() []Result {
	return []Result{
		Accepted{Generation: 101},
		VersionMismatch{Current: 202},
		Rejected{Faults: []configuration.ItemError{{Item: "item-303", Reason: "reason-304"}, {Item: "item-305"}}},
		Forgotten{Current: 404},
		Accepted{Generation: 1 << 41},
		Rejected{},
	}
}

func TestGoldenResults(t *testing.T) {
	lines := readGolden(t, "results.tsv", 2)
	results := goldenResults()
	if len(lines) != len(results) {
		t.Fatalf("%d lines, want %d", len(lines), len(results))
	}
	for at, want := range results {
		if got := hex.EncodeToString(encodeResult(want)); got != lines[at][1] {
			t.Errorf("%s: %s, want %s", lines[at][0], got, lines[at][1])
		}
		if got, err := DecodeResult(unhex(t, lines[at][1])); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: the stored result reads as %+v, %v, want %+v", lines[at][0], got, err, want)
		}
	}
}

// TestGoldenCommandSizes has bodies on both sides of the size above which they are compressed, and one that compression would
// not shorten.
func TestGoldenCommandSizes(t *testing.T) {
	lines := readGolden(t, "sizes.tsv", 4)
	noise := make([]byte, 20000)
	random := rand.New(rand.NewPCG(5, 73))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	text := []byte(goldenText(3, 10000))
	bodies := map[string][]byte{"16384": text[:16384], "16385": text[:16385], "noise": noise}
	if len(lines) != len(bodies) {
		t.Fatalf("%d lines, want %d", len(lines), len(bodies))
	}
	for _, line := range lines {
		body := bodies[line[0]]
		encoded := command(t, "PUT", 61, body)
		if got := strconv.Itoa(len(encoded)); got != line[1] || digest(encoded) != line[2] {
			t.Errorf("%s: %s bytes with digest %s, want %s with %s", line[0], got, digest(encoded), line[1], line[2])
		}
		if got := hex.EncodeToString(encoded[:16]); got != line[3] {
			t.Errorf("%s: it begins with %s, want %s", line[0], got, line[3])
		}
		if read, err := decodeCommand(encoded); err != nil || !bytes.Equal(read.Body, body) {
			t.Errorf("%s: read again it differs: %v", line[0], err)
		}
	}
	const largest = 8 << 20
	for size, want := range map[int]bool{largest: true, largest + 1: false} {
		if _, err := decodeCommand(command(t, "PUT", 61, make([]byte, size))); (err == nil) != want {
			t.Errorf("a body of %d bytes: %v, want it read: %v", size, err, want)
		}
	}
}

// TestGoldenKeys has the keys of stored messages listed, so that a failure above says which one moved.
func TestGoldenKeys(t *testing.T) {
	lines := readGolden(t, "keys.tsv", 2)
	stored := map[string][]byte{
		"command":        unhex(t, readGolden(t, "history.tsv", 6)[1][2]),
		"packed command": unhex(t, readGolden(t, "history.tsv", 6)[12][2]),
		"snapshot":       readSnapshot(t, "snapshot-packed.hex"),
	}
	for _, line := range lines {
		var fields map[int]cbor.RawMessage
		if err := cbor.Unmarshal(stored[line[0]], &fields); err != nil {
			t.Fatalf("%s: %v", line[0], err)
		}
		var keys []string
		for key := range 20 {
			if value, present := fields[key]; present {
				keys = append(keys, fmt.Sprintf("%d:%x", key, value[0]))
			}
		}
		if got := strings.Join(keys, " "); got != line[1] {
			t.Errorf("%s: %s, want %s", line[0], got, line[1])
		}
	}
}
