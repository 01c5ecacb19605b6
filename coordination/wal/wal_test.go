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

// smallSegments configures segments that are full after a few records.
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

// newDiskWithRecords returns a disk with a log after the given number of appends, and the appended records.
func newDiskWithRecords(t *testing.T, appends int) (*modeldisk.Disk, []string) {
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

// The newest segment is truncated at every byte: recovery returns the records up to its last complete frame.
func TestRecoveryDiscardsATornWriteAtEveryByte(t *testing.T) {
	disk, all := newDiskWithRecords(t, 21)
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

// One bit is flipped in each byte of the log in turn. Except in the last frame, recovery must report this and not return a
// shorter log.
func TestCorruptionBeforeTheLastFrameIsReported(t *testing.T) {
	disk, all := newDiskWithRecords(t, 21)
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

// appendUntilPowerLoss appends and checkpoints until the disk loses power. It returns the acknowledged records and
// snapshot, and those that the log would contain if the last call, which was in flight, had succeeded.
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

// Power is lost at every operation of the disk: what was acknowledged is recovered, and the call that was in flight is
// recovered completely or not at all, also after further power losses during recovery.
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

// Records that a killed process had not synced, but recovery returned, are durable once Open has returned.
func TestRecoveredRecordsSurviveAPowerLoss(t *testing.T) {
	for seed := uint64(0); seed < 50; seed++ {
		disk, all := newDiskWithRecords(t, 5)
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

// A log can be opened and read while writes fail, and can be written once writes succeed again.
func TestLogIsUsableAgainAfterFailedWrites(t *testing.T) {
	disk, all := newDiskWithRecords(t, 5)
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

// model is the reference model of a log: what it must recover after any faults of its disk.
type model struct {
	disk      *modeldisk.Disk
	log       *wal.Log
	records   []string
	snapshot  string
	uncertain [][]string // contents with a failed append since the last success; a restart may recover any
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

// Runs appends, checkpoints, kills, power losses, failed writes and failed syncs in random order, and compares what is
// recovered with the reference model.
func TestLogAgreesWithTheModelInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{disk: modeldisk.New()}
		m.reopen(t, m.disk)
		t.Repeat(map[string]func(*rapid.T){
			"append":      m.append,
			"append more": m.append, // twice as often as the others
			"checkpoint": func(t *rapid.T) {
				if m.disk.FailWrites || m.disk.FailSyncs > 0 {
					return // TestAcknowledgedRecordsSurviveAPowerLossAtEveryOperation covers interrupted checkpoints
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
