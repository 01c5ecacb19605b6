package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Bounds of what a relay holds.
const (
	pieceBytes     = 16 << 10 // of one read
	piecesAtMost   = 8        // under way in one direction of one connection, beside what the kernel holds
	connsAtMost    = 1024     // of one listener; later ones wait in the kernel
	connectTimeout = 5 * time.Second
	trickleSteps   = 20 // writes a second under a rate
)

// way is where a new connection goes.
type way struct {
	there, back *line
	target      string
	reset       *resets
}

// resets ends connections at once, those of one link at a time.
type resets struct {
	mu  sync.Mutex
	all map[*conn]bool
}

func (r *resets) add(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*conn]bool{}
	}
	r.all[c] = true
}

func (r *resets) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, c)
}

func (r *resets) fire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.all {
		c.stop(errReset)
	}
}

var errReset = errors.New("link: reset")

// streams is a TCP listener. Which link a connection is of follows from who dialled it.
type streams struct {
	listener *net.TCPListener
	route    func(from net.Addr) (way, bool)
	unknown  func()
	slots    chan struct{}
	all      sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
}

func newStreams(l *net.TCPListener, route func(net.Addr) (way, bool), unknown func()) *streams {
	s := &streams{listener: l, route: route, unknown: unknown, slots: make(chan struct{}, connsAtMost)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.all.Go(s.accept)
	return s
}

func (s *streams) close() error {
	s.stop()
	err := s.listener.Close()
	s.all.Wait()
	return err
}

func (s *streams) accept() {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		c, err := s.listener.AcceptTCP()
		if err != nil {
			<-s.slots
			if s.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			if !sleep(s.ctx, nil, 10*time.Millisecond) { // out of descriptors: others end first
				return
			}
			continue
		}
		w, ok := s.route(c.RemoteAddr())
		if !ok { // no fault could reach it, so it must not pass
			s.unknown()
			abort(c)
			<-s.slots
			continue
		}
		s.all.Go(func() {
			defer func() { <-s.slots }()
			s.serve(c, w)
		})
	}
}

func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// conn is one connection, both its halves.
type conn struct {
	ctx  context.Context
	stop context.CancelCauseFunc
}

func (s *streams) serve(near *net.TCPConn, w way) {
	c := &conn{}
	c.ctx, c.stop = context.WithCancelCause(s.ctx)
	defer c.stop(nil)
	w.reset.add(c)
	defer w.reset.remove(c)
	w.there.count(func(n *Counts) { n.Connections++ })
	far, ok := dial(c.ctx, w)
	if !ok {
		if context.Cause(c.ctx) == errReset {
			w.there.count(func(n *Counts) { n.Ran++ })
		}
		abort(near)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pump(c, w.there, w.back, near, far) })
	both.Go(func() { pump(c, w.back, w.there, far, near) })
	ended := make(chan struct{})
	go func() {
		both.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.ctx.Done(): // closed, reset by a fault, or by one side
		near.SetLinger(0)
		far.SetLinger(0)
		if context.Cause(c.ctx) == errReset {
			w.there.count(func(n *Counts) { n.Ran++ })
		}
	}
	near.Close()
	far.Close()
	<-ended
}

// dial connects to the target once neither direction is cut: a handshake needs both.
func dial(ctx context.Context, w way) (*net.TCPConn, bool) {
	for _, l := range []*line{w.there, w.back} {
		for {
			f, changed := l.get()
			if !f.Cut {
				break
			}
			if f.Refuse {
				w.there.count(func(n *Counts) { n.Refused++ })
				return nil, false
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, false
			}
		}
	}
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", w.target)
	if err != nil {
		return nil, false
	}
	return c.(*net.TCPConn), true
}

type piece struct {
	data  []byte
	due   time.Time
	end   bool
	reset bool
}

// pump carries one direction: one goroutine reads, this one writes when it is due. The reader waits
// where piecesAtMost are under way, and so the sender's kernel stops it, as without a relay.
func pump(c *conn, l, other *line, from, to *net.TCPConn) {
	pieces := make(chan piece, piecesAtMost)
	var reader sync.WaitGroup
	reader.Go(func() { read(c.ctx, l, from, pieces) })
	defer reader.Wait()
	deaf := false // the receiver is gone, and the sender must not hear of it
	for p := range pieces {
		if !settled(c.ctx, l, p.due) {
			return
		}
		if p.end {
			f, _ := l.get()
			switch {
			case f.HalfOpen:
				l.count(func(n *Counts) { n.Swallowed++ })
			case p.reset:
				c.stop(nil)
			case !deaf:
				to.CloseWrite()
			}
			continue
		}
		for data := p.data; len(data) > 0 && !deaf; {
			n, pause := len(data), time.Duration(0)
			f, changed := l.get()
			if f.Cut {
				if !settled(c.ctx, l, time.Time{}) {
					return
				}
				continue
			}
			if f.Rate > 0 {
				n = min(n, max(f.Rate/trickleSteps, 1))
				pause = time.Duration(float64(n) / float64(f.Rate) * float64(time.Second))
			}
			n, err := to.Write(data[:n])
			data = data[n:]
			l.count(func(k *Counts) { k.Bytes += int64(n) })
			if err != nil {
				if f, _ := other.get(); !f.HalfOpen {
					c.stop(nil)
					return
				}
				deaf = true
			}
			if pause > 0 {
				sleep(c.ctx, changed, pause)
			}
			if c.ctx.Err() != nil {
				return
			}
		}
		l.count(func(n *Counts) { n.Passed++ })
	}
}

func read(ctx context.Context, l *line, from *net.TCPConn, pieces chan<- piece) {
	defer close(pieces)
	for {
		buf := make([]byte, pieceBytes)
		n, err := from.Read(buf)
		p := piece{data: buf[:n:n]}
		if n == 0 && err != nil {
			p.end, p.reset = true, !errors.Is(err, io.EOF)
		}
		l.mu.Lock()
		p.due = time.Now().Add(l.chance.Decide(l.fault).Delay)
		l.mu.Unlock()
		select {
		case pieces <- p:
		case <-ctx.Done():
			return
		}
		if p.end {
			return
		}
	}
}

// settled waits until it is due and the line is not cut.
func settled(ctx context.Context, l *line, due time.Time) bool {
	if wait := time.Until(due); wait > 0 && !sleep(ctx, nil, wait) {
		return false
	}
	for {
		f, changed := l.get()
		if !f.Cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits for so long, or until woken; false if the context ended.
func sleep(ctx context.Context, woken <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-woken:
	case <-ctx.Done():
		return false
	}
	return true
}
