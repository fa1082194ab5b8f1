package targets

import (
	"maps"
	"slices"
	"time"
)

// tick expires leases, forwards renewals and forgets what is past retention.
func (r *Registry) tick(now time.Time) []Effect {
	var effects []Effect
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > PauseBound {
		r.extendOwned(now)
		effects = append(effects, logEffect(eventPaused, "", now.Sub(r.lastTick).String()))
	}
	r.lastTick = now
	effects = append(effects, r.expireOwned(now)...)
	effects = append(effects, r.flushRenewals(now)...)
	r.cleanup(now)
	return effects
}

// extendOwned starts a lease period for every owned lease, because this host
// could not receive renewals until now.
func (r *Registry) extendOwned(now time.Time) {
	for _, e := range r.owned {
		e.leaseAt = now.UnixNano()
	}
}

func (r *Registry) expireOwned(now time.Time) []Effect {
	if !r.quorate {
		return nil
	}
	var due []*entry
	for _, e := range r.owned {
		if now.UnixNano()-e.leaseAt > int64(r.leaseOf(e)) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if a.rec.Target < b.rec.Target {
			return -1
		}
		return 1
	})
	var effects []Effect
	for _, e := range due {
		rec := e.rec.with(max(e.rec.Seq, e.heardSeq), StatusExpired)
		effects = append(effects, transition(e, rec)...)
		effects = append(effects, disseminate(r.store(now, rec), ""))
	}
	return effects
}

func (r *Registry) leaseOf(e *entry) time.Duration {
	if e.owners[0] == r.self {
		return r.lease
	}
	return r.lease + StandbyDelay
}

// updateOwned enters or removes an entry's lease among those that this host
// watches.
func (r *Registry) updateOwned(e *entry) {
	if e.owners.contains(r.self) && e.rec.Status != StatusExpired {
		r.owned[e.rec.Target] = e
		return
	}
	delete(r.owned, e.rec.Target)
}

// membersChanged assigns the leases anew. Only leases that a host which left
// had owned are looked up among all hosts.
func (r *Registry) membersChanged(now time.Time, ev MembersChanged) {
	live := ev.Live
	if !slices.Contains(live, r.self.name) {
		live = append(slices.Clone(live), r.self.name)
	}
	if ev.Quorate && !r.quorate {
		r.extendOwned(now)
	}
	r.quorate = ev.Quorate
	joined, left := r.hosts.replace(live)
	if len(joined) == 0 && len(left) == 0 {
		return
	}
	for _, e := range r.list {
		r.reassign(now, e, joined, left)
	}
}

func (r *Registry) reassign(now time.Time, e *entry, joined, left []*liveHost) {
	was, owners := e.owners, e.owners
	if slices.ContainsFunc(left, was.contains) {
		owners = r.hosts.owners(e.hash)
	} else {
		for _, h := range joined {
			if h.weight(e.hash) >= e.standby {
				owners.consider(h, e.hash)
			}
		}
	}
	if owners == was {
		return
	}
	e.assign(owners)
	if !was.contains(r.self) && e.owners.contains(r.self) {
		e.leaseAt = now.UnixNano()
	}
	r.updateOwned(e)
}

func (e *entry) assign(o owners) {
	e.owners = o
	e.standby = 0
	if o[1] != nil {
		e.standby = o[1].weight(e.hash)
	}
}

// renew extends the lease and queues the renewal for the owners.
func (r *Registry) renew(now time.Time, e *entry, rec *Record) {
	e.heardSeq = rec.Seq
	e.heardAt = now.UnixNano()
	e.leaseAt = e.heardAt
	r.queueRenewal(now, e, Renewal{Target: rec.Target, Incarnation: rec.Incarnation, Seq: rec.Seq, Content: rec.content})
}

func (r *Registry) queueRenewal(now time.Time, e *entry, renewal Renewal) {
	for _, owner := range e.owners {
		if owner == nil || owner == r.self || r.pendingCount >= MaxPendingRenewals {
			continue
		}
		if r.pendingCount == 0 {
			r.pendingSince = now
		}
		r.pending[owner.name] = append(r.pending[owner.name], renewal)
		r.pendingCount++
	}
}

func (r *Registry) flushRenewals(now time.Time) []Effect {
	if r.pendingCount == 0 || now.Sub(r.pendingSince) < RenewalFlush {
		return nil
	}
	var effects []Effect
	for _, to := range slices.Sorted(maps.Keys(r.pending)) {
		for batch := range slices.Chunk(r.pending[to], MaxRenewalsBatch) {
			effects = append(effects, ForwardRenewals{To: to, Renewals: batch})
		}
	}
	clear(r.pending)
	r.pendingCount = 0
	return effects
}

// renewalsReceived extends leases at an owner. A renewal of other content
// than this host knows still shows that the target lives, but can't revive
// an expired record, which would bring back the wrong content.
func (r *Registry) renewalsReceived(now time.Time, ev RenewalsReceived) []Effect {
	var effects []Effect
	for _, renewal := range ev.Renewals {
		e := r.entries[renewal.Target]
		if e == nil || e.rec.Incarnation != renewal.Incarnation {
			continue
		}
		if renewal.Seq <= max(e.rec.Seq, e.heardSeq) {
			continue
		}
		e.leaseAt = now.UnixNano()
		if renewal.Content != e.rec.content {
			continue
		}
		e.heardSeq = renewal.Seq
		e.heardAt = e.leaseAt
		if e.rec.Status == StatusExpired {
			effects = append(effects, r.revive(now, e, renewal.Seq)...)
		}
	}
	return effects
}

// renewalsFailed queues renewals again, for the present owners, while they
// are the newest and within the lease period. Until one gets through, this
// host keeps them itself and refutes an expiry that does not count them.
func (r *Registry) renewalsFailed(now time.Time, ev RenewalsFailed) {
	for _, renewal := range ev.Renewals {
		e := r.entries[renewal.Target]
		if e == nil || e.rec.Incarnation != renewal.Incarnation || e.heardSeq != renewal.Seq {
			continue
		}
		if now.UnixNano()-e.heardAt < int64(r.lease) {
			r.requeue(now, e, renewal, ev.To)
		}
	}
}

// requeue sends a renewal to the owner that missed it or, if that host owns
// the lease no longer, to the present owners.
func (r *Registry) requeue(now time.Time, e *entry, renewal Renewal, missed string) {
	if h := r.hosts.byName[missed]; h != nil && e.owners.contains(h) {
		only := entry{owners: owners{h}}
		r.queueRenewal(now, &only, renewal)
		return
	}
	r.queueRenewal(now, e, renewal)
}
