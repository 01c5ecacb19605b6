package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// playFlappingMachine: one machine of the core is killed five times, and comes back each time. Later than catch_up_s after
// its last return another one loses its disk; later than catch_up_s after that one's return, a third one does. At no moment
// does more than one machine count as lost.
func playFlappingMachine(w *world) error {
	const (
		catchUp  = 4 * time.Second // catch_up_s
		downtime = time.Second     // of the process that is killed
		safety   = 50 * time.Millisecond
	)
	if err := w.startAll(true); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.newEndpoint(i, fmt.Sprintf("i-%d", i+1), "inventory-sync", nil); err != nil {
			return err
		}
	}
	if err := w.operate("PUT", 0, document(1, 16384, []object{pushRoute()}, []object{pushService()})); err != nil {
		return err
	}
	if err := w.allReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	returned := time.Now()
	if w.trouble {
		// The machine stays up long enough to be taken back into the chain after each kill.
		for kill, up := range []time.Duration{1500, 2000, 3000, 5500, 0} {
			w.controls[2].kill()
			w.note("core-3 is killed (%d)", kill+1)
			time.Sleep(downtime)
			if err := w.restart(2); err != nil {
				return err
			}
			returned = time.Now()
			w.note("core-3 is started again with its disk")
			time.Sleep(up * time.Millisecond)
		}
	}
	if err := w.operate("PUT", 1, document(2, 16384, []object{pushRoute()}, []object{pushService()})); err != nil {
		return err
	}
	time.Sleep(time.Until(returned.Add(catchUp + safety)))
	for _, i := range []int{1, 0} {
		w.controls[i].kill()
		if err := os.RemoveAll(filepath.Join(w.dir, w.controls[i].name+".data")); err != nil {
			return err
		}
		if err := w.restart(i); err != nil {
			return err
		}
		returned = time.Now()
		w.note("core-%d has lost its disk and is started again, bootstrap=false", i+1)
		if i == 1 {
			time.Sleep(time.Until(returned.Add(catchUp + safety)))
		}
	}
	// The operator reads the configuration back, for longer than liveness_ms and recovery_s after all machines are back.
	end := time.Now().Add(25 * time.Second)
	answers := map[string]int{}
	for try := 0; time.Now().Before(end); try++ {
		generation, text := w.readConfiguration(try % controlCount)
		answers[text]++
		if generation == `"2"` {
			w.note("operator: version 2 is read back from core-%d", try%controlCount+1)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.note("operator: version 2 is not read back within 25 s after the last return; answers: %v", answers)
	return fmt.Errorf("CONFIG: %w", errBroken)
}

// restart starts a control instance again with the settings of a later start.
func (w *world) restart(i int) error {
	p, err := w.start(w.controls[i].name, w.controls[i].program, w.controlSettings(i, false))
	if err != nil {
		return err
	}
	w.controls[i] = p
	return nil
}

// readConfiguration asks one control instance; it returns the ETag and what was answered.
func (w *world) readConfiguration(i int) (etag, text string) {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + w.control(i) + "/-/config")
	if err != nil {
		return "", "no answer"
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.Header.Get("ETag"), fmt.Sprintf("status %d", answer.StatusCode)
}
