package members

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// Of memberlist's wire, what the guard must tell apart (its net.go): types of messages, and sizes.
const (
	msgPushPull = 6
	msgCompound = 7
	msgUser     = 8
	msgCompress = 9
	msgEncrypt  = 10
	msgChecksum = 12
	msgLast     = 13

	cipherVersion = 1
	cipherLeast   = 1 + 12 + 16 + 1 // version, nonce, tag, and one byte: memberlist takes the first byte unasked

	nodeBytes   = 256 // of a node in an exchange, at most
	streamsOpen = 64  // from others, at once
	slack       = 256 // of a packet beyond max_datagram: probes carry changes, and are not cut
	headMost    = 3 + maxName + len(tagMark) + tagBytes + binary.MaxVarintLen64
	nested      = 4 // compounds in one another
)

// guard is memberlist's transport of UDP and TCP, with counters, and with bounds that memberlist itself doesn't have: a
// header of 30 bytes may make it allocate 100 MB, a compressed packet 40 MB. Nothing is sent beyond the operators' networks:
// a forged probe names the address to be answered.
type guard struct {
	*memberlist.NetTransport
	cfg       Config
	encrypted bool
	c         *Counters
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closing   chan struct{}
	once      sync.Once
	pumps     sync.WaitGroup

	mu   sync.Mutex
	open map[*stream]bool
}

func newGuard(cfg Config, encrypted bool, c *Counters, logger *log.Logger) (*guard, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{cfg.Bind.Addr().String()},
		BindPort:  int(cfg.Bind.Port()), Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	t := &guard{
		NetTransport: inner, cfg: cfg, encrypted: encrypted, c: c, packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn), closing: make(chan struct{}), open: map[*stream]bool{},
	}
	t.pumps.Go(t.pumpPackets)
	t.pumps.Go(t.pumpStreams)
	return t, nil
}

func (t *guard) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *guard) StreamCh() <-chan net.Conn           { return t.streams }

// pumpPackets goes on until the listeners are closed: they wait for somebody to take their last packet.
func (t *guard) pumpPackets() {
	for {
		select {
		case <-t.closing:
			return
		case p := <-t.NetTransport.PacketCh():
			t.c.PacketsIn.Add(1)
			t.c.PacketBytesIn.Add(uint64(len(p.Buf)))
			if err := t.packet(p.Buf); err != nil {
				t.c.drop(err)
				continue
			}
			p.Buf = bytes.Clone(p.Buf) // out of 64 KiB
			select {
			case t.packets <- p:
			case <-t.closing:
				return
			}
		}
	}
}

// packet says what is wrong with one before memberlist reads it.
func (t *guard) packet(b []byte) error {
	switch {
	case len(b) > t.cfg.MaxDatagram+slack:
		return &Dropped{Oversized}
	case t.encrypted && (len(b) < cipherLeast || b[0] != cipherVersion):
		return &Dropped{WrongKey}
	case t.encrypted:
		return nil
	}
	return plain(b, 0)
}

// plain looks for compressed messages, which no courier sends.
func plain(b []byte, depth int) error {
	switch {
	case len(b) == 0 || depth > nested || b[0] > msgLast || b[0] == msgCompress || b[0] == msgEncrypt || b[0] == msgPushPull:
		return &Dropped{Garbled}
	case b[0] == msgChecksum:
		if len(b) < 6 {
			return &Dropped{Garbled}
		}
		return plain(b[5:], depth+1)
	case b[0] == msgCompound:
		if len(b) < 2 || len(b) < 2+2*int(b[1]) {
			return &Dropped{Garbled}
		}
		sizes, parts := b[2:2+2*int(b[1])], b[2+2*int(b[1]):]
		for ; len(sizes) > 0; sizes = sizes[2:] {
			n := int(binary.BigEndian.Uint16(sizes))
			if n > len(parts) {
				return &Dropped{Garbled}
			}
			if err := plain(parts[:n], depth+1); err != nil {
				return err
			}
			parts = parts[n:]
		}
	}
	return nil
}

func (t *guard) pumpStreams() {
	for {
		select {
		case <-t.closing:
			return
		case conn := <-t.NetTransport.StreamCh():
			t.c.StreamsIn.Add(1)
			s := t.track(conn, streamsOpen)
			if s == nil {
				t.c.drop(&Dropped{Busy})
				_ = conn.Close()
				continue
			}
			select {
			case t.streams <- s:
			case <-t.closing:
				_ = s.Close()
				return
			}
		}
	}
}

// track makes a stream of a connection; nil if there are as many as may be.
func (t *guard) track(conn net.Conn, most int) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closing:
		return nil
	default:
	}
	if len(t.open) >= most {
		return nil
	}
	s := &stream{Conn: conn, t: t, left: int64(t.cfg.MaxBytes + kept*t.cfg.MaxMembers*nodeBytes + 4096)}
	t.open[s] = true
	return s
}

var errAway = errors.New("members: address is on no loopback or private network")

func (t *guard) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := netip.ParseAddrPort(a.Addr)
	if err != nil || !near(to.Addr()) {
		t.c.drop(&Dropped{Away})
		return time.Time{}, errAway
	}
	t.c.PacketsOut.Add(1)
	t.c.PacketBytesOut.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *guard) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *guard) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(a.Addr)
	if err != nil || !near(to.Addr()) {
		t.c.drop(&Dropped{Away})
		return nil, errAway
	}
	t.c.StreamsOut.Add(1)
	// From the courier's own address, as its packets leave: others, and firewalls, tell couriers by it.
	own := net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.cfg.Bind.Addr(), 0))}
	conn, err := own.Dial("tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	s := t.track(conn, 2*streamsOpen) // ours are few; others' never take their place
	if s == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("members: %d streams open", 2*streamsOpen)
	}
	return s, nil
}

func (t *guard) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// Shutdown ends the listeners, then all streams.
func (t *guard) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.once.Do(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		close(t.closing)
		for s := range t.open {
			_ = s.Conn.Close()
		}
	})
	return err
}

func (t *guard) wait() { t.pumps.Wait() }

// stream is a connection of which at most so many bytes are read, and whose first message is looked at before
// memberlist sees it.
type stream struct {
	net.Conn
	t    *guard
	in   io.Reader // nil before the first read
	left int64
}

func (s *stream) Close() error {
	s.t.mu.Lock()
	delete(s.t.open, s)
	s.t.mu.Unlock()
	return s.Conn.Close()
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.t.c.StreamBytesOut.Add(uint64(n))
	return n, err
}

func (s *stream) Read(b []byte) (int, error) {
	if s.in == nil {
		in, err := s.first()
		if err != nil {
			s.t.c.drop(err)
			return 0, err
		}
		s.in = in
	}
	return s.in.Read(b)
}

// first reads the head of the first message.
func (s *stream) first() (io.Reader, error) {
	in := bufio.NewReaderSize((*counted)(s), 512)
	kind, err := in.Peek(1)
	if err != nil {
		return nil, err
	}
	var seen bytes.Buffer
	tee := io.TeeReader(in, &seen)
	var typ [1]byte
	if _, err := io.ReadFull(tee, typ[:]); err != nil {
		return nil, err
	}
	head := struct{ Nodes, UserStateLen, UserMsgLen int }{}
	switch {
	case s.t.encrypted && kind[0] != msgEncrypt, !s.t.encrypted && kind[0] == msgEncrypt:
		return nil, &Dropped{WrongKey}
	case kind[0] == msgEncrypt:
		var size [5]byte // length, version
		if _, err := io.ReadFull(tee, size[:]); err != nil {
			return nil, err
		}
		if n := binary.BigEndian.Uint32(size[:]); n < cipherLeast || size[4] != cipherVersion {
			return nil, &Dropped{WrongKey}
		} else if int64(n) > s.left {
			return nil, &Dropped{Oversized}
		}
	case typ[0] == msgPushPull, typ[0] == msgUser:
		if err := codec.NewDecoder(tee, &codec.MsgpackHandle{}).Decode(&head); err != nil {
			return nil, &Dropped{Garbled}
		}
	case typ[0] == msgCompress, typ[0] > msgLast:
		return nil, &Dropped{Garbled}
	}
	// A bound below 0 or above what a courier can hold makes memberlist allocate for what never comes.
	if min(head.Nodes, head.UserStateLen, head.UserMsgLen) < 0 || head.Nodes > kept*s.t.cfg.MaxMembers ||
		max(head.UserStateLen, head.UserMsgLen) > s.t.cfg.MaxBytes+headMost {
		return nil, &Dropped{Oversized}
	}
	return io.MultiReader(&seen, in), nil
}

// counted reads from the connection itself, within its bound.
type counted stream

func (s *counted) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, &Dropped{Oversized}
	}
	n, err := s.Conn.Read(b[:min(int64(len(b)), s.left)])
	s.left -= int64(n)
	s.t.c.StreamBytesIn.Add(uint64(n))
	return n, err
}
