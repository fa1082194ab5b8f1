package control

import (
	"slices"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// EarlierList is an agreed list that a newer one has replaced, and whose hosts
// may not know it yet.
//
// Invariant: a change is reported as accepted only after a majority of each
// earlier list has seen the configuration that replaced it. A majority of an
// earlier list could otherwise go on to confirm an older configuration, since
// it need not meet a majority of the present list.
type EarlierList struct {
	Hosts      []string
	ReplacedBy membership.Position // configuration that replaced the list
}

// listReplaced notes the list that the entry of a term replaced.
func (c *Core) listReplaced(old config.Members, term uint64) {
	if old.Epoch == 0 || old.Epoch == c.store.Members().Epoch {
		return
	}
	c.earlier = append(c.earlier, EarlierList{
		Hosts:      slices.Clone(old.Hosts),
		ReplacedBy: membership.Position{Term: term, Revision: c.store.Revision()},
	})
}

// forgetInLists takes a host that will not return out of the earlier lists.
func (c *Core) forgetInLists(host string) {
	for i := range c.earlier {
		c.earlier[i].Hosts = slices.DeleteFunc(c.earlier[i].Hosts, func(h string) bool { return h == host })
	}
}

// listsSettled reports whether majorities of all earlier lists are known to
// have seen their successors.
func (c *Core) listsSettled() bool {
	c.earlier = slices.DeleteFunc(c.earlier, func(l EarlierList) bool {
		return c.members.SeenByMajorityOf(l.Hosts, l.ReplacedBy)
	})
	return len(c.earlier) == 0
}

// copyLists returns the lists for a snapshot of the replicated state. A list
// that this host knows to be settled stays so and is left out; without the
// others, a voter that starts from the snapshot and leads would not wait for
// their majorities.
func copyLists(lists []EarlierList) []EarlierList {
	out := make([]EarlierList, len(lists))
	for i, l := range lists {
		out[i] = EarlierList{Hosts: slices.Clone(l.Hosts), ReplacedBy: l.ReplacedBy}
	}
	return out
}
