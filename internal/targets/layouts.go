package targets

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// knownLayout is a layout with its state at this host.
type knownLayout struct {
	*Layout
	committed   bool  // in the replicated log, which decides between conflicting layouts
	unusedSince int64 // Unix nanoseconds; valid while no target lists it
	proposedAt  int64 // Unix nanoseconds; when this host last proposed it
}

// layoutTable holds the layouts of index snapshots that are or recently were in
// use.
type layoutTable struct {
	known map[string]*knownLayout
	users map[string]int // number of unexpired targets by index snapshot
}

func newLayoutTable() layoutTable {
	return layoutTable{known: map[string]*knownLayout{}, users: map[string]int{}}
}

func (t *layoutTable) get(name string) *Layout {
	if k := t.known[name]; k != nil {
		return k.Layout
	}
	return nil
}

func (t *layoutTable) use(r *Record) {
	for _, s := range r.IndexSnapshots {
		t.users[s.Name]++
	}
}

func (t *layoutTable) release(now time.Time, r *Record) {
	for _, s := range r.IndexSnapshots {
		t.users[s.Name]--
		if t.users[s.Name] > 0 {
			continue
		}
		delete(t.users, s.Name)
		if k := t.known[s.Name]; k != nil {
			k.unusedSince = now.UnixNano()
		}
	}
}

// set stores a layout and reports whether it is new or newly committed.
func (t *layoutTable) set(now time.Time, l *Layout, committed bool) bool {
	old := t.known[l.IndexSnapshot]
	if old != nil && old.Hash == l.Hash {
		changed := committed && !old.committed
		old.committed = old.committed || committed
		return changed
	}
	t.known[l.IndexSnapshot] = &knownLayout{Layout: l, committed: committed, unusedSince: now.UnixNano()}
	return true
}

// propose returns proposals for the layouts that are not committed yet, at most
// one per layout and layoutProposalInterval. Every host that receives
// announcements proposes, because the first host to do so may have failed.
func (t *layoutTable) propose(now time.Time, layouts []*Layout) []Effect {
	var effects []Effect
	for _, l := range layouts {
		k := t.known[l.IndexSnapshot]
		if k == nil || k.committed || k.Hash != l.Hash {
			continue
		}
		if now.UnixNano()-k.proposedAt >= int64(layoutProposalInterval) {
			k.proposedAt = now.UnixNano()
			effects = append(effects, ProposeLayout{Layout: k.Layout})
		}
	}
	return effects
}

// prune removes unused layouts that are past LayoutRetention or, oldest first,
// exceed MaxUnusedLayouts. It returns the names of their index snapshots.
func (t *layoutTable) prune(now time.Time) []string {
	var unused []*knownLayout
	for name, k := range t.known {
		if t.users[name] == 0 {
			unused = append(unused, k)
		}
	}
	slices.SortFunc(unused, func(a, b *knownLayout) int {
		return cmp.Or(cmp.Compare(a.unusedSince, b.unusedSince), cmp.Compare(a.IndexSnapshot, b.IndexSnapshot))
	})
	var dropped []string
	for i, k := range unused {
		expired := now.UnixNano()-k.unusedSince >= int64(LayoutRetention)
		if expired || len(unused)-i > MaxUnusedLayouts {
			delete(t.known, k.IndexSnapshot)
			dropped = append(dropped, k.IndexSnapshot)
		}
	}
	return dropped
}

// Layout returns the known layout of an index snapshot and whether it is
// committed in the replicated log.
func (r *Registry) Layout(indexSnapshot string) (l *Layout, committed, ok bool) {
	k := r.layouts.known[indexSnapshot]
	if k == nil {
		return nil, false, false
	}
	return k.Layout, k.committed, true
}

// Layouts returns the known layouts that targets use, in no particular order.
func (r *Registry) Layouts() iter.Seq[*Layout] {
	return func(yield func(*Layout) bool) {
		for name := range r.layouts.users {
			if l := r.layouts.get(name); l != nil && !yield(l) {
				return
			}
		}
	}
}

// learnLayouts stores the layouts of an accepted announcement and proposes those
// that are not committed yet.
func (r *Registry) learnLayouts(now time.Time, layouts []*Layout, from string) []Effect {
	var effects []Effect
	for _, l := range layouts {
		if r.layouts.get(l.IndexSnapshot) != nil {
			continue
		}
		effects = append(effects, r.setLayout(now, l, false, from)...)
	}
	return append(effects, r.layouts.propose(now, layouts)...)
}

// layoutReceived merges a layout from another host. If hosts accepted different
// layouts of one index snapshot at the same time, they use the one with the
// higher hash until the replicated log decides.
func (r *Registry) layoutReceived(now time.Time, ev LayoutReceived) []Effect {
	if ev.Layout.Validate() != nil {
		return nil
	}
	l := NewLayout(ev.Layout.IndexSnapshot, ev.Layout.Generation, ev.Layout.Shards)
	if k := r.layouts.known[l.IndexSnapshot]; k != nil && !ev.Committed && (k.committed || k.Hash >= l.Hash) {
		return nil
	}
	return r.setLayout(now, l, ev.Committed, ev.From)
}

func (r *Registry) layoutCommitted(now time.Time, ev LayoutCommitted) []Effect {
	l := NewLayout(ev.Layout.IndexSnapshot, ev.Layout.Generation, ev.Layout.Shards)
	return r.setLayout(now, l, true, "")
}

// setLayout adds or replaces a layout, and adds the replicas that targets hold
// under it to the view.
func (r *Registry) setLayout(now time.Time, l *Layout, committed bool, from string) []Effect {
	old := r.layouts.get(l.IndexSnapshot)
	if !r.layouts.set(now, l, committed) {
		return nil
	}
	effects := []Effect{DisseminateLayout{IndexSnapshot: l.IndexSnapshot, From: from}}
	if old != nil && old.Hash == l.Hash {
		return effects
	}
	r.view.setLayout(l)
	if r.layouts.users[l.IndexSnapshot] > 0 {
		r.reindex(l.IndexSnapshot)
	}
	ev := eventLayoutKnown
	if old != nil {
		ev = eventLayoutReplaced
	}
	return append(effects, logEffect(ev, "", l.IndexSnapshot))
}

func (r *Registry) reindex(indexSnapshot string) {
	for _, e := range r.entries {
		if e.rec.Status == StatusAlive && e.rec.layoutHash(indexSnapshot) != 0 {
			r.view.addHoldings(e.rec, indexSnapshot)
		}
	}
}
