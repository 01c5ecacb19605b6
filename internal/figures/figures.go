// Package figures holds what a courier has done since its process began, and what it is at, for whoever
// watches it. Each end is counted where it is decided, once, so that
//
//	messages taken = completed + rejected + failed + pending
//
// but for those refused at the submission, which were never taken, and those whose client left before it was
// told. Adding to a figure and reading all of them wait for nobody.
package figures

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Book holds the figures. The zero value is ready for use.
type Book struct {
	UpstreamRequests                 atomic.Int64 // messages written in full to endpoints, in whatever call
	Pending                          atomic.Int64 // messages taken and not ended
	Members, MembersUnavailable      atomic.Int64 // endpoints on the list, and those of them that are avoided now
	ConfigReloads, ConfigReloadFails atomic.Int64 // files accepted and turned down

	mu      sync.Mutex // of those who add a class
	classes atomic.Pointer[map[string]*Class]
}

// Class counts the ends of one class of message.
type Class struct {
	Completed atomic.Int64 // delivered
	Rejected  atomic.Int64 // refused, or handed back: trying again is harmless
	Failed    atomic.Int64
}

// Class is that of the name, from the first time on that it is asked for: its counts stay readable when
// the settings have it no more.
func (b *Book) Class(name string) *Class {
	if all := b.classes.Load(); all != nil {
		if c := (*all)[name]; c != nil {
			return c
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]*Class{}
	if old := b.classes.Load(); old != nil {
		all = maps.Clone(*old)
	}
	if all[name] == nil {
		all[name] = &Class{}
		b.classes.Store(&all)
	}
	return all[name]
}

// WriteTo writes a line a figure, "app." NAME "=" VALUE, the classes in order of their names.
func (b *Book) WriteTo(w io.Writer) (n int64, err error) {
	line := func(name string, v *atomic.Int64) {
		if err == nil {
			var m int
			m, err = fmt.Fprintf(w, "app.%s=%d\n", name, v.Load())
			n += int64(m)
		}
	}
	if all := b.classes.Load(); all != nil {
		for _, name := range slices.Sorted(maps.Keys(*all)) {
			c := (*all)[name]
			for end, v := range map[string]*atomic.Int64{"completed": &c.Completed, "rejected": &c.Rejected, "failed": &c.Failed} {
				line("downstream_requests."+name+"."+end, v)
			}
		}
	}
	line("upstream_requests", &b.UpstreamRequests)
	line("pending", &b.Pending)
	line("members", &b.Members)
	line("members_unavailable", &b.MembersUnavailable)
	line("config_reloads", &b.ConfigReloads)
	line("config_reload_errors", &b.ConfigReloadFails)
	return n, err
}
