package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"raventrestle/coordination/wal"
	"raventrestle/coordination/wal/modeldisk"
)

// smallSegments begins a new segment after a few records.
var smallSegments = wal.Config{SegmentBytes: 200}

func open(t *testing.T, disk *modeldisk.Disk) (*wal.Log, wal.Recovered) {
	t.Helper()
	log, recovered, err := wal.Open(disk, smallSegments)
	if err != nil {
		t.Fatalf("open: %v, want nil", err)
	}
	return log, recovered
}

func records(texts ...string) [][]byte {
	list := make([][]byte, 0, len(texts))
	for _, text := range texts {
		list = append(list, []byte(text))
	}
	return list
}

func texts(list [][]byte) []string {
	var out []string
	for _, record := range list {
		out = append(out, string(record))
	}
	return out
}

// appended returns a disk after that many appends, in several segments, and the records of all of them.
func appended(t *testing.T, appends int) (*modeldisk.Disk, []string) {
	t.Helper()
	disk := modeldisk.New()
	log, _ := open(t, disk)
	var all []string
	for i := range appends {
		text := fmt.Sprintf("record %d %s", i, strings.Repeat("x", i%40))
		if err := log.Append(records(text)); err != nil {
			t.Fatalf("append %d: %v, want nil", i, err)
		}
		all = append(all, text)
	}
	return disk, all
}

func newestSegment(t *testing.T, disk *modeldisk.Disk) string {
	t.Helper()
	names, _ := disk.List()
	slices.Sort(names)
	return names[len(names)-1]
}

// A file that ends at any byte is recovered up to its last complete frame.
func TestRecoveryDiscardsATornWriteAtEveryByte(t *testing.T) {
	disk, all := appended(t, 21)
	name := newestSegment(t, disk)
	body, _ := disk.Read(name)
	seen := map[int]bool{}
	for length := range len(body) + 1 {
		torn := disk.Copy()
		torn.Truncate(name, length)
		_, recovered := open(t, torn)
		got := texts(recovered.Records)
		if len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
			t.Fatalf("truncated to %d bytes: recovered %q, want a prefix of %q", length, got, all)
		}
		seen[len(got)] = true
	}
	if !seen[len(all)] || !seen[len(all)-1] {
		t.Errorf("numbers of records recovered: %v, want %d and %d among them", seen, len(all), len(all)-1)
	}
}

// A changed byte in a frame that others follow is reported, and never recovered as a shorter log.
func TestCorruptionBeforeTheLastFrameIsReported(t *testing.T) {
	disk, all := appended(t, 21)
	names, _ := disk.List()
	slices.Sort(names)
	for _, name := range names {
		body, _ := disk.Read(name)
		for offset := range body {
			changed := disk.Copy()
			changed.Corrupt(name, offset)
			_, recovered, err := wal.Open(changed, smallSegments)
			if err != nil {
				if !errors.Is(err, wal.ErrCorrupt) {
					t.Fatalf("%s byte %d: %v, want %v", name, offset, err, wal.ErrCorrupt)
				}
				continue
			}
			got := texts(recovered.Records)
			if name != names[len(names)-1] || len(got) < len(all)-1 || !slices.Equal(got, all[:len(got)]) {
				t.Fatalf("%s byte %d: recovered %d of %d records without an error, want %v", name, offset, len(got), len(all),
					wal.ErrCorrupt)
			}
		}
	}
}

// appendUntilPowerLoss appends and checkpoints until the disk loses power. It returns what was acknowledged and what was
// in flight.
func appendUntilPowerLoss(disk *modeldisk.Disk) (acknowledged, inFlight []string, snapshot, nextSnapshot string) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(modeldisk.PowerLoss); !ok {
				panic(cause)
			}
		}
	}()
	log, _, err := wal.Open(disk, smallSegments)
	if err != nil {
		panic(err)
	}
	for i := 0; ; i++ {
		text := fmt.Sprintf("record %d %s", i, strings.Repeat("y", i%60))
		if i%7 == 6 {
			nextSnapshot = fmt.Sprintf("snapshot %d", i)
			inFlight = []string{text}
			if log.Checkpoint([]byte(nextSnapshot), records(text)) == nil {
				acknowledged, snapshot = inFlight, nextSnapshot
			}
			continue
		}
		inFlight = append(slices.Clone(acknowledged), text)
		if log.Append(records(text)) == nil {
			acknowledged = inFlight
		}
	}
}

// Power fails at every operation of the disk: what was acknowledged is recovered, and what was in flight is recovered as
// one or not at all. Further power losses during recovery change nothing.
func TestAcknowledgedRecordsSurviveAPowerLossAtEveryOperation(t *testing.T) {
	for operation := 1; operation <= 120; operation++ {
		for seed := uint64(0); seed < 12; seed++ {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			disk := modeldisk.New()
			disk.PowerLossAt = operation
			acknowledged, inFlight, snapshot, nextSnapshot := appendUntilPowerLoss(disk)
			disk = disk.AfterPowerLoss(random)
			for range 3 {
				again := disk.Copy()
				again.PowerLossAt = 1 + random.IntN(3)
				func() {
					defer func() { _ = recover() }()
					_, _, _ = wal.Open(again, smallSegments)
				}()
				disk = again.AfterPowerLoss(random)
			}
			_, recovered, err := wal.Open(disk, smallSegments)
			if err != nil {
				t.Fatalf("power loss at %d, seed %d: %v, want nil", operation, seed, err)
			}
			got, gotSnapshot := texts(recovered.Records), string(recovered.Snapshot)
			without := slices.Equal(got, acknowledged) && gotSnapshot == snapshot
			with := slices.Equal(got, inFlight) && (gotSnapshot == nextSnapshot || gotSnapshot == snapshot)
			if !without && !with {
				t.Fatalf("power loss at %d, seed %d: got snapshot %q and %q, want %q and %q, or what was in flight, %q and %q",
					operation, seed, gotSnapshot, got, snapshot, acknowledged, nextSnapshot, inFlight)
			}
		}
	}
}

// What a killed process left unsynced is synced before the next process acts on it.
func TestRecoveredRecordsSurviveAPowerLoss(t *testing.T) {
	for seed := uint64(0); seed < 50; seed++ {
		disk, all := appended(t, 5)
		log, _ := open(t, disk)
		disk.FailSyncs = 1
		if err := log.Append(records("unconfirmed")); err == nil {
			t.Fatal("append with a failing sync: no error, want one")
		}
		disk = disk.AfterKill()
		_, first := open(t, disk)
		disk = disk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 1)))
		_, second := open(t, disk)
		if !slices.Equal(texts(first.Records), texts(second.Records)) {
			t.Fatalf("seed %d: recovered %q after a power loss, want %q as before it",
				seed, texts(second.Records), texts(first.Records))
		}
		if !slices.Equal(texts(first.Records)[:len(all)], all) {
			t.Fatalf("seed %d: recovered %q, want %q first", seed, texts(first.Records), all)
		}
	}
}

// While the disk fails writes the log is readable; it is usable once the disk takes writes again.
func TestLogIsUsableAgainAfterFailedWrites(t *testing.T) {
	disk, all := appended(t, 5)
	disk.FailWrites = true
	log, recovered := open(t, disk)
	if recovered.WriteError == nil || !slices.Equal(texts(recovered.Records), all) {
		t.Fatalf("write error %v, records %q, want an error and %q", recovered.WriteError, texts(recovered.Records), all)
	}
	var diskError *wal.DiskError
	if err := log.Append(records("lost")); !errors.As(err, &diskError) || !errors.Is(err, modeldisk.ErrNoSpace) {
		t.Fatalf("append on a full disk: %v, want a DiskError with %v", err, modeldisk.ErrNoSpace)
	}
	if err := log.CheckWritable(); err == nil {
		t.Fatal("a full disk is writable, want an error")
	}
	disk.FailWrites = false
	if err := log.Append(records("kept")); err != nil {
		t.Fatalf("append on a disk that takes writes again: %v, want nil", err)
	}
	_, after := open(t, disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1))))
	if want := append(all, "kept"); !slices.Equal(texts(after.Records), want) {
		t.Errorf("got %q, want %q", texts(after.Records), want)
	}
}

// model is the reference model of a log: what it must recover whatever faults its disk has.
type model struct {
	disk      *modeldisk.Disk
	log       *wal.Log
	records   []string
	snapshot  string
	uncertain [][]string // contents after appends that failed since the last success: a restart may recover any of them
	number    int
}

func (m *model) newText() string {
	m.number++
	return fmt.Sprintf("record %d", m.number)
}

func (m *model) append(t *rapid.T) {
	text := m.newText()
	if err := m.log.Append(records(text)); err != nil {
		m.uncertain = append(m.uncertain, append(slices.Clone(m.records), text))
		return
	}
	m.records, m.uncertain = append(slices.Clone(m.records), text), nil
}

func (m *model) reopen(t *rapid.T, disk *modeldisk.Disk) {
	m.disk = disk
	log, recovered, err := wal.Open(disk, smallSegments)
	if err != nil {
		t.Fatalf("open: %v, want nil", err)
	}
	got := texts(recovered.Records)
	m.uncertain = append(m.uncertain, m.records)
	if !slices.ContainsFunc(m.uncertain, func(list []string) bool { return slices.Equal(got, list) }) {
		t.Fatalf("recovered %q, want one of %q", got, m.uncertain)
	}
	if string(recovered.Snapshot) != m.snapshot {
		t.Fatalf("snapshot %q, want %q", recovered.Snapshot, m.snapshot)
	}
	m.log, m.records = log, got
	if recovered.WriteError == nil {
		m.uncertain = nil
	}
}

// Appends, checkpoints, kills, power losses, failed writes and failed syncs in any order agree with the reference model.
func TestLogAgreesWithTheModelInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{disk: modeldisk.New()}
		m.reopen(t, m.disk)
		t.Repeat(map[string]func(*rapid.T){
			"append":      m.append,
			"append more": m.append, // twice as often as the others
			"checkpoint": func(t *rapid.T) {
				if m.disk.FailWrites || m.disk.FailSyncs > 0 {
					return // TestAcknowledgedRecordsSurviveAPowerLossAtEveryOperation covers checkpoints that fail halfway
				}
				text := m.newText()
				if err := m.log.Checkpoint([]byte("snapshot of "+text), records(text)); err != nil {
					t.Fatalf("checkpoint: %v, want nil", err)
				}
				m.records, m.snapshot, m.uncertain = []string{text}, "snapshot of "+text, nil
			},
			"kill": func(t *rapid.T) { m.reopen(t, m.disk.AfterKill()) },
			"power loss": func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				m.reopen(t, m.disk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 3))))
			},
			"fail writes or end it": func(t *rapid.T) { m.disk.FailWrites = !m.disk.FailWrites },
			"fail the next sync":    func(t *rapid.T) { m.disk.FailSyncs = 1 },
		})
	})
}

func TestLogIsRecoveredFromRealFiles(t *testing.T) {
	directory, err := wal.OpenDirectory(t.TempDir())
	if err != nil {
		t.Fatalf("open the directory: %v, want nil", err)
	}
	for restart := range 3 {
		log, recovered, err := wal.Open(directory, smallSegments)
		if err != nil {
			t.Fatalf("restart %d: %v, want nil", restart, err)
		}
		if len(recovered.Records) != 10*restart {
			t.Fatalf("restart %d: recovered %d records, want %d", restart, len(recovered.Records), 10*restart)
		}
		for i := range 10 {
			if err := log.Append(records(fmt.Sprint(restart, i, strings.Repeat("z", 100*i)))); err != nil {
				t.Fatalf("restart %d, append %d: %v, want nil", restart, i, err)
			}
		}
		if err := log.Close(); err != nil {
			t.Fatalf("restart %d, close: %v, want nil", restart, err)
		}
	}
}
