package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/dispatch"
)

// parts reads X-Prefix-Hash; what can't be read ends the list.
func parts(stated string) []dispatch.PromptPart {
	if stated == "" {
		return nil
	}
	list := make([]dispatch.PromptPart, 0, 1+strings.Count(stated, ","))
	for item := range strings.SplitSeq(stated, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(item), ":")
		hash, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			break
		}
		tokens, err := strconv.Atoi(size)
		if err != nil || tokens < 0 {
			break
		}
		list = append(list, dispatch.PromptPart{Hash: hash, Tokens: tokens})
	}
	return list
}

// usage reads X-Token-Usage.
func usage(stated string) (prompt, output int, ok bool) {
	first, second, ok := strings.Cut(stated, ",")
	if !ok {
		return 0, 0, false
	}
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || prompt < 0 {
		return 0, 0, false
	}
	output, err = strconv.Atoi(strings.TrimSpace(second))
	if err != nil || output < 0 {
		return 0, 0, false
	}
	return prompt, output, true
}

// request is what dispatch needs to know.
func (a *admitted) request(r *http.Request) dispatch.Request {
	q := dispatch.Request{
		Service:       a.service.Name,
		RoutePriority: a.route.Priority,
		Streaming:     a.route.Type == configuration.Streaming,
		Retryable:     a.repeatable(),
		LatencyTarget: a.arrived.Add(time.Duration(a.route.LatencyTargetMS) * time.Millisecond),
		Deadline:      a.deadline,
		ArrivedAt:     a.arrived,
		MaxEndpoints:  a.route.MaxAttempts,
		Charge:        1,
		ClientRetry:   a.again,
	}
	var counted bool
	q.PromptTokens, q.OutputTokens, counted = usage(r.Header.Get("X-Token-Usage"))
	if a.service.Engine != nil {
		q.Model, q.Adapter, _ = strings.Cut(r.Header.Get("X-Model"), "/")
		q.PromptParts = parts(r.Header.Get("X-Prefix-Hash"))
	}
	if a.tenant == nil {
		return q
	}
	q.Tenant = a.tenant.Name
	q.TenantPriority = a.tenant.Priority
	if a.tenant.Unit == configuration.UnitTokens {
		q.Charge = float64(a.tenant.DefaultTokens)
		if counted {
			q.Charge = float64(q.PromptTokens + q.OutputTokens)
		}
	}
	return q
}

func (a *admitted) repeatable() bool {
	return a.route.Type == configuration.Idempotent || a.resumable()
}

func (a *admitted) resumable() bool {
	return a.route.Type == configuration.Streaming && a.route.Resumable
}
