package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
)

// service is one service with what this router learned of it.
type service struct {
	name               string
	config             *configuration.Service // nil until a configuration names it
	endpoints          int                    // in the table
	ejected            int                    // of those, ejected or recovering
	inFlight           int                    // this router's calls
	groups             map[string]*modelGroup // by model; "" for a service without models
	budget             retryBudget
	fairness           fairness
	pastTargetFraction float64    // of the calls without a first byte
	durationMS         float64    // mean of a call
	firstByteLine      regression // over all groups
	durationBounds     durationBounds
	promptSizes        sizeDistribution
}

// modelGroup is the endpoints that have one model, or all endpoints of a service without models.
type modelGroup struct {
	service            *service
	model              string
	loadTime           time.Duration // as configured
	adapterCount       int           // as configured
	residencies        []*residency
	targets            map[string]*demandTarget // by adapter
	firstByteLine      regression
	durationBounds     durationBounds
	meanPrefillTokens  float64
	meanKVTokens       float64 // that a request takes of an endpoint's KV cache
	expectedLoads      []expectedLoad
	overloadedAt       time.Duration // when a request was last rejected as TargetUnreachable
	overloadedSince    time.Duration // when the series of such rejections began
	lastOnTargetSendAt time.Duration
	lastResortAt       time.Duration // when an ejected endpoint was last probed for want of others
	version            int           // rises when a slot may have become free
	unassigned         []*request    // in order of arrival
	sizeOrderStale     bool          // residencies have come or gone since orderBySize
}

// ensureService returns the service of this name, creating it if needed.
func (d *Decider) ensureService(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, groups: map[string]*modelGroup{}}
		d.services[name] = s
	}
	return s
}

// ensureGroup returns the group of a model, creating it if needed.
func (s *service) ensureGroup(model string) *modelGroup {
	g := s.groups[model]
	if g == nil {
		g = &modelGroup{service: s, model: model, targets: map[string]*demandTarget{}}
		s.groups[model] = g
	}
	return g
}

// engine returns the configuration of the service's engine, nil if its endpoints have no models.
func (s *service) engine() *configuration.Engine {
	if s.config == nil {
		return nil
	}
	return s.config.Engine
}
