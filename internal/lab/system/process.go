package system

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"raventrestle/internal/nodeconfig"
)

// process is one of the system's programs, running.
type process struct {
	name     string
	log      string
	logStart int64 // size of the log at the start of the process
	run      *exec.Cmd
	ended    chan error
}

// startProcess writes the settings file and starts the program with it.
func startProcess(w *world, program, name, settings string) (*process, error) {
	path := w.file(name + ".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("settings of %s: %w", name, err)
	}
	p := &process{name: name, log: w.file(name + ".log"), ended: make(chan error, 1)}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	defer func() { _ = output.Close() }() // the program has its own descriptor of it
	if p.logStart, err = output.Seek(0, io.SeekEnd); err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	p.run = exec.Command(filepath.Join(w.options.Programs, program), "run")
	p.run.Env = append(os.Environ(), nodeconfig.EnvironmentVariable+"="+path)
	p.run.Stdout, p.run.Stderr = output, output
	if err := p.run.Start(); err != nil {
		return nil, fmt.Errorf("start %s (is it built? go build -o %s ./cmd/...): %w", name, w.options.Programs, err)
	}
	go func() { p.ended <- p.run.Wait() }()
	return p, nil
}

// stopAll sends SIGTERM to all and waits for them. What is left when the context ends is killed. One that a visitor
// has killed before is no error.
func stopAll(ctx context.Context, processes []*process) error {
	var running []*process
	for _, p := range processes {
		if !p.exited() {
			running = append(running, p)
			_ = p.run.Process.Signal(syscall.SIGTERM) // it ends by itself otherwise
		}
	}
	var all error
	for _, p := range running {
		all = errors.Join(all, p.wait(ctx))
	}
	return all
}

// hasBegun reports whether the process has written to its log, which it does once it listens and handles signals.
func (p *process) hasBegun() bool {
	info, err := os.Stat(p.log)
	return err == nil && info.Size() > p.logStart
}

// endedAtItsStart reports whether the process has ended by a SIGTERM that came before it could handle signals. It had
// accepted nothing by then.
func (p *process) endedAtItsStart() bool {
	if p.run.ProcessState == nil {
		return false
	}
	status, ok := p.run.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && !p.hasBegun()
}

// exited says whether the process has ended by now.
func (p *process) exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) wait(ctx context.Context) error {
	select {
	case err := <-p.ended:
		if err != nil {
			return fmt.Errorf("%s ended: %w", p.name, err)
		}
		return nil
	case <-ctx.Done():
		_ = p.run.Process.Kill() // it ended in this moment otherwise
		<-p.ended
		return fmt.Errorf("%s did not end in time and was killed", p.name)
	}
}
