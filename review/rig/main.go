// Rig plays the scripts of this review: it starts the project's own programs as separate processes on loopback addresses,
// with stand-ins for clients, endpoints and the operator, and says whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broke  = 1
	unable = 2
)

const longest = 115 * time.Second

var cases = map[string]func(s *system, r *record, trouble bool) (broken bool, err error){
	"surplus":   playSurplus,
	"forgotten": playForgotten,
	"raised":    playRaised,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return unable
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer r.close()
	s, err := newSystem(root)
	if err != nil {
		r.say("can't run: %v", err)
		return unable
	}
	defer s.end()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s, r, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case ended := <-done:
		switch {
		case ended.err != nil:
			r.say("can't run: %v", ended.err)
			return unable
		case ended.broken:
			r.say("the rule was broken")
			return broke
		}
		r.say("the rule held")
		return held
	case <-signals:
		r.say("can't run: ended by a signal")
	case <-time.After(longest):
		r.say("can't run: not done in %v", longest)
	}
	return unable
}
