package registry

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/protocol"
)

const heartbeatInterval = 1200 * time.Millisecond

var epochStart = time.Unix(1000, 0)

// testRegistry is a registry with a clock of its own.
type testRegistry struct {
	t *testing.T
	*Registry
	now         time.Time
	requestID   uint64
	out         Output
	lastContact time.Time // newest contact with a majority; zero: now
}

func testConfig() Config {
	return Config{Origin: protocol.Origin{Address: "self", Incarnation: 1}, Heartbeat: heartbeatInterval}
}

// newTestRegistry returns a registry that has run for long enough to judge, without peers or routers.
func newTestRegistry(t *testing.T) *testRegistry {
	t.Helper()
	x := newStartingRegistry(t, epochStart)
	x.advance(5 * time.Second)
	return x
}

// newStartingRegistry returns a registry that started at epochStart.
func newStartingRegistry(t *testing.T, now time.Time) *testRegistry {
	t.Helper()
	return &testRegistry{t: t, Registry: New(testConfig(), epochStart), now: now}
}

// advance lets time pass, with a step whenever one is due.
func (x *testRegistry) advance(duration time.Duration) {
	x.t.Helper()
	for end := x.now.Add(duration); x.now.Before(end); {
		next := x.wakeAt()
		if !next.After(x.now) || next.After(end) {
			next = end
		}
		x.now = next
		x.step()
	}
}

func (x *testRegistry) step(inputs ...Input) Output {
	x.t.Helper()
	x.out = x.Step(x.now, append([]Input{QuorumContact{ConfirmedAt: x.contactAt()}}, inputs...)...)
	return x.out
}

func (x *testRegistry) contactAt() time.Time {
	if x.lastContact.IsZero() {
		return x.now
	}
	return x.lastContact
}

// loseContactFor lets time pass without contact with a majority; the endpoints named go on sending heartbeats here.
func (x *testRegistry) loseContactFor(duration time.Duration, alive ...string) {
	x.t.Helper()
	x.lastContact = x.now
	for end := x.now.Add(duration); x.now.Before(end); {
		x.advance(time.Second)
		for _, id := range alive {
			x.heartbeat(report(id, x.requestID, protocol.Ready))
		}
	}
}

func (x *testRegistry) regainContact() {
	x.t.Helper()
	x.lastContact = time.Time{}
	x.step()
}

func report(id string, sequence uint64, state protocol.EndpointState) protocol.Endpoint {
	return protocol.Endpoint{ID: id, Service: "s", Address: id + ":1", State: state, Sequence: sequence}
}

func (x *testRegistry) heartbeat(endpoint protocol.Endpoint) Output {
	x.t.Helper()
	x.requestID++
	return x.step(Heartbeat{RequestID: x.requestID, Endpoint: endpoint})
}

func (x *testRegistry) deregister(id string) Output {
	x.t.Helper()
	x.requestID++
	return x.step(Deregister{RequestID: x.requestID, ID: id})
}

// routersConfirmAll has every connected router confirm the newest revision; there are routers from then on.
func (x *testRegistry) routersConfirmAll() Output {
	x.t.Helper()
	return x.step(RoutersConfirmed{Revision: x.updates.revision})
}

// untilReplied lets time pass until a request is answered, and returns how long that took.
func (x *testRegistry) untilReplied(maxWait time.Duration) time.Duration {
	x.t.Helper()
	start := x.now
	for len(x.out.Replies) == 0 {
		if x.now.Sub(start) > maxWait {
			x.t.Fatalf("replies within %v: got none, want one", maxWait)
		}
		x.now = x.wakeAt()
		x.step()
	}
	return x.now.Sub(start)
}

// wantState checks an endpoint's state in the table; Departed also means that it is absent.
func (x *testRegistry) wantState(id string, want protocol.EndpointState) {
	x.t.Helper()
	for _, e := range x.Endpoints(x.now) {
		if e.ID == id {
			if e.State != want {
				x.t.Errorf("state of %s: got %d, want %d", id, e.State, want)
			}
			return
		}
	}
	if want != protocol.Departed {
		x.t.Errorf("state of %s: got none, want %d", id, want)
	}
}

// routersSee returns whether a router that subscribes now would be sent the endpoint as present.
func (x *testRegistry) routersSee(id string) bool {
	return slices.ContainsFunc(x.EndpointsAndTombstones(x.now), func(e protocol.Endpoint) bool {
		return e.ID == id && e.State != protocol.Departed
	})
}

// peerWouldLearn returns whether a peer whose table is empty would be sent the endpoint.
func (x *testRegistry) peerWouldLearn(id string) bool {
	x.t.Helper()
	out := x.step(PeerMessage{Content: &protocol.RegistrySummary{
		Origin: protocol.Origin{Address: "other", Incarnation: 1}, IsReply: true,
	}})
	for _, delta := range deltas(out) {
		if slices.ContainsFunc(delta.Records, func(r protocol.Record) bool { return r.Endpoint.ID == id }) {
			return true
		}
	}
	return false
}

// claimsCompleteTable returns whether a peer that asks is answered out of a complete table.
func (x *testRegistry) claimsCompleteTable() bool {
	x.t.Helper()
	out := x.step(PeerMessage{Content: &protocol.RegistrySummary{
		Origin: protocol.Origin{Address: "other", Incarnation: 1},
	}})
	return slices.ContainsFunc(deltas(out), func(delta *protocol.RegistryDelta) bool { return delta.FromCompleteTable })
}

// deltas returns the deltas among the messages of a step.
func deltas(out Output) []*protocol.RegistryDelta {
	var found []*protocol.RegistryDelta
	for _, send := range out.Send {
		if delta, isDelta := send.Message.(*protocol.RegistryDelta); isDelta {
			found = append(found, delta)
		}
	}
	return found
}

// acknowledged returns whether a step gave one reply, which says that the change is in force.
func acknowledged(out Output) bool { return len(out.Replies) == 1 && out.Replies[0].InForce }

// rejected returns whether a step gave one reply, which rejects the request.
func rejected(out Output) bool {
	return len(out.Replies) == 1 && out.Replies[0].Rejected && !out.Replies[0].InForce
}

// tickIsNext reports whether nothing but the tick is due at the next step.
func tickIsNext(out Output) bool {
	return out.DeadlineAt.IsZero() || out.WakeAt.Before(out.DeadlineAt)
}
