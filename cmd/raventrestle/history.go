package main

import (
	"time"

	"raventrestle/internal/history"
	"raventrestle/internal/settings"
)

// epochTimeout limits how long the startup waits for the fleet's epoch, which needs the reading of one file.
const epochTimeout = time.Second

// startHistory makes the courier write its history, if the settings name a file, until the returned function is called.
// The epoch of the process is the one in the fleet, or else the Unix time of the start in milliseconds. If the file can't
// be written, the courier runs without a history.
func (d *daemon) startHistory(set *settings.Settings, inherited bool) (stop func()) {
	stop = func() {}
	if set.History == nil {
		return stop
	}
	if inherited {
		d.log.Warn("history: not written because the clients' socket is inherited: two processes would write one file")
		return stop
	}
	w, err := history.Create(set.History.File, d.conf.Name, d.fleet.epoch(time.Now()), set.History.MaxBytes)
	if err != nil {
		d.log.Error("history: not written", "file", set.History.File, "err", err)
		return stop
	}
	d.courier.Record(w)
	return func() {
		if err := w.Close(); err != nil || w.Dropped() > 0 {
			d.log.Warn("history: incomplete", "file", set.History.File, "dropped", w.Dropped(), "err", err)
		}
	}
}

// epoch returns the epoch of this process in the fleet or, without a fleet, the Unix time of the start in milliseconds.
func (f *fleetMember) epoch(start time.Time) uint64 {
	if f != nil {
		select {
		case epoch := <-f.epochs:
			return epoch
		case <-f.done:
		case <-time.After(epochTimeout):
		}
	}
	return uint64(start.UnixMilli())
}
