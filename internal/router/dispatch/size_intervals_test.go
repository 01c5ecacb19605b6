package dispatch

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"raventrestle/internal/protocol"
)

// The size intervals are in order, and all prompts of a size have the same one. Together they cover all tokens once.
func TestSizeIntervalsCoverAllTokensOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sizes sizeDistribution
		prompts := rapid.SliceOfN(rapid.IntRange(1, 1<<20), int(minSizeSamples)+8, 200).Draw(t, "prompts")
		for _, tokens := range prompts {
			sizes.add(tokens)
		}
		covered, previousFrom := 0.0, -1.0
		for bucket, tokens := range sizes.tokens {
			if tokens == 0 {
				continue
			}
			for _, prompt := range prompts {
				if sizeBucket(prompt) != bucket {
					continue
				}
				interval := sizes.interval(prompt)
				if interval.from < previousFrom || interval.to < interval.from || interval.to > 1+1e-9 {
					t.Fatalf("got interval %v of %d tokens after one that begins at %v", interval, prompt, previousFrom)
				}
				previousFrom = interval.from
				covered += interval.to - interval.from
				break
			}
		}
		if covered < 1-1e-6 || covered > 1+1e-6 {
			t.Fatalf("the intervals cover %v of all tokens, want 1", covered)
		}
	})
}

func TestSizeBucketsAreInOrder(t *testing.T) {
	previous := 0
	for tokens := range 1 << 16 {
		bucket := sizeBucket(tokens)
		if bucket < previous || bucket > previous+1 && tokens > sizeSubdivisions {
			t.Fatalf("got bucket %d of %d tokens after %d", bucket, tokens, previous)
		}
		previous = bucket
	}
}

// sendSized sends the decider prompts of the given sizes in turn, and returns how many prompts of each size each
// endpoint got. The first 100 prompts are not counted.
func sendSized(t *testing.T, router uint64, without Mechanism, sizes ...int) map[int]map[string]int {
	t.Helper()
	var table []protocol.Endpoint
	for _, id := range []string{"a", "b", "c", "d"} {
		table = append(table, modelEndpoint(id, 1, "m"))
	}
	s := newScript(t, table...)
	s.d.seed = router
	s.d.config.Without = without
	sendCounts := map[int]map[string]int{}
	for i := range 400 {
		r := s.request("m")
		r.PromptTokens = sizes[i%len(sizes)]
		send := s.oneSend(s.step(10+50*i, RequestArrived{r}))
		s.step(10+50*i+20, FirstByteReceived{ID: r.ID, Endpoint: send.Endpoint})
		s.step(10+50*i+40, AttemptFinished{ID: r.ID, Endpoint: send.Endpoint})
		if i < 100 {
			continue // the sizes are being learned
		}
		if sendCounts[r.PromptTokens] == nil {
			sendCounts[r.PromptTokens] = map[string]int{}
		}
		sendCounts[r.PromptTokens][send.Endpoint]++
	}
	return sendCounts
}

// Prompts of different sizes are sent to different endpoints, by each router to the same ones. Without the mechanism
// the sizes mix.
func TestPromptsOfDifferentSizesGoToDifferentEndpoints(t *testing.T) {
	shared := func(sendCounts map[int]map[string]int) int {
		count := 0
		for id := range sendCounts[4000] {
			if sendCounts[200][id] > 0 {
				count++
			}
		}
		return count
	}
	first := sendSized(t, 1, 0, 200, 200, 200, 200, 4000)
	if n := shared(first); n > 0 {
		t.Errorf("got %v: %d endpoints have prompts of both sizes, want none", first, n)
	}
	second := sendSized(t, 2, 0, 200, 200, 200, 200, 4000)
	for _, size := range []int{200, 4000} {
		for id := range second[size] {
			if first[size][id] == 0 && first[4200-size][id] > 0 {
				t.Errorf("a second router sends prompts of %d tokens to %s, which the first uses for others", size, id)
			}
		}
	}
	if mixed := sendSized(t, 1, SizeIntervals, 200, 200, 200, 200, 4000); shared(mixed) == 0 {
		t.Errorf("got %v without size intervals: no endpoint has prompts of both sizes, want some", mixed)
	}
}

// If all prompts have about the same size, no endpoint is preferred because of it.
func TestEqualSizesPreferNoEndpoint(t *testing.T) {
	got, want := sendSized(t, 1, 0, 1000), sendSized(t, 1, SizeIntervals, 1000)
	if !maps.Equal(got[1000], want[1000]) {
		t.Errorf("got %v, want %v as without size intervals", got, want)
	}
}

func TestIntervalsOfResidenciesFollowThePlacement(t *testing.T) {
	var g modelGroup
	for i := range 5 {
		g.residencies = append(g.residencies, &residency{group: &g, endpoint: &endpoint{hash: stringHash(fmt.Sprint("e", i))}})
	}
	for len(g.residencies) > 0 {
		g.sizeIntervalsStale = true
		g.assignSizeIntervals()
		sum := 0.0
		for _, res := range g.residencies {
			sum += res.sizeInterval.to - res.sizeInterval.from
		}
		if sum < 1-1e-9 || sum > 1+1e-9 {
			t.Errorf("%d residencies have intervals of %v in all, want 1", len(g.residencies), sum)
		}
		g.residencies = g.residencies[1:]
	}
}
