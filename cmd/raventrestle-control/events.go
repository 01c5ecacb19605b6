package main

import (
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"

	"raventrestle/internal/control/placer"
)

// The catalogue of log events: the values of the key "event", one line of JSON each. Operators' tools match these names and
// the keys beside them, so they don't change. docs/operators/control.md says what to do about each. The ordinary path of a
// request or a heartbeat logs nothing.
const (
	// eventStarted: node, address (of the transport), control (address), bootstrap.
	eventStarted = "instance.started"
	// eventStopping: signal.
	eventStopping = "instance.stopping"
	// eventStopped: error, where the group still needed this instance's disk.
	eventStopped = "instance.stopped"

	// eventSettingsReloaded and eventSettingsRejected follow a SIGHUP. Rejected (warning): error; the former settings stay in
	// force.
	eventSettingsReloaded = "settings.reloaded"
	eventSettingsRejected = "settings.rejected"

	// eventRouterSubscribed: router, zone, generation (that the router has).
	eventRouterSubscribed = "router.subscribed"
	// eventRouterDisconnected: router, reason.
	eventRouterDisconnected = "router.disconnected"

	// eventQuorumLost and eventQuorumRegained (warnings) say whether this instance has recent contact with a majority of the
	// voters: live, voters (numbers of members).
	eventQuorumLost     = "quorum.lost"
	eventQuorumRegained = "quorum.regained"

	// eventLeadershipBegan: epoch, delay (milliseconds after it was allowed to begin). The leader places models and divides
	// quotas.
	eventLeadershipBegan = "leadership.began"
	// eventLeadershipEnded: epoch.
	eventLeadershipEnded = "leadership.ended"
	// eventOrderCompleted: epoch, endpoint, model, adapter, unload, reason, outcome (see outcomeName), error.
	eventOrderCompleted = "order.completed"

	// eventSharesProposed: sequence (of the table of shares), error. The leader gives shares of the limits to an instance that
	// came, or takes them from one that is gone.
	eventSharesProposed = "quota.shares_proposed"
	// eventQuotaRecordFailed (warning): error. Without records this instance issues no credit; others do.
	eventQuotaRecordFailed = "quota.record_failed"

	// eventReplicaPrefix is followed by the name of an event of the replicated group (replica.Config.RecordEvent):
	// view_changed, leadership_changed, disk_write_failed, log_close_failed, message_undecodable, message_not_encodable.
	eventReplicaPrefix = "replica."
)

// eventLog writes the log events to standard error. It implements host.EventRecorder and roles.EventRecorder, and any
// number of goroutines may use it.
type eventLog struct{ logger *log.Logger }

func newEventLog(level string) *eventLog {
	return &eventLog{logger: &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}}
}

// setLevel changes the lowest level that is written.
func (e *eventLog) setLevel(level string) { e.logger.SetLevel(log.ParseLevel(level)) }

func (e *eventLog) info(event string) *log.Entry { return e.logger.Info().Str("event", event) }
func (e *eventLog) warn(event string) *log.Entry { return e.logger.Warn().Str("event", event) }

func (e *eventLog) started(node, address, control string, bootstrap bool) {
	e.info(eventStarted).Str("node", node).Str("address", address).Str("control", control).
		Bool("bootstrap", bootstrap).Msg("")
}

func (e *eventLog) stopping(signal string) { e.info(eventStopping).Str("signal", signal).Msg("") }

func (e *eventLog) stopped(err error) { e.info(eventStopped).Err(err).Msg("") }

func (e *eventLog) reloaded(err error) {
	if err != nil {
		e.warn(eventSettingsRejected).Err(err).Msg("")
		return
	}
	e.info(eventSettingsReloaded).Msg("")
}

// RouterSubscribed implements host.EventRecorder.
func (e *eventLog) RouterSubscribed(node, zone string, generation int64) {
	e.info(eventRouterSubscribed).Str("router", node).Str("zone", zone).Int64("generation", generation).Msg("")
}

// RouterClosed implements host.EventRecorder.
func (e *eventLog) RouterClosed(node, reason string) {
	e.info(eventRouterDisconnected).Str("router", node).Str("reason", reason).Msg("")
}

// QuorumChanged implements host.EventRecorder.
func (e *eventLog) QuorumChanged(lost bool, live, voters int) {
	event := eventQuorumRegained
	if lost {
		event = eventQuorumLost
	}
	e.warn(event).Int("live", live).Int("voters", voters).Msg("")
}

// LeadershipBegan implements roles.EventRecorder.
func (e *eventLog) LeadershipBegan(epoch uint64, delay time.Duration) {
	e.info(eventLeadershipBegan).Uint64("epoch", epoch).Dur("delay", delay).Msg("")
}

// LeadershipEnded implements roles.EventRecorder.
func (e *eventLog) LeadershipEnded(epoch uint64) {
	e.info(eventLeadershipEnded).Uint64("epoch", epoch).Msg("")
}

// OrderCompleted implements roles.EventRecorder.
func (e *eventLog) OrderCompleted(epoch uint64, order placer.Order, outcome placer.Outcome, err error) {
	e.info(eventOrderCompleted).Uint64("epoch", epoch).Str("endpoint", order.Endpoint).Str("model", order.Model).
		Str("adapter", order.Adapter).Bool("unload", order.Unload).Str("reason", order.Reason).
		Str("outcome", outcomeName(outcome)).Err(err).Msg("")
}

// SharesProposed implements roles.EventRecorder.
func (e *eventLog) SharesProposed(sequence uint64, err error) {
	e.info(eventSharesProposed).Uint64("sequence", sequence).Err(err).Msg("")
}

// RecordFailed implements quotahost.EventRecorder.
func (e *eventLog) RecordFailed(err error) { e.warn(eventQuotaRecordFailed).Err(err).Msg("") }

// outcomeName names an order's outcome in the log.
func outcomeName(outcome placer.Outcome) string {
	switch outcome {
	case placer.Accepted:
		return "accepted"
	case placer.AlreadyApplied:
		return "already_applied"
	case placer.Busy:
		return "busy"
	case placer.Invalid:
		return "invalid"
	}
	return "unknown" // no response arrived: the order may have been accepted
}

// replicaEvent writes an event of the replicated group: its name, then keys and values in turn.
func (e *eventLog) replicaEvent(event string, pairs ...any) {
	entry := e.info(eventReplicaPrefix + event)
	for i := 0; i+1 < len(pairs); i += 2 {
		entry = entry.Str(fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1]))
	}
	entry.Msg("")
}
