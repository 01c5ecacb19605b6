package history

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

// read reads one courier's file.
func read(path string) (all []Record, err error) {
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
			return fmt.Errorf("%w: %s before any life begins", ErrCorrupt, r.Kind)
		}
		all = append(all, r)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w", path, err)
	}
	return all, nil
}

// Effect is what the server's side saw take effect. Repeats that an endpoint dropped are none.
type Effect struct {
	At                        int64
	Message, Courier, Subject string
	Most                      int // that its class allows of a message; 0 for any number
}

// Told is an end that the platform was told.
type Told struct {
	At                    int64
	Message, Courier, How string
}

// Ledger is the server's side.
type Ledger interface {
	Effects() []Effect
	Told() []Told
}

// History is all that is known of a run, in order of time.
type History struct {
	Records []Record
	Effects []Effect
	Told    []Told
	Dropped int64 // records that couriers say they could not write
	lives   map[life]*span
}

type life struct {
	courier string
	epoch   uint64
}

type span struct {
	last    int64 // the time of its last record
	orderly bool
	gaps    bool
}

// Read reads all couriers' files and merges them with the ledger, which may be nil.
func Read(paths []string, ledger Ledger) (*History, error) {
	parts := make([][]Record, len(paths))
	var all errgroup.Group
	for i, path := range paths {
		all.Go(func() (err error) {
			parts[i], err = read(path)
			return err
		})
	}
	if err := all.Wait(); err != nil {
		return nil, err
	}
	return Merge(slices.Concat(parts...), ledger), nil
}

// Merge makes a history of records whose courier and epoch are filled in.
func Merge(records []Record, ledger Ledger) *History {
	h := &History{Records: inTime(records), lives: map[life]*span{}}
	for i := range h.Records {
		r := &h.Records[i]
		l := life{r.Courier, r.Epoch}
		s := h.lives[l]
		if s == nil {
			s = &span{}
			h.lives[l] = s
		}
		s.last = r.At
		switch r.Kind {
		case Ended:
			s.orderly = true
		case Gap:
			s.gaps = true
			h.Dropped += r.N
		}
	}
	if ledger != nil {
		h.Effects, h.Told = slices.Clone(ledger.Effects()), slices.Clone(ledger.Told())
		slices.SortStableFunc(h.Effects, func(a, b Effect) int { return cmp.Compare(a.At, b.At) })
		slices.SortStableFunc(h.Told, func(a, b Told) int { return cmp.Compare(a.At, b.At) })
	}
	return h
}

// inTime puts records in order of time, those of one moment as they were. It moves each once: they are large.
func inTime(records []Record) []Record {
	type place struct {
		at int64
		i  int
	}
	order := make([]place, len(records))
	for i := range records {
		order[i] = place{records[i].At, i}
	}
	slices.SortFunc(order, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.i, b.i)) })
	out := make([]Record, len(records))
	for to, from := range order {
		out[to] = records[from.i]
	}
	return out
}

// mayHaveDone says whether the courier may have done something by then that its history lacks: a record was
// dropped, or a life of it was killed and what it did last never reached the file.
func (h *History) mayHaveDone(courier string, by int64) bool {
	for l, s := range h.lives {
		if l.courier == courier && (s.gaps || !s.orderly && s.last < by) {
			return true
		}
	}
	return false
}
