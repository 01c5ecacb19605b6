package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Courier is one courier's place: its processes come and go, its name, address and folder stay.
type Courier struct {
	N       int
	Addr    string
	Folder  string // of its own: settings, state, log
	Program string
	Env     []string
	Args    []string
	ledger  *Ledger
	log     *os.File
	config  map[string]any

	onLife func(up bool) // it is ready, or its process has ended or was told to

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan error
	Kills   int
	Starts  int
}

// ownIP is a loopback address of a courier's own: while it is down, no connection of another process can be given its
// port. Discovery's real port, which no other world has, makes it so.
func ownIP(n int, discovery string) (string, error) {
	a, err := netip.ParseAddrPort(discovery)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.%d.%d.%d", a.Port()>>8, a.Port()&255, n%250+2), nil
}

// NewCourier makes the folder and the configuration of a courier, and picks its address, a port of the IP.
func NewCourier(n int, dir, program string, args, env []string, platform any, ip, discovery string,
	known json.RawMessage, memoryMB, diskMB float64, l *Ledger,
) (*Courier, error) {
	c := &Courier{N: n, Folder: filepath.Join(dir, fmt.Sprint("n", n)), Program: program, Args: args, ledger: l, onLife: func(bool) {}}
	if err := os.MkdirAll(filepath.Join(c.Folder, "state"), 0o700); err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	c.Addr = socket.Addr().String()
	if err := socket.Close(); err != nil {
		return nil, err
	}
	c.config = map[string]any{
		"name": fmt.Sprint("n", n), "listen": c.Addr, "discovery": discovery,
		"state": filepath.Join(c.Folder, "state"), "seed": fmt.Sprintf("%x", 0x9e3779b97f4a7c15+uint64(n)), "known": known,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024, "disk_mb": diskMB},
		"settings": platform,
	}
	if err := c.Know(known); err != nil {
		return nil, err
	}
	c.Env = append(append(os.Environ(), "EDGE_CONFIG="+c.file()), env...)
	c.log, err = os.Create(filepath.Join(c.Folder, "log"))
	return c, err
}

func (c *Courier) file() string { return filepath.Join(c.Folder, "config.json") }

// Know writes the configuration with the list as the courier last held it.
func (c *Courier) Know(list json.RawMessage) error {
	c.config["known"] = list
	text, err := json.Marshal(c.config)
	if err != nil {
		return err
	}
	return os.WriteFile(c.file(), text, 0o600)
}

// Start starts a process and waits until it is ready.
func (c *Courier) Start(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := exec.Command(c.Program, c.Args...)
	p.Env, p.Stderr, p.Stdout = c.Env, c.log, c.log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	c.process, c.ended, c.Starts = p, ended, c.Starts+1
	probe := &http.Client{Timeout: 500 * time.Millisecond} // whoever holds the port may never answer
	for tick := time.NewTicker(5 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			return fmt.Errorf("courier n%d is not ready: %w%s", c.N, ctx.Err(), c.tail())
		case err := <-ended:
			c.process = nil
			return fmt.Errorf("courier n%d ended at its start: %v%s", c.N, err, c.tail())
		case <-tick.C:
		}
		if res, err := probe.Get("http://" + c.Addr + "/healthz"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				tick.Stop()
				c.ledger.Ready(c.N, time.Now())
				c.onLife(true)
				return nil
			}
		}
	}
}

// PID is the running process's, 0 for none.
func (c *Courier) PID() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Process.Pid
}

// Pause holds the process by SIGSTOP, and Continue lets it go on; there may be none. Whoever looks after couriers sees
// one that answers nothing, as if it were dead.
func (c *Courier) Pause() error { return c.signal(syscall.SIGSTOP, false) }

// Continue is Pause's end.
func (c *Courier) Continue() error { return c.signal(syscall.SIGCONT, true) }

func (c *Courier) signal(s syscall.Signal, up bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	c.onLife(up)
	if err := c.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("courier n%d: %v: %w", c.N, s, err)
	}
	return nil
}

// Kill ends the process at once; it says whether there was one.
func (c *Courier) Kill() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return false
	}
	c.ledger.Ended(c.N, time.Now())
	c.onLife(false)
	if err := c.process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return false
	}
	<-c.ended
	c.process, c.Kills = nil, c.Kills+1
	return true
}

// tail is the end of the courier's log, for errors: the log itself may go with its folder.
func (c *Courier) tail() string {
	text, err := os.ReadFile(c.log.Name())
	if err != nil {
		return fmt.Sprintf("; its log: %v", err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "; the end of its log:\n    " + strings.Join(lines[max(len(lines)-12, 0):], "\n    ")
}

// Stop ends the process by SIGTERM; an end other than 0, or later than 3 s, is an error.
func (c *Courier) Stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	c.ledger.Ended(c.N, time.Now())
	c.onLife(false)
	if err := c.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	p := c.process
	c.process = nil
	select {
	case err := <-c.ended:
		if err != nil {
			err = fmt.Errorf("courier n%d ended on SIGTERM with %w%s", c.N, err, c.tail())
		}
		return err
	case <-time.After(3200 * time.Millisecond):
		err := fmt.Errorf("courier n%d does not end on SIGTERM%s", c.N, c.tail())
		if kill := p.Process.Kill(); kill != nil {
			return errors.Join(err, kill)
		}
		<-c.ended
		return err
	}
}

// Crashed says how the process ended by itself, nil if it runs or was ended.
func (c *Courier) Crashed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	select {
	case err := <-c.ended:
		c.process = nil
		return fmt.Errorf("courier n%d ended by itself: %v%s", c.N, err, c.tail())
	default:
		return nil
	}
}
