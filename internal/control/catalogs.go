package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// catalogs keeps what traffic reads of each group: its index snapshots with
// their replicas, and its targets. One changed target rebuilds only the index
// snapshots that it holds and the groups that it belongs to, so the cost of a
// change does not grow with the number of targets.
//
// Published maps, catalogs and slices are never modified.
type catalogs struct {
	table    *routing.Table
	parts    map[string]*part     // by index snapshot
	groupsOf map[string][]string  // by labels, see labelKey
	records  map[string]published // by target
	byGroup  map[string]*query.Catalog
	members  map[string][]query.Replica
}

// part is one index snapshot as the groups see it.
type part struct {
	source  *targets.Snapshot
	byGroup map[string]query.Snapshot
}

// published is what was last published of a target.
type published struct {
	record *targets.Record
	groups []string
}

func newCatalogs() *catalogs { return &catalogs{} }

// update brings the catalogs up to a table and a view. Changed names the
// targets that may differ from the last view.
func (c *catalogs) update(table *routing.Table, view *targets.View, changed map[string]bool) {
	if c.table == nil || !slices.EqualFunc(c.table.Groups(), table.Groups(), sameMembership) {
		c.reset(table)
		changed = make(map[string]bool, view.Len())
		for r := range view.Targets() {
			changed[r.Target] = true
		}
	}
	c.table = table
	c.updateMembers(view, changed)
	c.updateParts(view)
}

// sameMembership reports whether two groups have the same name and targets.
func sameMembership(a, b routing.Group) bool { return a.Name == b.Name && maps.Equal(a.Match, b.Match) }

func (c *catalogs) reset(table *routing.Table) {
	c.parts = make(map[string]*part)
	c.groupsOf = make(map[string][]string)
	c.records = make(map[string]published)
	c.byGroup = make(map[string]*query.Catalog)
	c.members = make(map[string][]query.Replica)
	for _, name := range table.GroupNames() {
		c.byGroup[name] = &query.Catalog{Group: name}
	}
}

// groups returns the groups of a target. Targets of one kind share their
// labels, so few label sets are compared with all groups.
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

// updateMembers moves the changed targets into and out of the lists of those
// that take new work.
func (c *catalogs) updateMembers(view *targets.View, changed map[string]bool) {
	touched := make(map[string]bool)
	for name := range changed {
		old := c.records[name]
		r, ok := view.Target(name)
		if ok && r.Status != targets.StatusAlive {
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
		m := published{record: r, groups: c.groups(r)}
		c.records[name] = m
		for _, g := range m.groups {
			touched[g] = true
		}
	}
	if len(touched) == 0 {
		return
	}
	c.members = maps.Clone(c.members)
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
		c.members[g] = lists[g]
	}
}

// updateParts rebuilds the index snapshots that changed, which the view shows
// by a new pointer, and the catalogs of the groups that they concern.
func (c *catalogs) updateParts(view *targets.View) {
	touched := make(map[string]bool)
	present := make(map[string]bool)
	for _, s := range view.Snapshots() {
		present[s.IndexSnapshot] = true
		old := c.parts[s.IndexSnapshot]
		if old != nil && old.source == s {
			continue
		}
		fresh := c.buildPart(s)
		c.parts[s.IndexSnapshot] = fresh
		for g := range fresh.byGroup {
			touched[g] = true
		}
		if old != nil {
			for g := range old.byGroup {
				touched[g] = true
			}
		}
	}
	for name, old := range c.parts {
		if !present[name] {
			delete(c.parts, name)
			for g := range old.byGroup {
				touched[g] = true
			}
		}
	}
	c.assemble(touched)
}

func (c *catalogs) assemble(touched map[string]bool) {
	if len(touched) == 0 {
		return
	}
	c.byGroup = maps.Clone(c.byGroup)
	fresh := make(map[string]*query.Catalog, len(touched))
	for g := range touched {
		fresh[g] = &query.Catalog{Group: g}
		c.byGroup[g] = fresh[g]
	}
	for _, p := range c.parts {
		for g, s := range p.byGroup {
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

// buildPart lists the replicas of an index snapshot by group. A group without
// any replica of it is left out.
func (c *catalogs) buildPart(s *targets.Snapshot) *part {
	p := &part{source: s, byGroup: make(map[string]query.Snapshot)}
	for i := range s.Shards {
		for _, r := range s.ReplicasAt(i) {
			for _, g := range c.groups(r.Target) {
				qs, ok := p.byGroup[g]
				if !ok {
					qs = query.Snapshot{Name: s.IndexSnapshot, Generation: s.Generation, Layout: s.Shards, Replicas: make([][]query.Replica, len(s.Shards))}
					p.byGroup[g] = qs
				}
				qs.Replicas[i] = append(qs.Replicas[i], replicaOf(r))
			}
		}
	}
	return p
}
