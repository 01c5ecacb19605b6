package main

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestGoldenMembersJSON pins the answer of /-/members, which -json prints as it is: keys, order, what is left out.
func TestGoldenMembersJSON(t *testing.T) {
	age := int64(7)
	for _, test := range []struct {
		view groupView
		want string
	}{
		{
			groupView{
				Self: "self-1", Epoch: 2, Committed: 3, Generation: 4, Leader: true, LeaseMS: 5, AsOfMS: &age,
				Members: []memberView{{
					Identity: "member-1", Address: "member-2", Control: "member-3", Zone: "member-4",
					Live: true, Voter: true, Position: 6,
				}},
			},
			`{"self":"self-1","epoch":2,"committed":3,"generation":4,"leader":true,"lease_ms":5,"as_of_ms":7,"members":[` +
				`{"identity":"member-1","address":"member-2","control":"member-3","zone":"member-4","live":true,` +
				`"voter":true,"place":6}]}`,
		},
		{
			groupView{Members: []memberView{{Live: true}, {Voter: true}}},
			`{"self":"","epoch":0,"committed":0,"generation":0,"leader":false,"members":[` +
				`{"identity":"","address":"","control":"","zone":"","live":true,"voter":false},` +
				`{"identity":"","address":"","control":"","zone":"","live":false,"voter":true}]}`,
		},
	} {
		got, err := json.Marshal(test.view)
		if err != nil || string(got) != test.want {
			t.Errorf("got %s, %v, want %s", got, err, test.want)
		}
		var back groupView
		if err := json.Unmarshal([]byte(test.want), &back); err != nil || !reflect.DeepEqual(back, test.view) {
			t.Errorf("read back: got %+v, %v, want %+v", back, err, test.view)
		}
	}
	if got, want := reflect.TypeFor[groupView]().NumField(), 8; got != want {
		t.Errorf("got %d fields of a group, want the %d that are pinned above", got, want)
	}
	if got, want := reflect.TypeFor[memberView]().NumField(), 7; got != want {
		t.Errorf("got %d fields of a member, want the %d that are pinned above", got, want)
	}
}

// TestGoldenDifferencesJSON pins what config -json diff prints of each difference.
func TestGoldenDifferencesJSON(t *testing.T) {
	found, err := differences([]byte(`{"generation":1,"routes":[{"name":"a"},7]}`), []byte(`{"generation":2,"routes":[{"name":"b"},7]}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(found)
	const want = `[{"sign":"-","item":"routes a"},{"sign":"~","item":"generation"},{"sign":"+","item":"routes b"}]`
	if err != nil || string(got) != want {
		t.Errorf("got %s, %v, want %s", got, err, want)
	}
}

// TestGoldenBoundsAtTheEnd pins how long an instance may take at its end, and how many connections it serves.
func TestGoldenBoundsAtTheEnd(t *testing.T) {
	for _, test := range []struct {
		what      string
		got, want any
	}{
		{"ms to answer what is under way", shutdownTimeout.Milliseconds(), int64(700)},
		{"ms left before SIGKILL", killMargin.Milliseconds(), int64(800)},
		{"ms to hand over without a grace", defaultHandoverTimeout.Milliseconds(), int64(2000)},
		{"ms of a call by a command", callTimeout.Milliseconds(), int64(5000)},
		{"bytes of an answer to a command", maxResponseBytes, 16 << 20},
		{"descriptors kept for files", reservedFileDescriptors, 200},
		{"fewest connections", minConnections, 256},
		{"ms from which a table is old", staleAgeMS, 1000},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", test.what, test.got, test.want)
		}
	}
}
