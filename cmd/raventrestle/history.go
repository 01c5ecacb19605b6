package main

import (
	"time"

	"raventrestle/internal/history"
	"raventrestle/internal/settings"
)

// drawnWithin is how long a start waits for the fleet's epoch, which takes the reading of one file.
const drawnWithin = time.Second

// record makes the courier write what it does, where the settings name a file, until the returned function is called.
// The life's epoch is the fleet's, or else the Unix time of the start in milliseconds. A file that can't be written stops
// no courier.
func (d *daemon) record(set *settings.Settings, inherited bool) (end func()) {
	end = func() {}
	if set.History == nil {
		return end
	}
	if inherited {
		d.log.Warn("history: none is written where the clients' socket is inherited: two processes would write one file")
		return end
	}
	w, err := history.Create(set.History.File, d.conf.Name, d.fleet.epoch(time.Now()), set.History.MaxBytes)
	if err != nil {
		d.log.Error("history: none is written", "file", set.History.File, "err", err)
		return end
	}
	d.courier.Record(w)
	return func() {
		if err := w.Close(); err != nil || w.Dropped() > 0 {
			d.log.Warn("history: not all is written", "file", set.History.File, "dropped", w.Dropped(), "err", err)
		}
	}
}

// epoch is that of this life in the fleet; of a life without, the time of its start.
func (f *fellows) epoch(start time.Time) uint64 {
	if f != nil {
		select {
		case epoch := <-f.drawn:
			return epoch
		case <-f.done:
		case <-time.After(drawnWithin):
		}
	}
	return uint64(start.UnixMilli())
}
