package stream

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// progressInterval is the shortest time between two calls of Client.Progress.
const progressInterval = 500 * time.Millisecond

// stalledFraction divides the longest gap: so long a stalled source is waited for before KeepWaiting is asked again.
const stalledFraction = 4

// ErrGap is returned when a run does not continue right behind the last event of the run before it.
var ErrGap = errors.New("events are missing")

// Source is the body of an endpoint's answer. Read returns io.EOF only where the answer ended as its framing says, or
// at the end of the connection if it has no framing.
type Source interface {
	io.Reader
	SetReadDeadline(time.Time) error
	OnReadTimeout(func() time.Time) // called when a read's deadline has passed: the new deadline, or zero to let the read fail
	Framed() bool                   // the answer states where it ends
}

// Client receives what is passed on. The relay calls it from one goroutine.
type Client interface {
	Begin()              // the first event of a run is here; before the first of all, the head is sent
	Write([]byte) error  // complete events
	Flush() error        // sends what was written
	Progress(events int) // events since the last call
	KeepWaiting() bool   // the source has stalled; whether to wait longer
}

// ClientError is a failure of the client's connection.
type ClientError struct{ Err error }

func (e *ClientError) Error() string { return fmt.Sprintf("write events to the client: %v", e.Err) }

func (e *ClientError) Unwrap() error { return e.Err }

// Limits bounds how long a run may take and how long its source may pause.
type Limits struct {
	MaxGap   time.Duration // between two events, after the first; 0: bounded by Deadline only
	Deadline time.Time     // of the whole run
}

// Relay passes one answer on to a client. Where an endpoint breaks off, another run continues the same answer.
type Relay struct {
	client     Client
	splitter   Splitter
	sequence   *Sequence
	started    bool // the current run has passed an event on
	events     int  // since the last call of Progress
	progressAt time.Time
	gaps       eventGaps
}

// NewRelay returns the relay of one answer; stride is the step of event ids (see NewSequence).
func NewRelay(client Client, stride int) *Relay {
	return &Relay{client: client, sequence: NewSequence(stride)}
}

// LastID returns the id of the last event that was passed on, empty for none.
func (r *Relay) LastID() string { return r.sequence.LastID() }

// LongestGap returns the longest time between two events that were passed on, over all runs.
func (r *Relay) LongestGap() time.Duration { return r.gaps.longest }

// Run passes the events of one run on. It returns nil once the answer is complete. After any error but a ClientError
// and ErrGap another run may continue.
func (r *Relay) Run(source Source, limits Limits) error {
	r.started = false
	r.splitter.Reset()
	r.sequence.Resume()
	deadline := gapDeadline{source: source, limits: limits}
	if limits.MaxGap > 0 {
		source.OnReadTimeout(func() time.Time { return r.extendDeadline(limits) })
		defer source.OnReadTimeout(nil)
	}
	for {
		failed := r.splitter.Fill(source)
		passed, err := r.passCompleteEvents()
		if err != nil {
			return err
		}
		now := time.Now()
		if passed > 0 {
			r.gaps.received(now)
		}
		if failed == io.EOF { //nolint:errorlint // Source returns io.EOF itself at the end; a wrapped one is a failure
			return r.passRemainder(source.Framed())
		}
		if passed > 0 {
			if err := r.flush(passed, now); err != nil {
				return err
			}
			if err := deadline.received(now); err != nil {
				return err
			}
		}
		if failed != nil {
			return failed
		}
	}
}

// extendDeadline returns until when a stalled source is waited for, zero to give up.
func (r *Relay) extendDeadline(limits Limits) time.Time {
	now := time.Now()
	if !now.Before(limits.Deadline) || !r.client.KeepWaiting() {
		return time.Time{}
	}
	return limits.until(now, limits.MaxGap/stalledFraction)
}

// passCompleteEvents writes all complete events that were read, adjacent ones in one call.
func (r *Relay) passCompleteEvents() (passed int, err error) {
	var piece []byte
	for {
		event, ok := r.splitter.Next()
		if !ok {
			return passed, r.write(piece)
		}
		switch r.sequence.Classify(event.ID) {
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

// passRemainder passes on what follows the last complete event. Where only the end of the connection marks the end of
// the answer, part of an event shows that it broke off.
func (r *Relay) passRemainder(framed bool) error {
	event, ok := r.splitter.Remainder()
	switch {
	case !ok:
		return nil
	case !framed:
		return io.ErrUnexpectedEOF
	}
	switch r.sequence.Classify(event.ID) {
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
	if !r.started {
		r.started = true
		r.progressAt = time.Now()
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
	if now.Sub(r.progressAt) >= progressInterval {
		r.client.Progress(r.events)
		r.events = 0
		r.progressAt = now
	}
	return nil
}

// gapDeadline moves a source's read deadline as events arrive. It does so seldom, to save system calls: a pause is
// noticed between MaxGap and an eighth more. Until the first event the deadline is as the caller set it.
type gapDeadline struct {
	source  Source
	limits  Limits
	renewAt time.Time
}

func (w *gapDeadline) received(now time.Time) error {
	if w.limits.MaxGap == 0 || now.Before(w.renewAt) {
		return nil
	}
	w.renewAt = now.Add(w.limits.MaxGap / 8)
	return w.source.SetReadDeadline(w.limits.until(now, w.limits.MaxGap+w.limits.MaxGap/8))
}

// until returns the end of a wait, no later than the deadline.
func (p Limits) until(now time.Time, wait time.Duration) time.Time {
	if end := now.Add(wait); end.Before(p.Deadline) {
		return end
	}
	return p.Deadline
}
