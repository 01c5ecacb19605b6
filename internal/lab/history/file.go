package history

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

// The file: a line that names the format and its version, then records, each with its length and the CRC-32C
// of its text before it, four bytes each, big-endian. The text is CBOR. Lives of a courier follow one another.
const (
	header        = "raventrestle history 1\n"
	frame         = 8
	recordBytes   = 16 << 10
	lastWords     = 256 // kept for the last Gap and Ended of a life
	mailbox       = 8192
	defaultAtMost = 256 << 20
)

var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Writer writes one life's history. It is safe for use by many goroutines.
type Writer struct {
	file    *os.File
	out     *bufio.Writer
	size    int64
	most    int64
	in      chan Record
	done    chan struct{}
	dropped atomic.Int64
	told    int64 // of those dropped, by Gap records
	ending  bool  // the room for last words may be used

	mu     sync.RWMutex
	closed bool
	err    error // of the disk; nothing is written after it
}

// Create opens the file for a new life and writes its begin. A torn record that an earlier life left is cut
// off. Most bounds the file in bytes; 0 is 256 MB.
func Create(path, courier string, epoch uint64, most int64) (w *Writer, err error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, f.Close())
		}
	}()
	whole, err := scan(bufio.NewReaderSize(f, 1<<20), func([]byte) error { return nil })
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w; move it away", path, err)
	}
	if err := f.Truncate(whole); err != nil {
		return nil, err
	}
	if _, err := f.Seek(whole, io.SeekStart); err != nil {
		return nil, err
	}
	w = &Writer{file: f, out: bufio.NewWriterSize(f, 64<<10), size: whole, most: cmp.Or(most, defaultAtMost),
		in: make(chan Record, mailbox), done: make(chan struct{})}
	if whole == 0 {
		w.out.WriteString(header)
		w.size = int64(len(header))
	}
	if err := w.put(Record{Kind: Begun, At: Now(), Courier: courier, Epoch: epoch}); err != nil {
		return nil, err
	}
	if err := w.out.Flush(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// Write hands a record over. It never waits: one that finds the mailbox full is dropped and counted.
func (w *Writer) Write(r Record) {
	if r.At == 0 {
		r.At = Now()
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return
	}
	select {
	case w.in <- r:
	default:
		w.dropped.Add(1)
	}
}

// Dropped is how many records were not written, for a full mailbox, file or disk.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is in the mailbox and the end of the life.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.in)
	w.mu.Unlock()
	<-w.done
	return errors.Join(w.err, w.file.Close())
}

func (w *Writer) run() {
	defer close(w.done)
	for r := range w.in {
		w.keep(r)
		if len(w.in) == 0 { // what is written is out of a kill's reach
			w.flush()
		}
	}
	w.ending = true
	w.keep(Record{Kind: Ended, At: Now()})
	w.flush()
}

func (w *Writer) flush() {
	if w.err == nil {
		w.err = w.out.Flush()
	}
}

func (w *Writer) keep(r Record) {
	if w.err == nil {
		if n := w.dropped.Load(); n > w.told {
			if w.err = w.put(Record{Kind: Gap, At: r.At, N: n - w.told}); w.err == nil {
				w.told = n
			}
		}
	}
	if w.err == nil {
		w.err = w.put(r)
	}
	if errors.Is(w.err, errFull) {
		w.err = nil
		w.dropped.Add(1)
	} else if w.err != nil {
		w.dropped.Add(1)
	}
}

var errFull = errors.New("full")

func (w *Writer) put(r Record) error {
	text, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	most := w.most - lastWords
	if w.ending {
		most = w.most
	}
	if len(text) > recordBytes || w.size+int64(frame+len(text)) > most {
		return errFull
	}
	var head [frame]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(text)))
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(text, castagnoli()))
	w.out.Write(head[:]) // its error stays until the next call
	_, err = w.out.Write(text)
	w.size += int64(frame + len(text))
	return err
}

// scan reads records and returns how many bytes are whole. A torn last one is left out.
func scan(in io.Reader, each func(text []byte) error) (whole int64, err error) {
	head := make([]byte, len(header))
	switch n, err := io.ReadFull(in, head); {
	case err == io.EOF || err == io.ErrUnexpectedEOF && bytes.HasPrefix([]byte(header), head[:n]):
		return 0, nil
	case err != nil && err != io.ErrUnexpectedEOF:
		return 0, err
	case string(head) != header:
		return 0, fmt.Errorf("%w: it begins with %q, not %q", ErrCorrupt, head[:n], header)
	}
	whole = int64(len(header))
	buf := make([]byte, recordBytes)
	for {
		if _, err := io.ReadFull(in, head[:frame]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return whole, nil
		} else if err != nil {
			return whole, err
		}
		size := binary.BigEndian.Uint32(head)
		if size > recordBytes {
			return whole, fmt.Errorf("%w: a record of %d bytes at %d", ErrCorrupt, size, whole)
		}
		if _, err := io.ReadFull(in, buf[:size]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return whole, nil
		} else if err != nil {
			return whole, err
		}
		if crc32.Checksum(buf[:size], castagnoli()) != binary.BigEndian.Uint32(head[4:]) {
			return whole, fmt.Errorf("%w: the checksum of the record at %d is wrong", ErrCorrupt, whole)
		}
		if err := each(buf[:size]); err != nil {
			return whole, err
		}
		whole += int64(frame + size)
	}
}

// read reads one courier's file.
func read(path string) (all []Record, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var courier string
	var epoch uint64
	_, err = scan(bufio.NewReaderSize(f, 1<<20), func(text []byte) error {
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
