package historycheck

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"raventrestle/internal/history"
)

// readFile reads the history file of one courier and fills in courier and epoch of each record.
func readFile(path string) (all []Record, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var courier string
	var epoch uint64
	_, err = history.Scan(bufio.NewReaderSize(f, 1<<20), func(text []byte) error {
		var r Record
		if err := cbor.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		if r.Kind == Begun {
			courier, epoch = r.Courier, r.Epoch
		}
		if r.Courier, r.Epoch = courier, epoch; courier == "" {
			return fmt.Errorf("%w: record %q before the first start of the courier", ErrCorrupt, r.Kind)
		}
		all = append(all, r)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w", path, err)
	}
	return all, nil
}

// Effect is a message that took effect at an endpoint, as the server recorded it. Repeats that the endpoint dropped are not
// effects. Times are in nanoseconds, as in the records.
type Effect struct {
	At                        int64
	Message, Courier, Subject string
	MaxEffects                int // how often the class of the message allows it to take effect; 0 for any number
}

// Notice is a message's end that a courier reported to the platform.
type Notice struct {
	At                    int64
	Message, Courier, How string
}

// Ledger provides what endpoints and the platform recorded.
type Ledger interface {
	Effects() []Effect
	Notices() []Notice
}

// History contains everything that was recorded in a run, ordered by time.
type History struct {
	Records      []Record
	Effects      []Effect
	Notices      []Notice
	Dropped      int64 // records that couriers counted as dropped
	incarnations map[incarnation]*incarnationState
}

// incarnation identifies one run of a courier's process.
type incarnation struct {
	courier string
	epoch   uint64
}

type incarnationState struct {
	lastRecord     int64 // time of the last record
	endedCleanly   bool
	droppedRecords bool
}

// Read reads the files of all couriers and merges them with the ledger, which may be nil.
func Read(paths []string, ledger Ledger) (*History, error) {
	parts := make([][]Record, len(paths))
	var files errgroup.Group
	for i, path := range paths {
		files.Go(func() (err error) {
			parts[i], err = readFile(path)
			return err
		})
	}
	if err := files.Wait(); err != nil {
		return nil, err
	}
	return Merge(slices.Concat(parts...), ledger), nil
}

// Merge returns the history of the records, in which courier and epoch must be filled in, and of the ledger, which may be
// nil.
func Merge(records []Record, ledger Ledger) *History {
	h := &History{Records: sortByTime(records), incarnations: map[incarnation]*incarnationState{}}
	for i := range h.Records {
		r := &h.Records[i]
		key := incarnation{r.Courier, r.Epoch}
		state := h.incarnations[key]
		if state == nil {
			state = &incarnationState{}
			h.incarnations[key] = state
		}
		state.lastRecord = r.At
		switch r.Kind {
		case Ended:
			state.endedCleanly = true
		case Gap:
			state.droppedRecords = true
			h.Dropped += r.N
		}
	}
	if ledger != nil {
		h.Effects, h.Notices = slices.Clone(ledger.Effects()), slices.Clone(ledger.Notices())
		slices.SortStableFunc(h.Effects, func(a, b Effect) int { return cmp.Compare(a.At, b.At) })
		slices.SortStableFunc(h.Notices, func(a, b Notice) int { return cmp.Compare(a.At, b.At) })
	}
	return h
}

// sortByTime returns the records in order of time. Records of the same time keep their order. It sorts their indexes first,
// to copy each record only once, as records are large.
func sortByTime(records []Record) []Record {
	type position struct {
		at int64
		i  int
	}
	order := make([]position, len(records))
	for i := range records {
		order[i] = position{records[i].At, i}
	}
	slices.SortFunc(order, func(a, b position) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.i, b.i)) })
	sorted := make([]Record, len(records))
	for target, source := range order {
		sorted[target] = records[source.i]
	}
	return sorted
}

// mayHaveLostRecords reports whether the courier may have done something before the given time that its file does not
// contain, because a record was dropped or because an incarnation was killed before it wrote its last records.
func (h *History) mayHaveLostRecords(courier string, by int64) bool {
	for key, state := range h.incarnations {
		if key.courier == courier && (state.droppedRecords || !state.endedCleanly && state.lastRecord < by) {
			return true
		}
	}
	return false
}
