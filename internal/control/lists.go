package control

import (
	"slices"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// EarlierList is an agreed member list that a newer one has replaced, and whose
// hosts may not know the newer one yet.
//
// Invariant: a change is reported as accepted only after a majority of each
// earlier list has seen the configuration that replaced it. A majority of an
// earlier list could otherwise go on to confirm an older configuration, since
// it need not intersect a majority of the current list.
type EarlierList struct {
	Hosts      []string
	ReplacedBy membership.Position // configuration that replaced the list
}

// listReplaced records the old member list if the log entry that was just
// applied replaced it. The term is that of the entry.
func (c *Core) listReplaced(old config.Members, term uint64) {
	if old.Epoch == 0 || old.Epoch == c.store.Members().Epoch {
		return
	}
	c.earlierLists = append(c.earlierLists, EarlierList{
		Hosts:      slices.Clone(old.Hosts),
		ReplacedBy: membership.Position{Term: term, Revision: c.store.Revision()},
	})
}

// forgetInLists removes a forgotten host from the earlier lists. Such a host will
// not return, so their majorities must not depend on it.
func (c *Core) forgetInLists(host string) {
	for i := range c.earlierLists {
		c.earlierLists[i].Hosts = slices.DeleteFunc(c.earlierLists[i].Hosts, func(h string) bool { return h == host })
	}
}

// listsSettled drops the earlier lists of which a majority is known to have seen
// the successor, and reports whether none is left.
func (c *Core) listsSettled() bool {
	c.earlierLists = slices.DeleteFunc(c.earlierLists, func(l EarlierList) bool {
		return c.members.SeenByMajorityOf(l.Hosts, l.ReplacedBy)
	})
	return len(c.earlierLists) == 0
}

// copyLists returns a deep copy of earlier lists, for a snapshot of the
// replicated state. Without them, a voter that starts from the snapshot and
// becomes leader would not wait for their majorities. Lists that listsSettled
// dropped are not needed, since they stay settled.
func copyLists(lists []EarlierList) []EarlierList {
	out := make([]EarlierList, len(lists))
	for i, l := range lists {
		out[i] = EarlierList{Hosts: slices.Clone(l.Hosts), ReplacedBy: l.ReplacedBy}
	}
	return out
}
