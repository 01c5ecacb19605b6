package state

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// The sequential model that histories are checked against: one configuration, on which every change and read takes effect
// at one moment between its call and its response. A change with an indeterminate outcome may take effect at any later
// moment or never, which makes the model nondeterministic.

// change is one change of an operator, which may be sent any number of times.
type change struct {
	id         string
	method     string
	base       int64
	generation int64
	invalid    bool
}

func (c *change) body() []byte {
	switch {
	case c.invalid:
		return fmt.Appendf(nil, `{"generation":%d,"routes":7,"upsert":7,"note":%q}`, c.generation, c.id)
	case c.method == Replace:
		return replaceBody(c.generation, c.id)
	}
	return addTenantPatch(c.generation, c.id)
}

// response is what an operator received for a change or a read.
type response struct {
	indeterminate bool
	result        Result // of a change
	generation    int64  // that was read
	document      string // that was read, summarized
}

// modelState is one possible state of the configuration. It is comparable, as porcupine needs.
type modelState struct {
	generation int64
	accepted   string // IDs in order, each after a space
	pending    string // IDs of changes with an indeterminate outcome that may still take effect
}

func (s modelState) accept(c *change) modelState {
	s.accepted += " " + c.id
	s.generation = c.generation
	s.pending = strings.ReplaceAll(s.pending+" ", " "+c.id+" ", " ")
	s.pending = strings.TrimRight(s.pending, " ")
	return s
}

func contains(ids, id string) bool { return slices.Contains(strings.Fields(ids), id) }

type changesByID map[string]*change

// closure returns the states that the pending changes may have led to.
func (b changesByID) closure(s modelState) []modelState {
	states := []modelState{s}
	for at := 0; at < len(states); at++ {
		for _, id := range strings.Fields(states[at].pending) {
			if c := b[id]; c.base == states[at].generation && c.generation > c.base {
				states = append(states, states[at].accept(c))
			}
		}
	}
	return states
}

// document summarizes the configuration: the ID of the newest replacement and those of the patches since.
func (b changesByID) document(s modelState) string {
	replacement, patches := "", []string(nil)
	for _, id := range strings.Fields(s.accepted) {
		if b[id].method == Replace {
			replacement, patches = id, nil
		} else {
			patches = append(patches, id)
		}
	}
	slices.Sort(patches)
	return replacement + ":" + strings.Join(patches, ",")
}

// summarize returns an actual document in the form of changesByID.document.
func summarize(document []byte) string {
	var content struct {
		Note    string
		Tenants []struct{ Name string }
	}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &content); err != nil {
			return err.Error()
		}
	}
	var names []string
	for _, tenant := range content.Tenants {
		names = append(names, tenant.Name)
	}
	slices.Sort(names)
	return content.Note + ":" + strings.Join(names, ",")
}

// step returns the states that are possible after a response. A nil change is a read.
func (b changesByID) step(s modelState, c *change, got response) []modelState {
	var next []modelState
	for _, now := range b.closure(s) {
		if after, allowed := b.transition(now, c, got); allowed {
			next = append(next, after)
		}
	}
	return next
}

// transition returns the state after a response, and whether the response is allowed in this state.
func (b changesByID) transition(s modelState, c *change, got response) (modelState, bool) {
	switch {
	case c == nil:
		return s, got.generation == s.generation && got.document == b.document(s)
	case got.indeterminate:
		if !c.invalid && !contains(s.accepted, c.id) && !contains(s.pending, c.id) {
			s.pending += " " + c.id
		}
		return s, true
	case contains(s.accepted, c.id):
		return s, got.result == Accepted{Generation: c.generation}
	case c.base != s.generation:
		return s, got.result == VersionMismatch{Current: s.generation}
	case c.invalid || c.generation <= s.generation:
		_, rejected := got.result.(Rejected)
		return s, rejected
	}
	return s.accept(c), got.result == Accepted{Generation: c.generation}
}

func (b changesByID) model() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{modelState{}} },
		Step: func(state, input, output any) []any {
			var next []any
			for _, s := range b.step(state.(modelState), input.(*change), output.(response)) {
				next = append(next, s)
			}
			return next
		},
	}
	return model.ToModel()
}
