package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ranks is the number of owners of an account.
const Ranks = 3

// Owners holds the owners of an account by rank. Names are empty in a fleet of fewer hosts.
type Owners [Ranks]string

// rank returns the rank of a host, or Ranks if it has none.
func (o Owners) rank(host string) int {
	for i, h := range o {
		if h == host && h != "" {
			return i
		}
	}
	return Ranks
}

// maxCachedOwners bounds the accounts whose owners a List remembers.
const maxCachedOwners = 1 << 14

// List is an agreed member list.
type List struct {
	Epoch  uint64
	names  []string
	hashes []uint64
	cache  map[string]Owners
}

// NewList returns a list of hosts.
func NewList(epoch uint64, hosts []string) *List {
	l := &List{Epoch: epoch, names: hosts, hashes: make([]uint64, len(hosts)), cache: make(map[string]Owners)}
	for i, h := range hosts {
		l.hashes[i] = xxhash.Sum64String(h)
	}
	return l
}

// maxCarriedChanges bounds the hosts that may differ between two lists for the remembered
// owners to be carried over.
const maxCarriedChanges = 64

// Successor returns a list that follows l. It carries over the remembered owners of
// accounts: most of them stay, and a search among thousands of hosts for each account would
// take long.
func (l *List) Successor(epoch uint64, hosts []string) *List {
	next := NewList(epoch, hosts)
	known := make(map[string]bool, len(l.names))
	for _, name := range l.names {
		known[name] = true
	}
	var added []int
	for i, name := range next.names {
		if !known[name] {
			added = append(added, i)
		}
		delete(known, name)
	}
	removed := known
	if len(added)+len(removed) > maxCarriedChanges {
		return next
	}
	for account, o := range l.cache {
		if removed[o[0]] || removed[o[1]] || removed[o[2]] {
			continue
		}
		r := ranking{owners: o}
		key := xxhash.Sum64String(account)
		for rank, name := range o {
			r.weights[rank] = weight(xxhash.Sum64String(name), key)
		}
		for _, i := range added {
			r.consider(next.names[i], weight(next.hashes[i], key))
		}
		next.cache[account] = r.owners
	}
	return next
}

// Owners returns the owners of an account: the hosts with the greatest rendezvous weights
// (Thaler and Ravishankar, 1998).
func (l *List) Owners(account string) Owners {
	if o, ok := l.cache[account]; ok {
		return o
	}
	key := xxhash.Sum64String(account)
	var r ranking
	for i, name := range l.names {
		r.consider(name, weight(l.hashes[i], key))
	}
	if len(l.cache) >= maxCachedOwners {
		clear(l.cache)
	}
	l.cache[account] = r.owners
	return r.owners
}

// ranking holds the hosts with the greatest weights. Those of equal weight are ranked by
// name.
type ranking struct {
	owners  Owners
	weights [Ranks]uint64
}

func (r *ranking) consider(name string, w uint64) {
	for rank, o := range r.owners {
		if o == "" || w > r.weights[rank] || w == r.weights[rank] && name < o {
			copy(r.owners[rank+1:], r.owners[rank:])
			copy(r.weights[rank+1:], r.weights[rank:])
			r.owners[rank], r.weights[rank] = name, w
			return
		}
	}
}

// weight is the finalizer of SplitMix64.
func weight(host, key uint64) uint64 {
	z := host ^ key
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// tenure is the time for which a host knows a list as the newest.
type tenure struct {
	list        *List
	seenAt      time.Time // when this process first saw the list
	confirmedAt time.Time // when the leader last stated that no newer list was accepted
}

func (t *tenure) confirmed(now time.Time) bool {
	return t.list != nil && !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) <= ConfirmationAge
}

// firstEpoch is the epoch of the first list that is ever agreed.
const firstEpoch = 1

// Authority decides by which rank a host acts for an account, so that two hosts never act
// by the same rank at once.
//
// A list that is accepted at t ends the authority of every rank under an earlier list at
// t + ConfirmationAge, since no confirmation of the earlier list is issued after t. A rank
// that differs from the one under the preceding list is used from t + TakeoverWait at the
// earliest.
type Authority struct {
	self            string
	current, before tenure
}

// NewAuthority returns the authority of a process that knows no list yet.
func NewAuthority(self string) *Authority { return &Authority{self: self} }

// List returns the newest list that the host knows, or nil.
func (a *Authority) List() *List { return a.current.list }

// Observe records the agreed list and when the leader last confirmed that it is the
// newest one, zero if it never did.
func (a *Authority) Observe(now time.Time, epoch uint64, hosts []string, confirmedAt time.Time) {
	if epoch == 0 || a.current.list != nil && epoch < a.current.list.Epoch {
		return
	}
	if a.current.list == nil || epoch > a.current.list.Epoch {
		previous := a.current.list
		if previous == nil {
			previous = NewList(0, nil)
		}
		list := previous.Successor(epoch, hosts)
		a.before = a.current
		a.current = tenure{list: list, seenAt: now}
		if epoch == firstEpoch {
			a.current.seenAt = now.Add(-TakeoverWait) // no host can act by an earlier list
		}
	}
	if confirmedAt.After(a.current.confirmedAt) {
		a.current.confirmedAt = confirmedAt
	}
}

// role is a rank that a host uses for an account without interruption since a time.
type role struct {
	rank  int
	epoch uint64 // of the list by which it is used
	since time.Time
}

// roleOf returns the role of the host for an account at a time. last is the role of the
// previous call, zero if there is none. It is not ok while the host has no authority.
func (a *Authority) roleOf(now time.Time, account string, last role) (r role, ok bool) {
	if a.current.list == nil {
		return role{}, false
	}
	r = role{rank: a.current.list.Owners(account).rank(a.self), epoch: a.current.list.Epoch, since: a.current.seenAt.Add(TakeoverWait)}
	old, adjacent := a.earlierRole(account, last)
	// No other host had this rank under either list, and there was none between them.
	kept := adjacent && old.rank == r.rank
	switch {
	case last.epoch == r.epoch && last.rank == r.rank:
		r.since = last.since
	case kept:
		r.since = old.since
	case now.Before(r.since):
		return old, old.rank < Ranks && !now.Before(old.since) && a.before.confirmed(now)
	}
	confirmed := a.current.confirmed(now) || kept && a.before.confirmed(now)
	return r, r.rank < Ranks && !now.Before(r.since) && confirmed
}

// earlierRole returns the role under the list before the current one, and whether that is
// the immediately preceding list.
func (a *Authority) earlierRole(account string, last role) (r role, adjacent bool) {
	if a.before.list == nil {
		return role{rank: Ranks}, false
	}
	r = role{rank: a.before.list.Owners(account).rank(a.self), epoch: a.before.list.Epoch, since: a.before.seenAt.Add(TakeoverWait)}
	if last.epoch == r.epoch && last.rank == r.rank {
		r.since = last.since
	}
	return r, a.before.list.Epoch+1 == a.current.list.Epoch
}
