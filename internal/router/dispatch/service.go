package dispatch

import (
	"time"

	"raventrestle/internal/configuration"
)

// service is one service with what this router has learned about it.
type service struct {
	name                string
	config              *configuration.Service // nil until a configuration names it
	endpoints           int                    // number of endpoints in the table
	ejected             int                    // number of those that are ejected or recovering
	inFlight            int                    // this router's calls in flight
	groups              map[string]*modelGroup // by model; "" for requests that name no model
	budget              retryBudget
	fairness            fairness
	pastTargetFraction  float64    // moving average of the fraction of calls without a first byte that were sent past their target
	durationMS          float64    // mean duration of a call; 0: unknown
	firstByteRegression regression // over all groups
	promptSizes         sizeDistribution
}

// modelGroup is the endpoints that have one model; for requests that name no model, it is all endpoints of the
// service.
type modelGroup struct {
	service             *service
	model               string
	loadTime            time.Duration // as configured
	adapterCount        int           // as configured
	residencies         []*residency
	targets             map[string]*demandTarget // by adapter
	firstByteRegression regression
	durationBounds      durationBounds
	meanPrefillTokens   float64
	meanKVTokens        float64 // tokens that a request takes in an endpoint's KV cache
	expectedLoads       []expectedLoad
	overloadedAt        time.Duration // when a request was last rejected as TargetUnreachable
	overloadedSince     time.Duration // when the current series of such rejections began
	lastOnTargetSendAt  time.Duration // when a request was last sent that was not past its target
	lastResortAt        time.Duration // when lastResort last selected an endpoint
	version             int           // incremented when a slot may have become free or endpoints have changed
	unassigned          []*request    // in order of arrival
	sizeIntervalsStale  bool          // residencies were added or removed since assignSizeIntervals
}

// ensureService returns the service with this name, creating it if needed.
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

// engine returns the configuration of the service's engine; nil if its endpoints have no models.
func (s *service) engine() *configuration.Engine {
	if s.config == nil {
		return nil
	}
	return s.config.Engine
}
