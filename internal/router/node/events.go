package node

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"raventrestle/internal/router/dispatch"
	"raventrestle/internal/router/ingress"
	"raventrestle/internal/router/subscription"
)

// Log events. Their names are stable: alerts and the on-call page use them. router.* is the process, settings.* its
// settings file, control.* and configuration.* its subscription to the control plane, call.lost an endpoint that broke
// off an answer, requests.summary what became of requests where some were late or not served, http.error a line of net/http.

// minLostAnswerInterval is the time between two call.lost events; those in between are counted.
const minLostAnswerInterval = time.Second

// lostAnswerLog logs attempts that were sent and brought no complete answer, at a bounded rate. It is safe for concurrent
// use.
type lostAnswerLog struct {
	log *log.Logger

	mutex   sync.Mutex
	nextAt  time.Time
	skipped int // since the last event
}

var _ ingress.EventRecorder = (*lostAnswerLog)(nil)

// AnswerLost logs the attempt, or counts it if another one was logged just before.
func (l *lostAnswerLog) AnswerLost(endpoint string, err error) {
	if skipped, due := l.due(time.Now()); due {
		l.log.Warn().Str("endpoint", endpoint).Int("others", skipped).Err(err).Msg("call.lost")
	}
}

// due reports whether an event may be logged now, and how many were skipped before it.
func (l *lostAnswerLog) due(now time.Time) (skipped int, due bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Before(l.nextAt) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.skipped = 0
	l.nextAt = now.Add(minLostAnswerInterval)
	return skipped, true
}

// outcomeLog logs what became of requests.
type outcomeLog struct{ log *log.Logger }

// record logs a summary: by cause how many requests were late, by reason how many were rejected.
func (l *outcomeLog) record(summary dispatch.Summary) {
	late, rejected := &summary.Outcomes.Late, &summary.Outcomes.Rejected
	l.log.Info().
		Dur("window", summary.Window).
		Uint64("served", summary.Outcomes.Served).
		Uint64("failed", summary.Outcomes.Failed).
		Uint64("late_retry", late[dispatch.LateByRetry]).
		Uint64("late_load", late[dispatch.LateByLoad]).
		Uint64("late_queue", late[dispatch.LateByQueue]).
		Uint64("late_endpoint", late[dispatch.LateByEndpoint]).
		Uint64("late_gap", late[dispatch.LateByGap]).
		Uint64("rejected_quota", rejected[dispatch.QuotaExceeded]).
		Uint64("rejected_target", rejected[dispatch.TargetUnreachable]).
		Uint64("rejected_no_endpoint", rejected[dispatch.NoEndpoint]).
		Uint64("rejected_retry_budget", rejected[dispatch.RetryBudgetExhausted]).
		Uint64("rejected_attempts", rejected[dispatch.AttemptsExhausted]).
		Uint64("rejected_shutdown", rejected[dispatch.ShuttingDown]).
		Msg("requests.summary")
}

// httpErrorLog logs the lines that net/http writes about single connections.
type httpErrorLog struct{ log *log.Logger }

var _ io.Writer = (*httpErrorLog)(nil)

// Write logs one line.
func (l *httpErrorLog) Write(line []byte) (int, error) {
	l.log.Warn().Bytes("line", line).Msg("http.error")
	return len(line), nil
}

// subscriptionLog logs the events of the subscription to the control plane.
type subscriptionLog struct{ log *log.Logger }

var _ subscription.EventRecorder = (*subscriptionLog)(nil)

// InstanceFollowed logs that the first update of this instance is applied.
func (l *subscriptionLog) InstanceFollowed(instance string) {
	l.log.Info().Str("instance", instance).Msg("control.followed")
}

// InstanceLeft logs that this instance is no longer followed.
func (l *subscriptionLog) InstanceLeft(instance string, err error) {
	l.log.Warn().Str("instance", instance).Err(err).Msg("control.left")
}

// ControlPlaneUnreachable logs that no instance can be followed.
func (l *subscriptionLog) ControlPlaneUnreachable(instance string, err error) {
	l.log.Warn().Str("instance", instance).Err(err).Msg("control.unreachable")
}

// ConfigurationApplied logs that requests are handled by this version from now on.
func (l *subscriptionLog) ConfigurationApplied(generation int64) {
	l.log.Info().Int64("generation", generation).Msg("configuration.in_force")
}

// RouterReady logs that the readiness probe is answered with 200 from now on.
func (l *subscriptionLog) RouterReady() { l.log.Info().Msg("router.ready") }
