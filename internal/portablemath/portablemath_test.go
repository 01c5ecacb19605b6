package portablemath

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	cases    = 100_000
	maxUnits = 3.0 // in the last place: two of Exp, one of math.Exp
)

// inUnits returns the difference of got and want in units of the last place of want.
func inUnits(got, want float64) float64 {
	if got == want || math.IsNaN(got) && math.IsNaN(want) {
		return 0
	}
	return math.Abs(got-want) / (math.Nextafter(math.Abs(want), math.Inf(1)) - math.Abs(want))
}

// functions are the package's functions beside those of the standard library, and the arguments to compare them with.
var functions = []struct {
	name      string
	got, want func(float64) float64
	argument  func(*rand.Rand) float64
	// special are arguments for which both must return the same value.
	special []float64
}{
	{
		"Exp", Exp, math.Exp, func(r *rand.Rand) float64 { return (r.Float64() - 0.5) * 1400 },
		[]float64{0, math.Inf(1), math.Inf(-1), math.NaN(), 710, -745.14, -750},
	},
	{"Exp near 0", Exp, math.Exp, func(r *rand.Rand) float64 { return r.NormFloat64() }, nil},
	{
		"Exp2", Exp2, math.Exp2, func(r *rand.Rand) float64 { return (r.Float64() - 0.5) * 2000 },
		[]float64{0, 1, -1, 10, 1023, -1060, 1e300, -1e300, math.Inf(1), math.Inf(-1), math.NaN()},
	},
}

func TestResultsAreThoseOfTheStandardLibrary(t *testing.T) {
	for _, f := range functions {
		random := rand.New(rand.NewPCG(1, 1))
		for range cases {
			x := f.argument(random)
			if got, want := f.got(x), f.want(x); inUnits(got, want) > maxUnits {
				t.Errorf("%s(%v) = %v, want %v", f.name, x, got, want)
				break
			}
		}
		for _, x := range f.special {
			if got, want := f.got(x), f.want(x); inUnits(got, want) != 0 {
				t.Errorf("%s(%v) = %v, want exactly %v", f.name, x, got, want)
			}
		}
	}
}

// TestBitsAreThoseOfEveryArchitecture compares a hash of all bits with the one recorded. On architectures with fused
// multiplication and addition it needs the build flag that the package comment names; check.sh sets it.
func TestBitsAreThoseOfEveryArchitecture(t *testing.T) {
	const want = 0x636cbd334c6c28c7
	sum := fnv.New64a()
	random := rand.New(rand.NewPCG(2, 2))
	for range cases {
		x := (random.Float64() - 0.25) * 100
		for _, result := range []float64{Exp(x), Exp2(x), Log(math.Abs(x)), Log2(math.Abs(x))} {
			_ = binary.Write(sum, binary.BigEndian, math.Float64bits(result))
		}
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("hash of the results' bits %#x, want %#x", got, uint64(want))
	}
}
