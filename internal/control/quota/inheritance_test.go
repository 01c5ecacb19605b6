package quota

import (
	"testing"
	"time"

	"raventrestle/internal/control/shares"
	"raventrestle/internal/protocol"
)

// successorDriver drives the holder "a" just after a third of the shares of "d" were reassigned to it.
type successorDriver struct {
	*holderDriver
	before, after shares.Table
}

func newSuccessorDriver(t *testing.T) *successorDriver {
	t.Helper()
	d, before, after := newSuccessor(t)
	return &successorDriver{d, before, after}
}

// headroomFrom returns the answer of a peer that stores a record of "d" with headroom that "d" may still issue.
func (d *successorDriver) headroomFrom(peer string, headroom uint64) PeerMessageReceived {
	d.t.Helper()
	answer := copyFrom(d.t, d.before, d.after, peer, 6, 300)
	message := answer.Message.(*protocol.PeerCopy)
	record, err := DecodeRecord(message.Record)
	if err != nil {
		d.t.Fatal(err)
	}
	record.Tenants[0].Headroom = headroom
	if message.Record, err = record.Encode(); err != nil {
		d.t.Fatal(err)
	}
	return answer
}

// issued returns what the successor counts as issued now.
func (d *successorDriver) issued() float64 { return d.holder.View(d.now).Tenants[0].Issued }

// Guards against the overspending that seed 62078338416283195 of TestNoWindowExceedsItsAllowance showed: an owner that is cut
// off goes on issuing the headroom of its newest record, and its successor counted it as issued at the takeover.
func TestInheritedHeadroomIsCountedUntilItExpires(t *testing.T) {
	const inherited = 200 // a third of 600
	d := newSuccessorDriver(t)
	d.step(10*time.Millisecond, copyFrom(t, d.before, d.after, "b", 5, 300), d.headroomFrom("c", 600))
	takenOverAt := d.now
	interval := d.holder.config.issuanceInterval()
	const stepLength = 250 * time.Millisecond
	for d.now.Add(stepLength).Before(takenOverAt.Add(recordValidity + interval)) {
		d.step(stepLength)
		age := d.now.Sub(takenOverAt)
		if got := d.issued(); got < inherited {
			t.Fatalf("%v after the takeover %v is counted, want %v: it may have been issued until %v", age, got, inherited, recordValidity)
		}
		if age > interval+2*cellLength && d.issued() != inherited {
			t.Errorf("%v after the takeover %v is counted, want the headroom alone", age, d.issued())
		}
	}
	d.step(stepLength + 2*cellLength)
	if got := d.issued(); got != 0 {
		t.Errorf("%v is counted after the headroom has left all windows, want 0", got)
	}
}

// What the former owner can't issue any more, as its record is too old, counts as issued at the takeover; the oldest arrival of
// the newest record tells its age.
func TestInheritedHeadroomExpiresWithItsRecord(t *testing.T) {
	for age, want := range map[time.Duration]float64{0: 200, recordValidity / 2: 200, recordValidity: 0, time.Minute: 0} {
		d := newSuccessorDriver(t)
		old, recent := d.headroomFrom("b", 600), d.headroomFrom("c", 600)
		old.Message.(*protocol.PeerCopy).Age = age
		d.step(10*time.Millisecond, old, recent)
		expires := d.now.Add(max(0, recordValidity-age) + d.holder.config.issuanceInterval())
		for d.now.Add(cellLength).Before(expires) {
			d.step(cellLength)
		}
		if got := d.issued(); got < want {
			t.Errorf("record of age %v: %v is counted at the end of its interval, want %v", age, got, want)
		}
		d.step(4 * cellLength)
		if got := d.issued(); got != 0 {
			t.Errorf("record of age %v: %v is counted after its interval, want 0", age, got)
		}
	}
}

// What the newest copy lists as issued is counted from when the record was made, at the latest when its oldest copy arrived.
func TestIssuedCreditIsCountedFromItsRecord(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 4 * time.Second, time.Minute} {
		d := newSuccessorDriver(t)
		old, recent := copyFrom(t, d.before, d.after, "b", 6, 300), copyFrom(t, d.before, d.after, "c", 6, 300)
		old.Message.(*protocol.PeerCopy).Age = age
		d.step(10*time.Millisecond, old, recent)
		interval := d.holder.config.issuanceInterval()
		expires := d.now.Add(interval - age)
		for d.now.Add(cellLength).Before(expires) {
			d.step(cellLength)
		}
		if got := d.issued(); age < interval && got != 100 {
			t.Errorf("record of age %v: %v is counted before it has left the interval, want 100", age, got)
		}
		d.step(3 * cellLength)
		if got := d.issued(); got != 0 {
			t.Errorf("record of age %v: %v is counted after its interval, want 0", age, got)
		}
	}
}

// A successor that is started again within that time, and the successor of a successor, count it as long.
func TestInheritedHeadroomIsCountedByLaterSuccessors(t *testing.T) {
	d := newSuccessorDriver(t)
	d.step(10*time.Millisecond, copyFrom(t, d.before, d.after, "b", 5, 300), d.headroomFrom("c", 600))
	d.step(10*time.Millisecond, routerRequest(1, 10)) // makes a record
	record := d.record
	if record == nil || len(record.Inherited) != 1 || record.Inherited[0].Amount != 200 {
		t.Fatalf("got record %+v, want it to tell the inherited headroom of 200", record)
	}
	interval := d.holder.config.issuanceInterval()

	started := newDriver(t, "a", record, false, d.after)
	started.step(0)
	started.step(recordValidity - cellLength)
	started.step(interval)
	if got := started.holder.View(started.now).Tenants[0].Issued; got != 200 {
		t.Errorf("the started successor counts %v, want 200", got)
	}

	next := newDriver(t, "b", nil, true, d.after)
	next.step(0)
	next.holder.countIssuedCredit(next.now, record, next.now, 0.5)
	next.step(recordValidity - cellLength)
	next.step(interval)
	want := 0.5 * float64(200+record.Tenants[0].Headroom)
	if got := next.holder.View(next.now).Tenants[0].Issued; got != want {
		t.Errorf("the successor's successor counts %v, want %v, half of both headrooms", got, want)
	}
}

// A holder that no peer acknowledges issues its headroom for recordValidity only; with a peer it goes on.
func TestHeadroomExpires(t *testing.T) {
	for name, c := range map[string]struct {
		after        time.Duration
		acknowledged bool
		want         float64
	}{
		"in time":               {recordValidity - 10*time.Millisecond, false, 1},
		"too late":              {recordValidity, false, 0},
		"too late, with a peer": {recordValidity, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, "a", nil, true, tableOf("a", "b"))
			acknowledge := func() PeerMessageReceived {
				return PeerMessageReceived{Message: &protocol.PeerRecordAck{Sequence: d.record.Sequence}}
			}
			d.step(0, routerRequest(1, 100))
			if got := d.granted(d.step(time.Millisecond, acknowledge())); got != 100 {
				t.Fatalf("granted %v, want 100", got)
			}
			d.step(c.after-time.Millisecond, routerRequest(2, 1))
			if c.acknowledged {
				d.step(0, acknowledge())
			}
			if got := d.holder.tenants["t"].granted - 100; got != c.want {
				t.Errorf("%v after the record %v more is granted, want %v", c.after, got, c.want)
			}
		})
	}
}
