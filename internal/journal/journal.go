// Package journal is the lasting store: it remembers the messages that the courier has
// taken on, their tries and the endings still owed, so that they outlast the process.
//
// Records are appended to one file by a single goroutine, before what they tell of is
// done. Plain writes suffice: they survive the process. When the file has grown it is
// written anew with what is still owed, and renamed over the old one.
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

// ErrFull says that the disk's limit leaves no room for another message.
var ErrFull = errors.New("journal: full")

// ErrClosed says that the journal takes nothing more.
var ErrClosed = errors.New("journal: closed")

// Message is what a client submitted. It does not change.
type Message struct {
	ID, Key       string
	Class, Tenant string
	Dest          int64
	Until         int64 // when its time is up, Unix time in nanoseconds
	Body          []byte
	Since         int64  // when it was taken on, Unix time in nanoseconds; 0 in a journal of an older build
	Terms         string // what its class was when it was taken on; opaque here, "" in a journal of an older build
	Resend        int64  // of an undeliverable message: which resend this is, from 1; 0 for a client's submission
}

// Try is one attempt at a message.
type Try struct {
	Peer, Zone string
	At         int64 // Unix time in nanoseconds
}

// Tried is an attempt that has ended.
type Tried struct {
	Try
	Outcome string // in the module's words, see internal/net/courier
}

// Progress is how far a message has come.
type Progress struct {
	Tries  int
	Out    *Try    // begun, with no word of its end
	Ran    *Try    // the first that may have run
	Owed   *End    // ended by the courier, and the platform has not heard of it yet
	Prior  *Try    // of a resend: what may have run before it
	Handed bool    // the life that follows owns it
	Past   []Tried // the tries that have ended, the first mostPast of them; only with Options.Tries
}

// mostPast bounds what is remembered of one message's tries.
const mostPast = 16

// End is an ending that the platform is told of.
type End struct {
	Deferred bool // safe to submit again
	AgainMS  int64
}

// Kept is a message that the journal holds.
type Kept struct {
	*Message
	Progress
}

// entry asks the writer for some records; then hears of it, in the writer's goroutine.
type entry struct {
	records []Record
	then    func(error)
}

// Options say how a journal is kept.
type Options struct {
	Limit int64 // bytes of the disk that its files take together
	// Shared says that another life's journal may stand beside this one, within the limit: see shares.
	Shared bool
	Tries  bool // remember how each try ended, for whoever keeps undeliverable messages
	// Before is asked before each write; an error stands for the write's own. It is nil in service:
	// tests use it to end a life at a chosen boundary.
	Before func() error
}

// Store is an open journal. Its methods may be called from any goroutine.
type Store struct {
	Options
	dir    string
	log    *slog.Logger
	sound  bool
	shown  atomic.Int64 // size, for those that ask
	mail   chan entry
	quit   chan struct{}
	done   chan struct{}
	file   *os.File
	size   int64 // of the file
	frozen error // a write that failed halfway, until the file is made anew
	content
}

// content is what a journal tells.
type content struct {
	tries   bool  // remember how each ended
	live    int64 // bytes that a new file would have at least
	held    map[string]*Kept
	order   []*Kept          // as taken, those that are over among them: an id may come again after its end
	waits   map[string]int64 // of peers, until when
	adopted map[string]bool  // ids of messages taken up from earlier lives, whose journals may be there still
	closing bool             // it begins nothing any more
	left    []byte           // beside its messages
}

func newContent(tries bool) content {
	return content{tries: tries, held: map[string]*Kept{}, waits: map[string]int64{}, adopted: map[string]bool{}}
}

const (
	fileName, nextName = "journal", "journal.next"
	asideName          = ".aside" // added to the name of a journal that could not be read
)

// Open reads the journal in the folder and returns it with what it holds, in the order
// taken.
func Open(dir string, opts Options, log *slog.Logger) (*Store, []Kept, error) {
	s := &Store{
		Options: opts, dir: dir, log: log, content: newContent(opts.Tries),
		mail: make(chan entry, 256), quit: make(chan struct{}), done: make(chan struct{}),
	}
	if err := os.RemoveAll(filepath.Join(dir, nextName)); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	path := filepath.Join(dir, fileName)
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		log.Error("journal: can't be read: begun anew, the old one set aside", "as", path+asideName, "err", err)
		if err := errors.Join(os.RemoveAll(path+asideName), os.Rename(path, path+asideName)); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	// What is set aside counts for the folder's limit: it goes once it would take half of the journal's room.
	if i, err := os.Stat(path + asideName); err == nil && i.Mode().IsRegular() {
		if i.Size() <= s.Limit/2 {
			s.Limit -= i.Size()
		} else if err := os.Remove(path + asideName); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	bad := decode(old, s.apply)
	s.sound = err == nil && bad == 0
	if bad > 0 {
		log.Warn("journal: bytes that are no record were passed over", "bytes", bad)
	}
	if err := s.renew(); err != nil {
		return nil, nil, err
	}
	var kept []Kept
	for _, k := range s.order {
		kept = append(kept, *k)
	}
	go s.write()
	return s, kept, nil
}

// Sound says that the journal was there at the start and whole: what it did not tell of then, the
// earlier life did not do.
func (s *Store) Sound() bool { return s.sound }

// Size is the file's, in bytes.
func (s *Store) Size() int64 { return s.shown.Load() }

// Take writes a message down, or says why it could not.
func (s *Store) Take(m *Message) error {
	heard := make(chan error, 1)
	if err := s.Append([]Record{Taken(m)}, func(err error) { heard <- err }); err != nil {
		return err
	}
	return <-heard
}

// Append hands records to the writer, which calls then, if not nil, once they are written.
// It must not block.
func (s *Store) Append(records []Record, then func(error)) error {
	select {
	case <-s.quit:
		return ErrClosed
	default:
	}
	select {
	case s.mail <- entry{records, then}:
		return nil
	case <-s.done:
		return ErrClosed
	}
}

// Close writes what has been appended and closes the file.
func (s *Store) Close() error {
	close(s.quit)
	<-s.done
	return s.file.Close()
}

// write is the only goroutine that touches the file once the journal is open.
func (s *Store) write() {
	defer close(s.done)
	for {
		select {
		case e := <-s.mail:
			s.batch(e)
		case <-s.quit:
			for {
				select {
				case e := <-s.mail:
					s.batch(e)
				default:
					return
				}
			}
		}
	}
}

// batch writes all that waits with one call.
func (s *Store) batch(e entry) {
	batch := []entry{e}
	for len(s.mail) > 0 && len(batch) < cap(s.mail) {
		batch = append(batch, <-s.mail)
	}
	var text []byte
	results := make([]error, len(batch))
	for i, e := range batch {
		if results[i] = s.room(e.records, int64(len(text))); results[i] != nil {
			continue
		}
		for _, r := range e.records {
			text = r.append(text)
			s.apply(r)
		}
	}
	err := s.put(text)
	for i, e := range batch {
		if results[i] == nil && err != nil {
			results[i] = err
			for _, r := range e.records {
				if r.kind == taken {
					s.drop(r.id)
				}
			}
		}
		if e.then != nil {
			e.then(results[i])
		}
	}
}

// room says whether a further message still leaves the old file and the new one, counted
// together, under the limit; see renew.
func (s *Store) room(records []Record, more int64) error {
	for _, r := range records {
		if _, live := s.shares(); r.kind == taken && s.live+more+s.cost(r) > live {
			return ErrFull
		}
	}
	return nil
}

// shares are what the file may come to before it is made anew, and what a new one may hold. The two stand
// side by side for an instant, and beside them, where the disk is shared, that of a life which is closing: that
// one is not made anew any more, so that twice the first and once the second fit, with a rest for its last words.
func (s *Store) shares() (renew, live int64) {
	if s.Shared {
		return s.Limit * 36 / 100, s.Limit * 25 / 100
	}
	return s.Limit / 2, s.Limit * 7 / 20
}

// cost is the most that a message takes in a new file, its tries and end included.
func (s *content) cost(r Record) int64 {
	if s.tries {
		return r.size() + 1024
	}
	return r.size()
}

// put appends the text. The file is made anew once it has come to its share of the limit.
func (s *Store) put(text []byte) error {
	defer func() { s.shown.Store(s.size) }()
	if len(text) == 0 {
		return nil
	}
	if s.frozen != nil && s.closing && s.Shared {
		return s.frozen
	}
	if renew, _ := s.shares(); s.frozen != nil || s.size+int64(len(text)) > renew && !(s.closing && s.Shared) {
		if s.frozen = s.renew(); s.frozen == nil {
			return nil // the new file tells of the batch as well
		}
		return s.frozen
	}
	if err := s.before(); err != nil {
		s.frozen = err
		return err
	}
	n, err := s.file.Write(text)
	s.size += int64(n)
	if err != nil {
		s.frozen = err
		s.log.Error("journal: write", "err", err)
	}
	return err
}

func (s *Store) before() error {
	if s.Before == nil {
		return nil
	}
	return s.Before()
}

// renew writes a file of what is still owed and puts it in the old one's place.
func (s *Store) renew() error {
	var text []byte
	for _, r := range s.records(time.Now().UnixNano()) {
		text = r.append(text)
	}
	if err := s.before(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	next := filepath.Join(s.dir, nextName)
	f, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = f.Write(text); err == nil {
		err = os.Rename(next, filepath.Join(s.dir, fileName))
	}
	if err != nil {
		return errors.Join(fmt.Errorf("journal: %w", err), f.Close(), os.Remove(next))
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			s.log.Warn("journal: close", "err", err)
		}
	}
	s.file, s.size, s.live = f, int64(len(text)), int64(len(text))
	return nil
}

// apply brings what is held up to date.
func (s *content) apply(r Record) {
	switch r.kind {
	case adopted:
		s.adopted[r.id] = true
		return
	case settled:
		clear(s.adopted)
		return
	case wait:
		s.waits[r.id] = max(s.waits[r.id], r.n)
		return
	case closing:
		s.closing, s.left = true, r.left
		return
	}
	if r.kind == taken {
		if s.held[r.id] == nil {
			k := &Kept{Message: r.msg}
			s.held[r.id] = k
			s.order = append(s.order, k)
			s.live += s.cost(r)
		}
		return
	}
	k := s.held[r.id]
	if k == nil {
		return
	}
	switch r.kind {
	case begun:
		if k.Ran == nil {
			k.Ran = k.Out
		}
		s.past(k, "") // with no word of its end
		try := r.try
		k.Tries, k.Out = k.Tries+1, &try
	case neverRan:
		s.past(k, r.outcome)
		k.Out = nil
	case mayHaveRun:
		if k.Ran == nil {
			k.Ran = k.Out
		}
		s.past(k, r.outcome)
		k.Out = nil
	case prior:
		try := r.try
		k.Prior, k.Ran = &try, &try
	case ended:
		end := r.end
		k.Owed = &end
	case counted:
		k.Tries = int(r.n)
	case handed:
		k.Handed = true
	case over:
		s.drop(r.id)
	}
}

// records tell all that is still owed or needed at that time.
func (s *content) records(now int64) (rs []Record) {
	s.order = slices.DeleteFunc(s.order, s.isOver)
	maps.DeleteFunc(s.waits, func(_ string, until int64) bool { return until <= now })
	for id := range s.adopted {
		rs = append(rs, Record{kind: adopted, id: id})
	}
	for peer, until := range s.waits {
		rs = append(rs, Wait(peer, until))
	}
	for _, k := range s.order {
		rs = append(rs, k.records()...)
	}
	if s.closing {
		rs = append(rs, Closing(s.left))
	}
	return rs
}

// past remembers the try that was out.
func (s *content) past(k *Kept, outcome string) {
	if s.tries && k.Out != nil && len(k.Past) < mostPast {
		k.Past = append(k.Past, Tried{*k.Out, outcome})
	}
}

func (s *content) isOver(k *Kept) bool { return s.held[k.ID] != k }

func (s *content) drop(id string) {
	if k := s.held[id]; k != nil {
		s.live -= s.cost(Taken(k.Message))
		delete(s.held, id)
		if len(s.order) > 2*len(s.held)+1024 {
			s.order = slices.DeleteFunc(s.order, s.isOver)
		}
	}
}
