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
func (p *PredictionErrors) add(predicted, seen float64) {
	p.Count++
	p.sumAbs += math.Abs(predicted - seen)
	p.sumTotal += predicted
	at := int(math.Log2(max(seen, 0.01)/max(predicted, 0.01))/errorBucketSize) + errorBuckets/2
	p.buckets[min(max(at, 0), errorBuckets-1)]++
}

// PredictionErrors returns the errors since the start.
func (d *Decider) PredictionErrors() PredictionErrors {
	p := d.predictionErrors
	if p.Count == 0 {
		return p
	}
	p.MeanAbsoluteMS = p.sumAbs / float64(p.Count)
	p.MeanPredictedMS = p.sumTotal / float64(p.Count)
	p.MedianRatio = p.quantile(0.5)
	p.Percentile95 = p.quantile(0.95)
	return p
}

// quantile returns the ratio below which the given fraction of the predictions is.
func (p *PredictionErrors) quantile(part float64) float64 {
	want := part * float64(p.Count)
	sum := 0
	for i, n := range p.buckets {
		sum += n
		if float64(sum) >= want {
			return math.Exp2(float64(i-errorBuckets/2) * errorBucketSize)
		}
	}
	return math.Inf(1)
}
