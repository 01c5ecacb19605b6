package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"raventrestle/internal/lab/experiment"
	"raventrestle/internal/lab/scenario"
)

// Job is a day to be played.
type Job struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Virtual  bool   // against the module alone
	Out      string // folder for its files, "" for none
	Options
}

// kept is the job's day as an earlier run left it, nil if there is none.
func (j Job) kept() (*Day, error) {
	if j.Out == "" {
		return nil, nil
	}
	file := filepath.Join(j.Out, fmt.Sprintf("%s-%d.json", j.Scenario.Name, j.Seed))
	d, err := ReadDay(file)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, nil
	case err == nil && !d.Virtual && d.Fleet != (j.Scenario.Fleet && !j.NoFleet):
		return nil, fmt.Errorf("%s is of a run with fleet %v, this one has it %v: give it a folder of its own", file, d.Fleet, !d.Fleet)
	case err == nil && d.Virtual != j.Virtual:
		return nil, fmt.Errorf("%s is of a run with virtual time %v, this one has it %v: give it a folder of its own", file, d.Virtual, j.Virtual)
	}
	return d, err
}

func (j Job) play(ctx context.Context) (*Day, error) {
	if j.Virtual {
		return PlayVirtual(j.Scenario, j.Seed, j.Out, nil)
	}
	return PlayDay(ctx, j.Scenario, j.Seed, j.Out, j.Options)
}

// PlayAll plays the days, so many at once, and returns them in the jobs' order. Days that an earlier run
// has played are read, not played again. Beside an error there is what has been played, nil for the rest.
func PlayAll(ctx context.Context, jobs []Job, atOnce int, progress io.Writer) ([]*Day, error) {
	days := make([]*Day, len(jobs))
	var missing []int
	for i, j := range jobs {
		var err error
		if days[i], err = j.kept(); err != nil {
			return days, err
		}
		if days[i] == nil {
			missing = append(missing, i)
		}
	}
	began, done := time.Now(), 0
	var mu sync.Mutex
	var all errgroup.Group
	all.SetLimit(max(atOnce, 1))
	for _, i := range missing {
		all.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			d, err := jobs[i].play(ctx)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			days[i] = d
			done++
			if step := max(len(missing)/50, 1); done%step == 0 || done == len(missing) {
				fmt.Fprintf(progress, "%d of %d days, about %v left\n", done, len(missing), experiment.Left(done, len(missing)-done, time.Since(began)))
			}
			return nil
		})
	}
	return days, all.Wait()
}
