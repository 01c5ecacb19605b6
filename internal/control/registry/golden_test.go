package registry

import (
	"bytes"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"raventrestle/internal/protocol"
)

// testdata/golden/decisions.txt has, for each of goldenHistories random histories, what three registries of build 73ca247
// decided: a hash over every output of every step (replies, changes, messages in cbor, revisions, wake times)
// and over full tables now and then, and five counts that say roughly what happened. A history has heartbeats late and in
// order, addresses given again, drains and deregistrations, routers that confirm late, reports of routers, orders in
// flight, lost and delayed messages, partitions, long stalls, minutes without calls, and restarts. It depends on nothing but its number.
const goldenHistories = 80

const goldenInstances = 3

// goldenHistory is one history in progress.
type goldenHistory struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	lossy  bool
	parted int // the instance without contact; -1: none

	registries   [goldenInstances]*Registry
	incarnations [goldenInstances]uint64
	contacts     [goldenInstances]time.Time
	reachable    [goldenInstances][]string
	revisions    [goldenInstances]uint64
	routersLag   [goldenInstances]bool
	inFlight     []goldenMessage
	sequences    map[string]uint64
	requests     uint64
	loadings     uint64

	sum                                     hash.Hash64
	steps, replies, rejected, changed, sent int
}

type goldenMessage struct {
	arrives time.Time
	to      int
	content any
}

func goldenAddress(instance int) string { return fmt.Sprint("n", instance) }

func newGoldenHistory(t *testing.T, number uint64) *goldenHistory {
	t.Helper()
	h := &goldenHistory{
		t: t, random: rand.New(rand.NewPCG(number, 7)), now: time.Unix(1000, 0), parted: -1,
		sequences: make(map[string]uint64), sum: fnv.New64a(),
	}
	for i := range goldenInstances {
		h.incarnations[i] = uint64(i + 1)
		h.start(i)
	}
	h.lossy = h.one(3)
	return h
}

// one says whether one of n cases that are equally likely is there.
func (h *goldenHistory) one(n int) bool { return h.random.IntN(n) == 0 }

func (h *goldenHistory) upTo(n int, unit time.Duration) time.Duration {
	return time.Duration(h.random.IntN(n)) * unit
}

func (h *goldenHistory) endpointID() string { return fmt.Sprint("e", h.random.IntN(12)) }

func (h *goldenHistory) start(i int) {
	origin := protocol.Origin{Address: goldenAddress(i), Incarnation: h.incarnations[i]}
	h.registries[i] = New(Config{Origin: origin, Heartbeat: heartbeatInterval}, h.now)
}

func (h *goldenHistory) hashValue(value any) {
	h.t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		h.t.Fatalf("encode %T: got %v, want no error", value, err)
	}
	h.hashText(string(encoded))
}

func (h *goldenHistory) hashText(text string) { _, _ = h.sum.Write([]byte(text)) }

// step has an instance take in what happened, and hashes what it decides.
func (h *goldenHistory) step(i int, inputs ...Input) {
	h.t.Helper()
	confirmed := h.revisions[i]
	if h.routersLag[i] {
		confirmed /= 2
	}
	inputs = append([]Input{QuorumContact{ConfirmedAt: h.contacts[i]}}, inputs...)
	inputs = append(inputs, RoutersConfirmed{Revision: confirmed})
	out := h.registries[i].Step(h.now, inputs...)
	h.steps++
	h.revisions[i] = out.Revision
	h.changed += len(out.Changed)
	h.hashText(fmt.Sprint(i, h.now.UnixNano(), out.Urgent, out.Revision, out.RouterCount, out.Complete,
		out.WakeAt.UnixNano(), out.WakeAt.Equal(h.registries[i].nextTick)))
	h.hashValue(out.Changed)
	for _, reply := range out.Replies {
		h.replies++
		if reply.Rejected {
			h.rejected++
		}
		h.hashText(fmt.Sprint(reply.RequestID, reply.InForce, reply.Rejected))
	}
	for _, send := range out.Send {
		h.deliver(i, send)
	}
	if h.one(50) {
		h.hashValue(h.registries[i].Endpoints(h.now))
		h.hashValue(h.registries[i].EndpointsAndTombstones(h.now))
	}
}

func (h *goldenHistory) deliver(from int, send Send) {
	h.t.Helper()
	h.sent++
	h.hashText(send.To)
	h.hashValue(send.Message)
	if !slices.Contains(h.reachable[from], send.To) || h.lossy && h.one(10) {
		return
	}
	h.inFlight = append(h.inFlight, goldenMessage{
		arrives: h.now.Add(h.upTo(40, time.Millisecond)), to: int(send.To[1] - '0'), content: send.Message,
	})
}

func (h *goldenHistory) advance() {
	h.now = h.now.Add(h.upTo(60, time.Millisecond))
	if h.one(400) {
		h.now = h.now.Add(h.upTo(20, time.Second)) // nobody ran
	}
	if h.one(150) {
		if h.parted < 0 {
			h.parted = h.random.IntN(goldenInstances)
		} else {
			h.parted = -1
		}
	}
}

// calm lets seconds pass in which nothing is said but by the instances themselves: tombstones and peers expire.
func (h *goldenHistory) calm(seconds int) {
	h.t.Helper()
	for range seconds {
		h.now = h.now.Add(time.Second)
		h.arrivals()
		for i := range goldenInstances {
			if i != h.parted {
				h.contacts[i] = h.now
			}
			h.step(i)
		}
	}
}

// contact gives the instances their contacts with a majority and the peers that they can reach.
func (h *goldenHistory) contact() {
	h.t.Helper()
	for i := range goldenInstances {
		if i != h.parted && !h.one(3) {
			h.contacts[i] = h.now.Add(-h.upTo(30, time.Millisecond))
		}
		var reachable []string
		for other := range goldenInstances {
			if other != i && i != h.parted && other != h.parted {
				reachable = append(reachable, goldenAddress(other))
			}
		}
		if !slices.Equal(reachable, h.reachable[i]) {
			h.reachable[i] = reachable
			h.step(i, Peers{Reachable: reachable})
		}
	}
}

func (h *goldenHistory) arrivals() {
	h.t.Helper()
	arrived := func(m goldenMessage) bool { return !m.arrives.After(h.now) }
	due := slices.DeleteFunc(slices.Clone(h.inFlight), func(m goldenMessage) bool { return !arrived(m) })
	h.inFlight = slices.DeleteFunc(h.inFlight, arrived)
	for _, message := range due {
		h.step(message.to, PeerMessage{Content: message.content})
	}
}

// heartbeatOf draws what an endpoint says of itself.
func (h *goldenHistory) heartbeatOf(id string) protocol.Endpoint {
	h.sequences[id]++
	endpoint := protocol.Endpoint{ID: id, Service: "s", Address: "a" + id, Sequence: h.sequences[id], Slots: 4}
	if h.one(8) {
		endpoint.Sequence -= min(endpoint.Sequence, uint64(h.random.IntN(3)))
	}
	if h.one(30) {
		endpoint.Address = "a" + h.endpointID()
	}
	if h.one(15) {
		endpoint.State = protocol.Draining
	}
	if h.one(10) {
		endpoint.WarmUpRemaining = h.upTo(4000, time.Millisecond)
	}
	if h.one(5) {
		endpoint.Models = []protocol.LoadedModel{
			{Name: fmt.Sprint("m", h.random.IntN(3)), Generation: 1, Adapters: []string{"a1"}},
		}
	}
	return endpoint
}

func (h *goldenHistory) loadingOf(id string) protocol.LoadingTable {
	h.loadings++
	table := protocol.LoadingTable{Epoch: h.loadings / 5, Sequence: h.loadings}
	if h.one(2) {
		loads := []protocol.ModelLoad{{Model: "m", Remaining: h.upTo(9000, time.Millisecond)}}
		table.Loading = []protocol.EndpointLoading{{Endpoint: id, Loads: loads}}
	}
	return table
}

// act has something happen at one instance.
func (h *goldenHistory) act() {
	h.t.Helper()
	i, id := h.random.IntN(goldenInstances), h.endpointID()
	switch kind := h.random.IntN(40); {
	case kind < 22:
		h.requests++
		h.step(i, Heartbeat{RequestID: h.requests, Endpoint: h.heartbeatOf(id)})
	case kind < 24:
		h.requests++
		h.step(i, Deregister{RequestID: h.requests, ID: id})
	case kind < 27:
		h.step(i, RouterReport{Unreachable: []string{id}, Reached: []string{h.endpointID()}})
	case kind < 29:
		h.routersLag[i] = !h.routersLag[i]
	case kind < 31:
		routers := []uint32{uint32(h.random.IntN(4)), uint32(4 + h.random.IntN(4))}
		h.step(i, Routers{Connected: routers[:h.random.IntN(3)]})
	case kind < 33:
		h.step(i, LocalLoading{Table: h.loadingOf(id)})
	case kind == 33 && h.one(12):
		h.incarnations[i] += 10
		h.start(i)
		h.reachable[i], h.revisions[i] = nil, 0
	default:
		h.step(i)
	}
}

// TestGoldenDecisions plays the histories again.
func TestGoldenDecisions(t *testing.T) {
	var got bytes.Buffer
	for number := range uint64(goldenHistories) {
		h := newGoldenHistory(t, number)
		for range 900 {
			h.advance()
			h.contact()
			h.arrivals()
			h.act()
			if h.one(900) {
				h.calm(h.random.IntN(720))
			}
		}
		fmt.Fprintf(&got, "%d %016x %d %d %d %d %d\n", number, h.sum.Sum64(), h.steps, h.replies, h.rejected, h.changed, h.sent)
	}
	want, err := os.ReadFile("testdata/golden/decisions.txt")
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("got %d lines, want %d", len(gotLines), len(wantLines))
	}
	for i := range gotLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("history %d: got %s, want %s", i, gotLines[i], wantLines[i])
		}
	}
}
