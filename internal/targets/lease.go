package targets

import (
	"maps"
	"slices"
	"time"
)

// tick expires leases, forwards renewals, and removes records and layouts past
// their retention.
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

// extendOwned starts a new period for every owned lease, because this host may
// have missed renewals until now.
func (r *Registry) extendOwned(now time.Time) {
	for _, e := range r.owned {
		e.leaseStart = now.UnixNano()
	}
}

func (r *Registry) expireOwned(now time.Time) []Effect {
	if !r.quorate {
		return nil
	}
	var due []*entry
	for _, e := range r.owned {
		if now.UnixNano()-e.leaseStart > int64(r.leaseTimeout(e)) {
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
		rec := e.rec.with(max(e.rec.Seq, e.renewedSeq), StatusExpired)
		effects = append(effects, logTransition(e, rec)...)
		effects = append(effects, disseminate(r.store(now, rec), ""))
	}
	return effects
}

func (r *Registry) leaseTimeout(e *entry) time.Duration {
	if e.owners[0] == r.self {
		return r.leasePeriod
	}
	return r.leasePeriod + StandbyDelay
}

// updateOwned adds the entry to the owned leases if this host owns its lease,
// and removes it otherwise.
func (r *Registry) updateOwned(e *entry) {
	if e.owners.contains(r.self) && e.rec.Status != StatusExpired {
		r.owned[e.rec.Target] = e
		return
	}
	delete(r.owned, e.rec.Target)
}

// membersChanged reassigns the leases. Only a lease that lost an owner is ranked
// among all hosts; any other is compared with the hosts that joined.
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
	previous, owners := e.owners, e.owners
	if slices.ContainsFunc(left, previous.contains) {
		owners = r.hosts.owners(e.hash)
	} else {
		for _, h := range joined {
			if h.weight(e.hash) >= e.standbyWeight {
				owners.consider(h, e.hash)
			}
		}
	}
	if owners == previous {
		return
	}
	e.assign(owners)
	if !previous.contains(r.self) && e.owners.contains(r.self) {
		e.leaseStart = now.UnixNano()
	}
	r.updateOwned(e)
}

func (e *entry) assign(o owners) {
	e.owners = o
	e.standbyWeight = 0
	if o[1] != nil {
		e.standbyWeight = o[1].weight(e.hash)
	}
}

// renew extends the lease and queues the renewal for the owners.
func (r *Registry) renew(now time.Time, e *entry, rec *Record) {
	e.renewedSeq = rec.Seq
	e.renewedAt = now.UnixNano()
	e.leaseStart = e.renewedAt
	r.queueRenewal(now, e, Renewal{Target: rec.Target, Incarnation: rec.Incarnation, Seq: rec.Seq, ContentHash: rec.contentHash})
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
	if r.pendingCount == 0 || now.Sub(r.pendingSince) < RenewalFlushDelay {
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

// renewalsReceived extends leases at an owner. A renewal whose content differs
// from the known record still shows that the target is alive, but does not
// revive an expired record, because that would restore outdated content.
func (r *Registry) renewalsReceived(now time.Time, ev RenewalsReceived) []Effect {
	var effects []Effect
	for _, renewal := range ev.Renewals {
		e := r.entries[renewal.Target]
		if e == nil || e.rec.Incarnation != renewal.Incarnation {
			continue
		}
		if renewal.Seq <= max(e.rec.Seq, e.renewedSeq) {
			continue
		}
		e.leaseStart = now.UnixNano()
		if renewal.ContentHash != e.rec.contentHash {
			continue
		}
		e.renewedSeq = renewal.Seq
		e.renewedAt = e.leaseStart
		if e.rec.Status == StatusExpired {
			effects = append(effects, r.revive(now, e, renewal.Seq, false)...)
		}
	}
	return effects
}

// renewalsFailed queues the failed renewals again if they are still the newest
// and within the lease period. Within that period this host also refutes an
// expiry that is older than the renewal; see refutes.
func (r *Registry) renewalsFailed(now time.Time, ev RenewalsFailed) {
	for _, renewal := range ev.Renewals {
		e := r.entries[renewal.Target]
		if e == nil || e.rec.Incarnation != renewal.Incarnation || e.renewedSeq != renewal.Seq {
			continue
		}
		if now.UnixNano()-e.renewedAt < int64(r.leasePeriod) {
			r.requeue(now, e, renewal, ev.To)
		}
	}
}

// requeue queues a renewal again for the owner that it did not reach or, if that
// host no longer owns the lease, for the current owners.
func (r *Registry) requeue(now time.Time, e *entry, renewal Renewal, to string) {
	if h := r.hosts.byName[to]; h != nil && e.owners.contains(h) {
		only := entry{owners: owners{h}}
		r.queueRenewal(now, &only, renewal)
		return
	}
	r.queueRenewal(now, e, renewal)
}
