package stream

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// progressInterval is how often the client of a relay is told of progress, at most.
const progressInterval = 500 * time.Millisecond

// stalledPart of the longest pause is how long a silent source is waited for before Stalled is asked again.
const stalledPart = 4

// ErrGap says that a second run did not go on where the first had broken off.
var ErrGap = errors.New("events are missing")

// Source is an endpoint's answer. Its Read gives io.EOF only where the answer ended as its framing says, or with its
// connection where it has none.
type Source interface {
	io.Reader
	SetReadDeadline(time.Time) error
	OnSilence(func() time.Time) // asked when a read's deadline has passed: a new one, or zero to let the read fail
	Framed() bool               // the answer itself tells where it ends
}

// Client takes what is passed on.
type Client interface {
	Begin()              // the first event of a run has come; before the first of all, the head goes out
	Write([]byte) error  // whole events
	Flush() error        // sends what was written
	Progress(events int) // so many came since the last call
	Stalled() bool       // the source has been silent for long; true to wait on
}

// ClientError is a client's connection that failed.
type ClientError struct{ Err error }

func (e *ClientError) Error() string { return fmt.Sprintf("pass events on: %v", e.Err) }

func (e *ClientError) Unwrap() error { return e.Err }

// Pace bounds how long a source may be silent.
type Pace struct {
	Silence  time.Duration // longest pause after the first event, 0 for none but Deadline
	Deadline time.Time     // of all
}

// Relay passes one answer on, over one or several runs.
type Relay struct {
	client   Client
	splitter Splitter
	sequence *Sequence
	heard    bool // the run at hand has begun
	events   int  // since the last Progress
	toldAt   time.Time
}

// NewRelay returns the relay of one answer.
func NewRelay(client Client, stride int) *Relay {
	return &Relay{client: client, sequence: NewSequence(stride)}
}

// LastID is the id of the last event that was passed on, empty for none.
func (r *Relay) LastID() string { return r.sequence.LastID() }

// Run passes on what comes of one run. Nil means that the answer is complete. After any error but a ClientError and
// ErrGap another run may go on.
func (r *Relay) Run(source Source, pace Pace) error {
	r.heard = false
	r.splitter.Reset()
	r.sequence.Resume()
	watch := watch{source: source, pace: pace}
	if pace.Silence > 0 {
		source.OnSilence(func() time.Time { return r.waitOn(pace) })
		defer source.OnSilence(nil)
	}
	for {
		failed := r.splitter.Fill(source)
		passed, err := r.passWhole()
		if err != nil {
			return err
		}
		if failed == io.EOF {
			return r.passRest(source.Framed())
		}
		if passed > 0 {
			now := time.Now()
			if err := r.flush(passed, now); err != nil {
				return err
			}
			if err := watch.heard(now); err != nil {
				return err
			}
		}
		if failed != nil {
			return failed
		}
	}
}

// waitOn says until when a source that was silent is waited for, zero for no longer.
func (r *Relay) waitOn(pace Pace) time.Time {
	now := time.Now()
	if !now.Before(pace.Deadline) || !r.client.Stalled() {
		return time.Time{}
	}
	return pace.until(now, pace.Silence/stalledPart)
}

// passWhole writes all whole events that were read, those that follow each other in one piece.
func (r *Relay) passWhole() (passed int, err error) {
	var piece []byte
	for {
		event, ok := r.splitter.Next()
		if !ok {
			return passed, r.write(piece)
		}
		switch r.sequence.Judge(event.ID) {
		case Pass:
			passed++
			piece = join(piece, event.Bytes)
			continue
		case Gap:
			err = ErrGap
		}
		if failed := r.write(piece); failed != nil || err != nil {
			return passed, errors.Join(failed, err)
		}
		piece = nil
	}
}

// join extends a piece by the event that lies right behind it in the same buffer.
func join(piece, event []byte) []byte {
	if piece == nil {
		return event
	}
	return piece[:len(piece)+len(event)]
}

// passRest passes on what follows the last whole event. Where only the end of the connection tells the end of the answer, a
// part of an event says that it broke off.
func (r *Relay) passRest(framed bool) error {
	event, ok := r.splitter.Rest()
	switch {
	case !ok:
		return nil
	case !framed:
		return io.ErrUnexpectedEOF
	}
	switch r.sequence.Judge(event.ID) {
	case Pass:
		return r.write(event.Bytes)
	case Gap:
		return ErrGap
	}
	return nil
}

func (r *Relay) write(piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if !r.heard {
		r.heard = true
		r.toldAt = time.Now()
		r.client.Begin()
	}
	if err := r.client.Write(piece); err != nil {
		return &ClientError{Err: err}
	}
	return nil
}

func (r *Relay) flush(passed int, now time.Time) error {
	if err := r.client.Flush(); err != nil {
		return &ClientError{Err: err}
	}
	r.events += passed
	if now.Sub(r.toldAt) >= progressInterval {
		r.client.Progress(r.events)
		r.events = 0
		r.toldAt = now
	}
	return nil
}

// watch moves a source's read deadline, seldom: a pause is noticed between Silence and an eighth more. Before the first
// event the deadline is as the caller set it.
type watch struct {
	source  Source
	pace    Pace
	renewAt time.Time
}

func (w *watch) heard(now time.Time) error {
	if w.pace.Silence == 0 || now.Before(w.renewAt) {
		return nil
	}
	w.renewAt = now.Add(w.pace.Silence / 8)
	return w.source.SetReadDeadline(w.pace.until(now, w.pace.Silence+w.pace.Silence/8))
}

// until is the end of a wait, not beyond the deadline.
func (p Pace) until(now time.Time, wait time.Duration) time.Time {
	if end := now.Add(wait); end.Before(p.Deadline) {
		return end
	}
	return p.Deadline
}
