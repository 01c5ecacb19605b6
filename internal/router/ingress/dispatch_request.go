package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/configuration"
	"raventrestle/internal/router/call"
	"raventrestle/internal/router/dispatch"
)

// promptParts parses X-Prefix-Hash, a list of HASH:TOKENS with the hash in hexadecimal digits. The list ends at the
// first item that can't be parsed: only a prefix of the prompt is of use.
func promptParts(stated string) []dispatch.PromptPart {
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

// tokenUsage parses X-Token-Usage, the tokens of the prompt and of the output.
func tokenUsage(stated string) (prompt, output int, ok bool) {
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

// dispatchRequest returns what the dispatcher needs to know of the request.
func (a *acceptedRequest) dispatchRequest(header http.Header) dispatch.Request {
	request := dispatch.Request{
		Service:        a.service.Name,
		RoutePriority:  a.route.Priority,
		Streaming:      a.route.Type == configuration.Streaming,
		Resumed:        header.Get(call.LastEventHeader) != "",
		Retryable:      a.retryable(),
		LatencyTarget:  a.arrivedAt.Add(time.Duration(a.route.LatencyTargetMS) * time.Millisecond),
		Deadline:       a.deadline,
		EventGapTarget: time.Duration(a.route.EventGapTargetMS) * time.Millisecond,
		ArrivedAt:      a.arrivedAt,
		MaxEndpoints:   a.route.MaxAttempts,
		Charge:         1,
		ClientRetry:    a.clientRetry,
	}
	var usageStated bool
	request.PromptTokens, request.OutputTokens, usageStated = tokenUsage(header.Get("X-Token-Usage"))
	if a.service.Engine != nil {
		request.Model, request.Adapter, _ = strings.Cut(header.Get("X-Model"), "/")
		request.PromptParts = promptParts(header.Get("X-Prefix-Hash"))
	}
	if a.tenant == nil {
		return request
	}
	request.Tenant = a.tenant.Name
	request.TenantPriority = a.tenant.Priority
	if a.tenant.Unit == configuration.UnitTokens {
		request.Charge = float64(a.tenant.DefaultTokens)
		if usageStated {
			request.Charge = float64(request.PromptTokens + request.OutputTokens)
		}
	}
	return request
}
