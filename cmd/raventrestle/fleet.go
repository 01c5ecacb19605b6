package main

import (
	"context"
	"math/rand/v2"
	"time"

	"raventrestle/internal/fleet"
	"raventrestle/internal/settings"
)

// fleetMember is this process as a member of the fleet of couriers that share what they learn. It is nil if the settings
// have no fleet or if joining failed, in which case the courier runs without it.
type fleetMember struct {
	*fleet.Host
	stop   context.CancelFunc
	done   chan struct{}
	epochs chan uint64 // gets the epoch of this process once it is chosen
}

// joinFleet makes the courier a member of its fleet. Its snapshot in the directory uses at most snapshotBytes.
func (d *daemon) joinFleet(ctx context.Context, set *settings.Settings, dir string, snapshotBytes int64) *fleetMember {
	if set.Fleet == nil {
		return nil
	}
	start, epochs := time.Now(), make(chan uint64, 1)
	host, err := fleet.New(fleet.Config{
		Settings: *set.Fleet, Name: d.conf.Name, StateDir: dir, SnapshotSpace: snapshotBytes, FactTTL: d.conf.Settings.WarmupDuration,
		Clock: func() time.Duration { return time.Since(start) }, WallClock: time.Now,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: d.log,
		EpochChosen: func(epoch uint64) { epochs <- epoch },
	})
	if err != nil {
		d.log.Error("fleet_not_up", "name", d.conf.Name, "error", err.Error())
		return nil
	}
	d.courier.UseFleet(host)
	ctx, leave := context.WithCancel(ctx)
	f := &fleetMember{host, leave, make(chan struct{}), epochs}
	go func() {
		defer close(f.done)
		host.Run(ctx)
	}()
	return f
}

// leave starts saving the shared facts and announcing to the other couriers that this one leaves. It does not wait.
func (f *fleetMember) leave() {
	if f != nil {
		f.stop()
	}
}

// awaitLeft waits until the member has left, at most until the deadline.
func (f *fleetMember) awaitLeft(deadline time.Time) {
	if f == nil {
		return
	}
	select {
	case <-f.done:
	case <-time.After(time.Until(deadline)):
	}
}

func (f *fleetMember) status() *fleet.Status {
	if f == nil {
		return nil
	}
	s := f.Status()
	return &s
}
