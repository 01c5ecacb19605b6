package dispatch

import (
	"testing"

	"raventrestle/internal/protocol"
)

// endpointUpdate returns an update of the test's endpoint, which has the model.
func endpointUpdate(sequence uint64, state protocol.EndpointState) ViewChanged {
	e := modelEndpoint("a", sequence, "m")
	e.State = state
	return ViewChanged{Endpoints: []protocol.Endpoint{e}}
}

// The record of a departed endpoint remains while it has calls in flight; afterwards only its tombstone remains. In
// neither case may a late update make it receive requests again.
func TestLateUpdateBringsNoRequestsToADepartedEndpoint(t *testing.T) {
	withoutEndpoints := ViewChanged{Full: true}
	cases := []struct {
		name    string
		changes []ViewChanged // the endpoint was ready at sequence 1; the last of these is the late update
	}{
		{"drained and missing in a complete table", []ViewChanged{
			endpointUpdate(2, protocol.Draining), withoutEndpoints, endpointUpdate(2, protocol.Ready),
		}},
		{"departure announced at the sequence of the late update", []ViewChanged{
			endpointUpdate(2, protocol.Departed), endpointUpdate(2, protocol.Ready),
		}},
		{"missing in two complete tables after it drained", []ViewChanged{
			endpointUpdate(2, protocol.Draining), withoutEndpoints, withoutEndpoints, endpointUpdate(2, protocol.Ready),
		}},
		{"departure announced, then missing in a complete table", []ViewChanged{
			endpointUpdate(2, protocol.Departed), withoutEndpoints, endpointUpdate(2, protocol.Ready),
		}},
		{"drained, and announced again as newer after its departure", []ViewChanged{
			endpointUpdate(2, protocol.Draining), endpointUpdate(3, protocol.Departed), endpointUpdate(4, protocol.Ready),
		}},
	}
	for _, calls := range []struct {
		name     string
		inFlight bool
	}{{"without a call in flight", false}, {"with a call in flight", true}} {
		t.Run(calls.name, func(t *testing.T) {
			for _, c := range cases {
				t.Run(c.name, func(t *testing.T) {
					s := newScript(t, modelEndpoint("a", 1, "m"))
					first := s.oneSend(s.step(1, RequestArrived{s.request("m")}))
					if first.Endpoint != "a" {
						t.Fatalf("sent the first request to %q, want a", first.Endpoint)
					}
					if !calls.inFlight {
						s.step(2, AttemptFinished{ID: first.ID, Endpoint: "a"})
					}
					last := len(c.changes) - 1
					for i, change := range c.changes[:last] {
						s.step(3+i, change)
					}
					if out := s.step(10, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
						t.Fatalf("sent %v before the late update, want none", sends(out))
					}
					s.step(11, RequestCanceled{ID: s.id})
					s.step(12, c.changes[last])
					if out := s.step(13, RequestArrived{s.request("m")}); len(sends(out)) > 0 {
						t.Errorf("sent %v after the late update, want none", sends(out))
					}
				})
			}
		})
	}
}
