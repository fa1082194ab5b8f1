package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// staged holds the objects that one change would replace. A nil value in
// groups, selectors or layouts means removal.
type staged struct {
	store     *Store
	groups    replacements[routing.Group]
	selectors replacements[routing.Selector]
	members   *Members
	layouts   map[layoutKey]*Layout
	before    []PriorObject
}

func (s *Store) newStaged(c Change) *staged {
	return &staged{store: s, before: make([]PriorObject, 0, len(c.Ops))}
}

// group returns the staged group, or the one in force if none is staged.
func (st *staged) group(name string) *routing.Group {
	if g, ok := st.groups.get(name); ok {
		return g
	}
	if g, ok := st.store.groups[name]; ok {
		return &g
	}
	return nil
}

func (st *staged) selector(name string) *routing.Selector {
	if sel, ok := st.selectors.get(name); ok {
		return sel
	}
	if sel, ok := st.store.selectors[name]; ok {
		return &sel
	}
	return nil
}

// apply stages all operations of a change.
func (st *staged) apply(c Change) error {
	for _, op := range c.Ops {
		if err := st.applyOp(c.Team, op); err != nil {
			return err
		}
	}
	return nil
}

func (st *staged) applyOp(team string, op Op) error {
	switch op := op.(type) {
	case PutGroup:
		return st.putGroup(team, op.Group)
	case DeleteGroup:
		return st.deleteGroup(team, op.Name)
	case PutSelector:
		return st.putSelector(team, op.Selector)
	case DeleteSelector:
		return st.deleteSelector(team, op.Name)
	case ForgetHost:
		return st.forgetHost(op.Host)
	case SetMembers:
		return st.setMembers(op)
	case AddLayout:
		return st.addLayout(op)
	case RemoveLayout:
		return st.removeLayout(op)
	default:
		return invalid("unknown operation %T", op)
	}
}

// checkOwner returns an error unless team may change an object of team owner.
func checkOwner(team, owner string, o Object) error {
	if team == owner || team == AdminTeam {
		return nil
	}
	return refusal(CodeNotOwner, "%s belongs to team %q, and the change is of team %q", o, owner, team)
}

func (st *staged) putGroup(team string, g routing.Group) error {
	o := Object{KindGroup, g.Name}
	old := st.group(g.Name)
	if old != nil {
		if err := checkOwner(team, old.Team, o); err != nil {
			return err
		}
	}
	if err := checkOwner(team, g.Team, o); err != nil {
		return err
	}
	st.groups.set(g.Name, &g)
	st.before = append(st.before, PriorObject{Object: o, Group: old})
	return nil
}

func (st *staged) deleteGroup(team, name string) error {
	o := Object{KindGroup, name}
	old := st.group(name)
	if old == nil {
		return refusal(CodeUnknownObject, "%s does not exist", o)
	}
	if err := checkOwner(team, old.Team, o); err != nil {
		return err
	}
	st.groups.set(name, nil)
	st.before = append(st.before, PriorObject{Object: o, Group: old})
	return nil
}

func (st *staged) putSelector(team string, sel routing.Selector) error {
	o := Object{KindSelector, sel.Name}
	old := st.selector(sel.Name)
	if old != nil {
		if err := checkOwner(team, old.Owner, o); err != nil {
			return err
		}
	}
	if err := checkOwner(team, sel.Owner, o); err != nil {
		return err
	}
	st.selectors.set(sel.Name, &sel)
	st.before = append(st.before, PriorObject{Object: o, Selector: old})
	return nil
}

func (st *staged) deleteSelector(team, name string) error {
	o := Object{KindSelector, name}
	old := st.selector(name)
	if old == nil {
		return refusal(CodeUnknownObject, "%s does not exist", o)
	}
	if err := checkOwner(team, old.Owner, o); err != nil {
		return err
	}
	st.selectors.set(name, nil)
	st.before = append(st.before, PriorObject{Object: o, Selector: old})
	return nil
}

func (st *staged) currentMembers() Members {
	if st.members != nil {
		return *st.members
	}
	return st.store.members
}

func (st *staged) forgetHost(host string) error {
	m := st.currentMembers()
	i, ok := slices.BinarySearch(m.Hosts, host)
	if !ok {
		return refusal(CodeUnknownObject, "host %q is not a member", host)
	}
	hosts := slices.Delete(slices.Clone(m.Hosts), i, i+1)
	st.members = &Members{Epoch: m.Epoch + 1, Hosts: hosts, Base: max(m.Base-1, len(hosts))}
	st.before = append(st.before, PriorObject{Object: Object{KindHost, host}})
	return nil
}

func (st *staged) setMembers(op SetMembers) error {
	if epoch := st.currentMembers().Epoch; op.Epoch <= epoch {
		return refusal(CodeStaleEpoch, "member list of epoch %d is not newer than epoch %d", op.Epoch, epoch)
	}
	hosts := slices.Clone(op.Members)
	slices.Sort(hosts)
	if len(slices.Compact(slices.Clone(hosts))) != len(hosts) {
		return invalid("the member list names a host twice")
	}
	st.members = &Members{Epoch: op.Epoch, Hosts: hosts, Base: max(op.Base, len(hosts))}
	return nil
}

func (st *staged) addLayout(op AddLayout) error {
	if st.group(op.Group) == nil {
		return refusal(CodeUnknownGroup, "group %q does not exist", op.Group)
	}
	k := layoutKey{op.Group, op.IndexSnapshot}
	known := st.layoutsOf(op.Group)
	if old, ok := known[k]; ok && (!slices.Equal(old.Shards, op.Layout) || old.Generation != op.Generation) {
		return refusal(CodeLayoutChanged, "index snapshot %q of group %q is known with another layout or generation", op.IndexSnapshot, op.Group)
	}
	known[k] = Layout{Group: op.Group, IndexSnapshot: op.IndexSnapshot, Generation: op.Generation, Shards: slices.Clone(op.Layout)}
	if len(known) > MaxLayoutsPerGroup {
		oldest := slices.MaxFunc(slices.Collect(maps.Values(known)), compareLayouts)
		if oldest.IndexSnapshot == op.IndexSnapshot {
			return refusal(CodeTooMany, "group %q already has %d layouts of higher generations", op.Group, MaxLayoutsPerGroup)
		}
		st.setLayout(layoutKey{oldest.Group, oldest.IndexSnapshot}, nil)
	}
	l := known[k]
	st.setLayout(k, &l)
	return nil
}

func (st *staged) removeLayout(op RemoveLayout) error {
	k := layoutKey{op.Group, op.IndexSnapshot}
	if _, ok := st.layoutsOf(op.Group)[k]; !ok {
		return refusal(CodeUnknownObject, "index snapshot %q of group %q is not known", op.IndexSnapshot, op.Group)
	}
	st.setLayout(k, nil)
	return nil
}

func (st *staged) layoutsOf(group string) map[layoutKey]Layout {
	out := map[layoutKey]Layout{}
	for k, l := range st.store.layouts {
		if k.group == group {
			out[k] = l
		}
	}
	for k, l := range st.layouts {
		switch {
		case k.group != group:
		case l == nil:
			delete(out, k)
		default:
			out[k] = *l
		}
	}
	return out
}

func (st *staged) setLayout(k layoutKey, l *Layout) {
	if st.layouts == nil {
		st.layouts = map[layoutKey]*Layout{}
	}
	st.layouts[k] = l
}

// compareLayouts orders by group, then newest generation first.
func compareLayouts(a, b Layout) int {
	return cmp.Or(
		strings.Compare(a.Group, b.Group),
		cmp.Compare(b.Generation, a.Generation),
		strings.Compare(b.IndexSnapshot, a.IndexSnapshot),
	)
}

// check validates the state after the change. Objects that the change does not
// touch are valid already.
func (st *staged) check() error {
	if err := st.checkSelectors(); err != nil {
		return err
	}
	if err := st.checkDeletedGroups(); err != nil {
		return err
	}
	return st.checkCounts()
}

func (st *staged) checkSelectors() error {
	for _, r := range st.selectors.sorted() {
		name, sel := r.name, r.value
		if sel == nil {
			continue
		}
		if st.group(sel.Group) == nil {
			return refusal(CodeUnknownGroup, "selector %q leads to group %q, which does not exist", name, sel.Group)
		}
		if other, ok := st.conflicting(*sel); ok {
			return refusal(CodeAmbiguous,
				"selectors %q and %q have %d requirements each, can match one request, and lead to groups %q and %q; add a requirement to one of them",
				sel.Name, other.Name, sel.Specificity(), sel.Group, other.Group)
		}
	}
	return nil
}

// conflicting returns the first selector by name that conflicts with sel.
func (st *staged) conflicting(sel routing.Selector) (routing.Selector, bool) {
	var found routing.Selector
	consider := func(o routing.Selector) {
		if sel.ConflictsWith(o) && (found.Name == "" || o.Name < found.Name) {
			found = o
		}
	}
	for name := range st.store.overlaps.candidates(sel) {
		if _, replaced := st.selectors.get(name); !replaced {
			consider(st.store.selectors[name])
		}
	}
	for _, r := range st.selectors.list {
		if r.value != nil {
			consider(*r.value)
		}
	}
	return found, found.Name != ""
}

func (st *staged) checkDeletedGroups() error {
	for _, r := range st.groups.sorted() {
		if r.value != nil {
			continue
		}
		if user, ok := st.selectorUsing(r.name); ok {
			return refusal(CodeGroupInUse, "group %q is used by selector %q; delete or change the selector first", r.name, user)
		}
	}
	return nil
}

// selectorUsing returns the first selector by name that leads to a group.
func (st *staged) selectorUsing(group string) (string, bool) {
	found := ""
	consider := func(o routing.Selector) {
		if o.Group == group && (found == "" || o.Name < found) {
			found = o.Name
		}
	}
	for name, o := range st.store.selectors {
		if _, replaced := st.selectors.get(name); !replaced {
			consider(o)
		}
	}
	for _, r := range st.selectors.list {
		if r.value != nil {
			consider(*r.value)
		}
	}
	return found, found != ""
}

func (st *staged) checkCounts() error {
	if n := st.groups.countAfter(st.store.groups); n > MaxGroups && n > len(st.store.groups) {
		return refusal(CodeTooMany, "%d groups, at most %d are allowed", n, MaxGroups)
	}
	if n := st.selectors.countAfter(st.store.selectors); n > MaxSelectors && n > len(st.store.selectors) {
		return refusal(CodeTooMany, "%d selectors, at most %d are allowed", n, MaxSelectors)
	}
	return nil
}

func codeOf(err error) verdict.Code {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return verdict.CodeInternal
}
