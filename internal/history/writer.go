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
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
)

// The file: a line that names the format and its version, then records, each with its length and the CRC-32C
// of its text before it, four bytes each, big-endian. The text is CBOR. Lives of a courier follow one another.
const (
	Header        = "raventrestle history 1\n"
	FrameBytes    = 8 // before each record
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
	whole, err := Scan(bufio.NewReaderSize(f, 1<<20), func([]byte) error { return nil })
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w; move it away", path, err)
	}
	if err := f.Truncate(whole); err != nil {
		return nil, err
	}
	if _, err := f.Seek(whole, io.SeekStart); err != nil {
		return nil, err
	}
	w = &Writer{
		file: f, out: bufio.NewWriterSize(f, 64<<10), size: whole, most: cmp.Or(most, defaultAtMost),
		in: make(chan Record, mailbox), done: make(chan struct{}),
	}
	if whole == 0 {
		w.out.WriteString(Header)
		w.size = int64(len(Header))
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
	text, err := Append(nil, r)
	if err != nil {
		return err
	}
	most := w.most - lastWords
	if w.ending {
		most = w.most
	}
	if w.size+int64(len(text)) > most {
		return errFull
	}
	_, err = w.out.Write(text)
	w.size += int64(len(text))
	return err
}

// Append puts a record as the file has it behind what is there.
func Append(to []byte, r Record) ([]byte, error) {
	text, err := cbor.Marshal(r)
	if err != nil {
		return to, err
	}
	if len(text) > recordBytes {
		return to, errFull
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(text)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(text, castagnoli()))
	return append(to, text...), nil
}

// Scan reads records, of which each gets the CBOR, and returns how many bytes are whole. A torn last one is left out.
func Scan(in io.Reader, each func(text []byte) error) (whole int64, err error) {
	head := make([]byte, len(Header))
	switch n, err := io.ReadFull(in, head); {
	case err == io.EOF || err == io.ErrUnexpectedEOF && bytes.HasPrefix([]byte(Header), head[:n]):
		return 0, nil
	case err != nil && err != io.ErrUnexpectedEOF:
		return 0, err
	case string(head) != Header:
		return 0, fmt.Errorf("%w: it begins with %q, not %q", ErrCorrupt, head[:n], Header)
	}
	whole = int64(len(Header))
	buf := make([]byte, recordBytes)
	for {
		if _, err := io.ReadFull(in, head[:FrameBytes]); err == io.EOF || err == io.ErrUnexpectedEOF {
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
		whole += int64(FrameBytes + size)
	}
}
