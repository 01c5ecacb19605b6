package dispatch

import (
	"math"
)

// PredictionErrors says how good the predictions of the time to the first byte were. Ratios are observed by predicted.
type PredictionErrors struct {
	Count            int
	MedianRatio      float64
	Percentile95     float64 // of the ratio
	MeanAbsoluteMS   float64
	MeanPredictedMS  float64
	buckets          [errorBuckets]int
	sumAbs, sumTotal float64
}

const (
	errorBuckets    = 64
	errorBucketSize = 0.125 // in powers of two
)

// add counts one prediction; times in ms.
func (x *PredictionErrors) add(predicted, seen float64) {
	x.Count++
	x.sumAbs += math.Abs(predicted - seen)
	x.sumTotal += predicted
	at := int(math.Log2(max(seen, 0.01)/max(predicted, 0.01))/errorBucketSize) + errorBuckets/2
	x.buckets[min(max(at, 0), errorBuckets-1)]++
}

// PredictionErrors returns the errors since the start.
func (d *Decider) PredictionErrors() PredictionErrors {
	x := d.predictionErrors
	if x.Count == 0 {
		return x
	}
	x.MeanAbsoluteMS = x.sumAbs / float64(x.Count)
	x.MeanPredictedMS = x.sumTotal / float64(x.Count)
	x.MedianRatio = x.quantile(0.5)
	x.Percentile95 = x.quantile(0.95)
	return x
}

// quantile returns the ratio below which the given fraction of the predictions is.
func (x *PredictionErrors) quantile(part float64) float64 {
	want := part * float64(x.Count)
	sum := 0
	for i, n := range x.buckets {
		sum += n
		if float64(sum) >= want {
			return math.Exp2(float64(i-errorBuckets/2) * errorBucketSize)
		}
	}
	return math.Inf(1)
}
