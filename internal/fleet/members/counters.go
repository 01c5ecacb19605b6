package members

import (
	"bytes"
	"log/slog"
	"strings"
	"sync/atomic"
)

// Reason is why input was dropped.
type Reason int

// Reasons for dropping input.
const (
	WrongKey           Reason = iota // encrypted with an unknown key, not encrypted, or encrypted although this group has no key
	Garbled                          // not a valid message
	Oversized                        // exceeds a limit in bytes
	OtherVersion                     // of this package's wire format
	UnknownSender                    // not from a member, or not from its current incarnation
	TooManyMembers                   // a node beyond max_members
	TooManyConnections               // a connection beyond the limit
	RejectedByExchange               // rejected by the Exchange
	ForeignNetwork                   // to or from an address outside the loopback and private networks
	reasonCount
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"wrong_key", "garbled", "oversized", "other_version", "stranger", "full", "busy", "refused", "away"}[r]
}

// Counters count events since the start.
type Counters struct {
	PacketsIn, PacketsOut, PacketBytesIn, PacketBytesOut atomic.Uint64 // UDP payload, without the 28 bytes of IP and UDP headers
	StreamsIn, StreamsOut, StreamBytesIn, StreamBytesOut atomic.Uint64 // TCP payload
	UpdatesIn, UpdatesOut, FullStatesIn, FullStatesOut   atomic.Uint64 // updates and full states of the Exchange
	FullStatesDeferred, OversizedOut                     atomic.Uint64
	JoinAttempts, Joins, OpenFailed                      atomic.Uint64
	Conflicts, Superseded, EpochTooLow, Renewals         atomic.Uint64
	EventsDropped, LogLines                              atomic.Uint64
	Events                                               [Restarted + 1]atomic.Uint64
	Dropped                                              [reasonCount]atomic.Uint64
}

// countReceived increments count, or the counter of the drop reason if err is not nil.
func (g *Group) countReceived(err error, count *atomic.Uint64) {
	if err != nil {
		g.Counters.drop(err)
		return
	}
	count.Add(1)
}

// logWriter receives memberlist's log. memberlist reports dropped input only there.
type logWriter struct {
	counters  *Counters
	log       *slog.Logger
	perReason [reasonCount + 1]atomic.Uint64
}

// causes maps parts of memberlist's log lines to reasons; the first match counts.
var causes = []struct {
	substring string
	reason    Reason
}{
	{"no installed keys", WrongKey},
	{"Decrypt packet failed", WrongKey},
	{"encryption is", WrongKey},
	{"Rejected", ForeignNetwork},
	{"members: dropped", -1}, // already counted by this package
	{"invalid checksum", Garbled},
	{"not supported", Garbled},
	{"ailed to decode", Garbled},
	{"missing message type", Garbled},
	{"truncated", Garbled},
	{"label", Garbled},
	{"invalid msgType", Garbled},
	{"failed to receive", Garbled},
	{"Failed to receive", Garbled},
	{"Failed to read remote state", Garbled},
	{"protocol version", OtherVersion},
	{"Vsn is not present", OtherVersion},
	{"queue full", TooManyConnections},
	{"Too many pending", TooManyConnections},
}

// Write counts a line, and logs the first, second, fourth, eighth and so on for each reason, so that a flood from outside
// can't fill the disk.
func (l *logWriter) Write(b []byte) (int, error) {
	text := string(bytes.TrimSpace(b))
	l.counters.LogLines.Add(1)
	reason := int(reasonCount)
	for _, c := range causes {
		if strings.Contains(text, c.substring) {
			if c.reason >= 0 {
				l.counters.Dropped[c.reason].Add(1)
				reason = int(c.reason)
			}
			break
		}
	}
	if n := l.perReason[reason].Add(1); n&(n-1) == 0 {
		l.log.Debug("fleet_library", "line", text[:min(len(text), 300)], "count", n)
	}
	return len(b), nil
}
