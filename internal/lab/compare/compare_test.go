package compare

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

func pairs(n int, shift, spread float64, seed uint64) []Pair {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var all []Pair
	for i := range n {
		a := rnd.Float64()
		all = append(all, Pair{Seed: uint64(i), A: a, B: a + shift + spread*rnd.NormFloat64()})
	}
	return all
}

// A shift well over the noise is shown with its size; none is taken for noise in about 95 of 100
// cases, whatever the days are worth in themselves.
func TestOf(t *testing.T) {
	r, err := Of(pairs(20, 0.05, 0.03, 1))
	if err != nil || r.Noise || math.Abs(r.Mean-0.05) > 0.02 || r.Low > r.Mean || r.High < r.Mean {
		t.Fatalf("%+v %v", r, err)
	}
	again, err := Of(pairs(20, 0.05, 0.03, 1))
	if err != nil || again != r {
		t.Fatal("another answer to the same figures")
	}
	wrong := 0
	for seed := range uint64(100) {
		r, err := Of(pairs(20, 0, 0.05, seed+100))
		if err != nil {
			t.Fatal(err)
		}
		if !r.Noise {
			wrong++
		}
	}
	if wrong > 15 {
		t.Fatalf("%d of 100 times something was seen where nothing was", wrong)
	}
	if _, err := Of(pairs(2, 1, 0, 1)); !errors.Is(err, ErrFew) {
		t.Fatal(err)
	}
}
