package system

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	replaceTimeout   = 20 * time.Second       // for one process to end and its successor to be in service
	stepInterval     = 500 * time.Millisecond // load on the whole system between two processes
	memberPoll       = 100 * time.Millisecond
	clientCount      = 8
	changeInterval   = 200 * time.Millisecond // between two changes of the configuration
	finalReadTimeout = 10 * time.Second
)

// UpgradeOptions says between which builds RunUpgrade goes. Options.Programs holds the build that runs first.
type UpgradeOptions struct {
	Options
	Next string // folder with raventrestle-control and raventrestle-router of the other build
}

// ErrLost is returned by RunUpgrade when a request or an acknowledged change was lost.
var ErrLost = errors.New("something was lost during the upgrade")

// RunUpgrade starts the system with one build, replaces each process in turn by the other build under load, and goes
// back the same way. Clients send requests and an operator changes the configuration all the while. It fails with
// ErrLost unless each request was served in its time and each acknowledged change is in the configuration that every
// instance answers at the end.
func RunUpgrade(ctx context.Context, options UpgradeOptions) (err error) {
	w, err := newWorld(options.Options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.end(err != nil)) }()
	if err := w.start(ctx); err != nil {
		return err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	load := newLoad(w)
	var running sync.WaitGroup
	running.Go(func() { load.run(loadContext) })
	err = w.upgradeAndBack(ctx, options)
	stopLoad()
	running.Wait()
	if err != nil {
		return err
	}
	if err := load.readBack(ctx); err != nil {
		return err
	}
	return load.verdict()
}

func (w *world) upgradeAndBack(ctx context.Context, options UpgradeOptions) error {
	for _, programs := range []string{options.Next, options.Programs} {
		began := time.Now()
		if err := w.replaceAll(ctx, programs); err != nil {
			return err
		}
		w.printf("all %d processes run %s after %.1f s", instances+w.options.routerCount(), programs, time.Since(began).Seconds())
	}
	return nil
}

// replaceAll replaces the control instances first: they and the routers are compatible in both directions.
func (w *world) replaceAll(ctx context.Context, programs string) error {
	w.options.Programs = programs
	for number := range instances {
		if err := w.replaceControl(ctx, number); err != nil {
			return err
		}
	}
	for number := range w.options.routerCount() {
		if err := w.replaceRouter(ctx, number); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) replaceControl(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	if err := stopAll(ctx, w.controls[number:number+1]); err != nil {
		return err
	}
	next, err := w.launchControl(number)
	if err != nil {
		return err
	}
	w.controls[number] = next
	if err := w.awaitMember(ctx, number); err != nil {
		return err
	}
	sleep(ctx, stepInterval)
	return nil
}

func (w *world) replaceRouter(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	if err := stopAll(ctx, w.routers[number:number+1]); err != nil {
		return err
	}
	next, err := w.launchRouter(number)
	if err != nil {
		return err
	}
	w.routers[number] = next
	if err := w.awaitReady(ctx, number); err != nil {
		return err
	}
	sleep(ctx, stepInterval)
	return nil
}

// memberTable is what is read of GET /-/members.
type memberTable struct {
	Members []struct {
		Control string `json:"control"`
		Live    bool   `json:"live"`
		Place   int    `json:"place"` // in the chain, from 1; 0: not in it
	} `json:"members"`
}

// awaitMember waits until the other instances show the instance live and in the chain again.
func (w *world) awaitMember(ctx context.Context, number int) error {
	for {
		err := w.isMember(ctx, number)
		if err == nil {
			return nil
		}
		if !sleep(ctx, memberPoll) {
			return fmt.Errorf("control instance %d did not come back into the chain: %w; see %s", number+1, err,
				w.controls[number].log)
		}
	}
}

var errNotInChain = errors.New("it is not live in the chain")

func (w *world) isMember(ctx context.Context, number int) error {
	other := w.places.control((number + 1) % instances)
	var table memberTable
	if err := getJSON(ctx, "http://"+other+"/-/members", &table); err != nil {
		return err
	}
	for _, member := range table.Members {
		if member.Control == w.places.control(number) && member.Live && member.Place > 0 {
			return nil
		}
	}
	return errNotInChain
}

// getJSON decodes the answer to a GET that must have status 200.
func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }() // it has been read
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, answer.Status)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}
