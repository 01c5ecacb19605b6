package state

// maxRememberedChanges is how many of the newest accepted changes are recognised when they are sent again.
const maxRememberedChanges = 4096

// changeLog is the memory of accepted changes, bounded by maxRememberedChanges. Part of the replicated state.
//
// It answers one question: was this change accepted before? Because no version has
// more than one accepted change on it, there are three cases for a change that is not among the remembered ones:
//
//   - It builds on a version below forgottenGeneration. The change accepted on that version is no longer remembered, and it
//     may have been this one: the machine cannot know.
//   - It builds on a later version that is not current. The change accepted on that version is remembered and is
//     another one, so this change was never accepted.
//   - It builds on the current version, on which none was accepted yet.
type changeLog struct {
	changes                 []acceptedChange      // oldest first
	generationByFingerprint map[fingerprint]int64 // of each change in changes
	// forgottenGeneration is the generation that the newest of the forgotten changes made; 0: none was forgotten.
	forgottenGeneration int64
}

type acceptedChange struct {
	fingerprint fingerprint
	version     Version // that the change made
}

func newChangeLog() changeLog {
	return changeLog{generationByFingerprint: make(map[fingerprint]int64)}
}

// lookup returns the generation that a change made when it was accepted, if it is remembered.
func (l *changeLog) lookup(change fingerprint) (generation int64, remembered bool) {
	generation, remembered = l.generationByFingerprint[change]
	return generation, remembered
}

// mayHaveForgotten reports whether the change that was accepted on this version may be a forgotten one.
func (l *changeLog) mayHaveForgotten(base int64) bool { return base < l.forgottenGeneration }

// add remembers a change that is newer than all others, and forgets the oldest one where there are too many.
func (l *changeLog) add(change acceptedChange) {
	l.changes = append(l.changes, change)
	l.generationByFingerprint[change.fingerprint] = change.version.Generation
	if len(l.changes) > maxRememberedChanges {
		oldest := &l.changes[0]
		delete(l.generationByFingerprint, oldest.fingerprint)
		l.forgottenGeneration = oldest.version.Generation
		l.changes = l.changes[1:]
	}
}
