package controller

import (
	"slices"
	"testing"
	"time"

	"raventrestle/internal/control/departures"
	"raventrestle/internal/control/distribution"
	"raventrestle/internal/control/registry"
	"raventrestle/internal/protocol"
)

// TestDeparturesAreGivenBeforeTheContact: a router that is told of a contact with a majority must have been told of each
// end that was acknowledged before it.
func TestDeparturesAreGivenBeforeTheContact(t *testing.T) {
	c := newTestController(start)
	busy := &busyReplica{now: start.Add(time.Second)}
	late := HeartbeatReceived{Endpoint: protocol.Endpoint{ID: "left", Address: "a:1", Sequence: 4}}
	c.Step(start.Add(time.Second/2), Input{Events: []Event{late}})
	c.Step(busy.now, Input{Replicated: ReadReplicatedState(busy, busy), TimeOfDay: busy.now})
	contact := slices.IndexFunc(c.hubInputs, func(in distribution.Input) bool {
		_, isContact := in.(distribution.QuorumContact)
		return isContact
	})
	end := slices.IndexFunc(c.hubInputs, func(in distribution.Input) bool {
		endpoints, isEndpoints := in.(distribution.Endpoints)
		return isEndpoints && endpoints.Urgent && len(endpoints.Changed) == 1 && endpoints.Changed[0].State == protocol.Departed
	})
	if end < 0 || contact < 0 || end > contact {
		t.Errorf("the hub gets the end as number %d, the contact as number %d of %+v; want the end first", end, contact, c.hubInputs)
	}
}

// instantRegistry accepts each call in the step that brings it.
type instantRegistry struct {
	EndpointRegistry
	rejects bool
}

func (r instantRegistry) Step(_ time.Time, inputs ...registry.Input) registry.Output {
	var out registry.Output
	for _, input := range inputs {
		switch input := input.(type) {
		case registry.Heartbeat:
			out.Replies = append(out.Replies, registry.Reply{RequestID: input.RequestID, InForce: true, Rejected: r.rejects})
		case registry.Deregister:
			out.Replies = append(out.Replies, registry.Reply{RequestID: input.RequestID, InForce: true, Rejected: r.rejects})
		}
	}
	return out
}

// TestAnEndIsAcceptedOnceItIsRecorded: not before, never without, and at once where it was recorded before or is no end.
func TestAnEndIsAcceptedOnceItIsRecorded(t *testing.T) {
	drain := HeartbeatReceived{Caller: "caller", Endpoint: protocol.Endpoint{ID: "e", State: protocol.Draining, Sequence: 4}}
	ready := HeartbeatReceived{Caller: "caller", Endpoint: protocol.Endpoint{ID: "e", Sequence: 4}}
	leave := DeregistrationReceived{Caller: "caller", ID: "e"}
	recorded := departures.Table{}.Record(departures.Departure{ID: "e", Deregistered: true})
	for name, c := range map[string]struct {
		event         Event
		rejects       bool
		table         departures.Table
		succeeds      bool
		wantProposals int
		wantEarly     bool // the call is answered before its proposal has ended
		wantAccepted  bool
	}{
		"draining, recorded":              {event: drain, succeeds: true, wantProposals: 1, wantAccepted: true},
		"draining, not recorded":          {event: drain, wantProposals: 1},
		"deregistration, recorded":        {event: leave, succeeds: true, wantProposals: 1, wantAccepted: true},
		"deregistration, not recorded":    {event: leave, wantProposals: 1},
		"ready":                           {event: ready, wantEarly: true, wantAccepted: true},
		"deregistration, recorded before": {event: leave, table: recorded, wantEarly: true, wantAccepted: true},
		"draining, deregistered before":   {event: drain, table: recorded, wantEarly: true, wantAccepted: true},
		"rejected by the registry":        {event: leave, rejects: true, succeeds: true, wantProposals: 1, wantEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			tested := newTestController(start)
			tested.registry = instantRegistry{EndpointRegistry: tested.registry, rejects: c.rejects}
			replicated := ReplicatedState{Departures: c.table}
			out := tested.Step(start, Input{Replicated: replicated, Events: []Event{c.event}, TimeOfDay: start})
			if len(out.Proposals) != c.wantProposals || (len(out.Answers) > 0) != c.wantEarly {
				t.Fatalf("got proposals %+v, answers %+v; want %d, answered: %t", out.Proposals, out.Answers, c.wantProposals, c.wantEarly)
			}
			answers := out.Answers
			for _, proposal := range out.Proposals {
				finished := DepartureRecorded{RequestID: proposal.RequestID, Succeeded: c.succeeds}
				out = tested.Step(start, Input{Replicated: replicated, Events: []Event{finished, finished}})
				answers = append(answers, out.Answers...)
			}
			if len(answers) != 1 || answers[0].Result.Rejected == c.wantAccepted {
				t.Errorf("got %+v, want one answer, accepted: %t", answers, c.wantAccepted)
			}
			if unrecorded := !c.succeeds && c.wantProposals > 0; answers[0].Unrecorded != unrecorded {
				t.Errorf("unrecorded: got %t, want %t", answers[0].Unrecorded, unrecorded)
			}
		})
	}
}

// A record that is there before the registry's reply doesn't answer the call by itself.
func TestARecordAloneIsNoAnswer(t *testing.T) {
	c := newTestController(start)
	c.registry = silentRegistry{c.registry}
	out := c.Step(start, Input{Events: []Event{DeregistrationReceived{Caller: "caller", ID: "e"}}})
	out = c.Step(start, Input{Events: []Event{DepartureRecorded{RequestID: out.Proposals[0].RequestID, Succeeded: true}}})
	if len(out.Answers) != 0 {
		t.Errorf("got %+v, want no answer before the registry's", out.Answers)
	}
}

// silentRegistry never replies.
type silentRegistry struct{ EndpointRegistry }

func (silentRegistry) Step(time.Time, ...registry.Input) registry.Output { return registry.Output{} }
