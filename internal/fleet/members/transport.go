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

// Constants of memberlist's wire format (its net.go) that the transport has to distinguish.
const (
	msgPushPull = 6
	msgCompound = 7
	msgUser     = 8
	msgCompress = 9
	msgEncrypt  = 10
	msgChecksum = 12
	msgLast     = 13

	cipherVersion  = 1
	minCipherBytes = 1 + 12 + 16 + 1 // version, nonce, tag, and one byte, as memberlist reads the first byte without a check

	maxNodeBytes      = 256 // maximum size of a node in an exchange
	maxInboundStreams = 64  // open at the same time
	datagramSlack     = 256 // allowed above max_datagram, as probes with piggybacked changes are not truncated
	maxHeaderBytes    = 3 + maxNameBytes + len(tagSeparator) + tagBytes + binary.MaxVarintLen64
	maxNesting        = 4 // compound messages inside one another
)

// boundedTransport is a memberlist transport for UDP and TCP with counters, and with limits that memberlist lacks: a
// header of 30 bytes could make it allocate 100 MB, and a compressed packet 40 MB. It sends only to loopback and private
// networks, because a forged probe contains the address to answer.
type boundedTransport struct {
	*memberlist.NetTransport
	cfg       Config
	encrypted bool
	counters  *Counters
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closing   chan struct{}
	once      sync.Once
	pumps     sync.WaitGroup

	mu          sync.Mutex
	openStreams map[*stream]bool
}

func newBoundedTransport(cfg Config, encrypted bool, counters *Counters, logger *log.Logger) (*boundedTransport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{cfg.Bind.Addr().String()},
		BindPort:  int(cfg.Bind.Port()), Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	t := &boundedTransport{
		NetTransport: inner, cfg: cfg, encrypted: encrypted, counters: counters, packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn), closing: make(chan struct{}), openStreams: map[*stream]bool{},
	}
	t.pumps.Go(t.pumpPackets)
	t.pumps.Go(t.pumpStreams)
	return t, nil
}

func (t *boundedTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *boundedTransport) StreamCh() <-chan net.Conn           { return t.streams }

// pumpPackets runs until the listeners are closed, as they wait until their last packet is received.
func (t *boundedTransport) pumpPackets() {
	for {
		select {
		case <-t.closing:
			return
		case p := <-t.NetTransport.PacketCh():
			t.counters.PacketsIn.Add(1)
			t.counters.PacketBytesIn.Add(uint64(len(p.Buf)))
			if err := t.checkPacket(p.Buf); err != nil {
				t.counters.drop(err)
				continue
			}
			p.Buf = bytes.Clone(p.Buf) // release the buffer of 64 KiB
			select {
			case t.packets <- p:
			case <-t.closing:
				return
			}
		}
	}
}

// checkPacket returns a Dropped error for a packet that memberlist must not read.
func (t *boundedTransport) checkPacket(b []byte) error {
	switch {
	case len(b) > t.cfg.MaxDatagram+datagramSlack:
		return &Dropped{Oversized}
	case t.encrypted && (len(b) < minCipherBytes || b[0] != cipherVersion):
		return &Dropped{WrongKey}
	case t.encrypted:
		return nil
	}
	return checkPlaintext(b, 0)
}

// checkPlaintext refuses malformed packets, and compressed messages, which no member sends.
func checkPlaintext(b []byte, depth int) error {
	switch {
	case len(b) == 0 || depth > maxNesting || b[0] > msgLast || b[0] == msgCompress || b[0] == msgEncrypt || b[0] == msgPushPull:
		return &Dropped{Garbled}
	case b[0] == msgChecksum:
		if len(b) < 6 {
			return &Dropped{Garbled}
		}
		return checkPlaintext(b[5:], depth+1)
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
			if err := checkPlaintext(parts[:n], depth+1); err != nil {
				return err
			}
			parts = parts[n:]
		}
	}
	return nil
}

// pumpStreams runs until the transport is closed.
func (t *boundedTransport) pumpStreams() {
	for {
		select {
		case <-t.closing:
			return
		case conn := <-t.NetTransport.StreamCh():
			t.counters.StreamsIn.Add(1)
			s := t.track(conn, maxInboundStreams)
			if s == nil {
				t.counters.drop(&Dropped{TooManyConnections})
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

// track registers a connection as a stream; it returns nil if limit streams are open or the transport is closed.
func (t *boundedTransport) track(conn net.Conn, limit int) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closing:
		return nil
	default:
	}
	if len(t.openStreams) >= limit {
		return nil
	}
	s := &stream{Conn: conn, transport: t, remaining: int64(t.cfg.MaxBytes + nodesPerMember*t.cfg.MaxMembers*maxNodeBytes + 4096)}
	t.openStreams[s] = true
	return s
}

var errForeignNetwork = errors.New("members: address is not on a loopback or private network")

func (t *boundedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := netip.ParseAddrPort(a.Addr)
	if err != nil || !isLocalAddr(to.Addr()) {
		t.counters.drop(&Dropped{ForeignNetwork})
		return time.Time{}, errForeignNetwork
	}
	t.counters.PacketsOut.Add(1)
	t.counters.PacketBytesOut.Add(uint64(len(b)))
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *boundedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *boundedTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(a.Addr)
	if err != nil || !isLocalAddr(to.Addr()) {
		t.counters.drop(&Dropped{ForeignNetwork})
		return nil, errForeignNetwork
	}
	t.counters.StreamsOut.Add(1)
	// Dial from the member's own address, like its packets: other members and firewalls identify members by it.
	dialer := net.Dialer{Timeout: timeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.cfg.Bind.Addr(), 0))}
	conn, err := dialer.Dial("tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	s := t.track(conn, 2*maxInboundStreams) // few outgoing streams are open; inbound ones never use up this limit
	if s == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("members: %d streams open", 2*maxInboundStreams)
	}
	return s, nil
}

func (t *boundedTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// Shutdown closes the listeners, then all streams.
func (t *boundedTransport) Shutdown() error {
	err := t.NetTransport.Shutdown()
	t.once.Do(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		close(t.closing)
		for s := range t.openStreams {
			_ = s.Conn.Close()
		}
	})
	return err
}

func (t *boundedTransport) wait() { t.pumps.Wait() }

// stream is a connection with a limit on the bytes read, and with a check of its first message before memberlist reads it.
type stream struct {
	net.Conn
	transport *boundedTransport
	reader    io.Reader // nil before the first read
	remaining int64     // bytes that may still be read
}

func (s *stream) Close() error {
	s.transport.mu.Lock()
	delete(s.transport.openStreams, s)
	s.transport.mu.Unlock()
	return s.Conn.Close()
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.transport.counters.StreamBytesOut.Add(uint64(n))
	return n, err
}

func (s *stream) Read(b []byte) (int, error) {
	if s.reader == nil {
		in, err := s.checkFirstMessage()
		if err != nil {
			s.transport.counters.drop(err)
			return 0, err
		}
		s.reader = in
	}
	return s.reader.Read(b)
}

// checkFirstMessage reads and checks the header of the first message, and returns a reader that includes it.
func (s *stream) checkFirstMessage() (io.Reader, error) {
	in := bufio.NewReaderSize((*limitedConn)(s), 512)
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
	header := struct{ Nodes, UserStateLen, UserMsgLen int }{}
	switch {
	case s.transport.encrypted && kind[0] != msgEncrypt, !s.transport.encrypted && kind[0] == msgEncrypt:
		return nil, &Dropped{WrongKey}
	case kind[0] == msgEncrypt:
		var size [5]byte // length and version
		if _, err := io.ReadFull(tee, size[:]); err != nil {
			return nil, err
		}
		if n := binary.BigEndian.Uint32(size[:]); n < minCipherBytes || size[4] != cipherVersion {
			return nil, &Dropped{WrongKey}
		} else if int64(n) > s.remaining {
			return nil, &Dropped{Oversized}
		}
	case typ[0] == msgPushPull, typ[0] == msgUser:
		if err := codec.NewDecoder(tee, &codec.MsgpackHandle{}).Decode(&header); err != nil {
			return nil, &Dropped{Garbled}
		}
	case typ[0] == msgCompress, typ[0] > msgLast:
		return nil, &Dropped{Garbled}
	}
	// Otherwise memberlist would allocate memory for a negative or excessive length before any data arrives.
	if min(header.Nodes, header.UserStateLen, header.UserMsgLen) < 0 || header.Nodes > nodesPerMember*s.transport.cfg.MaxMembers ||
		max(header.UserStateLen, header.UserMsgLen) > s.transport.cfg.MaxBytes+maxHeaderBytes {
		return nil, &Dropped{Oversized}
	}
	return io.MultiReader(&seen, in), nil
}

// limitedConn reads from the connection, up to the stream's limit.
type limitedConn stream

func (s *limitedConn) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, &Dropped{Oversized}
	}
	n, err := s.Conn.Read(b[:min(int64(len(b)), s.remaining)])
	s.remaining -= int64(n)
	s.transport.counters.StreamBytesIn.Add(uint64(n))
	return n, err
}
