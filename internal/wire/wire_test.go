package wire

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"raventrestle"
)

const boot = `["boot",3,18446744073709551615,{"az":"y","balancers":2,"position":1,"granularity_us":5000,` +
	`"models":["k","l"],"failure_domains":["x","y"],"weight_kind":"rough","membership_mode":"on_request",` +
	`"classes":[{"name":"text","aim_us":2000000,"deadline_us":24000000,"effect":"guarded","group":"zone",` +
	`"window_us":6000000,"by_arrival":true,"credit":1.0,"late_share":0.5,"unknown":7}],` +
	`"tenants":[{"name":"p","share":0.7,"quota_per_s":70.0},{"name":"q","share":0.3,"quota_per_s":30.0}],` +
	`"over_share_worth":0.1,"result_mix":{"whole":0.7,"worst_class":0.05,"worst_tenant":0.15,"worst_window":0.1},` +
	`"charges":{"cross_zone":0.01,"handshake":0.04,"waste":0.05,"late_fail":0.02,"probe":0.03,"peer":0.06},` +
	`"client_habits":{"marks_retry":true},` +
	`"limits":{"most_held":9,"send_cap":6,"streams_per_conn":8,"may_probe":true,"peers":true,"cancel":true,` +
	`"second_copies":true},"specifics":{"loses_worth":"halving","refused_price":0.07,"call_slots":4,"bundle_max":[10,1],` +
	`"routes_apart":[true,false],"route_fee":[0.5,0.0]},"rules":{"key_rest_us":null,"drain_grace_us":250000,"answer_slack_us":20000}}]`

func decode(t *testing.T, d *Decoder, events string) Batch {
	t.Helper()
	b, err := d.Decode([]byte(`{"clock_us":8412250,"arrivals":[` + events + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecode(t *testing.T) {
	d := NewDecoder()
	b := decode(t, d, boot)
	s := b.Items[0].Settings
	if b.Clock != 8412250*time.Microsecond || b.Items[0].Seed != 1<<64-1 || s.Zone != 1 || s.CallSlots != 4 ||
		!s.Kinds[0].RoutePerTarget || s.Kinds[0].MaxBatch != 10 || s.Zones[0].Fee != 0.5 || !s.ListOnRequest ||
		s.ListedLimits != raventrestle.LimitsApproximate || s.Classes[0].Idempotency != raventrestle.Keyed ||
		s.Classes[0].DedupScope != raventrestle.DedupZone {
		t.Fatalf("settings: %+v", s)
	}
	if s.Position != 1 || len(s.Tenants) != 2 || s.Tenants[1] != (raventrestle.Tenant{Name: "q", Share: 0.3, Quota: 30}) ||
		s.OverShareFactor != 0.1 || s.ScoreWeights != (raventrestle.ScoreWeights{Overall: 0.7, WorstWindow: 0.1, WorstClass: 0.05, WorstTenant: 0.15}) ||
		s.Charges != (raventrestle.Charges{
			CrossZone: 0.01, Handshake: 0.04, WastedWork: 0.05, LateFailure: 0.02, RejectedCall: 0.07,
			Probe: 0.03, PeerMessage: 0.06,
		}) || s.ValueDecay != raventrestle.DecayHalving || s.Classes[0].LateValueShare != 0.5 ||
		!s.ClientsFlagRetries || s.StreamsPerConnection != 8 || !s.AllowProbes || !s.AllowPeerMessages || !s.AllowCancel || !s.AllowConcurrentAttempts ||
		s.DrainGracePeriod != 250*time.Millisecond || s.AnswerGracePeriod != 20*time.Millisecond {
		t.Fatalf("settings: %+v", s)
	}
	b = decode(t, d, `["table",0,[["10.0.0.1:1",57,"Terminating","l","x",1.5,null],["10.0.0.2:1",57,"Ready","?","?",null,1]]],`+
		`["directory_update",3,"disk",41,0],`+
		`["ingress",3,"8069a7405d3a91c4","text","q","91f03b7c55d20a64",240000,12000,57,19],`+
		`["report_back",3,"8069a7405d3a91c4",0,"10.0.0.1:1",254,18500,false,250,{"x0":0.5,"x1":7,"busy_reqs":3}],`+
		`["report_back",3,"8069a7405d3a91c4",1,"10.0.0.1:1",249,5,true,1,null],`+
		`["wake",3,"w"],["timed_out_client",3,"48a935400e6f2b19"],["probe_result",3,252,1,"10.0.0.1:1",{"x0":0.5,"x1":7}],`+
		`["ingress",3,"9069a7405d3a91c4","text",0,null,240000,null,57,0],["from_peer",3,2,"aGkgNw=="],["novel",3],`+
		`["crash_now",3]`)
	want := []raventrestle.Event{
		raventrestle.ListUpdate{Kind: raventrestle.ListCached, Entries: []raventrestle.Entry{
			{Target: "10.0.0.1:1", Dest: 57, State: raventrestle.Draining, Kind: 1, Zone: 0, RateLimit: 1.5},
			{Target: "10.0.0.2:1", Dest: 57, State: raventrestle.Ready, Kind: -1, Zone: -1, JoinedAt: time.Microsecond},
		}},
		raventrestle.Arrival{
			ID: "8069a7405d3a91c4", Dest: 57,
			Budget: 240 * time.Millisecond, Estimate: 12 * time.Millisecond, Tenant: 1, Resubmitted: true, Orphaned: true,
		},
		raventrestle.Outcome{
			ID: "8069a7405d3a91c4", Target: "10.0.0.1:1", Status: raventrestle.Rejected,
			Duration: 18500 * time.Microsecond, RetryAfter: 250 * time.Millisecond,
			Report: raventrestle.LimitReport{Remaining: 0.5, Limit: 7},
		},
		raventrestle.Outcome{
			ID: "8069a7405d3a91c4", Target: "10.0.0.1:1", Status: raventrestle.NotSent, Attempt: 1,
			Duration: 5 * time.Microsecond, Final: true,
		},
		raventrestle.Wake{},
		raventrestle.Withdrawn{ID: "48a935400e6f2b19"},
		raventrestle.ProbeResult{
			Target: "10.0.0.1:1", Status: raventrestle.ConnectFailed, Duration: time.Microsecond,
			Report: raventrestle.LimitReport{Remaining: 0.5, Limit: 7},
		},
		raventrestle.Arrival{ID: "9069a7405d3a91c4", Dest: 57, Budget: 240 * time.Millisecond, Tenant: -1},
		raventrestle.PeerMessage{From: 2, Data: []byte("hi 7")},
		nil, nil,
	}
	for i, w := range want {
		if !reflect.DeepEqual(b.Items[i].Event, w) {
			t.Errorf("event %d: %+v, want %+v", i, b.Items[i].Event, w)
		}
	}
	if b.Items[9].Op != Other || b.Items[10].Op != Kill {
		t.Errorf("operations %v, %v", b.Items[9].Op, b.Items[10].Op)
	}
}

// A number of a list is taken over by a fresh one, even further on in one batch.
func TestTableNumbersAreReused(t *testing.T) {
	d := NewDecoder()
	decode(t, d, boot)
	b := decode(t, d, `["table",0,[["a:1",1,"Ready","k","x",1,null]]],["directory_update",3,"diff",1,0],`+
		`["table",0,[["b:1",1,"Gone","k","x",1,null]]],["directory_update",3,"snapshot",2,0],`+
		`["directory_update",3,"error",2,null]`)
	first, second := b.Items[0].Event.(raventrestle.ListUpdate), b.Items[1].Event.(raventrestle.ListUpdate)
	if first.Entries[0].Target != "a:1" || second.Entries[0].Target != "b:1" ||
		second.Kind != raventrestle.ListSnapshot || b.Items[2].Event.(raventrestle.ListUpdate).Kind != raventrestle.ListFailed {
		t.Fatalf("%+v", b.Items)
	}
}

func TestMalformed(t *testing.T) {
	for _, line := range []string{
		"", "[]", "{}", `{"clock_us":1}`, `{"clock_us":"x","arrivals":[]}`, `{"clock_us":1,"arrivals":[7]}`,
		`{"clock_us":1,"arrivals":[["wake",3,"w"]]}`,
		`{"clock_us":1,"arrivals":[` + boot + `,["ingress",3,"a","nosuch",null,null,1,null,1,0]]}`,
		`{"clock_us":1,"arrivals":[` + boot + `,["report_back",3,"a",0,"t",17,1,false,null,null]]}`,
		`{"clock_us":1,"arrivals":[` + boot + `,["directory_update",3,"diff",1,5]]}`,
		`{"clock_us":1,"arrivals":[["table",0,[["a:1",1,"Perhaps","k","x",1,null]]]]}`,
	} {
		if _, err := NewDecoder().Decode([]byte(line)); err == nil {
			t.Errorf("%q: no error", line)
		}
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Add(3, raventrestle.Send{ID: "ab", Target: "t:1", Timeout: 80 * time.Millisecond})
	r.Add(3, raventrestle.Refuse{ID: "ab", RetryAfter: time.Second})
	r.Add(3, raventrestle.Fail{ID: "ab"})
	r.Add(3, raventrestle.Subscribe{})
	r.Add(3, raventrestle.Cancel{ID: "ab", Attempt: 1})
	r.Add(3, raventrestle.Probe{Target: "t:1"})
	r.Add(3, raventrestle.SendPeerMessage{To: -1, Data: []byte("hi 7")})
	r.Add(3, raventrestle.WakeAt{At: 1500 * time.Nanosecond})
	r.Add(3, raventrestle.Log{Text: `say "x"`})
	want := `{"cmds":[["attempt",3,"ab",80000,"t:1"],["reject",3,"ab",1000000],["surrender",3,"ab"],` +
		`["listen",3,true],["cancel",3,"ab",1],["test",3,"t:1"],["signal",3,-1,"aGkgNw=="],["notify_me",3,"w",2],["log",3,"say \"x\""]]}`
	if got := strings.TrimSpace(string(r.Line())); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if got := string(r.Line()); got != "{\"cmds\":[]}\n" {
		t.Errorf("an empty reply is %q", got)
	}
}
