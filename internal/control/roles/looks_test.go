package roles

import (
	"fmt"
	"testing"
)

func TestLooksAreBounded(t *testing.T) {
	l := newLooks()
	var ids []string
	for n := range 100 {
		ids = append(ids, fmt.Sprint(n))
	}
	l.want(ids)
	l.want(ids) // the same again
	asked := make(map[string]int)
	var open []string
	for steps := 0; l.wait() || len(open) > 0; steps++ {
		if steps > 1000 {
			t.Fatal("it does not end")
		}
		now := l.next()
		if len(now) > looksPerStep {
			t.Fatalf("%d in one step", len(now))
		}
		for _, id := range now {
			asked[id]++
		}
		open = append(open, now...)
		if len(open) > looksAtOnce {
			t.Fatalf("%d at once", len(open))
		}
		if !l.wait() {
			l.done(open[0])
			open = open[1:]
		}
	}
	for _, id := range ids {
		if asked[id] != 1 {
			t.Errorf("%s was asked %d times", id, asked[id])
		}
	}
	l.want(ids[:1])
	if got := l.next(); len(got) != 1 {
		t.Errorf("after its answer an endpoint is asked again: %v", got)
	}
}
