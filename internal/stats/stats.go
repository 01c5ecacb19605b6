// Package stats has the counters and gauges of a courier process for monitoring. The outcome of each message is counted
// once, when it is decided, so that
//
//	messages accepted = completed + rejected + failed + pending
//
// except for messages rejected at submission, which were never accepted, and messages whose client disconnected before
// the answer. Neither counting nor reading blocks.
package stats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Stats is the set of counters and gauges. The zero value is ready for use.
type Stats struct {
	UpstreamRequests                 atomic.Int64 // messages written completely to endpoints, in any call
	Pending                          atomic.Int64 // messages accepted and without an outcome yet
	Members, MembersUnavailable      atomic.Int64 // endpoints on the list, and those of them that are currently avoided
	ConfigReloads, ConfigReloadFails atomic.Int64 // configuration files accepted and rejected

	mu      sync.Mutex // serializes adding a class
	classes atomic.Pointer[map[string]*Class]
}

// Class counts the outcomes of the messages of one class.
type Class struct {
	Completed atomic.Int64 // delivered
	Rejected  atomic.Int64 // refused or returned; the client can safely retry
	Failed    atomic.Int64
}

// Class returns the counters of the class with that name and adds them if there are none. They stay when a reload
// removes the class from the settings.
func (s *Stats) Class(name string) *Class {
	if all := s.classes.Load(); all != nil {
		if c := (*all)[name]; c != nil {
			return c
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]*Class{}
	if old := s.classes.Load(); old != nil {
		all = maps.Clone(*old)
	}
	if all[name] == nil {
		all[name] = &Class{}
		s.classes.Store(&all)
	}
	return all[name]
}

// WriteTo writes one line per value, "app." NAME "=" VALUE, with classes sorted by name.
func (s *Stats) WriteTo(w io.Writer) (n int64, err error) {
	line := func(name string, v *atomic.Int64) {
		if err == nil {
			var m int
			m, err = fmt.Fprintf(w, "app.%s=%d\n", name, v.Load())
			n += int64(m)
		}
	}
	if all := s.classes.Load(); all != nil {
		for _, name := range slices.Sorted(maps.Keys(*all)) {
			c := (*all)[name]
			for end, v := range map[string]*atomic.Int64{"completed": &c.Completed, "rejected": &c.Rejected, "failed": &c.Failed} {
				line("downstream_requests."+name+"."+end, v)
			}
		}
	}
	line("upstream_requests", &s.UpstreamRequests)
	line("pending", &s.Pending)
	line("members", &s.Members)
	line("members_unavailable", &s.MembersUnavailable)
	line("config_reloads", &s.ConfigReloads)
	line("config_reload_errors", &s.ConfigReloadFails)
	return n, err
}
