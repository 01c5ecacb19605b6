package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"raventrestle/internal/emulator"
)

// Demo runs one courier in a small world until the context ends, and says what a newcomer can try:
// channel 1 is well, channel 2 loses every answer, channel 3 turns all away for half a minute.
func Demo(ctx context.Context, out io.Writer, o Options) (err error) {
	dir, err := os.MkdirTemp(o.Dir, "rl")
	if err != nil {
		return err
	}
	if !o.Keep {
		defer os.RemoveAll(dir)
	}
	s := emulator.Spec{
		Seed: 1, Couriers: 1, Program: o.Program, Dir: dir, Tenants: []string{"lakeside-grand"}, Classes: siteClasses(),
		CallSlots: 12, MaxMessages: 100, MemoryMB: 192, DiskMB: 16, Log: o.Log, Settings: fmt.Sprintf(undeliverableSettings, true),
	}
	for i := range 3 {
		s.Channels = append(s.Channels, emulator.ChannelSpec{
			Dest: int64(i + 1), Kind: "principal", Floors: []string{"ground-floor", "upper-floor"},
			Capacity: 4, Queue: 8, Window: 8 * time.Second, RecoveryTime: 5 * time.Second, StartShare: 0.3,
		})
	}
	w, err := emulator.New(s)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.Close()) }()
	c := w.Couriers[0]
	if err := c.Start(ctx); err != nil {
		return err
	}
	now := time.Now()
	w.Channels[1].SetMode(emulator.ModeResetAfterCall, now)
	w.Channels[2].SetMode(emulator.ModeUnavailable, now)
	w.Recorder.AllowExternalMessages(0)
	settings := filepath.Join(c.Dir, "settings.cue")
	fmt.Fprintf(out, `One courier runs at http://%s. In another shell:

  # a payment whose answer is lost: it may have run, and is never sent again
  curl -i -d 'room 12' -H 'X-Txn: pay1' -H 'X-Org: lakeside-grand' -H 'X-Remaining: 3' -H 'X-Consignee: dest=2' http://%s/deposit-charge
  # a rate change for a channel that is shut for half a minute: given up, and sent when it is back
  curl -i -d 'rate 90' -H 'X-Txn: rate1' -H 'X-Org: lakeside-grand' -H 'X-Remaining: 3' -H 'X-Consignee: dest=3' http://%s/rate-update
  export RAVENTRESTLE_SETTINGS=%s
  %s undeliverable list
  %s undeliverable show pay1
  %s undeliverable resend pay1

Its log is %s. Ctrl-C ends it.
`, c.Addr, c.Addr, c.Addr, settings, o.Program, o.Program, o.Program, filepath.Join(c.Dir, "log"))
	select {
	case <-ctx.Done():
		return c.Stop()
	case <-time.After(30 * time.Second):
	}
	w.Channels[2].SetMode(emulator.ModeHealthy, time.Now())
	fmt.Fprintln(out, "Channel 3 is back; a message for it, or `undeliverable resend`, lets its dead letters go.")
	<-ctx.Done()
	return c.Stop()
}
