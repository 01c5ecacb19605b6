// Package model is how the emulated channels behave: what a call meets there, when it ends and what
// takes effect. It is pure: times come in as arguments, chance from a seed, and what happens goes out
// as values. The sockets of package emulator and the virtual time of package virtual ask the same
// model, so that a gap between the two is never the channels'.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Mode is what is the matter with an endpoint.
type Mode string

const (
	Well   Mode = "well"
	Errors Mode = "errors" // most calls fail; half of those have run
	Shut   Mode = "shut"   // every call is turned away
	Hang   Mode = "hang"   // calls are taken and not answered; half run
	Slow   Mode = "slow"   // answers take ten times as long
	Cut    Mode = "cut"    // connections break after the call; half have run
	Torn   Mode = "torn"   // connections break while the call is read; none has run
	Broken Mode = "broken" // the answer can't be read; all have run
)

// outage says that the mode leaves the endpoint cold when it ends.
func (m Mode) outage() bool { return m != Well && m != Slow }

// Allowed says how often a message of a class may take effect.
type Allowed uint8

const (
	AnyNumber   Allowed = iota // free
	OnceByFloor                // guarded: repeats are dropped on one floor, within a window
	OnceEver                   // single_shot
)

// ChannelSpec is one channel. Times are ranges from which each call draws.
type ChannelSpec struct {
	Dest        int64
	Kind        string
	Floors      []string // one endpoint on each
	Service     map[string][2]time.Duration
	Limit       float64 // calls a second from all couriers, to the channel, or to a route apart; 0 for none
	Capacity    int     // calls served at once by an endpoint
	Queue       int     // calls that wait for that
	TellsWait   float64 // share of refusals that tell a wait
	Wait        time.Duration
	Apart       bool // its endpoints are routes with limits, waits and outages of their own
	Connections int  // that an endpoint holds; 0 for any number
	ColdFor     time.Duration
	StartShare  float64 // of its capacity, just after an outage
	Window      time.Duration
	Bulk        int
	Weight      float64 // of its part of the messages, against other channels'; 0 is 1
	Fails       float64 // share of the calls that run and are answered with an error, when it is well
	Reports     bool    // answers tell the share of the limit that is left, and the limit
}

// Rules of a returning channel, and the leeway of what couriers are told.
const (
	fallMultiple = 2.5
	fallAfter    = 2 * time.Second
	waitLeeway   = 100 * time.Millisecond
	drainLeeway  = time.Second + 50*time.Millisecond
)

// Part is a message of a call.
type Part struct {
	Class   string
	Allowed Allowed
	Key     string
	Void    bool // never run: its client has left, or nobody handed it in
	Resend  bool
}

// Answer is how a call ends that an endpoint has taken.
type Answer uint8

const (
	Delivered Answer = iota // 200
	Failed                  // 500
	Reset                   // the connection breaks
	Spoilt                  // something that can't be read, then the end of the connection
	Silence                 // nothing, until the courier gives up
)

// Fate is what becomes of a call.
type Fate struct {
	Code   int           // it is turned away at once with this, 0 if not
	After  time.Duration // and told to wait so long
	At     time.Time     // its end at the endpoint; for Silence the time of its effect
	Answer Answer
	Runs   bool   // it takes effect, at At
	Repeat []bool // which of its parts are dropped as repeats then
	Report Report // told with any answer
}

// Report is what an answer tells of the limit; Limit is 0 where it tells nothing.
type Report struct {
	Left  float64 // share of the limit's last second that was not used
	Limit float64 // calls a second, from all couriers
}

// Breach is a rule that the call broke.
type Breach struct {
	Rule, Text string
	Told       bool // of this call's first message, not of the channel
}

// Channel is a destination.
type Channel struct {
	ChannelSpec
	Endpoints []*Endpoint
	seen      map[string]time.Time // floor and key of what runs there, and when that was sent
}

// Endpoint is one of its endpoints.
type Endpoint struct {
	Name, Floor string
	channel     *Channel
	rnd         *rand.Rand
	mode        Mode
	recover     time.Time // end of the last outage
	limiter     *rate.Limiter
	cold        *rate.Limiter
	free        []time.Time  // when each of its places is free
	ends        []time.Time  // of the calls that it serves or queues
	waits       map[int]wait // by courier
	drained     map[int]time.Time
	sawFail     map[int]time.Time // when couriers first saw a call fail here in the last outage
	came        []arrivalAt       // calls since the end of the outage
	fell        bool
}

type wait struct{ told, until time.Time }

type arrivalAt struct {
	at      time.Time
	courier int
	resend  bool
}

// New returns a channel whose chance comes from the seed.
func New(spec ChannelSpec, seed uint64) *Channel {
	c := &Channel{ChannelSpec: spec, seen: map[string]time.Time{}}
	for i, floor := range spec.Floors {
		e := &Endpoint{
			Name: fmt.Sprintf("s-%d-%d", spec.Dest, i), Floor: floor, channel: c, mode: Well,
			rnd:   rand.New(rand.NewPCG(seed, uint64(spec.Dest)<<8|uint64(i))),
			free:  make([]time.Time, max(spec.Capacity, 1)),
			waits: map[int]wait{}, drained: map[int]time.Time{}, sawFail: map[int]time.Time{},
		}
		limit := rate.Inf
		if spec.Limit > 0 {
			limit = rate.Limit(spec.Limit)
		}
		e.limiter = rate.NewLimiter(limit, max(int(spec.Limit), 1))
		e.cold = rate.NewLimiter(rate.Limit(e.rate()), 1)
		c.Endpoints = append(c.Endpoints, e)
	}
	if !spec.Apart { // one limit for all
		for _, e := range c.Endpoints[1:] {
			e.limiter = c.Endpoints[0].limiter
		}
	}
	return c
}

// rate is about what the endpoint can do, in calls a second.
func (e *Endpoint) rate() float64 {
	mean, n := 0.0, 0.0
	for _, r := range e.channel.Service {
		mean, n = mean+(r[0]+r[1]).Seconds()/2, n+1
	}
	return float64(e.channel.Capacity) * n / mean
}

// Mode is what is the matter with the endpoint.
func (e *Endpoint) Mode() Mode { return e.mode }

// Fell says that the endpoint was pushed over.
func (e *Endpoint) Fell() bool { return e.fell }

// Set changes what is the matter with the endpoint.
func (e *Endpoint) Set(m Mode, at time.Time) {
	if e.mode.outage() && !m.outage() {
		e.recover, e.came = at, nil
	}
	if m.outage() && !e.mode.outage() {
		clear(e.sawFail)
		e.recover, e.fell = time.Time{}, false
	}
	e.mode = m
}

// Drain notes that the courier has been told that the endpoint takes nothing new.
func (e *Endpoint) Drain(courier int, told time.Time) {
	if e.drained[courier].IsZero() {
		e.drained[courier] = told
	}
}

// Serving notes that the courier has been told that the endpoint takes work again.
func (e *Endpoint) Serving(courier int) { delete(e.drained, courier) }

// Drains says whether the courier has been told so of the endpoint.
func (e *Endpoint) Drains(courier int) bool { return !e.drained[courier].IsZero() }

// Restarted ends the waits that the courier was told.
func (e *Endpoint) Restarted(courier int) { delete(e.waits, courier) }

// Call is a call of a courier whose first byte came at began and whose last one at now.
func (e *Endpoint) Call(courier int, parts []Part, began, now time.Time) (f Fate, broken []Breach) {
	broken = e.told(courier, began)
	resend := slices.ContainsFunc(parts, func(p Part) bool { return p.Resend })
	mode, code, after, b := e.admit(courier, resend, now)
	broken = append(broken, b...)
	report := e.report(now)
	if code != 0 {
		if after > 0 {
			e.waits[courier] = wait{now, now.Add(after)}
		}
		return Fate{Code: code, After: after, At: now, Report: report}, broken
	}
	runs, fails, slips := e.rnd.Float64() < 0.5, e.rnd.Float64() < 0.8, e.rnd.Float64() < e.channel.Fails
	service := e.draw(parts[0].Class)
	f = Fate{At: now, Runs: true, Report: report}
	switch {
	case mode == Cut:
		f.Answer, f.Runs = Reset, runs
	case mode == Hang:
		f.Answer, f.Runs = Silence, runs
	case mode == Errors && fails:
		f.Answer, f.Runs = Failed, runs
	case mode == Broken:
		f.Answer = Spoilt
	case slips:
		f.Answer = Failed
	}
	if mode == Slow {
		service *= 10
	}
	if mode != Cut && mode != Hang {
		f.At = e.serve(now, service)
	}
	if f.Answer != Delivered && mode.outage() {
		e.saw(courier, f.At)
	}
	if f.Runs {
		f.Repeat = e.register(parts, now)
	}
	return f, broken
}

// report reads the limiter, which holds a second's calls.
func (e *Endpoint) report(now time.Time) Report {
	if !e.channel.Reports || e.channel.Limit <= 0 {
		return Report{}
	}
	return Report{Left: max(e.limiter.TokensAt(now)/float64(e.limiter.Burst()), 0), Limit: e.channel.Limit}
}

// serve queues the call, first come, first served, and returns when it is done.
func (e *Endpoint) serve(now time.Time, service time.Duration) time.Time {
	first := 0
	for i, t := range e.free {
		if t.Before(e.free[first]) {
			first = i
		}
	}
	at := now
	if e.free[first].After(at) {
		at = e.free[first]
	}
	at = at.Add(service)
	e.free[first] = at
	e.ends = append(e.ends, at)
	return at
}

func (e *Endpoint) draw(class string) time.Duration {
	r, ok := e.channel.Service[class]
	if !ok {
		r = [2]time.Duration{50 * time.Millisecond, 100 * time.Millisecond}
	}
	return r[0] + time.Duration(e.rnd.Float64()*float64(r[1]-r[0]))
}

// told checks what the courier was told before: waits and drains.
func (e *Endpoint) told(courier int, at time.Time) (broken []Breach) {
	if drained := e.drained[courier]; !drained.IsZero() && at.After(drained.Add(drainLeeway)) {
		broken = append(broken, Breach{"drains kept", fmt.Sprintf("n%d called %s %.3f s after it was told that it drains", courier, e.Name,
			at.Sub(drained).Seconds()), true})
	}
	for _, o := range e.channel.Endpoints {
		if e.channel.Apart && o != e {
			continue
		}
		w := o.waits[courier]
		if at.After(w.told.Add(waitLeeway)) && at.Before(w.until.Add(-5*time.Millisecond)) {
			broken = append(broken, Breach{"waits heeded", fmt.Sprintf("n%d called %s %.3f s before the end of a wait that %s told it", courier, e.Name,
				w.until.Sub(at).Seconds(), o.Name), true})
		}
	}
	return broken
}

// admit says whether the call is served, or with what it is turned away.
func (e *Endpoint) admit(courier int, resend bool, now time.Time) (Mode, int, time.Duration, []Breach) {
	tell := func() time.Duration {
		if e.rnd.Float64() < e.channel.TellsWait {
			return e.channel.Wait
		}
		return 0
	}
	if e.mode == Shut || e.fell {
		e.saw(courier, now)
		return e.mode, 503, tell(), nil
	}
	if e.mode == Hang || e.mode == Cut {
		return e.mode, 0, 0, nil
	}
	var broken []Breach
	if share := e.share(now); share < 1 {
		broken = e.pushed(arrivalAt{now, courier, resend}, share)
		if e.fell {
			return e.mode, 503, 0, broken
		}
		e.cold.SetLimitAt(now, rate.Limit(share*e.rate()))
		if !e.cold.AllowN(now, 1) {
			return e.mode, 503, 0, broken
		}
	}
	if !e.limiter.AllowN(now, 1) {
		return e.mode, 429, tell(), broken
	}
	e.ends = slices.DeleteFunc(e.ends, func(t time.Time) bool { return !t.After(now) })
	if len(e.ends) >= e.channel.Capacity+e.channel.Queue {
		return e.mode, 503, 0, broken
	}
	return e.mode, 0, 0, broken
}

func (e *Endpoint) saw(courier int, at time.Time) {
	if first, ok := e.sawFail[courier]; !ok || at.Before(first) {
		e.sawFail[courier] = at
	}
}

// share is what the endpoint can do now, as a part of its capacity.
func (e *Endpoint) share(now time.Time) float64 {
	if e.recover.IsZero() || e.channel.ColdFor == 0 {
		return 1
	}
	return min(e.channel.StartShare+(1-e.channel.StartShare)*now.Sub(e.recover).Seconds()/e.channel.ColdFor.Seconds(), 1)
}

// pushed counts what a cold endpoint is sent. Too much for too long and it falls over; the rule is
// broken if most of that came from couriers that saw it fail.
func (e *Endpoint) pushed(call arrivalAt, share float64) []Breach {
	now := call.at
	e.came = append(e.came, call)
	for len(e.came) > 0 && now.Sub(e.came[0].at) > fallAfter {
		e.came = e.came[1:]
	}
	if now.Sub(e.recover) < fallAfter || float64(len(e.came)) <= fallMultiple*share*e.rate()*fallAfter.Seconds()+4 {
		return nil
	}
	e.fell = true
	knew, resends := 0, 0
	for _, a := range e.came {
		if saw, ok := e.sawFail[a.courier]; ok && saw.Before(now) {
			knew++
		}
		if a.resend {
			resends++
		}
	}
	if 3*knew < 2*len(e.came) {
		return nil
	}
	return []Breach{{"no returning channel pushed over", fmt.Sprintf("%s had %d calls in %v at %.0f%% of %.1f a second, %d of them resends, %d from couriers that had seen it fail",
		e.Name, len(e.came), fallAfter, 100*share, e.rate(), resends, knew), false}}
}

// register notes a call's guarded messages on their floor as it comes, and says which are repeats: a
// repeat is known by when the first call that ran was sent, however long that takes.
func (e *Endpoint) register(parts []Part, now time.Time) []bool {
	c := e.channel
	repeat := make([]bool, len(parts))
	for i, p := range parts {
		if p.Void || p.Allowed != OnceByFloor {
			continue
		}
		place := e.Floor + " " + p.Key
		if first, ok := c.seen[place]; ok && now.Sub(first) < c.Window {
			repeat[i] = true
		} else {
			c.seen[place] = now
		}
	}
	return repeat
}
