package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Limits of a TCP relay.
const (
	chunkBytes               = 16 << 10 // maximum size of one read
	maxQueuedChunks          = 8        // in one direction of a connection, in addition to the kernel's buffers
	maxConnections           = 1024     // per listener; further connections wait in the kernel's accept queue
	connectTimeout           = 5 * time.Second
	rateLimitWritesPerSecond = 20 // on a flow with a rate limit
)

// tcpRoute says where a new connection is forwarded to and which flows it uses.
type tcpRoute struct {
	forward, reverse *flow
	target           string
	reset            *resetGroup
}

// resetGroup is the set of open connections of one link, which can be reset together.
type resetGroup struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

func (r *resetGroup) add(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = map[*conn]bool{}
	}
	r.conns[c] = true
}

func (r *resetGroup) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// resetAll resets all connections of the link.
func (r *resetGroup) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.stop(errReset)
	}
}

// errReset is the cause with which a fault ends a connection.
var errReset = errors.New("link: reset")

// tcpProxy forwards the connections of one TCP listener. The remote address of a connection determines its link.
type tcpProxy struct {
	listener   *net.TCPListener
	route      func(from net.Addr) (tcpRoute, bool)
	onUnknown  func()
	slots      chan struct{}
	goroutines sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
}

func newTCPProxy(l *net.TCPListener, route func(net.Addr) (tcpRoute, bool), unknown func()) *tcpProxy {
	s := &tcpProxy{listener: l, route: route, onUnknown: unknown, slots: make(chan struct{}, maxConnections)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	return s
}

func (s *tcpProxy) close() error {
	s.stop()
	err := s.listener.Close()
	s.goroutines.Wait()
	return err
}

func (s *tcpProxy) accept() {
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
			if !sleep(s.ctx, nil, 10*time.Millisecond) { // out of descriptors: wait for other connections to end
				return
			}
			continue
		}
		route, ok := s.route(c.RemoteAddr())
		if !ok { // a connection of unknown origin would bypass the faults
			s.onUnknown()
			abort(c)
			<-s.slots
			continue
		}
		s.goroutines.Go(func() {
			defer func() { <-s.slots }()
			s.serve(c, route)
		})
	}
}

// abort closes the connection with an RST.
func abort(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// conn is one forwarded connection, with both its directions.
type conn struct {
	ctx  context.Context
	stop context.CancelCauseFunc
}

// serve forwards one connection until both directions have ended or it is reset.
func (s *tcpProxy) serve(clientConn *net.TCPConn, route tcpRoute) {
	c := &conn{}
	c.ctx, c.stop = context.WithCancelCause(s.ctx)
	defer c.stop(nil)
	route.reset.add(c)
	defer route.reset.remove(c)
	route.forward.count(func(n *Counts) { n.Connections++ })
	targetConn, ok := dial(c.ctx, route)
	if !ok {
		if context.Cause(c.ctx) == errReset {
			route.forward.count(func(n *Counts) { n.Ran++ })
		}
		abort(clientConn)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { forwardStream(c, route.forward, route.reverse, clientConn, targetConn) })
	directions.Go(func() { forwardStream(c, route.reverse, route.forward, targetConn, clientConn) })
	ended := make(chan struct{})
	go func() {
		directions.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.ctx.Done(): // the proxy is closed, or a fault or one side has reset the connection
		clientConn.SetLinger(0)
		targetConn.SetLinger(0)
		if context.Cause(c.ctx) == errReset {
			route.forward.count(func(n *Counts) { n.Ran++ })
		}
	}
	clientConn.Close()
	targetConn.Close()
	<-ended
}

// dial connects to the target as soon as neither direction is cut, because a handshake needs both.
func dial(ctx context.Context, route tcpRoute) (*net.TCPConn, bool) {
	for _, fl := range []*flow{route.forward, route.reverse} {
		for {
			f, changed := fl.get()
			if !f.Cut {
				break
			}
			if f.Refuse {
				route.forward.count(func(n *Counts) { n.Refused++ })
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
	c, err := d.DialContext(ctx, "tcp", route.target)
	if err != nil {
		return nil, false
	}
	return c.(*net.TCPConn), true
}

// chunk is the result of one read from a connection.
type chunk struct {
	data  []byte
	due   time.Time
	end   bool // no data follows
	reset bool // the connection ended by an error other than EOF
}

// forwardStream forwards one direction: one goroutine reads chunks, this one writes each when it is due. The
// reader blocks while maxQueuedChunks are queued, so that TCP flow control slows the sender, as without a relay.
func forwardStream(c *conn, fl, opposite *flow, from, to *net.TCPConn) {
	chunks := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(c.ctx, fl, from, chunks) })
	defer reader.Wait()
	receiverClosed := false // the receiver has closed, and the fault hides that from the sender
	for p := range chunks {
		if !waitDeliverable(c.ctx, fl, p.due) {
			return
		}
		if p.end {
			f, _ := fl.get()
			switch {
			case f.HalfOpen:
				fl.count(func(n *Counts) { n.Swallowed++ })
			case p.reset:
				c.stop(nil)
			case !receiverClosed:
				to.CloseWrite()
			}
			continue
		}
		for data := p.data; len(data) > 0 && !receiverClosed; {
			n, rateDelay := len(data), time.Duration(0)
			f, changed := fl.get()
			if f.Cut {
				if !waitDeliverable(c.ctx, fl, time.Time{}) {
					return
				}
				continue
			}
			if f.Rate > 0 {
				n = min(n, max(f.Rate/rateLimitWritesPerSecond, 1))
				rateDelay = time.Duration(float64(n) / float64(f.Rate) * float64(time.Second))
			}
			n, err := to.Write(data[:n])
			data = data[n:]
			fl.count(func(k *Counts) { k.Bytes += int64(n) })
			if err != nil {
				if f, _ := opposite.get(); !f.HalfOpen {
					c.stop(nil)
					return
				}
				receiverClosed = true
			}
			if rateDelay > 0 {
				sleep(c.ctx, changed, rateDelay)
			}
			if c.ctx.Err() != nil {
				return
			}
		}
		fl.count(func(n *Counts) { n.Passed++ })
	}
}

// readChunks reads from the connection until it ends, and assigns each chunk its due time.
func readChunks(ctx context.Context, fl *flow, from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		p := chunk{data: buf[:n:n]}
		if n == 0 && err != nil {
			p.end, p.reset = true, !errors.Is(err, io.EOF)
		}
		fl.mu.Lock()
		p.due = time.Now().Add(fl.sampler.Decide(fl.fault).Delay)
		fl.mu.Unlock()
		select {
		case chunks <- p:
		case <-ctx.Done():
			return
		}
		if p.end {
			return
		}
	}
}

// waitDeliverable waits until the due time has passed and the flow is not cut. It returns false if the context ended.
func waitDeliverable(ctx context.Context, fl *flow, due time.Time) bool {
	if wait := time.Until(due); wait > 0 && !sleep(ctx, nil, wait) {
		return false
	}
	for {
		f, changed := fl.get()
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

// sleep waits for d or until woken is closed. It returns false if the context ended.
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
