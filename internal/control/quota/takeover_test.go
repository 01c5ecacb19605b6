package quota

import (
	"math"
	"testing"
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// takeoverTables returns a table in which four holders own equal numbers of shares, and one in which the shares of "d" are
// reassigned to the other three.
func takeoverTables() (before, after shares.Table) {
	before = tableOf("a", "b", "c", "d")
	owners := make([]string, shares.Count)
	remaining := []string{"a", "b", "c"}
	for i := range owners {
		owners[i] = before.Shares[i].Owner
		if owners[i] == "d" {
			owners[i] = remaining[i/4%len(remaining)]
		}
	}
	after, _ = before.Assign(shares.Assignment{Sequence: before.Sequence + 1, Holders: remaining, Owners: owners})
	return before, after
}

// copyFrom returns the answer of a peer that stores a record of "d" with all its former shares. A sequence of 0 means no record.
func copyFrom(t *testing.T, before, after shares.Table, peer string, sequence, issued uint64) PeerMessageReceived {
	t.Helper()
	answer := &protocol.PeerCopy{Identity: peer, Owner: "d", Table: after.Sequence}
	if sequence > 0 {
		record := &Record{Sequence: sequence, Identity: "d", Tenants: []RecordedTenant{{Name: "t", Issued: []uint64{issued}}}}
		for i, share := range before.Shares {
			if share.Owner == "d" {
				record.Shares = append(record.Shares, RecordedShare{Index: i, Since: share.Since})
			}
		}
		encoded, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		answer.Record = encoded
	}
	return PeerMessageReceived{Message: answer}
}

// newSuccessor returns the holder "a" just after a third of the shares of "d" were reassigned to it.
func newSuccessor(t *testing.T) (d *holderDriver, before, after shares.Table) {
	t.Helper()
	before, after = takeoverTables()
	d = newDriver(t, "a", nil, true, before)
	d.in.Peers = []Peer{{Identity: "b", Address: "b", Zone: "z"}, {Identity: "c", Address: "c", Zone: "y"}}
	d.step(0)
	d.in.Table = after
	d.step(10 * time.Millisecond)
	return d, before, after
}

func (d *holderDriver) requireUsable(want float64) {
	d.t.Helper()
	if got := d.holder.View(d.now).Usable; math.Abs(got-want) > 1e-9 {
		d.t.Fatalf("%v of each limit is usable, want %v", got, want)
	}
}

func TestSuccessorWaitsForTheAnswersOfAllPeers(t *testing.T) {
	d, before, after := newSuccessor(t)
	d.requireUsable(15.0 / 60)
	d.step(10*time.Millisecond, copyFrom(t, before, after, "b", 5, 300))
	d.requireUsable(15.0 / 60) // "c" may have a newer one
	d.step(10*time.Millisecond, copyFrom(t, before, after, "c", 6, 900))
	d.requireUsable(20.0 / 60)
	if got := d.holder.View(d.now).Tenants[0].Issued; got != 300 {
		t.Errorf("counted %v as issued, want 300, a third of the newest copy", got)
	}
}

func TestSuccessorCountsTheNewestCopyInAnyOrder(t *testing.T) {
	d, before, after := newSuccessor(t)
	d.step(10*time.Millisecond, copyFrom(t, before, after, "c", 6, 900))
	d.step(10*time.Millisecond, copyFrom(t, before, after, "b", 5, 300))
	d.requireUsable(20.0 / 60)
	if got := d.holder.View(d.now).Tenants[0].Issued; got != 300 {
		t.Errorf("counted %v as issued, want 300, a third of the newest copy", got)
	}
}

func TestSharesWithoutACopyAreUnusableUntilIssuedCreditExpires(t *testing.T) {
	d, before, after := newSuccessor(t)
	d.step(10*time.Millisecond, copyFrom(t, before, after, "b", 0, 0), copyFrom(t, before, after, "c", 0, 0))
	d.requireUsable(15.0 / 60)
	d.step(d.holder.config.HolderLease + leaseMargin + d.holder.config.issuanceInterval() + time.Second)
	d.requireUsable(20.0 / 60) // what "d" issued has left all windows
}

func TestNothingIsIssuedBeforeAPeerAcknowledgesTheRecord(t *testing.T) {
	d := newDriver(t, "a", nil, true, tableOf("a", "b"))
	if out := d.step(0, routerRequest(1, 100)); len(out.RouterGrants) != 0 {
		t.Fatalf("answered %+v while only the own disk has the record", out.RouterGrants[0].Grant)
	}
	ack := PeerMessageReceived{Message: &protocol.PeerRecordAck{Sequence: d.record.Sequence}}
	if got := d.granted(d.step(time.Millisecond, ack)); got != 100 {
		t.Errorf("granted %v, want 100", got)
	}
}

// A record that lists a share which its holder has lost is not acknowledged, because the new owner may already have requested
// the copies.
func TestRecordOfLostSharesIsNotAcknowledged(t *testing.T) {
	before, after := takeoverTables()
	for _, test := range []struct {
		name  string
		table shares.Table
		want  int
	}{
		{"before the change", before, 1},
		{"after the change", after, 0},
	} {
		d := newDriver(t, "a", nil, true, test.table)
		answer := copyFrom(t, before, after, "d", 1, 100).Message.(*protocol.PeerCopy)
		d.in.ConfirmedAt = d.now
		d.in.Events = []Event{PeerMessageReceived{Message: &protocol.PeerRecord{Identity: "d", Sequence: 1, Record: answer.Record}}}
		if got := len(d.holder.Step(d.now, d.in).Copies); got != test.want {
			t.Errorf("%s: stored %d copies, want %d", test.name, got, test.want)
		}
	}
}
