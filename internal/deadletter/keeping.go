package deadletter

// Dead letters that come in, and a store that breaks.

import (
	"errors"
	"slices"
	"time"
)

func (k *Keeper) keep(all []keepMsg) {
	all = slices.DeleteFunc(all, func(m keepMsg) bool { return m.refused && m.told.Load() })
	if len(all) == 0 {
		return
	}
	letters := make([]*Letter, len(all))
	for i, m := range all {
		letters[i] = m.l
	}
	gave, err := k.put(letters)
	if err != nil && k.store != nil && len(all) > 1 { // one of them spoils it for the others
		for _, m := range all {
			k.keep([]keepMsg{m})
		}
		return
	}
	if err != nil {
		k.Counts.Lost.Add(int64(len(all)))
		k.Log.Error("undeliverable: not kept", "n", len(all), "id", all[0].l.ID, "err", err)
	} else {
		k.Counts.Kept.Add(int64(len(all)))
		for _, l := range letters { // a failure just seen shuts the pace before the first dead letter is due
			k.pace(l.Dest, true)
		}
	}
	k.gaveWay(gave)
	for _, m := range all {
		late := m.told.Load()
		m.then(err)
		if late && m.refused && err == nil && k.store != nil {
			back := k.store.Delete(m.l.ID)
			k.broke(back)
			k.Log.Warn("undeliverable: taken back, the disk was slow", "id", m.l.ID, "err", back)
		}
	}
}

func (k *Keeper) put(letters []*Letter) ([]Letter, error) {
	if k.store == nil {
		return nil, ErrOff
	}
	gave, err := k.store.Put(letters...)
	k.broke(err)
	return gave, err
}

func (k *Keeper) gaveWay(gave []Letter) {
	for _, l := range gave {
		k.Counts.GaveWay.Add(1)
		k.Log.Warn("undeliverable: gave way", "id", l.ID, "class", l.Class, "state", l.State.String(),
			"failed", time.Unix(0, l.Failed))
	}
}

// broke sets a store aside that can't be read: the courier serves on without one. Errors of the disk
// pass.
func (k *Keeper) broke(err error) {
	if !errors.Is(err, ErrSpoilt) || k.store == nil {
		return
	}
	store := k.store
	k.store = nil
	closed := store.Close()
	name, moved := SetAside(k.Folder, time.Now())
	k.Log.Error("undeliverable: the store broke and is set aside; no dead letters are kept until the next start",
		"err", err, "as", name, "moved", moved, "closed", closed)
}
