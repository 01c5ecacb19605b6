package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPrefixCacheMatchesAPlainList compares the prefix cache with a plain list, most recently used first.
func TestPrefixCacheMatchesAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			key    uint64
			tokens int
		}
		var p prefixCache
		var plain []entry
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Second
			var hashes []uint64
			var parts []PromptPart
			for i := range rapid.IntRange(1, 4).Draw(t, "length") {
				key := uint64(i*10 + rapid.IntRange(0, 4).Draw(t, "key"))
				hashes = append(hashes, key)
				parts = append(parts, PromptPart{Hash: key, Tokens: 10 * (i + 1)})
			}
			want := 0
			for i, hash := range hashes {
				if !slices.ContainsFunc(plain, func(e entry) bool { return e.key == hash }) {
					break
				}
				want += parts[i].Tokens
			}
			if got := p.cachedTokens(hashes, parts, now); got != want {
				t.Fatalf("%d cached tokens of %v, want %d", got, hashes, want)
			}
			p.add(hashes, parts, now, 100)
			for i := len(hashes) - 1; i >= 0; i-- {
				plain = slices.DeleteFunc(plain, func(e entry) bool { return e.key == hashes[i] })
				plain = slices.Insert(plain, 0, entry{hashes[i], parts[i].Tokens})
			}
			sum := 0
			for i, e := range plain {
				if sum += e.tokens; sum > 100 {
					plain = plain[:i]
					break
				}
			}
			if len(p.index) != len(plain) || p.tokens > 100 {
				t.Fatalf("%d parts with %d tokens, want %d", len(p.index), p.tokens, len(plain))
			}
		}
		p.expire(now + prefixTTL + time.Second)
		if len(p.index) != 0 || p.tokens != 0 || p.nodes != nil {
			t.Fatalf("%d parts after their TTL, want none", len(p.index))
		}
	})
}

// TestTimersFireInOrder compares the heap with a sorted list.
func TestTimersFireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list timers
		dueAt := map[*request]time.Duration{}
		var all []*request
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			r := &request{}
			if len(all) > 0 && rapid.Bool().Draw(t, "again") {
				r = rapid.SampledFrom(all).Draw(t, "which")
			} else {
				all = append(all, r)
			}
			at := time.Duration(rapid.IntRange(1, 100).Draw(t, "at"))
			list.add(at, r)
			dueAt[r] = at
		}
		previous := time.Duration(0)
		for now := time.Duration(1); now <= 100; now++ {
			for r, ok := list.popDue(now); ok; r, ok = list.popDue(now) {
				if dueAt[r] != now || now < previous {
					t.Fatalf("due at %d, want %d", now, dueAt[r])
				}
				previous = now
				delete(dueAt, r)
			}
		}
		if len(dueAt) > 0 || len(list) > 0 {
			t.Fatalf("%d timers never fired and %d are left, want none", len(dueAt), len(list))
		}
	})
}

// Clients can't make the decider's tables grow without bound by the names that they choose.
func TestNamesChosenByClientsAreBounded(t *testing.T) {
	s := newScript(t, modelEndpoint("a", 1, "m"))
	rejection := s.oneRejection(s.step(1, RequestArrived{s.request("nonsense")}))
	if rejection.Reason != NoEndpoint || rejection.RetryAfter <= 0 {
		t.Errorf("rejected with %+v, want NoEndpoint and a RetryAfter", rejection)
	}
	if s.d.services["lm"].groups["nonsense"] != nil {
		t.Error("the unknown model has a group, want none")
	}
	for i := range 500 {
		r := s.request("m")
		r.Adapter = string(rune('A' + i))
		s.step(2+i, RequestArrived{r})
	}
	if n := len(s.d.services["lm"].groups["m"].targets); n > minTrackedTargets+1 {
		t.Errorf("%d adapters are tracked, want %d at most", n, minTrackedTargets+1)
	}
}
