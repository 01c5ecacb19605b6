package fleet

import (
	"log/slog"

	"raventrestle/internal/fleet/members"
	"raventrestle/internal/fleet/store"
)

// Status describes the membership of this process for operators.
type Status struct {
	Epoch      uint64           `json:"epoch"`
	Site       string           `json:"site"`
	Superseded bool             `json:"superseded,omitempty"` // another process with this name is up
	Members    []members.Member `json:"members"`              // live members, including this one
	Facts      int64            `json:"facts"`
	FactBytes  int64            `json:"fact_bytes"`
	BytesIn    uint64           `json:"bytes_in"` // UDP and TCP, since the start
	BytesOut   uint64           `json:"bytes_out"`
	Faults     uint64           `json:"faults,omitempty"`
}

// Status returns the current status. It takes locks, so it must not be called from the request path. The epoch is 0
// while the host is not running.
func (h *Host) Status() Status {
	s := Status{Site: h.cfg.Settings.Site, Superseded: h.isSuperseded.Load(), Members: []members.Member{}, Faults: h.Counters.Faults.Load()}
	if factStore := h.store.Load(); factStore != nil {
		stats := factStore.Stats()
		s.Epoch, s.Facts, s.FactBytes = factStore.Epoch(), stats.Facts, stats.Bytes
	}
	if group := h.group.Load(); group != nil {
		c := &group.Counters
		s.Members, s.BytesIn, s.BytesOut = group.Alive(), c.PacketBytesIn.Load()+c.StreamBytesIn.Load(), c.PacketBytesOut.Load()+c.StreamBytesOut.Load()
	}
	return s
}

// Group returns the membership, for its metrics; nil while the host is not running.
func (h *Host) Group() *members.Group { return h.group.Load() }

// LogCounters logs all counters.
func (h *Host) LogCounters(log *slog.Logger) {
	c := &h.Counters
	log.Info("counters: fleet", "faults", c.Faults.Load(), "saves", c.Saves.Load(), "save_fails", c.FailedSaves.Load(), "left_out", c.OmittedFacts.Load(),
		"garbled", c.Garbled.Load(), "other_version", c.OtherVersion.Load(), "too_large", c.TooLarge.Load(), "repeats", c.Repeats.Load(),
		"silenced", c.Silenced.Load(), "epochs", c.Epochs.Load())
	if factStore := h.store.Load(); factStore != nil {
		var stats store.Stats = factStore.Stats()
		log.Info("counters: facts", "facts", stats.Facts, "bytes", stats.Bytes, "waiting", stats.Queued, "learned", stats.Learned, "taken", stats.Received,
			"changed", stats.Changed, "older", stats.AgeCorrected, "known", stats.Unchanged, "absurd", stats.Invalid, "gone", stats.EndpointRemoved, "origins", stats.TooManyOrigins,
			"mail_dropped", stats.JobsDropped, "queue_dropped", stats.GossipDropped, "shed", stats.Evicted, "swept", stats.Swept, "passed", stats.Sent)
	}
	if group := h.group.Load(); group != nil {
		m := &group.Counters
		fields := []any{
			"up", len(group.Alive()), "packet_bytes_in", m.PacketBytesIn.Load(), "packet_bytes_out", m.PacketBytesOut.Load(),
			"stream_bytes_in", m.StreamBytesIn.Load(), "stream_bytes_out", m.StreamBytesOut.Load(), "joins_tried", m.JoinAttempts.Load(),
			"joins", m.Joins.Load(), "open_failed", m.OpenFailed.Load(), "superseded", m.Superseded.Load(), "outgrown", m.EpochTooLow.Load(),
		}
		for r := range m.Dropped {
			if n := m.Dropped[r].Load(); n > 0 {
				fields = append(fields, "dropped_"+members.Reason(r).String(), n)
			}
		}
		log.Info("counters: members", fields...)
	}
}
