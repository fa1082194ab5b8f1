package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/withdrawal"
)

// catalogs holds the query catalog and the targets of each group. A change of a
// target rebuilds only the index snapshots that it holds and the groups that it
// belongs to, not all catalogs.
//
// Published maps, catalogs and slices are never modified.
type catalogs struct {
	table        *routing.Table
	withdrawals  *withdrawal.Set
	snapshots    map[string]*groupedSnapshot // by index snapshot
	groupsOf     map[string][]string         // by labels, see labelKey
	records      map[string]publishedTarget  // by target
	byGroup      map[string]*query.Catalog
	groupMembers map[string][]query.Replica
}

// groupedSnapshot is an index snapshot with its replicas by group.
type groupedSnapshot struct {
	source  *targets.Snapshot
	byGroup map[string]query.Snapshot
}

// publishedTarget is a target's record and groups as last published.
type publishedTarget struct {
	record *targets.Record
	groups []string
}

func newCatalogs() *catalogs { return &catalogs{} }

// update applies a table and a view to the catalogs, without the targets of withdrawn
// failure domains. changed holds the targets that may differ from the last view.
func (c *catalogs) update(table *routing.Table, view *targets.View, withdrawals *withdrawal.Set, changed map[string]bool) {
	if c.table == nil || c.withdrawals != withdrawals || !slices.EqualFunc(c.table.Groups(), table.Groups(), sameMembership) {
		c.reset(table)
		changed = make(map[string]bool, view.Len())
		for r := range view.Targets() {
			changed[r.Target] = true
		}
	}
	c.table, c.withdrawals = table, withdrawals
	c.updateGroupMembers(view, changed)
	c.updateSnapshots(view)
}

// sameMembership reports whether two groups have the same name and match the
// same targets.
func sameMembership(a, b routing.Group) bool { return a.Name == b.Name && maps.Equal(a.Match, b.Match) }

func (c *catalogs) reset(table *routing.Table) {
	c.snapshots = make(map[string]*groupedSnapshot)
	c.groupsOf = make(map[string][]string)
	c.records = make(map[string]publishedTarget)
	c.byGroup = make(map[string]*query.Catalog)
	c.groupMembers = make(map[string][]query.Replica)
	for _, name := range table.GroupNames() {
		c.byGroup[name] = &query.Catalog{Group: name}
	}
}

// groups returns the groups of a target. The result is cached by label set,
// since many targets have the same labels.
func (c *catalogs) groups(r *targets.Record) []string {
	key := labelKey(r.Labels)
	groups, ok := c.groupsOf[key]
	if !ok {
		groups = c.table.GroupsOf(r.Labels)
		c.groupsOf[key] = groups
	}
	return groups
}

func labelKey(labels map[string]string) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		b.WriteString(k)
		b.WriteByte(0)
		b.WriteString(labels[k])
		b.WriteByte(0)
	}
	return b.String()
}

// updateGroupMembers rebuilds the target lists of the groups that changed targets
// joined, left or belong to. The lists hold the targets that take new work.
func (c *catalogs) updateGroupMembers(view *targets.View, changed map[string]bool) {
	touched := make(map[string]bool)
	for name := range changed {
		old := c.records[name]
		r, ok := view.Target(name)
		if ok && (r.Status != targets.StatusAlive || c.withdrawals.Withdrawn(r.FailureDomain)) {
			ok = false
		}
		if old.record == r && ok {
			continue
		}
		for _, g := range old.groups {
			touched[g] = true
		}
		if !ok {
			delete(c.records, name)
			continue
		}
		m := publishedTarget{record: r, groups: c.groups(r)}
		c.records[name] = m
		for _, g := range m.groups {
			touched[g] = true
		}
	}
	if len(touched) == 0 {
		return
	}
	c.groupMembers = maps.Clone(c.groupMembers)
	lists := make(map[string][]query.Replica, len(touched))
	for _, m := range c.records {
		for _, g := range m.groups {
			if touched[g] {
				lists[g] = append(lists[g], replicaOf(targets.Replica{Target: m.record}))
			}
		}
	}
	for g := range touched {
		slices.SortFunc(lists[g], func(a, b query.Replica) int { return cmp.Compare(a.Target, b.Target) })
		c.groupMembers[g] = lists[g]
	}
}

// updateSnapshots rebuilds the index snapshots that changed, which have a new
// pointer in the view, and the catalogs of their groups.
func (c *catalogs) updateSnapshots(view *targets.View) {
	touched := make(map[string]bool)
	present := make(map[string]bool)
	for _, s := range view.Snapshots() {
		present[s.IndexSnapshot] = true
		old := c.snapshots[s.IndexSnapshot]
		if old != nil && old.source == s {
			continue
		}
		fresh := c.groupSnapshot(s)
		c.snapshots[s.IndexSnapshot] = fresh
		for g := range fresh.byGroup {
			touched[g] = true
		}
		if old != nil {
			for g := range old.byGroup {
				touched[g] = true
			}
		}
	}
	for name, old := range c.snapshots {
		if !present[name] {
			delete(c.snapshots, name)
			for g := range old.byGroup {
				touched[g] = true
			}
		}
	}
	c.rebuildCatalogs(touched)
}

func (c *catalogs) rebuildCatalogs(touched map[string]bool) {
	if len(touched) == 0 {
		return
	}
	c.byGroup = maps.Clone(c.byGroup)
	fresh := make(map[string]*query.Catalog, len(touched))
	for g := range touched {
		fresh[g] = &query.Catalog{Group: g}
		c.byGroup[g] = fresh[g]
	}
	for _, grouped := range c.snapshots {
		for g, s := range grouped.byGroup {
			if touched[g] {
				fresh[g].Snapshots = append(fresh[g].Snapshots, s)
			}
		}
	}
	for _, catalog := range fresh {
		slices.SortFunc(catalog.Snapshots, func(a, b query.Snapshot) int {
			return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.Name, b.Name))
		})
	}
}

// groupSnapshot lists the replicas of an index snapshot by group. Groups without
// a replica of it are left out.
func (c *catalogs) groupSnapshot(s *targets.Snapshot) *groupedSnapshot {
	grouped := &groupedSnapshot{source: s, byGroup: make(map[string]query.Snapshot)}
	for i := range s.Shards {
		for _, r := range s.ReplicasAt(i) {
			if c.withdrawals.Withdrawn(r.Target.FailureDomain) {
				continue
			}
			for _, g := range c.groups(r.Target) {
				qs, ok := grouped.byGroup[g]
				if !ok {
					qs = query.Snapshot{Name: s.IndexSnapshot, Generation: s.Generation, Layout: s.Shards, Replicas: make([][]query.Replica, len(s.Shards))}
					grouped.byGroup[g] = qs
				}
				qs.Replicas[i] = append(qs.Replicas[i], replicaOf(r))
			}
		}
	}
	return grouped
}
