package state

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/simnet"
)

// Histories of operators' orders on the simulated chain, with all its faults, are checked against the model below: one
// configuration, which every order and read sees at one moment between call and answer. An order without a clear answer
// may take effect at any later moment or never.

// order is one change, sent any number of times.
type order struct {
	id         string
	method     string
	base       int64
	generation int64
	invalid    bool
}

func (o *order) body() []byte {
	switch {
	case o.invalid:
		return fmt.Appendf(nil, `{"generation":%d,"routes":7,"upsert":7,"note":%q}`, o.generation, o.id)
	case o.method == Replace:
		return put(o.generation, o.id)
	}
	return addTenant(o.generation, o.id)
}

// answer is what an operator was told of an order or a read.
type answer struct {
	unclear    bool
	result     Result
	generation int64 // that was read
	document   string
}

// modelState is what the configuration may be. It is comparable.
type modelState struct {
	generation int64
	taken      string // identities in order, each behind a space
	pending    string // the same of orders without a clear answer, which may take effect yet
}

type orderBook map[string]*order

// closure returns the states that the pending orders may have led to.
func (b orderBook) closure(s modelState) []modelState {
	states := []modelState{s}
	for at := 0; at < len(states); at++ {
		for _, id := range strings.Fields(states[at].pending) {
			if o := b[id]; o.base == states[at].generation && o.generation > o.base {
				states = append(states, states[at].take(o))
			}
		}
	}
	return states
}

func (s modelState) take(o *order) modelState {
	s.taken += " " + o.id
	s.generation = o.generation
	s.pending = strings.ReplaceAll(s.pending+" ", " "+o.id+" ", " ")
	s.pending = strings.TrimRight(s.pending, " ")
	return s
}

func (s modelState) has(list, id string) bool { return slices.Contains(strings.Fields(list), id) }

// document summarises the configuration: the identity of the newest whole one and the amendments since.
func (b orderBook) document(s modelState) string {
	whole, amended := "", []string(nil)
	for _, id := range strings.Fields(s.taken) {
		if b[id].method == Replace {
			whole, amended = id, nil
		} else {
			amended = append(amended, id)
		}
	}
	slices.Sort(amended)
	return whole + ":" + strings.Join(amended, ",")
}

// step says which states an answer allows. A nil order is a read.
func (b orderBook) step(s modelState, o *order, told answer) []modelState {
	var next []modelState
	for _, now := range b.closure(s) {
		if after, allowed := b.answered(now, o, told); allowed {
			next = append(next, after)
		}
	}
	return next
}

func (b orderBook) answered(s modelState, o *order, told answer) (modelState, bool) {
	switch {
	case o == nil:
		return s, told.generation == s.generation && told.document == b.document(s)
	case told.unclear:
		if !o.invalid && !s.has(s.taken, o.id) && !s.has(s.pending, o.id) {
			s.pending += " " + o.id
		}
		return s, true
	case s.has(s.taken, o.id):
		return s, told.result == Accepted{Generation: o.generation}
	case o.base != s.generation:
		return s, told.result == VersionMismatch{Current: s.generation}
	case o.invalid || o.generation <= s.generation:
		_, refused := told.result.(Rejected)
		return s, refused
	}
	return s.take(o), told.result == Accepted{Generation: o.generation}
}

func (b orderBook) model() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{modelState{}} },
		Step: func(state, input, output any) []any {
			var next []any
			for _, s := range b.step(state.(modelState), input.(*order), output.(answer)) {
				next = append(next, s)
			}
			return next
		},
	}
	return model.ToModel()
}

// operators send orders and note what they were told.
type operators struct {
	site    *simnet.Site
	book    orderBook
	sent    []*order
	history []porcupine.Operation
	local   bool // a planted fault: a member refuses by what it has applied itself
}

const (
	operatorWaits = time.Second // for an answer, before the order is sent again
	operatorTries = 5
	operatorCount = 3
)

// work is the life of one operator, who believes in a version.
func (p *operators) work(operator int, believed int64) {
	if p.site.Now() >= p.site.Until {
		return
	}
	pause := time.Duration(20+p.site.Draw(300)) * time.Millisecond
	again := func(generation int64) { p.site.After(pause, func() { p.work(operator, generation) }) }
	switch draw := p.site.Draw(6); {
	case draw < 2:
		p.read(operator, func(generation int64) { again(max(generation, believed)) })
	case draw == 2 && len(p.sent) > 0: // an old order comes again
		p.send(operator, p.sent[p.site.Draw(len(p.sent))], operatorTries, func(Result) { again(believed) })
	default:
		o := p.draw(operator, believed)
		if p.site.Draw(3) == 0 { // the same order to another member at once
			p.send(operator, o, 1, func(Result) {})
		}
		p.send(operator, o, operatorTries, func(result Result) {
			switch result := result.(type) {
			case Accepted:
				believed = max(believed, result.Generation)
			case VersionMismatch:
				believed = max(believed, result.Current)
			}
			again(believed)
		})
	}
}

func (p *operators) draw(operator int, believed int64) *order {
	o := &order{
		id:         fmt.Sprintf("o%d.%d", operator, len(p.sent)),
		method:     []string{Replace, Patch}[p.site.Draw(2)],
		base:       believed,
		generation: believed + 1 + int64(p.site.Draw(3)),
		invalid:    p.site.Draw(8) == 0,
	}
	if believed == 0 {
		o.method = Replace
	}
	p.book[o.id] = o
	p.sent = append(p.sent, o)
	return o
}

// send sends an order, again without a clear answer.
func (p *operators) send(operator int, o *order, tries int, then func(Result)) {
	called, ended := p.site.Now(), false
	end := func(told answer) {
		if ended {
			return
		}
		ended = true
		returned := p.site.Now()
		if told.unclear {
			returned = called + 1 // it has entered the state as pending: nothing more is known of its moment
		}
		p.history = append(p.history, porcupine.Operation{
			ClientId: operator, Input: o, Output: told, Call: int64(called), Return: int64(returned),
		})
		if told.unclear && tries > 1 && p.site.Now() < p.site.Until {
			p.send(operator, o, tries-1, then)
			return
		}
		then(told.result)
	}
	p.site.After(operatorWaits, func() { end(answer{unclear: true}) })
	if p.refusedLocally(o, end) {
		return
	}
	command, err := NewCommand(o.method, o.base, o.body())
	if err != nil {
		panic(err) // the bodies are small and plain
	}
	p.site.Propose(command, func(encoded []byte, err error) {
		result, decodeErr := DecodeResult(encoded)
		if err != nil || decodeErr != nil {
			end(answer{unclear: true})
			return
		}
		end(answer{result: result})
	})
}

// refusedLocally is a planted fault.
func (p *operators) refusedLocally(o *order, end func(answer)) bool {
	if !p.local {
		return false
	}
	machine, is := p.site.Machine().(viewer)
	if !is || machine.View().Generation == o.base {
		return false
	}
	end(answer{result: VersionMismatch{Current: machine.View().Generation}})
	return true
}

type viewer interface{ View() *View }

func (p *operators) read(operator int, then func(generation int64)) {
	called, ended := p.site.Now(), false
	p.site.After(operatorWaits, func() {
		if !ended {
			ended = true
			then(0)
		}
	})
	p.site.Read(func(machine engine.Machine) {
		if ended {
			return
		}
		ended = true
		view := machine.(viewer).View()
		p.history = append(p.history, porcupine.Operation{
			ClientId: operator, Input: (*order)(nil), Call: int64(called), Return: int64(p.site.Now()),
			Output: answer{generation: view.Generation, document: summary(view.Document)},
		})
		then(view.Generation)
	})
}

// summary is the document as the model tells it.
func summary(document []byte) string {
	var told struct {
		Note    string
		Tenants []struct{ Name string }
	}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &told); err != nil {
			return err.Error()
		}
	}
	var names []string
	for _, tenant := range told.Tenants {
		names = append(names, tenant.Name)
	}
	slices.Sort(names)
	return told.Note + ":" + strings.Join(names, ",")
}

// playOrders plays the history of a seed and checks what the operators were told.
func playOrders(seed uint64, replicated func() engine.Machine, local bool) (p *operators, steps int, err error) {
	p = &operators{book: orderBook{}, local: local}
	world, err := simnet.PlayEmbedded(seed, replicated, func(site *simnet.Site) {
		p.site = site
		for operator := range operatorCount {
			p.work(operator, 0)
		}
	})
	if err != nil {
		return p, world.Steps(), err
	}
	const patience = 20 * time.Second
	if verdict := porcupine.CheckOperationsTimeout(p.book.model(), p.history, patience); verdict != porcupine.Ok {
		return p, world.Steps(), fmt.Errorf("seed %d: %d orders and reads: %v", seed, len(p.history), verdict)
	}
	return p, world.Steps(), nil
}

func sound() engine.Machine { return New() }

// TestHistoriesOfOrders plays HISTORIES_SEEDS seeds from HISTORIES_FIRST on.
func TestHistoriesOfOrders(t *testing.T) {
	first, count := numberOf(t, "HISTORIES_FIRST", 1), numberOf(t, "HISTORIES_SEEDS", 12)
	told, clear, accepted, steps := 0, 0, 0, 0
	for seed := first; seed < first+count; seed++ {
		p, made, err := playOrders(uint64(seed), sound, false)
		if err != nil {
			t.Error(err)
		}
		steps += made
		told += len(p.history)
		for _, operation := range p.history {
			got := operation.Output.(answer)
			if !got.unclear {
				clear++
			}
			if _, is := got.result.(Accepted); is {
				accepted++
			}
		}
	}
	t.Logf("%d histories, %d steps, %d orders and reads, %d with a clear answer, %d acknowledgements",
		count, steps, told, clear, accepted)
	if accepted == 0 {
		t.Error("nothing was acknowledged")
	}
}

func numberOf(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// The planted faults below are machines of this test only.

// forgetful loses its memory of orders with each restart and snapshot that it takes in.
type forgetful struct{ *Machine }

func (m forgetful) Restore(snapshot []byte) error {
	err := m.Machine.Restore(snapshot)
	m.taken, m.known = nil, make(map[fingerprint]int64)
	return err
}

// byNumber takes any order for a known one whose number was taken.
type byNumber struct{ *Machine }

func (m byNumber) Apply(index uint64, command []byte) []byte {
	if change, err := decodeCommand(command); err == nil {
		var told struct{ Generation int64 }
		_ = json.Unmarshal(change.Body, &told) // an invalid one is refused below
		for _, taken := range m.taken {
			if taken.version.Generation == told.Generation {
				return encodeResult(Accepted{Generation: told.Generation})
			}
		}
	}
	return m.Machine.Apply(index, command)
}

// anyBase takes an order on whatever is current.
type anyBase struct{ *Machine }

func (m anyBase) Apply(index uint64, command []byte) []byte {
	change, err := decodeCommand(command)
	if err != nil {
		return m.Machine.Apply(index, command)
	}
	change.IfMatch = m.generation()
	rebased, err := NewCommand(change.Method, change.IfMatch, change.Body)
	if err != nil {
		return m.Machine.Apply(index, command)
	}
	return m.Machine.Apply(index, rebased)
}

// mindless knows no order again.
type mindless struct{ *Machine }

func (m mindless) Apply(index uint64, command []byte) []byte {
	clear(m.known)
	return m.Machine.Apply(index, command)
}

func TestPlantedFaultsOfOrdersAreFound(t *testing.T) {
	const seeds = 20
	for name, mutant := range map[string]struct {
		replicated func() engine.Machine
		local      bool
	}{
		"memory lost at a restart":       {func() engine.Machine { return forgetful{New()} }, false},
		"known by number only":           {func() engine.Machine { return byNumber{New()} }, false},
		"taken on any version":           {func() engine.Machine { return anyBase{New()} }, false},
		"no memory":                      {func() engine.Machine { return mindless{New()} }, false},
		"refused without asking a chain": {sound, true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if _, _, err := playOrders(seed, mutant.replicated, mutant.local); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Errorf("not found in %d histories", seeds)
		})
	}
}
