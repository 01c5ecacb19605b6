// Package admin is the operators' interface: an HTTP server on a Unix socket that only the courier's own user may open,
// and the client that the commands use.
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

// Request is the body of a command on undeliverable messages.
type Request struct {
	Filter deadletter.Filter `json:"filter"`
	ID     string            `json:"id,omitempty"`
	DryRun bool              `json:"dry_run,omitempty"`
}

const (
	maxRequestBytes = 1 << 20
	commandTimeout  = time.Minute // of one command
	maxClients      = 8
	statusTimeout   = 5 * time.Second // for the courier's actor to answer
)

// Listen opens the socket with mode 0600. It replaces a socket that a dead courier left. If a process answers at the
// socket, it returns an error.
func Listen(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("admin: %s: another process listens there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != os.ModeSocket {
			return nil, fmt.Errorf("admin: %s exists and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	// Between bind and chmod other users could open the socket, so it is created under a temporary name, gets its mode, and
	// is then renamed.
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	l, err := net.Listen("unix", tempPath)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(tempPath, 0o600), os.Rename(tempPath, path)); err != nil {
		return nil, errors.Join(fmt.Errorf("admin: %w", err), l.Close(), os.Remove(tempPath))
	}
	return &listener{l, path}, nil
}

// listener removes its socket when it closes.
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

// Status is the state of a running courier, as operators see it.
type Status struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`
	PID          int             `json:"pid"`
	Settings     string          `json:"settings,omitempty"` // path of the operators' settings file
	Report       instance.Report `json:"life"`
	Courier      courier.Status  `json:"courier"`
	JournalBytes int64           `json:"journal_bytes"`
	Fleet        *fleet.Status   `json:"fleet,omitempty"` // nil if the courier belongs to no fleet
}

// handleState handles the requests of supervisors and load balancers: /livez and /readyz, answered with 200 or 503 and the
// reasons, /status, /drain and /undrain.
func handleState(mux *http.ServeMux, d Daemon, log *slog.Logger) {
	health := func(path string, healthy func(instance.Report) bool) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			r, code := d.Report(), http.StatusOK
			if !healthy(r) {
				code = http.StatusServiceUnavailable
			}
			writeJSON(w, code, r)
		})
	}
	health("/livez", func(r instance.Report) bool { return r.Live })
	health("/readyz", func(r instance.Report) bool { return r.Ready })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), statusTimeout)
		defer stop()
		s, err := d.Status(ctx)
		if err != nil {
			writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": fmt.Sprintf("the courier does not answer: %v", err)})
			return
		}
		writeJSON(w, http.StatusOK, s)
	})
	for verb, on := range map[string]bool{"drain": true, "undrain": false} {
		mux.HandleFunc("POST /"+verb, func(w http.ResponseWriter, _ *http.Request) {
			err := d.Drain(on)
			log.Info("admin: command", "verb", verb, "err", err)
			if err != nil {
				writeJSON(w, http.StatusConflict, map[string]string{"error": err.Error()})
				return
			}
			writeJSON(w, http.StatusOK, d.Report())
		})
	}
}

// Serve answers commands until the listener closes. The parameter deadLetters is nil if no dead letters are kept, d is nil
// if only the dead letters are served.
func Serve(l net.Listener, deadLetters deadletter.Admin, d Daemon, log *slog.Logger) *http.Server {
	mux := http.NewServeMux()
	if d != nil {
		handleState(mux, d, log)
	}
	handle := func(verb string, do func(context.Context, Request) (any, error)) {
		mux.HandleFunc("POST /undeliverable/"+verb, func(w http.ResponseWriter, r *http.Request) {
			var q Request
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
			if err == nil {
				err = json.Unmarshal(body, &q)
			}
			if err != nil {
				writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
				return
			}
			if deadLetters == nil {
				writeJSON(w, http.StatusConflict, map[string]string{"error": "this courier keeps no undeliverable messages (undeliverable.keep is off, or its store could not be opened)"})
				return
			}
			ctx, stop := context.WithTimeout(r.Context(), commandTimeout)
			defer stop()
			result, err := do(ctx, q)
			switch {
			case errors.Is(err, deadletter.ErrMissing):
				writeJSON(w, http.StatusNotFound, map[string]string{"error": err.Error()})
			case err != nil:
				writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
			default:
				writeJSON(w, http.StatusOK, result)
			}
			log.Info("admin: command", "verb", verb, "dry_run", q.DryRun, "err", err)
		})
	}
	handle("list", func(ctx context.Context, q Request) (any, error) { return deadLetters.List(ctx, q.Filter) })
	handle("show", func(ctx context.Context, q Request) (any, error) { return deadLetters.Show(ctx, q.ID) })
	handle("resend", func(ctx context.Context, q Request) (any, error) { return deadLetters.Resend(ctx, q.Filter, q.DryRun) })
	handle("discard", func(ctx context.Context, q Request) (any, error) { return deadLetters.Discard(ctx, q.Filter, q.DryRun) })
	handle("stats", func(ctx context.Context, q Request) (any, error) { return deadLetters.Stats(ctx) })
	s := &http.Server{
		Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: commandTimeout, IdleTimeout: 5 * time.Second,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := s.Serve(&limitedListener{l, make(chan struct{}, maxClients)}); !errors.Is(err, http.ErrServerClosed) {
			log.Error("admin: listener", "err", err)
		}
	}()
	return s
}

// limitedListener bounds the open connections, since the courier needs its file descriptors for clients.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (f *limitedListener) Accept() (net.Conn, error) {
	f.slots <- struct{}{}
	c, err := f.Listener.Accept()
	if err != nil {
		<-f.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-f.slots }}, nil
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (g *limitedConn) Close() error {
	g.once.Do(g.release)
	return g.Conn.Close()
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(v); err != nil { // the client has disconnected
		return
	}
}

// Client sends commands to a running courier through its socket. It implements deadletter.Admin.
type Client struct{ Path string }

// Reaches reports whether a courier listens at the socket.
func (c *Client) Reaches() bool {
	conn, err := net.DialTimeout("unix", c.Path, 2*time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func (c *Client) call(ctx context.Context, verb string, q Request, out any) error {
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, "undeliverable/"+verb, body, out)
}

// Status returns the state of the running courier.
func (c *Client) Status(ctx context.Context) (out Status, err error) {
	err = c.do(ctx, http.MethodGet, "status", nil, &out)
	return out, err
}

// Drain makes the running courier accept no more messages (on) or accept them again.
func (c *Client) Drain(ctx context.Context, on bool) (out instance.Report, err error) {
	verb := "undrain"
	if on {
		verb = "drain"
	}
	err = c.do(ctx, http.MethodPost, verb, nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	client := &http.Client{Timeout: commandTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, "unix", c.Path)
		},
	}}
	req, err := http.NewRequestWithContext(ctx, method, "http://courier/"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		var failure struct {
			Error string `json:"error"`
		}
		if err := json.NewDecoder(res.Body).Decode(&failure); err != nil {
			return fmt.Errorf("admin: %s", res.Status)
		}
		return errors.New(failure.Error)
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
