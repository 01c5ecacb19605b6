package registry

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/protocol"
)

func recordedDraining(id string, sequence uint64) RecordedDeparture {
	return RecordedDeparture{Departure: departures.Departure{ID: id, Sequence: sequence}}
}

func recordedDeregistration(id string, age time.Duration) RecordedDeparture {
	return RecordedDeparture{Departure: departures.Departure{ID: id, Deregistered: true}, Age: age}
}

func (x *testRegistry) recorded(recorded ...RecordedDeparture) Output {
	x.t.Helper()
	return x.step(RecordedDepartures{Departures: recorded})
}

func (x *testRegistry) wantAbsent(what, id string) {
	x.t.Helper()
	shown := x.Endpoints(x.now)
	if slices.ContainsFunc(shown, func(e protocol.Endpoint) bool { return e.ID == id && e.State == protocol.Ready }) {
		x.t.Errorf("%s: routers are shown %s as ready in %+v", what, id, shown)
	}
}

// Guards against review/2: an instance that has forgotten an acknowledged end took the endpoint in again on a heartbeat
// from before it.
func TestRecordedEndsOutrankHeartbeatsFromBeforeThem(t *testing.T) {
	for name, recorded := range map[string]RecordedDeparture{
		"draining":                      recordedDraining("e", 7),
		"deregistered":                  recordedDeregistration("e", 0),
		"deregistered some minutes ago": recordedDeregistration("e", deregisteredTombstoneTTL-10*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			after := newTestRegistry(t) // the record comes first, then the heartbeats
			after.recorded(recorded)
			for _, sequence := range []uint64{1, 6, 7} {
				after.heartbeat(report("e", sequence, protocol.Ready))
				after.wantAbsent("after the record", "e")
			}
			after.step(PeerMessage{Content: &protocol.RegistryDelta{
				Origin: protocol.Origin{Address: "other", Incarnation: 2}, Sequence: 1,
				Records: []protocol.Record{{Endpoint: report("e", 6, protocol.Ready)}},
			}})
			after.wantAbsent("after another instance's record", "e")

			before := newTestRegistry(t) // a heartbeat comes before the record
			before.heartbeat(report("e", 6, protocol.Ready))
			out := before.recorded(recorded)
			before.wantAbsent("before the record", "e")
			if len(out.Changed) != 1 || out.Changed[0].State == protocol.Ready || !out.Urgent {
				t.Errorf("routers get %+v (urgent: %t), want e's end at once", out.Changed, out.Urgent)
			}
		})
	}
}

// What is recorded keeps nobody else out: a draining endpoint's next heartbeat, other endpoints, and one whose record is
// so old that its tombstone would have expired.
func TestRecordedEndsRefuseNothingElse(t *testing.T) {
	x := newTestRegistry(t)
	x.recorded(recordedDraining("e", 7), recordedDeregistration("old", deregisteredTombstoneTTL+time.Second))
	x.heartbeat(report("e", 8, protocol.Draining))
	x.wantState("e", protocol.Draining)
	for _, id := range []string{"old", "other"} {
		if out := x.heartbeat(report(id, 1, protocol.Ready)); !acknowledged(out) {
			t.Errorf("%s: got %+v, want an acknowledgement", id, out)
		}
		x.wantState(id, protocol.Ready)
	}
	x.heartbeat(report("e", 9, protocol.Ready)) // it goes on after all
	x.wantState("e", protocol.Ready)
	if out := x.recorded(recordedDraining("e", 7)); len(out.Changed) != 0 {
		t.Errorf("an older record again: routers get %+v, want nothing", out.Changed)
	}
	x.wantState("e", protocol.Ready)
}

// A draining heartbeat that is sent again to an instance that knows it by its record alone waits for the routers.
func TestRepeatedDrainWaitsForRoutersAfterItsRecord(t *testing.T) {
	x := newTestRegistry(t)
	x.routersConfirmAll()
	x.recorded(recordedDraining("e", 7))
	if out := x.heartbeat(report("e", 7, protocol.Draining)); len(out.Replies) != 0 {
		t.Errorf("before routers have it: got %+v, want no reply", out.Replies)
	}
	if out := x.routersConfirmAll(); len(out.Replies) != 1 || !out.Replies[0].InForce {
		t.Errorf("once routers have it: got %+v, want one in force", out.Replies)
	}
}

// Tombstones of recorded ends go after the same time as others.
func TestTombstonesOfRecordedEndsExpire(t *testing.T) {
	x := newTestRegistry(t)
	const age = 4 * time.Minute
	x.recorded(recordedDeregistration("e", age), recordedDraining("f", 3))
	x.advance(deregisteredTombstoneTTL - age - 5*time.Second)
	if x.table.byID["e"] == nil || x.table.byID["f"] != nil {
		t.Errorf("got e %v, f %v; want e alone", x.table.byID["e"], x.table.byID["f"])
	}
	x.advance(10 * time.Second)
	if len(x.table.byID) != 0 {
		t.Errorf("got %d entries, want none", len(x.table.byID))
	}
}
