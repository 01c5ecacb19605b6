// Package portablemath provides exponentials and logarithms whose results have the same bits on every architecture, so
// that the recorded decisions of a decider can be compared exactly.
//
// The standard library computes math.Exp and math.Exp2 by a different method on each of amd64 and arm64. Exp and Exp2 of
// this package are made of exact functions and of single, correctly rounded operations. Log and Log2 are those of the
// standard library: its assembly for amd64 evaluates the expression of its Go code in the same order, so that the bits
// are the same where the compiler does not fuse multiplications with additions. On architectures where it does, programs
// must be built with -gcflags=all=-d=fmahash=qn for that.
package portablemath

import "math"

const (
	// ln2High + ln2Low is the natural logarithm of 2; the first has the bits of a float64.
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12
	// Beyond these arguments e**x overflows, or is less than half of the smallest number.
	maxExpArgument = 709.782712893384
	minExpArgument = -745.2
	// maxExp2Argument bounds the argument of Exp2: beyond it 2**x is 0 or infinite.
	maxExp2Argument = 1100
	// seriesScale divides the argument of the series of expm1Series; it is 2**seriesDoublings.
	seriesScale     = 16
	seriesDoublings = 4
)

// taylor are the coefficients 1/9! to 1/1! of the series of e**x - 1.
var taylor = [...]float64{1. / 362880, 1. / 40320, 1. / 5040, 1. / 720, 1. / 120, 1. / 24, 1. / 6, 1. / 2, 1}

// Exp returns e**x with an error of less than two units in the last place.
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExpArgument:
		return math.Inf(1)
	case x < minExpArgument:
		return 0
	}
	exponent := math.RoundToEven(x * math.Log2E)
	remainder := math.FMA(-ln2High, exponent, x)
	remainder = math.FMA(-ln2Low, exponent, remainder)
	return math.Ldexp(expNearZero(remainder), int(exponent))
}

// expNearZero returns e**x for x in [-1/2, 1/2]: by the series of e**(x/16) - 1 and four doublings of its argument.
func expNearZero(x float64) float64 {
	x /= seriesScale
	series := 0.0
	for _, coefficient := range taylor {
		series = math.FMA(series, x, coefficient)
	}
	result := float64(x * series) // the conversions keep the compiler from fusing operations
	for range seriesDoublings - 1 {
		result = float64(result * float64(result+2))
	}
	return math.FMA(result, float64(result+2), 1)
}

// Exp2 returns 2**x with an error of less than two units in the last place. Powers of two are exact.
func Exp2(x float64) float64 {
	x = max(min(x, maxExp2Argument), -maxExp2Argument)
	if math.IsNaN(x) {
		return x
	}
	exponent := math.RoundToEven(x)
	return math.Ldexp(expNearZero((x-exponent)*math.Ln2), int(exponent))
}

// Log returns the natural logarithm of x.
func Log(x float64) float64 { return math.Log(x) }

// Log2 returns the binary logarithm of x.
func Log2(x float64) float64 { return math.Log2(x) }
