// Package figures shows a group's counters to Prometheus. It stands apart from package members because client_golang makes
// a process 5 MB larger from its start on, used or not: a courier that shares nothing must not pay for it.
package figures

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"raventrestle/internal/fleet/members"
)

// figure is one series of the collector.
type figure struct {
	desc  *prometheus.Desc
	label []string
	value func(*members.Group) float64
	kind  prometheus.ValueType
}

// Collector shows the group's figures.
func Collector(g *members.Group) prometheus.Collector {
	const prefix = "raventrestle_fleet_"
	var all collector
	counter := func(name, help, label, value string, count *atomic.Uint64) {
		f := figure{kind: prometheus.CounterValue, value: func(*members.Group) float64 { return float64(count.Load()) }}
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
	counter("pieces_total", "Messages of facts by gossip or to one member.", way, in, &c.UpdatesIn)
	counter("pieces_total", "Messages of facts by gossip or to one member.", way, out, &c.UpdatesOut)
	counter("tables_total", "Whole tables of facts.", way, in, &c.FullStatesIn)
	counter("tables_total", "Whole tables of facts.", way, out, &c.FullStatesOut)
	counter("tables_deferred_total", "Tables left out of an exchange for their rate.", "", "", &c.FullStatesDeferred)
	counter("oversized_out_total", "Facts not sent, being above a bound.", "", "", &c.OversizedOut)
	counter("joins_tried_total", "Seeds tried.", "", "", &c.JoinAttempts)
	counter("joins_total", "Seeds joined.", "", "", &c.Joins)
	counter("open_failed_total", "Own address could not be opened.", "", "", &c.OpenFailed)
	counter("conflicts_total", "Other lives of this courier's name heard of.", "", "", &c.Conflicts)
	counter("superseded_total", "Another process of this name, with a larger epoch, answered.", "", "", &c.Superseded)
	counter("outgrown_total", "Epochs of earlier lives heard, at or above the own one.", "", "", &c.EpochTooLow)
	counter("renewals_total", "Larger epochs told to the others.", "", "", &c.Renewals)
	counter("events_dropped_total", "Events that the host was too slow for.", "", "", &c.EventsDropped)
	counter("log_lines_total", "Lines of the membership library, logged or not.", "", "", &c.LogLines)
	for e := range c.Events {
		counter("events_total", "Changes of the list of members.", "event", members.EventKind(e).String(), &c.Events[e])
	}
	for r := range c.Dropped {
		counter("dropped_total", "What came in and was not taken.", "reason", members.Reason(r).String(), &c.Dropped[r])
	}
	all.figures = append(all.figures, figure{
		desc: prometheus.NewDesc(prefix+"members", "Couriers that are up, this one included.", nil, nil),
		kind: prometheus.GaugeValue, value: func(g *members.Group) float64 { return float64(len(g.Alive())) },
	})
	return all
}

type collector struct {
	g       *members.Group
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
