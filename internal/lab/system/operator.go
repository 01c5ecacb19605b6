package system

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"raventrestle/internal/configuration"
)

// Names in the configuration.
const (
	host             = "books.example"
	writerService    = "writer"
	ledgerService    = "ledger"
	writerPath       = "/write/"
	ledgerPath       = "/ledger/"
	oncePath         = "/once/" // streams that can't be resumed: they run once at most
	tenantName       = "library"
	tenantKey        = "key-of-the-library"
	modelMB          = 40000
	endpointMemoryMB = 90000
	retryBackoff     = 50 * time.Millisecond
	callTimeout      = 2 * time.Second
)

// models are those of the writer service; the last one is held nowhere at the start.
var models = []string{"sparrow", "wren", "heron", "stork"}

// firstConfiguration is what the operator sends.
func firstConfiguration() *configuration.Configuration {
	engine := &configuration.Engine{
		Slots: slots, KVTokens: 130000, KVBytesPerToken: 163840, LinkMbps: 10000, TokensPerEvent: 1,
		WeightMemoryMB: endpointMemoryMB, AdapterSlots: 2, LoadsPerSecond: 2,
	}
	for _, name := range models {
		engine.Models = append(engine.Models, configuration.Model{
			Name: name, WeightsMB: modelMB,
			LoadTimeSeconds: loadTime.Seconds(), AdapterCount: 1, AdapterSizeMB: 60,
		})
	}
	return &configuration.Configuration{
		Generation: 1,
		Limits: configuration.Limits{
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000,
			IdleTimeoutMS: 15000,
		},
		Services: []configuration.Service{
			{Name: writerService, HealthCheck: "/healthz", MaxConnections: 64, Protocol: "h1", Engine: engine},
			{Name: ledgerService, HealthCheck: "/healthz", MaxConnections: 64, Protocol: "h1"},
		},
		Routes: []configuration.Route{
			{
				Name: "write", Hostname: host, PathPrefix: writerPath, Type: configuration.Streaming, TimeoutMS: 10000,
				LatencyTargetMS: 5000, Backend: writerService, MaxAttempts: 2, SessionAffinity: true, Resumable: true,
				EventGapTargetMS: 500,
			},
			{
				Name: "ledger", Hostname: host, PathPrefix: ledgerPath, Type: configuration.NonIdempotent, TimeoutMS: 2000,
				LatencyTargetMS: 500, Backend: ledgerService, MaxAttempts: 1,
			},
			{
				Name: "once", Hostname: host, PathPrefix: oncePath, Type: configuration.Streaming, TimeoutMS: 10000,
				LatencyTargetMS: 5000, Backend: writerService, MaxAttempts: 2, EventGapTargetMS: 500,
			},
		},
		Tenants: []configuration.Tenant{{
			Name: tenantName, APIKeys: []string{tenantKey}, Unit: configuration.UnitTokens,
			DefaultTokens: 200,
		}},
	}
}

// configure sends the configuration until it is taken.
func (w *world) configure(ctx context.Context) error {
	text, err := json.MarshalIndent(firstConfiguration(), "", "  ")
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	for number := 0; ; number++ {
		if err = w.put(ctx, w.places.control(number%instances), 0, text); err == nil {
			return nil
		}
		if !sleep(ctx, retryBackoff) {
			return fmt.Errorf("the configuration was not taken in time: %w", err)
		}
	}
}

// put sends a whole configuration that builds on version base.
func (w *world) put(ctx context.Context, control string, base int64, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/-/config", bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("If-Match", strconv.FormatInt(base, 10))
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // it has been read
	reply, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(reply)))
	}
	return err
}

var errNotReady = errors.New("is not ready")

// awaitReady waits until a router says that it is ready.
func (w *world) awaitReady(ctx context.Context, number int) error {
	for {
		err := ready(ctx, w.places.readiness(number))
		if err == nil {
			return nil
		}
		if !sleep(ctx, retryBackoff) {
			return fmt.Errorf("router %d: %w; see %s", number+1, err, w.routers[number].log)
		}
	}
}

func ready(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/readyz", nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = answer.Body.Close() // its status says all
	if answer.StatusCode != http.StatusOK {
		return errNotReady
	}
	return nil
}

// sleep waits; false if the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
