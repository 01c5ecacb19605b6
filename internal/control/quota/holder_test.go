package quota

import (
	"testing"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// tableOf returns the first table of the given holders, in which they own equal numbers of shares.
func tableOf(holders ...string) shares.Table {
	owners := make([]string, shares.Count)
	for i := range owners {
		owners[i] = holders[i%len(holders)]
	}
	table, _ := shares.Table{}.Assign(shares.Assignment{Sequence: 1, Holders: holders, Owners: owners})
	return table
}

var testStart = time.Unix(1000, 0)

// holderDriver steps one holder and writes its records at once, unless the test sets delayRecords.
type holderDriver struct {
	t            *testing.T
	holder       *Holder
	now          time.Time
	in           Input
	record       *Record // newest written record
	delayRecords bool
}

func newDriver(t *testing.T, identity string, previousRecord *Record, diskEmpty bool, table shares.Table) *holderDriver {
	t.Helper()
	d := &holderDriver{t: t, now: testStart}
	d.holder = New(Config{
		Identity: identity, Address: identity, Zone: "z", OvershootFraction: 0.1, OvershootSlack: 1000,
	}, d.now, PersistedState{Record: previousRecord, DiskEmpty: diskEmpty})
	d.in = Input{
		Configuration: &configuration.Configuration{Tenants: []configuration.Tenant{{Name: "t", RatePerSecond: 1000, Burst: 1000}}},
		Table:         table,
		Peers:         []Peer{{Identity: "a", Address: "a", Zone: "z"}, {Identity: "b", Address: "b", Zone: "z"}},
	}
	return d
}

// step steps the holder with the events, then with the results of writing its records until it returns none, and collects the
// output.
func (d *holderDriver) step(after time.Duration, events ...Event) (all Output) {
	d.t.Helper()
	d.now = d.now.Add(after)
	for {
		d.in.ConfirmedAt, d.in.Events = d.now, events
		out := d.holder.Step(d.now, d.in)
		all.RouterGrants = append(all.RouterGrants, out.RouterGrants...)
		all.PeerMessages = append(all.PeerMessages, out.PeerMessages...)
		all.WakeAt = out.WakeAt
		if out.Record == nil || d.delayRecords {
			all.Record = out.Record
			return all
		}
		d.record = out.Record
		events = []Event{RecordWritten{Sequence: out.Record.Sequence}}
	}
}

func routerRequest(id uint64, amount float64) RouterRequestReceived {
	return RouterRequestReceived{Connection: "router", Request: &protocol.CreditRequest{
		ID: id, Tenant: "t", Amount: amount, Waiting: amount, Minimum: amount,
	}}
}

// granted returns the amount of the only grant to a router.
func (d *holderDriver) granted(out Output) float64 {
	d.t.Helper()
	if len(out.RouterGrants) != 1 {
		d.t.Fatalf("%d answers, want 1: %+v", len(out.RouterGrants), out)
	}
	return out.RouterGrants[0].Grant.Amount
}

func TestHolderIssuesUpToTheLimitOfItsShares(t *testing.T) {
	d := newDriver(t, "a", nil, true, tableOf("a"))
	limit := d.holder.config.issuable(Limit{RatePerSecond: 1000, Burst: 1000})
	if got := d.granted(d.step(0, routerRequest(1, 4000))); got != 4000 {
		t.Fatalf("granted %v, want 4000", got)
	}
	if got := d.granted(d.step(10*time.Millisecond, routerRequest(2, limit-4000))); got != limit-4000 {
		t.Errorf("granted %v, want %v, the remainder of the limit", got, limit-4000)
	}
}

// The host ends after it has written the record that shutting down makes, so a later record would not be written.
func TestNoRecordIsMadeAfterShutdown(t *testing.T) {
	d := newDriver(t, "a", nil, true, tableOf("a"))
	d.granted(d.step(0, routerRequest(1, 4000)))
	last := d.holder.recorder.sequence + 1
	d.step(time.Millisecond, ShutdownBegan{})
	for id := range uint64(8) { // while the issued credit is still in the interval
		d.step(100*time.Millisecond, routerRequest(id+2, 100))
	}
	if got := d.holder.recorder.sequence; got != last {
		t.Errorf("made record %d, want %d to be the last", got, last)
	}
}
