package state

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"raventrestle/coordination/engine"
	"raventrestle/coordination/simnet"
)

const (
	responseTimeout = time.Second // after it a change is sent again
	maxAttempts     = 5
	clientCount     = 3
)

// clients are simulated operators that send changes and reads to the simulated chain and record the responses.
type clients struct {
	site    *simnet.Cluster
	changes changesByID
	sent    []*change
	history []porcupine.Operation

	injectLocalRejection bool // injected fault: a member responds from its own applied state
}

// run is one operation of an operator, who takes assumed for the current version, and then the next ones until the
// simulated time for clients is over.
func (p *clients) run(operator int, assumed int64) {
	if p.site.Now() >= p.site.ClientsUntil {
		return
	}
	delay := time.Duration(20+p.site.RandomInt(300)) * time.Millisecond
	proceed := func(generation int64) { p.site.After(delay, func() { p.run(operator, generation) }) }
	switch draw := p.site.RandomInt(6); {
	case draw < 2:
		p.read(operator, func(generation int64) { proceed(max(generation, assumed)) })
	case draw == 2 && len(p.sent) > 0: // an earlier change is sent again
		p.send(operator, p.sent[p.site.RandomInt(len(p.sent))], maxAttempts, func(Result) { proceed(assumed) })
	default:
		c := p.draw(operator, assumed)
		if p.site.RandomInt(3) == 0 { // the same change to another member at once
			p.send(operator, c, 1, func(Result) {})
		}
		p.send(operator, c, maxAttempts, func(result Result) {
			switch result := result.(type) {
			case Accepted:
				assumed = max(assumed, result.Generation)
			case VersionMismatch:
				assumed = max(assumed, result.Current)
			}
			proceed(assumed)
		})
	}
}

func (p *clients) draw(operator int, assumed int64) *change {
	c := &change{
		id:         fmt.Sprintf("o%d.%d", operator, len(p.sent)),
		method:     []string{Replace, Patch}[p.site.RandomInt(2)],
		base:       assumed,
		generation: assumed + 1 + int64(p.site.RandomInt(3)),
		invalid:    p.site.RandomInt(8) == 0,
	}
	if assumed == 0 {
		c.method = Replace
	}
	p.changes[c.id] = c
	p.sent = append(p.sent, c)
	return c
}

// send sends a change, and again while its outcome is indeterminate and attempts are left.
func (p *clients) send(operator int, c *change, attempts int, then func(Result)) {
	called, ended := p.site.Now(), false
	end := func(got response) {
		if ended {
			return
		}
		ended = true
		returned := p.site.Now()
		if got.indeterminate {
			returned = called + 1 // the model keeps it as pending from here on: nothing more is known of its moment
		}
		p.history = append(p.history, porcupine.Operation{
			ClientId: operator, Input: c, Output: got, Call: int64(called), Return: int64(returned),
		})
		if got.indeterminate && attempts > 1 && p.site.Now() < p.site.ClientsUntil {
			p.send(operator, c, attempts-1, then)
			return
		}
		then(got.result)
	}
	p.site.After(responseTimeout, func() { end(response{indeterminate: true}) })
	if p.rejectedLocally(c, end) {
		return
	}
	command, err := NewCommand(c.method, c.base, c.body())
	if err != nil {
		panic(err) // the bodies are small and valid
	}
	p.site.Propose(command, func(encoded []byte, err error) {
		result, decodeErr := DecodeResult(encoded)
		if err != nil || decodeErr != nil {
			end(response{indeterminate: true})
			return
		}
		end(response{result: result})
	})
}

type viewer interface{ View() *View }

// rejectedLocally is an injected fault: it responds with a version mismatch without asking the chain.
func (p *clients) rejectedLocally(c *change, end func(response)) bool {
	if !p.injectLocalRejection {
		return false
	}
	machine, is := p.site.AnyStateMachine().(viewer)
	if !is || machine.View().Generation == c.base {
		return false
	}
	end(response{result: VersionMismatch{Current: machine.View().Generation}})
	return true
}

func (p *clients) read(operator int, then func(generation int64)) {
	called, ended := p.site.Now(), false
	p.site.After(responseTimeout, func() {
		if !ended {
			ended = true
			then(0)
		}
	})
	p.site.Read(func(machine engine.StateMachine) {
		if ended {
			return
		}
		ended = true
		view := machine.(viewer).View()
		p.history = append(p.history, porcupine.Operation{
			ClientId: operator, Input: (*change)(nil), Call: int64(called), Return: int64(p.site.Now()),
			Output: response{generation: view.Generation, document: summarize(view.Document)},
		})
		then(view.Generation)
	})
}
