package dispatch

import (
	"math"

	"raventrestle/internal/portablemath"
)

// PredictionErrors describes the accuracy of the predictions of the time to the first byte. Ratios are the observed
// time divided by the predicted time.
type PredictionErrors struct {
	Count            int
	MedianRatio      float64
	Percentile95     float64 // of the ratio
	MeanAbsoluteMS   float64
	MeanPredictedMS  float64
	buckets          [errorBuckets]int // counts by the binary logarithm of the ratio
	sumAbs, sumTotal float64
}

const (
	errorBuckets    = 64
	errorBucketSize = 0.125 // of the binary logarithm
)

// add records one prediction; times are in ms.
func (p *PredictionErrors) add(predicted, observed float64) {
	p.Count++
	p.sumAbs += math.Abs(predicted - observed)
	p.sumTotal += predicted
	bucket := int(portablemath.Log2(max(observed, 0.01)/max(predicted, 0.01))/errorBucketSize) + errorBuckets/2
	p.buckets[min(max(bucket, 0), errorBuckets-1)]++
}

// PredictionErrors returns the errors since the decider was created.
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

// quantile returns the ratio that the given fraction of the predictions does not exceed.
func (p *PredictionErrors) quantile(fraction float64) float64 {
	target := fraction * float64(p.Count)
	sum := 0
	for i, n := range p.buckets {
		sum += n
		if float64(sum) >= target {
			return portablemath.Exp2(float64(i-errorBuckets/2) * errorBucketSize)
		}
	}
	return math.Inf(1)
}
