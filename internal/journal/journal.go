// Package journal is the courier's write-ahead log. It records the accepted messages, their attempts and the
// notices that have yet to be sent, so that they survive the end of the process.
//
// A single goroutine appends records to one file before the recorded action takes place. Writes are not synced,
// because a plain write survives the end of the process, though not of the machine. When the file has grown too
// large, it is rewritten with the unfinished messages only, and the new file is renamed over the old one.
package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"
)

// ErrFull is returned for a message that does not fit within the size limit.
var ErrFull = errors.New("journal: full")

// ErrClosed is returned for records that are appended after Close.
var ErrClosed = errors.New("journal: closed")

// Message is a message as a client submitted it. It is immutable.
type Message struct {
	ID, Key       string
	Class, Tenant string
	Dest          int64
	ExpiresAt     int64 // its deadline, Unix time in nanoseconds
	Body          []byte
	AcceptedAt    int64  // when the courier accepted it, Unix time in nanoseconds; 0 in a journal of an older build
	ClassTerms    string // definition of its class when it was accepted; opaque here, "" in a journal of an older build
	ResendNumber  int64  // number of the resend of a dead letter, from 1; 0 for a client's submission
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Peer, Zone string
	At         int64 // Unix time in nanoseconds
}

// CompletedAttempt is an attempt that has ended.
type CompletedAttempt struct {
	Attempt
	Outcome string // as the module names it, see internal/net/courier
}

// Progress is the state of the delivery of a message.
type Progress struct {
	AttemptCount  int
	InFlight      *Attempt           // begun and not known to have ended
	FirstRun      *Attempt           // first attempt that may have run
	PendingNotice *End               // set if the courier has ended the message and the platform has not confirmed the notice yet
	PriorRun      *Attempt           // of a resend: the earlier attempt that may have run
	HandedOver    bool               // the next process owns the message
	Completed     []CompletedAttempt // the first maxCompleted attempts that have ended; only with Options.RecordAttempts
}

// maxCompleted limits the recorded attempts of one message.
const maxCompleted = 16

// End tells the platform how the courier ended a message.
type End struct {
	Deferred     bool // the client can safely submit the message again
	RetryAfterMS int64
}

// MessageState is an unfinished message and its progress.
type MessageState struct {
	*Message
	Progress
}

// writeRequest asks the writer to append records. The writer calls done, if not nil, with the result in its own
// goroutine.
type writeRequest struct {
	records []Record
	done    func(error)
}

// Options configure a Store.
type Options struct {
	MaxBytes int64 // limit for all journal files in the directory together
	// Shared tells that the journal of another process may take part of the same limit, see sizeLimits.
	Shared         bool
	RecordAttempts bool // record how each attempt ended, for the dead letters
	// BeforeWrite, if not nil, is called before each write; an error that it returns is taken for the error of
	// the write. Only tests set it, to simulate a crash before a chosen write.
	BeforeWrite func() error
}

// Store is an open journal. Its methods may be called from any goroutine.
type Store struct {
	Options
	dir          string
	log          *slog.Logger
	intact       bool
	reportedSize atomic.Int64 // copy of size for callers of Size
	requests     chan writeRequest
	quit         chan struct{}
	done         chan struct{}
	file         *os.File
	size         int64 // of the file
	writeErr     error // of a write that may have been partial; nil again after a rewrite
	state
}

// state is the state that results from the records of a journal.
type state struct {
	recordAttempts bool  // see Options.RecordAttempts
	liveBytes      int64 // estimated lower bound for the size of a rewritten file
	messages       map[string]*MessageState
	order          []*MessageState  // in the order accepted; contains finished ones too, because an ID may be accepted again after its end
	peerWaits      map[string]int64 // by peer: Unix time in nanoseconds until which it asked the courier to wait
	adopted        map[string]bool  // IDs of messages adopted from earlier processes, whose journals may still exist
	closing        bool             // the process begins no further calls
	handoverData   []byte           // other data for the next process
}

func newState(recordAttempts bool) state {
	return state{recordAttempts: recordAttempts, messages: map[string]*MessageState{}, peerWaits: map[string]int64{}, adopted: map[string]bool{}}
}

const (
	fileName, nextName = "journal", "journal.next"
	quarantineSuffix   = ".aside" // appended to the name of an unreadable journal
)

// Open opens the journal in the directory and returns it with its unfinished messages, in the order accepted.
// An unreadable journal is quarantined and replaced by an empty one.
func Open(dir string, opts Options, log *slog.Logger) (*Store, []MessageState, error) {
	s := &Store{
		Options: opts, dir: dir, log: log, state: newState(opts.RecordAttempts),
		requests: make(chan writeRequest, 256), quit: make(chan struct{}), done: make(chan struct{}),
	}
	if err := os.RemoveAll(filepath.Join(dir, nextName)); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	path := filepath.Join(dir, fileName)
	stored, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		log.Error("journal: cannot be read; quarantined and replaced by an empty one", "as", path+quarantineSuffix, "err", err)
		if err := errors.Join(os.RemoveAll(path+quarantineSuffix), os.Rename(path, path+quarantineSuffix)); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	// A quarantined journal counts against the size limit. It is deleted if it is larger than half of the limit.
	if info, err := os.Stat(path + quarantineSuffix); err == nil && info.Mode().IsRegular() {
		if info.Size() <= s.MaxBytes/2 {
			s.MaxBytes -= info.Size()
		} else if err := os.Remove(path + quarantineSuffix); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	invalid := decode(stored, s.apply)
	s.intact = err == nil && invalid == 0
	if invalid > 0 {
		log.Warn("journal: skipped bytes that are not part of a valid record", "bytes", invalid)
	}
	if err := s.rewrite(); err != nil {
		return nil, nil, err
	}
	var messages []MessageState
	for _, m := range s.order {
		messages = append(messages, *m)
	}
	go s.runWriter()
	return s, messages, nil
}

// Intact reports whether the journal existed and was fully valid when it was opened. If so, the previous process
// took no action that is not recorded.
func (s *Store) Intact() bool { return s.intact }

// Size returns the size of the file in bytes.
func (s *Store) Size() int64 { return s.reportedSize.Load() }

// AddMessage records an accepted message and waits until it is written.
func (s *Store) AddMessage(m *Message) error {
	result := make(chan error, 1)
	if err := s.Append([]Record{Accepted(m)}, func(err error) { result <- err }); err != nil {
		return err
	}
	return <-result
}

// Append hands records to the writer, which calls done, if not nil, with the result of the write. done must not
// block.
func (s *Store) Append(records []Record, done func(error)) error {
	select {
	case <-s.quit:
		return ErrClosed
	default:
	}
	select {
	case s.requests <- writeRequest{records, done}:
		return nil
	case <-s.done:
		return ErrClosed
	}
}

// Close writes the records that have been appended and closes the file.
func (s *Store) Close() error {
	close(s.quit)
	<-s.done
	return s.file.Close()
}

// runWriter writes the appended records. Its goroutine is the only one that accesses the file after Open.
func (s *Store) runWriter() {
	defer close(s.done)
	for {
		select {
		case req := <-s.requests:
			s.writeBatch(req)
		case <-s.quit:
			for {
				select {
				case req := <-s.requests:
					s.writeBatch(req)
				default:
					return
				}
			}
		}
	}
}

// writeBatch writes all waiting requests with one call.
func (s *Store) writeBatch(req writeRequest) {
	batch := []writeRequest{req}
	for len(s.requests) > 0 && len(batch) < cap(s.requests) {
		batch = append(batch, <-s.requests)
	}
	var encoded []byte
	results := make([]error, len(batch))
	for i, req := range batch {
		if results[i] = s.checkSpace(req.records, int64(len(encoded))); results[i] != nil {
			continue
		}
		for _, r := range req.records {
			encoded = r.append(encoded)
			s.apply(r)
		}
	}
	err := s.appendEncoded(encoded)
	for i, req := range batch {
		if results[i] == nil && err != nil {
			results[i] = err
			for _, r := range req.records {
				if r.kind == kindAccepted {
					s.drop(r.id)
				}
			}
		}
		if req.done != nil {
			req.done(results[i])
		}
	}
}

// checkSpace returns ErrFull if a new message among the records would exceed the limit for a rewritten file,
// see sizeLimits.
func (s *Store) checkSpace(records []Record, batchSize int64) error {
	for _, r := range records {
		if _, maxLive := s.sizeLimits(); r.kind == kindAccepted && s.liveBytes+batchSize+s.maxLiveSize(r) > maxLive {
			return ErrFull
		}
	}
	return nil
}

// sizeLimits returns the size at which the file is rewritten and the maximum size of a rewritten file. During a
// rewrite the old and the new file exist at the same time. With Options.Shared the file of a closing process may
// exist too. A closing process does not rewrite its file, so twice rewriteAt plus once maxLive must fit; the
// remaining 3 % is for the last records of the closing process.
func (s *Store) sizeLimits() (rewriteAt, maxLive int64) {
	if s.Shared {
		return s.MaxBytes * 36 / 100, s.MaxBytes * 25 / 100
	}
	return s.MaxBytes / 2, s.MaxBytes * 7 / 20
}

// maxLiveSize returns the maximum size of a message in a rewritten file, including its attempts and its end.
func (s *state) maxLiveSize(r Record) int64 {
	if s.recordAttempts {
		return r.sizeWithProgress() + 1024
	}
	return r.sizeWithProgress()
}

// appendEncoded appends encoded records to the file. It rewrites the file instead if it would exceed rewriteAt or
// if an earlier write failed.
func (s *Store) appendEncoded(encoded []byte) error {
	defer func() { s.reportedSize.Store(s.size) }()
	if len(encoded) == 0 {
		return nil
	}
	if s.writeErr != nil && s.closing && s.Shared {
		return s.writeErr
	}
	if rewriteAt, _ := s.sizeLimits(); s.writeErr != nil || s.size+int64(len(encoded)) > rewriteAt && !(s.closing && s.Shared) {
		if s.writeErr = s.rewrite(); s.writeErr == nil {
			return nil // the new file includes the batch
		}
		return s.writeErr
	}
	if err := s.beforeWrite(); err != nil {
		s.writeErr = err
		return err
	}
	n, err := s.file.Write(encoded)
	s.size += int64(n)
	if err != nil {
		s.writeErr = err
		s.log.Error("journal: write failed", "err", err)
	}
	return err
}

func (s *Store) beforeWrite() error {
	if s.BeforeWrite == nil {
		return nil
	}
	return s.BeforeWrite()
}

// rewrite writes the unfinished messages to a new file and renames it over the old one.
func (s *Store) rewrite() error {
	var encoded []byte
	for _, r := range s.records(time.Now().UnixNano()) {
		encoded = r.append(encoded)
	}
	if err := s.beforeWrite(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	next := filepath.Join(s.dir, nextName)
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = f.Write(encoded); err == nil {
		err = os.Rename(next, filepath.Join(s.dir, fileName))
	}
	if err != nil {
		return errors.Join(fmt.Errorf("journal: %w", err), f.Close(), os.Remove(next))
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			s.log.Warn("journal: could not close the old file", "err", err)
		}
	}
	s.file, s.size, s.liveBytes = f, int64(len(encoded)), int64(len(encoded))
	return nil
}

// apply updates the state with a record.
func (s *state) apply(r Record) {
	switch r.kind {
	case kindAdopted:
		s.adopted[r.id] = true
		return
	case kindPredecessorsRemoved:
		clear(s.adopted)
		return
	case kindPeerWait:
		s.peerWaits[r.id] = max(s.peerWaits[r.id], r.number)
		return
	case kindClosing:
		s.closing, s.handoverData = true, r.handoverData
		return
	}
	if r.kind == kindAccepted {
		if s.messages[r.id] == nil {
			m := &MessageState{Message: r.msg}
			s.messages[r.id] = m
			s.order = append(s.order, m)
			s.liveBytes += s.maxLiveSize(r)
		}
		return
	}
	m := s.messages[r.id]
	if m == nil {
		return
	}
	switch r.kind {
	case kindAttemptBegun:
		if m.FirstRun == nil {
			m.FirstRun = m.InFlight
		}
		s.completeAttempt(m, "") // its end is unknown
		attempt := r.attempt
		m.AttemptCount, m.InFlight = m.AttemptCount+1, &attempt
	case kindNeverRan:
		s.completeAttempt(m, r.outcome)
		m.InFlight = nil
	case kindMayHaveRun:
		if m.FirstRun == nil {
			m.FirstRun = m.InFlight
		}
		s.completeAttempt(m, r.outcome)
		m.InFlight = nil
	case kindPriorRun:
		attempt := r.attempt
		m.PriorRun, m.FirstRun = &attempt, &attempt
	case kindEnded:
		end := r.end
		m.PendingNotice = &end
	case kindAttemptCount:
		m.AttemptCount = int(r.number)
	case kindHandedOver:
		m.HandedOver = true
	case kindDone:
		s.drop(r.id)
	}
}

// records returns the records that reproduce the state, without peer waits that are over at now (Unix time in
// nanoseconds).
func (s *state) records(now int64) (records []Record) {
	s.order = slices.DeleteFunc(s.order, s.isDropped)
	maps.DeleteFunc(s.peerWaits, func(_ string, until int64) bool { return until <= now })
	for id := range s.adopted {
		records = append(records, Record{kind: kindAdopted, id: id})
	}
	for peer, until := range s.peerWaits {
		records = append(records, PeerWait(peer, until))
	}
	for _, m := range s.order {
		records = append(records, m.records()...)
	}
	if s.closing {
		records = append(records, Closing(s.handoverData))
	}
	return records
}

// completeAttempt moves the attempt in flight, if any, to the recorded attempts.
func (s *state) completeAttempt(m *MessageState, outcome string) {
	if s.recordAttempts && m.InFlight != nil && len(m.Completed) < maxCompleted {
		m.Completed = append(m.Completed, CompletedAttempt{*m.InFlight, outcome})
	}
}

func (s *state) isDropped(m *MessageState) bool { return s.messages[m.ID] != m }

// drop removes a finished message.
func (s *state) drop(id string) {
	if m := s.messages[id]; m != nil {
		s.liveBytes -= s.maxLiveSize(Accepted(m.Message))
		delete(s.messages, id)
		if len(s.order) > 2*len(s.messages)+1024 {
			s.order = slices.DeleteFunc(s.order, s.isDropped)
		}
	}
}
