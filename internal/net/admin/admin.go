// Package admin is the operators' side: a listener on a Unix socket that only the courier's own user
// may open, and the client that the commands use. It decides nothing.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"raventrestle/internal/deadletter"
	"raventrestle/internal/fleet"
	"raventrestle/internal/net/courier"
	"raventrestle/internal/net/instance"
)

// Request is what a command asks for.
type Request struct {
	Filter deadletter.Filter `json:"filter"`
	ID     string            `json:"id,omitempty"`
	DryRun bool              `json:"dry_run,omitempty"`
}

const (
	mostRequest  = 1 << 20
	patience     = time.Minute // of one command
	mostClients  = 8
	statusWithin = 5 * time.Second // of the courier's actor
)

// Listen opens the socket with mode 0600. One that a dead courier left behind is taken over; one
// that answers belongs to another courier.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("admin: %s: another process listens there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != os.ModeSocket {
			return nil, fmt.Errorf("admin: %s is there and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	// Between bind and chmod others could open the socket: it is made under a name that is free, with
	// its mode, and then moved.
	next := fmt.Sprintf("%s.%d", path, os.Getpid())
	l, err := net.Listen("unix", next)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(next, 0o600), os.Rename(next, path)); err != nil {
		return nil, errors.Join(fmt.Errorf("admin: %w", err), l.Close(), os.Remove(next))
	}
	return &listener{l, path}, nil
}

// listener takes its socket away when it closes.
type listener struct {
	net.Listener
	path string
}

func (l *listener) Close() error { return errors.Join(l.Listener.Close(), os.Remove(l.path)) }

// Daemon is the running courier.
type Daemon interface {
	Report() instance.Report
	Status(context.Context) (Status, error)
	Drain(on bool) error
}

// Status is what operators see of a running courier.
type Status struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`
	PID          int             `json:"pid"`
	Settings     string          `json:"settings,omitempty"` // the operators' file
	Report       instance.Report `json:"life"`
	Courier      courier.Status  `json:"courier"`
	JournalBytes int64           `json:"journal_bytes"`
	Fleet        *fleet.Status   `json:"fleet,omitempty"` // nil where nothing is shared
}

// life answers what a supervisor or front layer asks: /livez and /readyz with 200 or 503 and the reasons,
// /status, and the wish to drain.
func life(mux *http.ServeMux, d Daemon, log *slog.Logger) {
	health := func(path string, good func(instance.Report) bool) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			r, code := d.Report(), http.StatusOK
			if !good(r) {
				code = http.StatusServiceUnavailable
			}
			answer(w, code, r)
		})
	}
	health("/livez", func(r instance.Report) bool { return r.Live })
	health("/readyz", func(r instance.Report) bool { return r.Ready })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), statusWithin)
		defer stop()
		s, err := d.Status(ctx)
		if err != nil {
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": fmt.Sprintf("the courier does not answer: %v", err)})
			return
		}
		answer(w, http.StatusOK, s)
	})
	for verb, on := range map[string]bool{"drain": true, "undrain": false} {
		mux.HandleFunc("POST /"+verb, func(w http.ResponseWriter, _ *http.Request) {
			err := d.Drain(on)
			log.Info("admin: command", "verb", verb, "err", err)
			if err != nil {
				answer(w, http.StatusConflict, map[string]string{"error": err.Error()})
				return
			}
			answer(w, http.StatusOK, d.Report())
		})
	}
}

// Serve answers commands until the listener closes. Desk is nil where no dead letters are kept, the daemon
// where only dead letters are served.
func Serve(l net.Listener, desk deadletter.Admin, d Daemon, log *slog.Logger) *http.Server {
	mux := http.NewServeMux()
	if d != nil {
		life(mux, d, log)
	}
	handle := func(verb string, do func(context.Context, Request) (any, error)) {
		mux.HandleFunc("POST /undeliverable/"+verb, func(w http.ResponseWriter, r *http.Request) {
			var q Request
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostRequest))
			if err == nil {
				err = json.Unmarshal(body, &q)
			}
			if err != nil {
				answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
				return
			}
			if desk == nil {
				answer(w, http.StatusConflict, map[string]string{"error": "this courier keeps no undeliverable messages (undeliverable.keep is off, or its store could not be opened)"})
				return
			}
			ctx, stop := context.WithTimeout(r.Context(), patience)
			defer stop()
			out, err := do(ctx, q)
			switch {
			case errors.Is(err, deadletter.ErrMissing):
				answer(w, http.StatusNotFound, map[string]string{"error": err.Error()})
			case err != nil:
				answer(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			default:
				answer(w, http.StatusOK, out)
			}
			log.Info("admin: command", "verb", verb, "dry_run", q.DryRun, "err", err)
		})
	}
	handle("list", func(ctx context.Context, q Request) (any, error) { return desk.List(ctx, q.Filter) })
	handle("show", func(ctx context.Context, q Request) (any, error) { return desk.Show(ctx, q.ID) })
	handle("resend", func(ctx context.Context, q Request) (any, error) { return desk.Resend(ctx, q.Filter, q.DryRun) })
	handle("discard", func(ctx context.Context, q Request) (any, error) { return desk.Discard(ctx, q.Filter, q.DryRun) })
	handle("stats", func(ctx context.Context, q Request) (any, error) { return desk.Stats(ctx) })
	s := &http.Server{
		Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: patience, IdleTimeout: 5 * time.Second,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := s.Serve(&few{l, make(chan struct{}, mostClients)}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("admin: listener", "err", err)
		}
	}()
	return s
}

// few lets in a few connections at a time: the courier's descriptors are its clients'.
type few struct {
	net.Listener
	room chan struct{}
}

func (f *few) Accept() (net.Conn, error) {
	f.room <- struct{}{}
	c, err := f.Listener.Accept()
	if err != nil {
		<-f.room
		return nil, err
	}
	return &guest{Conn: c, leave: func() { <-f.room }}, nil
}

type guest struct {
	net.Conn
	once  sync.Once
	leave func()
}

func (g *guest) Close() error {
	g.once.Do(g.leave)
	return g.Conn.Close()
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(v); err != nil { // the client has left
		return
	}
}

// Client is the desk of a running courier, over its socket.
type Client struct{ Path string }

// Reaches says whether a courier listens at the socket.
func (c *Client) Reaches() bool {
	conn, err := net.DialTimeout("unix", c.Path, 2*time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func (c *Client) call(ctx context.Context, verb string, q Request, out any) error {
	text, err := json.Marshal(q)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, "undeliverable/"+verb, text, out)
}

// Status asks the running courier what it is at.
func (c *Client) Status(ctx context.Context) (out Status, err error) {
	err = c.do(ctx, http.MethodGet, "status", nil, &out)
	return out, err
}

// Drain makes the running courier take nothing new, or take it on again.
func (c *Client) Drain(ctx context.Context, on bool) (out instance.Report, err error) {
	verb := "undrain"
	if on {
		verb = "drain"
	}
	err = c.do(ctx, http.MethodPost, verb, nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, text []byte, out any) error {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "unix", c.Path)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://courier/"+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var fault struct {
			Error string `json:"error"`
		}
		if err := json.NewDecoder(res.Body).Decode(&fault); err != nil {
			return fmt.Errorf("admin: %s", res.Status)
		}
		return errors.New(fault.Error)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// List implements deadletter.Admin.
func (c *Client) List(ctx context.Context, f deadletter.Filter) (out []deadletter.Item, err error) {
	err = c.call(ctx, "list", Request{Filter: f}, &out)
	return out, err
}

// Show implements deadletter.Admin.
func (c *Client) Show(ctx context.Context, id string) (out *deadletter.Item, err error) {
	err = c.call(ctx, "show", Request{ID: id}, &out)
	return out, err
}

// Resend implements deadletter.Admin.
func (c *Client) Resend(ctx context.Context, f deadletter.Filter, dry bool) (out []deadletter.ActionResult, err error) {
	err = c.call(ctx, "resend", Request{Filter: f, DryRun: dry}, &out)
	return out, err
}

// Discard implements deadletter.Admin.
func (c *Client) Discard(ctx context.Context, f deadletter.Filter, dry bool) (out []deadletter.ActionResult, err error) {
	err = c.call(ctx, "discard", Request{Filter: f, DryRun: dry}, &out)
	return out, err
}

// Stats implements deadletter.Admin.
func (c *Client) Stats(ctx context.Context) (out *deadletter.Stats, err error) {
	err = c.call(ctx, "stats", Request{}, &out)
	return out, err
}
