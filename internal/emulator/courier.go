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

// Courier is a courier with its name, address and directory, which stay the same when its process is restarted.
type Courier struct {
	N        int
	Addr     string
	Dir      string // contains its settings, state and log
	Program  string
	Env      []string
	Args     []string
	recorder *Recorder
	log      *os.File
	config   map[string]any

	onStateChange func(up bool) // called when the process becomes ready, and when it ends or is asked to end

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan error
	Kills   int
	Starts  int
}

// courierIP returns a loopback address that only this courier uses, so that no connection of another process can be
// given its port while the courier is down. The address is derived from discovery's port, which no other run on the
// machine has.
func courierIP(n int, discovery string) (string, error) {
	a, err := netip.ParseAddrPort(discovery)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.%d.%d.%d", a.Port()>>8, a.Port()&255, n%250+2), nil
}

// NewCourier creates the directory and the configuration of a courier and chooses a free port of the IP as its address.
func NewCourier(n int, dir, program string, args, env []string, platform any, ip, discovery string,
	known json.RawMessage, memoryMB, diskMB float64, recorder *Recorder,
) (*Courier, error) {
	c := &Courier{N: n, Dir: filepath.Join(dir, fmt.Sprint("n", n)), Program: program, Args: args, recorder: recorder, onStateChange: func(bool) {}}
	if err := os.MkdirAll(filepath.Join(c.Dir, "state"), 0o700); err != nil {
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
		"state": filepath.Join(c.Dir, "state"), "seed": fmt.Sprintf("%x", 0x9e3779b97f4a7c15+uint64(n)), "known": known,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024, "disk_mb": diskMB},
		"settings": platform,
	}
	if err := c.SetKnownList(known); err != nil {
		return nil, err
	}
	c.Env = append(append(os.Environ(), "EDGE_CONFIG="+c.configFile()), env...)
	c.log, err = os.Create(filepath.Join(c.Dir, "log"))
	return c, err
}

func (c *Courier) configFile() string { return filepath.Join(c.Dir, "config.json") }

// SetKnownList writes the configuration with the endpoint list that the courier knows when it starts.
func (c *Courier) SetKnownList(list json.RawMessage) error {
	c.config["known"] = list
	text, err := json.Marshal(c.config)
	if err != nil {
		return err
	}
	return os.WriteFile(c.configFile(), text, 0o600)
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
	probe := &http.Client{Timeout: 500 * time.Millisecond} // another process on the port might never answer
	for tick := time.NewTicker(5 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			return fmt.Errorf("courier n%d is not ready: %w%s", c.N, ctx.Err(), c.logTail())
		case err := <-ended:
			c.process = nil
			return fmt.Errorf("courier n%d ended at its start: %v%s", c.N, err, c.logTail())
		case <-tick.C:
		}
		if res, err := probe.Get("http://" + c.Addr + "/healthz"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				tick.Stop()
				c.recorder.CourierReady(c.N, time.Now())
				c.onStateChange(true)
				return nil
			}
		}
	}
}

// PID returns the id of the running process, or 0 if there is none.
func (c *Courier) PID() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return 0
	}
	return c.process.Process.Pid
}

// Suspend stops the process by SIGSTOP, if there is one. To the load balancer a suspended courier is down, because it
// does not answer.
func (c *Courier) Suspend() error { return c.signal(syscall.SIGSTOP, false) }

// Resume continues the process by SIGCONT, if there is one.
func (c *Courier) Resume() error { return c.signal(syscall.SIGCONT, true) }

func (c *Courier) signal(s syscall.Signal, up bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	c.onStateChange(up)
	if err := c.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("courier n%d: %v: %w", c.N, s, err)
	}
	return nil
}

// Kill ends the process by SIGKILL. It returns false if there was none or the signal could not be sent.
func (c *Courier) Kill() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return false
	}
	c.recorder.CourierEnded(c.N, time.Now())
	c.onStateChange(false)
	if err := c.process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return false
	}
	<-c.ended
	c.process, c.Kills = nil, c.Kills+1
	return true
}

// logTail returns the last lines of the courier's log for use in errors, since the log may be deleted with its directory.
func (c *Courier) logTail() string {
	text, err := os.ReadFile(c.log.Name())
	if err != nil {
		return fmt.Sprintf("; its log: %v", err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "; the end of its log:\n    " + strings.Join(lines[max(len(lines)-12, 0):], "\n    ")
}

// Stop ends the process by SIGTERM. It returns an error if the exit status is not 0 or the process takes longer than
// 3 s, with a tolerance of 200 ms.
func (c *Courier) Stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	c.recorder.CourierEnded(c.N, time.Now())
	c.onStateChange(false)
	if err := c.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	p := c.process
	c.process = nil
	select {
	case err := <-c.ended:
		if err != nil {
			err = fmt.Errorf("courier n%d ended on SIGTERM with %w%s", c.N, err, c.logTail())
		}
		return err
	case <-time.After(3200 * time.Millisecond):
		err := fmt.Errorf("courier n%d does not end on SIGTERM%s", c.N, c.logTail())
		if killErr := p.Process.Kill(); killErr != nil {
			return errors.Join(err, killErr)
		}
		<-c.ended
		return err
	}
}

// Crashed returns an error if the process has exited by itself, nil if it is running or was stopped.
func (c *Courier) Crashed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process == nil {
		return nil
	}
	select {
	case err := <-c.ended:
		c.process = nil
		return fmt.Errorf("courier n%d ended by itself: %v%s", c.N, err, c.logTail())
	default:
		return nil
	}
}
