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

// The file starts with a line with the name and version of the format. The records follow, each as its length, its
// CRC-32C (both four bytes, big-endian) and its CBOR. The processes of a courier append to the same file in turn.
const (
	Header          = "raventrestle history 1\n"
	FrameBytes      = 8 // length and checksum before each record
	maxRecordBytes  = 16 << 10
	closingBytes    = 256 // reserved for the last Gap and Ended records of a process
	queueLength     = 8192
	defaultMaxBytes = 256 << 20
)

var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Writer writes the history of one process. It is safe for concurrent use.
type Writer struct {
	file     *os.File
	out      *bufio.Writer
	size     int64
	maxBytes int64
	queue    chan Record
	done     chan struct{}
	dropped  atomic.Int64
	reported int64 // how many of the dropped records Gap records account for
	closing  bool  // the space reserved by closingBytes may be used

	mu     sync.RWMutex
	closed bool
	err    error // a disk error, after which nothing is written
}

// Create opens or creates the file for a new process and writes a Begun record. It removes an incomplete record that an
// earlier process left at the end. The size of the file is limited to maxBytes; 0 means 256 MiB.
func Create(path, courier string, epoch uint64, maxBytes int64) (w *Writer, err error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, f.Close())
		}
	}()
	complete, err := Scan(bufio.NewReaderSize(f, 1<<20), func([]byte) error { return nil })
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w; move the file away", path, err)
	}
	if err := f.Truncate(complete); err != nil {
		return nil, err
	}
	if _, err := f.Seek(complete, io.SeekStart); err != nil {
		return nil, err
	}
	w = &Writer{
		file: f, out: bufio.NewWriterSize(f, 64<<10), size: complete, maxBytes: cmp.Or(maxBytes, defaultMaxBytes),
		queue: make(chan Record, queueLength), done: make(chan struct{}),
	}
	if complete == 0 {
		w.out.WriteString(Header)
		w.size = int64(len(Header))
	}
	if err := w.writeRecord(Record{Kind: Begun, At: Now(), Courier: courier, Epoch: epoch}); err != nil {
		return nil, err
	}
	if err := w.out.Flush(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// Write queues a record. It never waits: if the queue is full, the record is dropped and counted.
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
	case w.queue <- r:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns how many records were not written because the queue, the file or the disk was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued records and an Ended record and closes the file.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	<-w.done
	return errors.Join(w.err, w.file.Close())
}

func (w *Writer) run() {
	defer close(w.done)
	for r := range w.queue {
		w.writeWithGap(r)
		if len(w.queue) == 0 { // flushed records survive a kill of this process
			w.flush()
		}
	}
	w.closing = true
	w.writeWithGap(Record{Kind: Ended, At: Now()})
	w.flush()
}

func (w *Writer) flush() {
	if w.err == nil {
		w.err = w.out.Flush()
	}
}

// writeWithGap writes a record, and before it a Gap record if any were dropped since the last one.
func (w *Writer) writeWithGap(r Record) {
	if w.err == nil {
		if n := w.dropped.Load(); n > w.reported {
			if w.err = w.writeRecord(Record{Kind: Gap, At: r.At, N: n - w.reported}); w.err == nil {
				w.reported = n
			}
		}
	}
	if w.err == nil {
		w.err = w.writeRecord(r)
	}
	if errors.Is(w.err, errFull) {
		w.err = nil
		w.dropped.Add(1)
	} else if w.err != nil {
		w.dropped.Add(1)
	}
}

var errFull = errors.New("full")

// writeRecord encodes and writes a record, or returns errFull if the file would exceed its maximum size.
func (w *Writer) writeRecord(r Record) error {
	text, err := Append(nil, r)
	if err != nil {
		return err
	}
	limit := w.maxBytes - closingBytes
	if w.closing {
		limit = w.maxBytes
	}
	if w.size+int64(len(text)) > limit {
		return errFull
	}
	_, err = w.out.Write(text)
	w.size += int64(len(text))
	return err
}

// Append appends the encoded record, as it is in the file.
func Append(to []byte, r Record) ([]byte, error) {
	text, err := cbor.Marshal(r)
	if err != nil {
		return to, err
	}
	if len(text) > maxRecordBytes {
		return to, errFull
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(text)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(text, castagnoli()))
	return append(to, text...), nil
}

// Scan reads a file, calls onRecord with the CBOR of each record, and returns the length of the file up to the end of
// the last complete record. An incomplete last record is not an error.
func Scan(in io.Reader, onRecord func(text []byte) error) (complete int64, err error) {
	header := make([]byte, len(Header))
	switch n, err := io.ReadFull(in, header); {
	case err == io.EOF || err == io.ErrUnexpectedEOF && bytes.HasPrefix([]byte(Header), header[:n]):
		return 0, nil
	case err != nil && err != io.ErrUnexpectedEOF:
		return 0, err
	case string(header) != Header:
		return 0, fmt.Errorf("%w: it begins with %q, not %q", ErrCorrupt, header[:n], Header)
	}
	complete = int64(len(Header))
	buf := make([]byte, maxRecordBytes)
	for {
		if _, err := io.ReadFull(in, header[:FrameBytes]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return complete, nil
		} else if err != nil {
			return complete, err
		}
		size := binary.BigEndian.Uint32(header)
		if size > maxRecordBytes {
			return complete, fmt.Errorf("%w: a record of %d bytes at %d", ErrCorrupt, size, complete)
		}
		if _, err := io.ReadFull(in, buf[:size]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return complete, nil
		} else if err != nil {
			return complete, err
		}
		if crc32.Checksum(buf[:size], castagnoli()) != binary.BigEndian.Uint32(header[4:]) {
			return complete, fmt.Errorf("%w: the checksum of the record at %d is wrong", ErrCorrupt, complete)
		}
		if err := onRecord(buf[:size]); err != nil {
			return complete, err
		}
		complete += int64(FrameBytes + size)
	}
}
