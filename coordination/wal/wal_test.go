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

// smallSegments makes a new segment every few records.
var smallSegments = wal.Config{SegmentBytes: 200}

func open(t testing.TB, disk *modeldisk.Disk) (*wal.Log, wal.Recovered) {
	t.Helper()
	log, recovered, err := wal.Open(disk, smallSegments)
	if err != nil {
		t.Fatalf("open: %v", err)
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

// written is a disk with some appends in several segments, and the records of each.
func written(t testing.TB, appends int) (*modeldisk.Disk, []string) {
	disk := modeldisk.New()
	log, _ := open(t, disk)
	var all []string
	for i := range appends {
		text := fmt.Sprintf("record %d %s", i, strings.Repeat("x", i%40))
		if err := log.Append(records(text)); err != nil {
			t.Fatal(err)
		}
		all = append(all, text)
	}
	return disk, all
}

func newestSegment(t testing.TB, disk *modeldisk.Disk) string {
	t.Helper()
	names, _ := disk.List()
	slices.Sort(names)
	return names[len(names)-1]
}

// A file that ends at any byte is read up to its last whole frame.
func TestEveryCutOffByte(t *testing.T) {
	disk, all := written(t, 21)
	name := newestSegment(t, disk)
	body, _ := disk.Read(name)
	seen := map[int]bool{}
	for length := range len(body) + 1 {
		cut := disk.Copy()
		cut.Truncate(name, length)
		_, recovered := open(t, cut)
		got := texts(recovered.Records)
		if len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
			t.Fatalf("cut at %d: %q", length, got)
		}
		seen[len(got)] = true
	}
	if !seen[len(all)] || !seen[len(all)-1] {
		t.Errorf("lengths seen: %v", seen)
	}
}

// A changed byte in a frame that others follow is an error, never a shorter log.
func TestCorruptionInTheMiddleIsAnError(t *testing.T) {
	disk, all := written(t, 21)
	names, _ := disk.List()
	slices.Sort(names)
	for _, name := range names {
		body, _ := disk.Read(name)
		for at := range body {
			changed := disk.Copy()
			changed.Corrupt(name, at)
			_, recovered, err := wal.Open(changed, smallSegments)
			if err != nil {
				if !errors.Is(err, wal.ErrCorrupt) {
					t.Fatalf("%s byte %d: %v", name, at, err)
				}
				continue
			}
			got := texts(recovered.Records)
			if name != names[len(names)-1] || len(got) < len(all)-1 || !slices.Equal(got, all[:len(got)]) {
				t.Fatalf("%s byte %d is taken without an error: %d of %d records", name, at, len(got), len(all))
			}
		}
	}
}

// play appends and checkpoints until the disk's power fails, and returns what was acknowledged and what was
// under way.
func play(disk *modeldisk.Disk) (acknowledged, underWay []string, snapshot, nextSnapshot string) {
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
			underWay = []string{text}
			if log.Checkpoint([]byte(nextSnapshot), records(text)) == nil {
				acknowledged, snapshot = underWay, nextSnapshot
			}
			continue
		}
		underWay = append(slices.Clone(acknowledged), text)
		if log.Append(records(text)) == nil {
			acknowledged = underWay
		}
	}
}

// Power fails at every step of the disk; what was acknowledged is there, and what was under way is there as a
// whole or not at all. Power failing again in recovery changes nothing.
func TestPowerFailsAtEveryStep(t *testing.T) {
	for cut := 1; cut <= 120; cut++ {
		for seed := uint64(0); seed < 12; seed++ {
			random := rand.New(rand.NewPCG(seed, uint64(cut)))
			disk := modeldisk.New()
			disk.PowerLossAt = cut
			acknowledged, underWay, snapshot, next := play(disk)
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
				t.Fatalf("cut at %d, seed %d: %v", cut, seed, err)
			}
			got, gotSnapshot := texts(recovered.Records), string(recovered.Snapshot)
			whole := slices.Equal(got, acknowledged) && gotSnapshot == snapshot
			more := slices.Equal(got, underWay) && (gotSnapshot == next || gotSnapshot == snapshot)
			if !whole && !more {
				t.Fatalf("cut at %d, seed %d: got %q %q, acknowledged %q %q", cut, seed, gotSnapshot, got, snapshot, acknowledged)
			}
		}
	}
}

// What a process left unsynced is synced before the next process believes it.
func TestKillThenPower(t *testing.T) {
	for seed := uint64(0); seed < 50; seed++ {
		disk, all := written(t, 5)
		log, _ := open(t, disk)
		disk.FailSyncs = 1
		if err := log.Append(records("unsure")); err == nil {
			t.Fatal("a failing sync is not told")
		}
		disk = disk.AfterKill()
		_, first := open(t, disk)
		disk = disk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 1)))
		_, second := open(t, disk)
		if !slices.Equal(texts(first.Records), texts(second.Records)) {
			t.Fatalf("seed %d: read %q, after a loss of power %q", seed, texts(first.Records), texts(second.Records))
		}
		if !slices.Equal(texts(first.Records)[:len(all)], all) {
			t.Fatalf("seed %d: %q", seed, texts(first.Records))
		}
	}
}

// A disk that refuses leaves the log readable, and usable once it takes writes again.
func TestRefusingDisk(t *testing.T) {
	disk, all := written(t, 5)
	disk.FailWrites = true
	log, recovered := open(t, disk)
	if recovered.WriteError == nil || !slices.Equal(texts(recovered.Records), all) {
		t.Fatalf("refused %v, records %q", recovered.WriteError, texts(recovered.Records))
	}
	var refusal *wal.DiskError
	if err := log.Append(records("lost")); !errors.As(err, &refusal) || !errors.Is(err, modeldisk.ErrNoSpace) {
		t.Fatalf("append on a refusing disk: %v", err)
	}
	if err := log.CheckWritable(); err == nil {
		t.Fatal("a probe of a refusing disk succeeds")
	}
	disk.FailWrites = false
	if err := log.Append(records("kept")); err != nil {
		t.Fatal(err)
	}
	_, after := open(t, disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1))))
	if want := append(all, "kept"); !slices.Equal(texts(after.Records), want) {
		t.Errorf("got %q, want %q", texts(after.Records), want)
	}
}

// model is what a log must hold whatever befalls its disk.
type model struct {
	disk     *modeldisk.Disk
	log      *wal.Log
	records  []string
	snapshot string
	maybe    [][]string // failed since the last success: one of them may come back at a restart
	number   int
}

func (m *model) text() string {
	m.number++
	return fmt.Sprintf("record %d", m.number)
}

func (m *model) append(t *rapid.T) {
	text := m.text()
	if err := m.log.Append(records(text)); err != nil {
		m.maybe = append(m.maybe, append(slices.Clone(m.records), text))
		return
	}
	m.records, m.maybe = append(slices.Clone(m.records), text), nil
}

func (m *model) reopen(t *rapid.T, disk *modeldisk.Disk) {
	m.disk = disk
	log, recovered, err := wal.Open(disk, smallSegments)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	got := texts(recovered.Records)
	m.maybe = append(m.maybe, m.records)
	if !slices.ContainsFunc(m.maybe, func(list []string) bool { return slices.Equal(got, list) }) {
		t.Fatalf("got %q, want one of %q", got, m.maybe)
	}
	if string(recovered.Snapshot) != m.snapshot {
		t.Fatalf("snapshot %q, want %q", recovered.Snapshot, m.snapshot)
	}
	m.log, m.records = log, got
	if recovered.WriteError == nil {
		m.maybe = nil
	}
}

// Appends, checkpoints, kills, losses of power, refusals and failed syncs in any order keep to the model.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{disk: modeldisk.New()}
		m.reopen(t, m.disk)
		t.Repeat(map[string]func(*rapid.T){
			"append": m.append,
			"more":   m.append,
			"checkpoint": func(t *rapid.T) {
				if m.disk.FailWrites || m.disk.FailSyncs > 0 {
					return // a checkpoint that fails halfway is covered by TestPowerFailsAtEveryStep
				}
				text := m.text()
				if err := m.log.Checkpoint([]byte("snapshot of "+text), records(text)); err != nil {
					t.Fatal(err)
				}
				m.records, m.snapshot, m.maybe = []string{text}, "snapshot of "+text, nil
			},
			"kill": func(t *rapid.T) { m.reopen(t, m.disk.AfterKill()) },
			"power": func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				m.reopen(t, m.disk.AfterPowerLoss(rand.New(rand.NewPCG(seed, 3))))
			},
			"refuse": func(t *rapid.T) { m.disk.FailWrites = !m.disk.FailWrites },
			"fail":   func(t *rapid.T) { m.disk.FailSyncs = 1 },
		})
	})
}

// The files of the operating system serve as well as the model.
func TestRealFiles(t *testing.T) {
	folder, err := wal.OpenDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		log, recovered, err := wal.Open(folder, smallSegments)
		if err != nil {
			t.Fatal(err)
		}
		if len(recovered.Records) != 10*round {
			t.Fatalf("round %d: %d records", round, len(recovered.Records))
		}
		for i := range 10 {
			if err := log.Append(records(fmt.Sprint(round, i, strings.Repeat("z", 100*i)))); err != nil {
				t.Fatal(err)
			}
		}
		log.Close()
	}
}
