package fleet

import (
	"log/slog"

	"raventrestle/internal/fleet/members"
	"raventrestle/internal/fleet/store"
)

// Status is what operators see of a courier's part in its fleet.
type Status struct {
	Epoch      uint64           `json:"epoch"`
	Site       string           `json:"site"`
	Superseded bool             `json:"superseded,omitempty"` // another process of this name serves
	Members    []members.Member `json:"members"`              // that are up, this one included
	Facts      int64            `json:"facts"`
	FactBytes  int64            `json:"fact_bytes"`
	BytesIn    uint64           `json:"bytes_in"` // of UDP and TCP, since the start
	BytesOut   uint64           `json:"bytes_out"`
	Faults     uint64           `json:"faults,omitempty"`
}

// Status of now; it takes locks, so it is not for the actor. The epoch is 0 while the host is not up.
func (h *Host) Status() Status {
	s := Status{Site: h.cfg.Settings.Site, Superseded: h.retired.Load(), Members: []members.Member{}, Faults: h.Counters.Faults.Load()}
	if known := h.facts.Load(); known != nil {
		all := known.Stats()
		s.Epoch, s.Facts, s.FactBytes = known.Epoch(), all.Facts, all.Bytes
	}
	if group := h.group.Load(); group != nil {
		c := &group.Counters
		s.Members, s.BytesIn, s.BytesOut = group.Alive(), c.PacketBytesIn.Load()+c.StreamBytesIn.Load(), c.PacketBytesOut.Load()+c.StreamBytesOut.Load()
	}
	return s
}

// Group is the members' part, for their figures; nil while the host is not up.
func (h *Host) Group() *members.Group { return h.group.Load() }

// Count logs the counters.
func (h *Host) Count(log *slog.Logger) {
	c := &h.Counters
	log.Info("counters: fleet", "faults", c.Faults.Load(), "saves", c.Saves.Load(), "save_fails", c.SaveFails.Load(), "left_out", c.Left.Load(),
		"garbled", c.Garbled.Load(), "other_version", c.OtherVersion.Load(), "too_large", c.TooLarge.Load(), "repeats", c.Repeats.Load(),
		"silenced", c.Silenced.Load(), "epochs", c.Epochs.Load())
	if known := h.facts.Load(); known != nil {
		var s store.Stats = known.Stats()
		log.Info("counters: facts", "facts", s.Facts, "bytes", s.Bytes, "waiting", s.Queued, "learned", s.Learned, "taken", s.Received,
			"changed", s.Changed, "older", s.AgeCorrected, "known", s.Unchanged, "absurd", s.Invalid, "gone", s.EndpointRemoved, "origins", s.TooManyOrigins,
			"mail_dropped", s.JobsDropped, "queue_dropped", s.GossipDropped, "shed", s.Evicted, "swept", s.Swept, "passed", s.Sent)
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
