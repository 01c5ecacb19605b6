package roles

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"raventrestle/coordination/replica"
	"raventrestle/internal/configuration"
	"raventrestle/internal/control/host"
	"raventrestle/internal/control/placer"
	"raventrestle/internal/control/quota"
	"raventrestle/internal/control/replicatest"
	"raventrestle/internal/protocol"
)

const patience = 10 * time.Second // of a test for what must come

// stage is what a holder works with in these tests.
type stage struct {
	double   *replicatest.Double
	inputs   chan placer.Input
	divided  chan quota.Input
	loadings chan protocol.LoadingTable
	grants   chan map[string][]protocol.RouterGrants
	began    chan uint64
	finished chan uint64
	quiet    chan time.Duration

	mutex     sync.Mutex
	view      host.View
	orders    []placer.Order // for the next step
	allocated []quota.GrantBatch
	loseLease bool // while the allocator divides
}

func (s *stage) View(context.Context) (host.View, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view, nil
}

func (s *stage) setView(view host.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view = view
}

func (s *stage) PublishLoading(table protocol.LoadingTable) { s.loadings <- table }

func (s *stage) DistributeGrants(batches map[string][]protocol.RouterGrants) { s.grants <- batches }

func (s *stage) Current() *configuration.Configuration                      { return &configuration.Configuration{} }
func (s *stage) Send(string, any)                                           {}
func (s *stage) LeadershipBegan(epoch uint64, _ time.Duration)              { s.began <- epoch }
func (s *stage) LeadershipEnded(epoch uint64)                               { s.finished <- epoch }
func (s *stage) OrderCompleted(uint64, placer.Order, placer.Outcome, error) {}
func (s *stage) newPlacer(quiet time.Duration) Placer                       { s.quiet <- quiet; return placerOf{s} }

func (s *stage) newAllocator(time.Duration) Allocator { return allocatorOf{s} }

type placerOf struct{ *stage }

func (p placerOf) Step(now time.Time, in placer.Input) placer.Output {
	p.mutex.Lock()
	out := placer.Output{Orders: p.orders, WakeAt: now.Add(20 * time.Millisecond)}
	p.orders = nil
	p.mutex.Unlock()
	p.inputs <- in
	return out
}

type allocatorOf struct{ *stage }

func (a allocatorOf) Step(now time.Time, in quota.Input) quota.Output {
	out := quota.Output{WakeAt: now.Add(time.Hour)}
	if len(in.Reports) > 0 {
		a.mutex.Lock()
		out.Batches = a.allocated
		if a.loseLease {
			a.double.SetStatus(replica.Status{})
		}
		a.mutex.Unlock()
	}
	a.divided <- in
	return out
}

func startStage(t *testing.T, status replica.Status) (*stage, *Leader) {
	t.Helper()
	const room = 4096
	s := &stage{
		double: replicatest.New(nil, status), inputs: make(chan placer.Input, room),
		divided: make(chan quota.Input, room), loadings: make(chan protocol.LoadingTable, room),
		grants: make(chan map[string][]protocol.RouterGrants, room), began: make(chan uint64, room),
		finished: make(chan uint64, room), quiet: make(chan time.Duration, room),
	}
	holder := New(Config{Origin: protocol.Origin{Address: "self"}, NodeName: "node-7", Lease: 200 * time.Millisecond},
		Dependencies{
			Replica: s.double, Endpoints: s, Configurations: s, Mesh: s, NewPlacer: s.newPlacer,
			NewAllocator: s.newAllocator, EventRecorder: s,
		})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		holder.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, holder
}

func leadingNow(epoch uint64) replica.Status {
	now := time.Now()
	return leading(epoch, now, time.Time{}, now.Add(time.Hour))
}

// next takes from a channel until one fits.
func next[T any](t *testing.T, what string, from <-chan T, fits func(T) bool) T {
	t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case got := <-from:
			if fits(got) {
				return got
			}
		case <-deadline:
			t.Fatalf("no %s", what)
		}
	}
}

func TestHolderCarriesOutOrders(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
	}))
	defer endpoint.Close()
	s, _ := startStage(t, replica.Status{})
	at := protocol.Endpoint{ID: "i-1", Address: serverAddress(endpoint)}
	s.setView(host.View{Endpoints: []protocol.Endpoint{at}})
	s.mutex.Lock()
	s.orders = []placer.Order{{ID: 1, Endpoint: "i-1", Address: at.Address, Model: "m"}}
	s.mutex.Unlock()
	s.double.SetStatus(leadingNow(foundingEpoch))
	next(t, "result", s.inputs, func(in placer.Input) bool {
		return len(in.Results) == 1 && in.Results[0] == placer.Result{ID: 1, Outcome: placer.Accepted}
	})
	shown := next(t, "load under way", s.loadings, func(table protocol.LoadingTable) bool {
		return len(table.Loading) > 0
	})
	if load := shown.Loading[0]; load.Endpoint != "i-1" || load.Loads[0].Model != "m" {
		t.Errorf("%+v", load)
	}
	at.Models = []protocol.LoadedModel{{Name: "m"}}
	s.setView(host.View{Endpoints: []protocol.Endpoint{at}})
	next(t, "end of the load", s.loadings, func(table protocol.LoadingTable) bool { return len(table.Loading) == 0 })
}

func TestNewHolderWaitsAndALostLeaseEndsIt(t *testing.T) {
	s, _ := startStage(t, replica.Status{})
	start := time.Now()
	s.double.SetStatus(leadingNow(3))
	next(t, "begin", s.began, func(epoch uint64) bool { return epoch == 3 })
	waited := time.Since(start)
	if waited < 200*time.Millisecond {
		t.Errorf("it acts after %v", waited)
	}
	// Somebody else may have acted until the status was set, a moment after this process began to wait.
	if quiet := <-s.quiet; quiet < 200*time.Millisecond/handoverPart || quiet > waited {
		t.Errorf("quiet for %v, waited for %v", quiet, waited)
	}
	lost := s.double.Status()
	lost.IsLeader = false
	s.double.SetStatus(lost)
	next(t, "end", s.finished, func(epoch uint64) bool { return epoch == 3 })
	s.double.SetStatus(leadingNow(4))
	next(t, "begin in the next epoch", s.began, func(epoch uint64) bool { return epoch == 4 })
	if len(s.quiet) != 0 {
		t.Error("a new placer though nobody can have acted in between")
	}
	s.double.SetStatus(lost)
	next(t, "end", s.finished, func(uint64) bool { return true })
	s.double.SetStatus(leadingNow(9))
	next(t, "begin after others", s.began, func(epoch uint64) bool { return epoch == 9 })
	if len(s.quiet) != 1 {
		t.Error("the placer of before goes on though others may have acted")
	}
}

func TestStoppedHolderActsNoMore(t *testing.T) {
	s, holder := startStage(t, leadingNow(foundingEpoch))
	next(t, "begin", s.began, func(uint64) bool { return true })
	holder.StepDown()
	next(t, "end", s.finished, func(uint64) bool { return true })
	if holder.permitted(foundingEpoch) {
		t.Error("orders may still leave")
	}
}

func TestGrantsGoToTheInstanceOfTheRouter(t *testing.T) {
	s, holder := startStage(t, leadingNow(foundingEpoch))
	s.setView(host.View{RouterCount: 2})
	router := quota.Router{Node: "r1", Incarnation: 5}
	batch := &protocol.ReportBatch{
		Origin:    protocol.Origin{Address: "other"},
		Reports:   []protocol.Report{{Node: "r1", Incarnation: 5, Sequence: 1}},
		GrantAcks: []protocol.GrantAck{{Node: "r1", Incarnation: 5, Epoch: 1, Batch: 4}, {Node: "r1", Epoch: 9}},
	}
	next(t, "step without reports", s.divided, func(quota.Input) bool { return true })
	s.mutex.Lock()
	s.allocated = []quota.GrantBatch{{Router: router, ID: 5, Grants: []protocol.QuotaGrant{{Tenant: "t"}}}}
	s.mutex.Unlock()
	holder.HandleReports(batch)
	in := next(t, "step with the report", s.divided, func(in quota.Input) bool { return len(in.Reports) == 1 })
	if in.MinRouterCount != 2 || len(in.Routers) != 1 || in.Routers[0] != router || len(in.Confirmations) != 1 {
		t.Errorf("%+v", in)
	}
	batches := next(t, "grants", s.grants, func(map[string][]protocol.RouterGrants) bool { return true })
	granted := batches["other"]
	if len(granted) != 1 || granted[0].Node != "r1" || granted[0].Epoch != 1 || granted[0].Batch != 5 {
		t.Errorf("%+v", granted)
	}
}

// The process stands still while it divides, and its lease is over when it goes on: others may have granted by now.
func TestNoGrantLeavesAfterTheLease(t *testing.T) {
	s, holder := startStage(t, leadingNow(foundingEpoch))
	s.setView(host.View{RouterCount: 2})
	next(t, "step without reports", s.divided, func(quota.Input) bool { return true })
	s.mutex.Lock()
	s.allocated = []quota.GrantBatch{{Router: quota.Router{Node: "r1"}, Grants: []protocol.QuotaGrant{{Tenant: "t"}}}}
	s.loseLease = true
	s.mutex.Unlock()
	holder.HandleReports(&protocol.ReportBatch{Reports: []protocol.Report{{Node: "r1", Sequence: 1}}})
	next(t, "end", s.finished, func(uint64) bool { return true })
	if len(s.grants) != 0 {
		t.Error("it grants")
	}
}

func TestRosterCountsTheLeastThatARouterMayBelieve(t *testing.T) {
	r := newRoster()
	if r.count(begin, 0) != 0 || r.count(begin, 5) != 5 {
		t.Error("first counts")
	}
	if least := r.count(begin.Add(time.Second), 9); least != 5 {
		t.Errorf("just after a rise: %d", least)
	}
	if least := r.count(begin.Add(countLasts+1200*time.Millisecond), 9); least != 9 {
		t.Errorf("long after it: %d", least)
	}
	if least := r.count(begin.Add(10*time.Second), 4); least != 4 {
		t.Errorf("after a fall: %d", least)
	}
}

func TestRosterForgets(t *testing.T) {
	r := newRoster()
	r.see(begin, "a", &protocol.Report{Node: "r1", Incarnation: 1})
	r.see(begin.Add(5*time.Second), "b", &protocol.Report{Node: "r2", Incarnation: 1})
	if there := r.routers(begin.Add(11 * time.Second)); len(there) != 1 || there[0].Node != "r2" {
		t.Errorf("%+v", there)
	}
}
