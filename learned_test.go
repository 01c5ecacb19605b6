package raventrestle

import (
	"encoding/json"
	"testing"
)

// Earlier versions wrote these keys, and a process of such a version may take over from this one: the keys must not
// change.
func TestLearnedKeepsJSONKeys(t *testing.T) {
	const text = `{"CallSec":1.5,"Mean":2,"Dev":3,"N":4,"IdleLife":5,"Told":true,"Dests":[{"Dest":6,"CallSec":7,"Shut":8,` +
		`"Left":9,"Cramped":true,"Targets":[{"Target":"t","Health":1,"Fails":2,"Mean":3,"Usual":4,"Bad":5,"All":6,"OddsAt":7,` +
		`"Since":8,"RampAt":9,"LastOK":10,"LastSent":11,"Every":12,"Route":{"Size":1,"Knee":2,"Rate":3,"Tokens":4,"Brisk":5,` +
		`"Told":true,"Shut":true,"FilledAt":6,"BriskAt":7,"CutAt":8,"Until":9,"DownAt":10,"LastOK":11,"NextAt":12,"Mean":13,` +
		`"Dev":14,"Fails":15,"N":16}}]}]}`
	var l Learned
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	r := l.Dests[0].Targets[0].Route
	if !l.Dests[0].ConnLimited || r.Threshold != 2 || r.SentRate != 5 || r.SentRateAt != 7 {
		t.Fatalf("read as %+v with route %+v", l, *r)
	}
	written, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	var before, after any
	if err := json.Unmarshal([]byte(text), &before); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(written, &after); err != nil {
		t.Fatal(err)
	}
	x, _ := json.Marshal(before) // with sorted keys
	y, _ := json.Marshal(after)
	if string(x) != string(y) {
		t.Fatalf("written as\n%s, read as\n%s", y, x)
	}
}
