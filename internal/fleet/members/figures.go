package members

import (
	"bytes"
	"log/slog"
	"strings"
	"sync/atomic"
)

// Reason is why something was dropped.
type Reason int

const (
	WrongKey     Reason = iota // under a key that is not ours, or under none, or under one where we have none
	Garbled                    // no message
	Oversized                  // above a bound in bytes
	OtherVersion               // of this package's format
	Stranger                   // from no member, or from a life that counts no more
	Full                       // a node beyond max_members
	Busy                       // a connection beyond those that may be open
	Refused                    // the exchange would not have it
	Away                       // to or from an address beyond the operators' networks
	reasons
)

func (r Reason) String() string {
	return [...]string{"wrong_key", "garbled", "oversized", "other_version", "stranger", "full", "busy", "refused", "away"}[r]
}

// Counters only grow.
type Counters struct {
	PacketsIn, PacketsOut, PacketBytesIn, PacketBytesOut atomic.Uint64 // UDP, without IP's and UDP's 28 bytes
	StreamsIn, StreamsOut, StreamBytesIn, StreamBytesOut atomic.Uint64 // TCP, payload
	PiecesIn, PiecesOut, WholesIn, WholesOut             atomic.Uint64 // the exchange's
	WholesDeferred, OversizedOut                         atomic.Uint64
	JoinsTried, Joins, OpenFailed                        atomic.Uint64
	Conflicts, Superseded, Outgrown, Renewals            atomic.Uint64
	EventsDropped, LogLines                              atomic.Uint64
	Events                                               [NewLife + 1]atomic.Uint64
	Dropped                                              [reasons]atomic.Uint64
}

func (g *Group) taken(err error, count *atomic.Uint64) {
	if err != nil {
		g.Counters.drop(err)
		return
	}
	count.Add(1)
}

// lines takes memberlist's log. Its lines are the one place where it says that it dropped something.
type lines struct {
	counters *Counters
	log      *slog.Logger
	seen     [reasons + 1]atomic.Uint64
}

// causes are parts of memberlist's lines, first match first.
var causes = []struct {
	part string
	why  Reason
}{
	{"no installed keys", WrongKey},
	{"Decrypt packet failed", WrongKey},
	{"encryption is", WrongKey},
	{"Rejected", Away},
	{"members: dropped", -1}, // counted where it was said
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
	{"queue full", Busy},
	{"Too many pending", Busy},
}

// Write counts a line and logs the first, second, fourth and so on of its cause: a flood from outside fills no disk.
func (l *lines) Write(b []byte) (int, error) {
	text := string(bytes.TrimSpace(b))
	l.counters.LogLines.Add(1)
	at := int(reasons)
	for _, c := range causes {
		if strings.Contains(text, c.part) {
			if c.why >= 0 {
				l.counters.Dropped[c.why].Add(1)
				at = int(c.why)
			}
			break
		}
	}
	if n := l.seen[at].Add(1); n&(n-1) == 0 {
		l.log.Debug("fleet_library", "line", text[:min(len(text), 300)], "count", n)
	}
	return len(b), nil
}
