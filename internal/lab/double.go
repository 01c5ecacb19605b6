package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"raventrestle/internal/config"
)

// Faults that a double may have.
const (
	FaultCrash = "crash" // it ends at its start
	FaultDeaf  = "deaf"  // it never becomes ready
	FaultHang  = "hang"  // it does not end on SIGTERM
	FaultDies  = "dies"  // it ends by itself after a second
)

// Double is a courier that decides nothing: it takes every message on at once, makes one call with it
// to the first endpoint of its channel, and gives it up if that fails. It measures the rig, not itself,
// and with a fault it shows what the rig does about that.
func Double(ctx context.Context, getenv func(string) string, fault string, log io.Writer) error {
	conf, err := config.Load(getenv)
	if err != nil {
		return err
	}
	fmt.Fprintln(log, "double: starting, fault:", fault)
	switch fault {
	case FaultCrash:
		return fmt.Errorf("double: crashes as it was told")
	case FaultDies:
		time.AfterFunc(time.Second, func() {
			fmt.Fprintln(log, "double: ends as it was told")
			os.Exit(3)
		})
	case FaultHang:
		signal.Ignore(syscall.SIGTERM)
	}
	var list struct {
		Endpoints []struct {
			Address string `json:"address"`
			Group   int64  `json:"group"`
		} `json:"endpoints"`
	}
	if err := json.Unmarshal(conf.InitialEndpoints, &list); err != nil {
		return err
	}
	first := map[string]string{}
	for _, e := range list.Endpoints {
		if dest := fmt.Sprintf("dest=%d", e.Group); first[dest] == "" {
			first[dest] = e.Address
		}
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 4 * time.Second}}
	var calls sync.WaitGroup
	deliver := func(id, key, addr string, body []byte) {
		ok := false
		if req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(body)); err == nil {
			req.Header.Set("X-Txn", id)
			req.Header.Set("Idempotency-Key", key)
			if res, err := client.Do(req); err == nil {
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				ok = res.StatusCode == http.StatusOK
			}
		}
		if ok {
			return
		}
		notice := fmt.Sprintf(`{"id":%q,"status":"undeliverable"}`+"\n", id)
		if res, err := client.Post("http://"+conf.Discovery+"/v1/outcomes", "application/json", strings.NewReader(notice)); err == nil {
			res.Body.Close()
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if fault == FaultDeaf {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		addr := first[r.Header.Get("X-Consignee")]
		if err != nil || addr == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusAccepted)
		calls.Go(func() { deliver(r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key"), addr, body) })
	})
	l, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	if fault != FaultHang {
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, syscall.SIGTERM)
		defer stop()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(closing); errors.Is(err, context.DeadlineExceeded) {
		err = server.Close() // connections that were made and never used
		if err != nil {
			return err
		}
	}
	calls.Wait()
	return nil
}
