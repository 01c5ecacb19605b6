// Package metrics exports a group's counters to Prometheus. It is separate from package members because client_golang
// makes a process 5 MB larger from its start on, used or not, and a process that shares nothing must not pay for that.
package metrics

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"raventrestle/internal/fleet/members"
)

// metric is one time series of the collector.
type metric struct {
	desc  *prometheus.Desc
	label []string
	value func(*members.Group) float64
	kind  prometheus.ValueType
}

// Collector returns a Prometheus collector for the group's counters.
func Collector(g *members.Group) prometheus.Collector {
	const prefix = "raventrestle_fleet_"
	var collector groupCollector
	counter := func(name, help, label, value string, count *atomic.Uint64) {
		f := metric{kind: prometheus.CounterValue, value: func(*members.Group) float64 { return float64(count.Load()) }}
		var labels []string
		if label != "" {
			labels, f.label = []string{label}, []string{value}
		}
		f.desc = prometheus.NewDesc(prefix+name, help, labels, nil)
		collector.metrics = append(collector.metrics, f)
	}
	collector.group = g
	c := &g.Counters
	const in, out, direction = "in", "out", "direction"
	counter("packets_total", "UDP packets.", direction, in, &c.PacketsIn)
	counter("packets_total", "UDP packets.", direction, out, &c.PacketsOut)
	counter("packet_bytes_total", "Bytes in UDP packets.", direction, in, &c.PacketBytesIn)
	counter("packet_bytes_total", "Bytes in UDP packets.", direction, out, &c.PacketBytesOut)
	counter("streams_total", "TCP connections.", direction, in, &c.StreamsIn)
	counter("streams_total", "TCP connections.", direction, out, &c.StreamsOut)
	counter("stream_bytes_total", "Bytes in TCP connections.", direction, in, &c.StreamBytesIn)
	counter("stream_bytes_total", "Bytes in TCP connections.", direction, out, &c.StreamBytesOut)
	counter("pieces_total", "Messages of facts by gossip or to one member.", direction, in, &c.UpdatesIn)
	counter("pieces_total", "Messages of facts by gossip or to one member.", direction, out, &c.UpdatesOut)
	counter("tables_total", "Whole tables of facts.", direction, in, &c.FullStatesIn)
	counter("tables_total", "Whole tables of facts.", direction, out, &c.FullStatesOut)
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
	collector.metrics = append(collector.metrics, metric{
		desc: prometheus.NewDesc(prefix+"members", "Couriers that are up, this one included.", nil, nil),
		kind: prometheus.GaugeValue, value: func(g *members.Group) float64 { return float64(len(g.Alive())) },
	})
	return collector
}

// groupCollector implements prometheus.Collector.
type groupCollector struct {
	group   *members.Group
	metrics []metric
}

// Describe implements prometheus.Collector.
func (c groupCollector) Describe(to chan<- *prometheus.Desc) {
	for _, f := range c.metrics {
		to <- f.desc
	}
}

// Collect implements prometheus.Collector.
func (c groupCollector) Collect(to chan<- prometheus.Metric) {
	for _, f := range c.metrics {
		to <- prometheus.MustNewConstMetric(f.desc, f.kind, f.value(c.group), f.label...)
	}
}
