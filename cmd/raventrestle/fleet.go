package main

import (
	"context"
	"math/rand/v2"
	"time"

	"raventrestle/internal/fleet"
	"raventrestle/internal/settings"
)

// fellows is this process's part in the couriers that share what they learn; nil where the settings name none, or where
// they are wrong, which stops no courier.
type fellows struct {
	*fleet.Host
	leave context.CancelFunc
	done  chan struct{}
	drawn chan uint64 // this life's epoch
}

// meet makes the courier part of its fleet. Of the folder's bytes it takes no more than the room.
func (d *daemon) meet(ctx context.Context, set *settings.Settings, folder string, room int64) *fellows {
	if set.Fleet == nil {
		return nil
	}
	began, drawn := time.Now(), make(chan uint64, 1)
	host, err := fleet.New(fleet.Config{
		Settings: *set.Fleet, Name: d.conf.Name, StateDir: folder, SnapshotSpace: room, FactTTL: d.conf.Settings.WarmupDuration,
		Clock: func() time.Duration { return time.Since(began) }, WallClock: time.Now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: d.log,
		EpochChosen: func(epoch uint64) { drawn <- epoch },
	})
	if err != nil {
		d.log.Error("fleet_not_up", "name", d.conf.Name, "error", err.Error())
		return nil
	}
	d.courier.UseFleet(host)
	ctx, leave := context.WithCancel(ctx)
	f := &fellows{host, leave, make(chan struct{}), drawn}
	go func() {
		defer close(f.done)
		host.Run(ctx)
	}()
	return f
}

// part saves what is known and tells the others that this courier goes, while its last messages end.
func (f *fellows) part() {
	if f != nil {
		f.leave()
	}
}

// parted waits until then for it.
func (f *fellows) parted(until time.Time) {
	if f == nil {
		return
	}
	select {
	case <-f.done:
	case <-time.After(time.Until(until)):
	}
}

func (f *fellows) status() *fleet.Status {
	if f == nil {
		return nil
	}
	s := f.Status()
	return &s
}
