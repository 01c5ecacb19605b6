package main

import (
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"

	"raventrestle/internal/control/placer"
)

// eventLog writes one line for each thing that people may want to know, under fixed names. Nothing is written on
// the ordinary path.
type eventLog struct{ logger *log.Logger }

func newEventLog(level string) *eventLog {
	return &eventLog{logger: &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}}
}

func (e *eventLog) setLevel(level string) { e.logger.SetLevel(log.ParseLevel(level)) }

func (e *eventLog) started(node, address, control string, bootstrap bool) {
	e.logger.Info().Str("event", "started").Str("node", node).Str("address", address).Str("control", control).
		Bool("bootstrap", bootstrap).Msg("")
}

func (e *eventLog) stopping(signal string) {
	e.logger.Info().Str("event", "stopping").Str("signal", signal).Msg("")
}

func (e *eventLog) stopped(err error) {
	e.logger.Info().Str("event", "stopped").Err(err).Msg("")
}

func (e *eventLog) reloaded(err error) {
	if err != nil {
		e.logger.Warn().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	e.logger.Info().Str("event", "settings_read").Msg("")
}

// RouterSubscribed implements host.EventRecorder.
func (e *eventLog) RouterSubscribed(node, zone string, generation int64) {
	e.logger.Info().Str("event", "router_subscribed").Str("router", node).Str("zone", zone).
		Int64("generation", generation).Msg("")
}

// RouterClosed implements host.EventRecorder.
func (e *eventLog) RouterClosed(node, reason string) {
	e.logger.Info().Str("event", "router_closed").Str("router", node).Str("reason", reason).Msg("")
}

// Isolated implements host.EventRecorder.
func (e *eventLog) Isolated(isolated bool, live, voters int) {
	e.logger.Warn().Str("event", "isolated").Bool("isolated", isolated).Int("live", live).Int("voters", voters).
		Msg("")
}

// LeadershipBegan implements roles.Events.
func (e *eventLog) LeadershipBegan(epoch uint64, late time.Duration) {
	e.logger.Info().Str("event", "role_began").Uint64("epoch", epoch).Dur("late", late).Msg("")
}

// LeadershipEnded implements roles.Events.
func (e *eventLog) LeadershipEnded(epoch uint64) {
	e.logger.Info().Str("event", "role_ended").Uint64("epoch", epoch).Msg("")
}

// OrderCompleted implements roles.Events.
func (e *eventLog) OrderCompleted(epoch uint64, order placer.Order, outcome placer.Outcome, err error) {
	e.logger.Info().Str("event", "order").Uint64("epoch", epoch).Str("endpoint", order.Endpoint).
		Str("model", order.Model).Str("adapter", order.Adapter).Bool("unload", order.Unload).
		Str("reason", order.Reason).Str("outcome", outcomeName(outcome)).Err(err).Msg("")
}

func outcomeName(outcome placer.Outcome) string {
	switch outcome {
	case placer.Accepted:
		return "accepted"
	case placer.AlreadyApplied:
		return "holds"
	case placer.Busy:
		return "busy"
	case placer.Invalid:
		return "invalid"
	}
	return "unknown"
}

// replicaEvent writes an event of the replica: a name, then keys and values.
func (e *eventLog) replicaEvent(event string, pairs ...any) {
	entry := e.logger.Info().Str("event", "replica_"+event)
	for i := 0; i+1 < len(pairs); i += 2 {
		entry = entry.Str(fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1]))
	}
	entry.Msg("")
}
