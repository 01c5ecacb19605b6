// Package scoring computes one score of service from the messages of a run, with the operators' weights, so that runs can
// be compared. Its functions have no side effects.
package scoring

import (
	"math"
	"time"
)

// Weights of the parts of the score, which add up to 1, and the length of the windows.
const (
	OverallWeight     = 0.4
	WorstWindowWeight = 0.3 // the worst window of WindowLength
	WorstClassWeight  = 0.2 // the class with the lowest share
	WorstTenantWeight = 0.1 // the tenant with the lowest share; what a tenant requests beyond its part does not count
	WindowLength      = 10 * time.Second
)

// Message contains the properties of a message that its score depends on.
type Message struct {
	Class, Tenant           string
	SubmittedAt             time.Duration // from the start of the traffic
	DeliveryTime            time.Duration // from submission to delivery; negative if the message was not delivered
	Value                   float64
	LatencyTarget, Deadline time.Duration
	MinLateShare            float64 // lowest share of the value that a late delivery earns, up to the deadline
}

// EarnedValue returns the value that the delivery earned: the full value within the latency target, half as much for each
// further latency target but at least MinLateShare of the value, and nothing after the deadline.
func (m Message) EarnedValue() float64 {
	switch {
	case m.DeliveryTime < 0 || m.DeliveryTime > m.Deadline:
		return 0
	case m.DeliveryTime <= m.LatencyTarget:
		return m.Value
	}
	return m.Value * max(m.MinLateShare, math.Exp2(-float64(m.DeliveryTime-m.LatencyTarget)/float64(m.LatencyTarget)))
}

// ServiceScore is the score of a run and its parts. Each part is the share of the requested value that was earned.
type ServiceScore struct {
	Score            float64            `json:"figure"`
	Overall          float64            `json:"whole"`
	WorstWindow      float64            `json:"worst_10s"`
	WorstWindowStart time.Duration      `json:"worst_at_ns"`
	ByClass          map[string]float64 `json:"by_class"`
	ByTenant         map[string]float64 `json:"by_hotel"`
	WorstTenant      string             `json:"worst_hotel"`
	WorstClass       string             `json:"worst_class"`
}

type valueSum struct{ earned, requested float64 }

func (s valueSum) share() float64 {
	if s.requested == 0 {
		return 1
	}
	return s.earned / s.requested
}

// ScoreService computes the score of a run whose traffic had the given length. tenantShares contains each tenant's part of
// the requested value. What a tenant requests beyond its part does not lower its share.
func ScoreService(messages []Message, length time.Duration, tenantShares map[string]float64) ServiceScore {
	s := ServiceScore{ByClass: map[string]float64{}, ByTenant: map[string]float64{}, WorstWindow: 1}
	var total valueSum
	classes, tenants := map[string]valueSum{}, map[string]valueSum{}
	seconds := make([]valueSum, int(length/time.Second)+1)
	for _, m := range messages {
		earned := m.EarnedValue()
		add := func(sum valueSum) valueSum { return valueSum{sum.earned + earned, sum.requested + m.Value} }
		total = add(total)
		classes[m.Class], tenants[m.Tenant] = add(classes[m.Class]), add(tenants[m.Tenant])
		if i := int(m.SubmittedAt / time.Second); i >= 0 && i < len(seconds) {
			seconds[i] = add(seconds[i])
		}
	}
	s.Overall = total.share()
	windowSeconds := int(WindowLength / time.Second)
	for i := 0; i+windowSeconds <= len(seconds) || i == 0; i++ {
		var window valueSum
		for _, second := range seconds[i:min(i+windowSeconds, len(seconds))] {
			window = valueSum{window.earned + second.earned, window.requested + second.requested}
		}
		if window.requested > 0 && window.share() < s.WorstWindow {
			s.WorstWindow, s.WorstWindowStart = window.share(), time.Duration(i)*time.Second
		}
	}
	worstClass, worstTenant := 1.0, 1.0
	for name, class := range classes {
		if s.ByClass[name] = class.share(); class.share() < worstClass || class.share() == worstClass && (s.WorstClass == "" || name < s.WorstClass) {
			worstClass, s.WorstClass = class.share(), name
		}
	}
	for name, tenant := range tenants {
		if tenantValue := tenantShares[name] * total.requested; tenantValue > 0 && tenant.requested > tenantValue {
			tenant.requested = max(tenantValue, tenant.earned)
		}
		if s.ByTenant[name] = tenant.share(); tenant.share() < worstTenant || tenant.share() == worstTenant && (s.WorstTenant == "" || name < s.WorstTenant) {
			worstTenant, s.WorstTenant = tenant.share(), name
		}
	}
	s.Score = OverallWeight*s.Overall + WorstWindowWeight*s.WorstWindow + WorstClassWeight*worstClass + WorstTenantWeight*worstTenant
	return s
}
