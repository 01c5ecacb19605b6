package system

import (
	"fmt"
	"sync"
	"time"
)

// eventJournal keeps what happened in a run, in order of time.
type eventJournal struct {
	startedAt time.Time
	mutex     sync.Mutex
	events    []journalEvent
}

type journalEvent struct {
	at   time.Time
	text string
}

func (j *eventJournal) add(format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.events = append(j.events, journalEvent{time.Now(), fmt.Sprintf(format, arguments...)})
}

// around returns the events from some time before to some time after a moment, one a line.
func (j *eventJournal) around(at time.Time, before, after time.Duration) []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var lines []string
	for _, event := range j.events {
		if event.at.After(at.Add(-before)) && event.at.Before(at.Add(after)) {
			lines = append(lines, fmt.Sprintf("%8.3f  %s", event.at.Sub(j.startedAt).Seconds(), event.text))
		}
	}
	return lines
}
