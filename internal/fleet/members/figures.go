package members

import (
	"bytes"
	"log/slog"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
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

// figure is one series of the collector.
type figure struct {
	desc  *prometheus.Desc
	label []string
	value func(*Group) float64
	kind  prometheus.ValueType
}

// Collector shows the group's figures. The host registers it.
func (g *Group) Collector() prometheus.Collector {
	const prefix = "raventrestle_fleet_"
	var all collector
	counter := func(name, help, label, value string, count *atomic.Uint64) {
		f := figure{kind: prometheus.CounterValue, value: func(*Group) float64 { return float64(count.Load()) }}
		var labels []string
		if label != "" {
			labels, f.label = []string{label}, []string{value}
		}
		f.desc = prometheus.NewDesc(prefix+name, help, labels, nil)
		all.figures = append(all.figures, f)
	}
	all.g = g
	c := &g.Counters
	const in, out, way = "in", "out", "direction"
	counter("packets_total", "UDP packets.", way, in, &c.PacketsIn)
	counter("packets_total", "UDP packets.", way, out, &c.PacketsOut)
	counter("packet_bytes_total", "Bytes in UDP packets.", way, in, &c.PacketBytesIn)
	counter("packet_bytes_total", "Bytes in UDP packets.", way, out, &c.PacketBytesOut)
	counter("streams_total", "TCP connections.", way, in, &c.StreamsIn)
	counter("streams_total", "TCP connections.", way, out, &c.StreamsOut)
	counter("stream_bytes_total", "Bytes in TCP connections.", way, in, &c.StreamBytesIn)
	counter("stream_bytes_total", "Bytes in TCP connections.", way, out, &c.StreamBytesOut)
	counter("pieces_total", "Messages of facts by gossip or to one member.", way, in, &c.PiecesIn)
	counter("pieces_total", "Messages of facts by gossip or to one member.", way, out, &c.PiecesOut)
	counter("tables_total", "Whole tables of facts.", way, in, &c.WholesIn)
	counter("tables_total", "Whole tables of facts.", way, out, &c.WholesOut)
	counter("tables_deferred_total", "Tables left out of an exchange for their rate.", "", "", &c.WholesDeferred)
	counter("oversized_out_total", "Facts not sent, being above a bound.", "", "", &c.OversizedOut)
	counter("joins_tried_total", "Seeds tried.", "", "", &c.JoinsTried)
	counter("joins_total", "Seeds joined.", "", "", &c.Joins)
	counter("open_failed_total", "Own address could not be opened.", "", "", &c.OpenFailed)
	counter("conflicts_total", "Other lives of this courier's name heard of.", "", "", &c.Conflicts)
	counter("superseded_total", "Another process of this name, with a larger epoch, answered.", "", "", &c.Superseded)
	counter("outgrown_total", "Epochs of earlier lives heard, at or above the own one.", "", "", &c.Outgrown)
	counter("renewals_total", "Larger epochs told to the others.", "", "", &c.Renewals)
	counter("events_dropped_total", "Events that the host was too slow for.", "", "", &c.EventsDropped)
	counter("log_lines_total", "Lines of the membership library, logged or not.", "", "", &c.LogLines)
	for e := range c.Events {
		counter("events_total", "Changes of the list of members.", "event", Happening(e).String(), &c.Events[e])
	}
	for r := range c.Dropped {
		counter("dropped_total", "What came in and was not taken.", "reason", Reason(r).String(), &c.Dropped[r])
	}
	all.figures = append(all.figures, figure{desc: prometheus.NewDesc(prefix+"members", "Couriers that are up, this one included.", nil, nil),
		kind: prometheus.GaugeValue, value: func(g *Group) float64 { return float64(len(g.Alive())) }})
	return all
}

type collector struct {
	g       *Group
	figures []figure
}

func (c collector) Describe(to chan<- *prometheus.Desc) {
	for _, f := range c.figures {
		to <- f.desc
	}
}

func (c collector) Collect(to chan<- prometheus.Metric) {
	for _, f := range c.figures {
		to <- prometheus.MustNewConstMetric(f.desc, f.kind, f.value(c.g), f.label...)
	}
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
	{"no installed keys", WrongKey}, {"Decrypt packet failed", WrongKey}, {"encryption is", WrongKey}, {"Rejected", Away},
	{"members: dropped", -1}, // counted where it was said
	{"invalid checksum", Garbled}, {"not supported", Garbled}, {"ailed to decode", Garbled}, {"missing message type", Garbled},
	{"truncated", Garbled}, {"label", Garbled}, {"invalid msgType", Garbled}, {"failed to receive", Garbled}, {"Failed to receive", Garbled},
	{"Failed to read remote state", Garbled}, {"protocol version", OtherVersion}, {"Vsn is not present", OtherVersion},
	{"queue full", Busy}, {"Too many pending", Busy},
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
