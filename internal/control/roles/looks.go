package roles

const (
	looksAtOnce  = 16 // reports of endpoints that are asked for at one time
	looksPerStep = 4  // begun in one step: a large fleet is looked at over seconds
)

// looks puts the reports that the placer wants into a row. It is pure; the holder owns it.
type looks struct {
	waiting []string // IDs of endpoints, each once
	known   map[string]bool
	asking  int
}

func newLooks() *looks { return &looks{known: make(map[string]bool)} }

// want adds endpoints. One that waits or is being asked is not added again: its answer is for both.
func (l *looks) want(ids []string) {
	for _, id := range ids {
		if !l.known[id] {
			l.known[id] = true
			l.waiting = append(l.waiting, id)
		}
	}
}

// next returns the endpoints to be asked in this step.
func (l *looks) next() []string {
	count := max(0, min(looksPerStep, looksAtOnce-l.asking, len(l.waiting)))
	ids := l.waiting[:count]
	l.waiting = l.waiting[count:]
	l.asking += count
	return ids
}

// done notes an answer.
func (l *looks) done(id string) {
	if l.known[id] {
		delete(l.known, id)
		l.asking--
	}
}

// wait says whether the next step will ask for some.
func (l *looks) wait() bool { return len(l.waiting) > 0 && l.asking < looksAtOnce }
