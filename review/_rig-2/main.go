// Command rig-2 plays the scripted cases of the second review. It starts the project's own programs as processes on
// loopback addresses, with stand-ins for clients, endpoints and the operator, and judges what these see.
//
// Exit codes: 0, the rule held; 1, it was broken; 2, the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(*world) error{
	"slow-model":       playSlowModel,
	"flapping-machine": playFlappingMachine,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE PROGRAMS FOLDER")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig-2: no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*world) error, programs, folder string) (code int) {
	w, err := newWorld(programs, filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig-2:", err)
		return 2
	}
	defer w.close()
	watchdog := time.AfterFunc(110*time.Second, func() {
		w.note("the case takes too long")
		w.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.note("the case was ended from outside")
		w.close()
		os.Exit(2)
	}()
	err = play(w)
	switch {
	case err == nil:
		w.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		return 1
	}
	w.note("result: the case couldn't run: %v", err)
	return 2
}
