package targets

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Periods of the registry.
const (
	LeasePeriod            = 3 * time.Second        // a target without renewal for this long expires
	StandbyDelay           = 1 * time.Second        // the standby owner expires a lease this much later
	RenewalFlushDelay      = 200 * time.Millisecond // renewals are collected for this long before they are forwarded
	PauseBound             = 1 * time.Second        // a longer gap between ticks counts as a pause
	ExpiredRetention       = 10 * time.Minute       // an expired record is kept this long
	LayoutRetention        = 15 * time.Minute       // an unused layout is kept this long
	cleanupInterval        = 10 * time.Second
	layoutProposalInterval = 5 * time.Second
)

// Bounds on what the registry keeps.
const (
	MaxExpired         = 16_384 // expired records
	MaxUnusedLayouts   = 64     // layouts of index snapshots that no target lists
	MaxRenewalsBatch   = 1_000  // renewals in one ForwardRenewals
	MaxPendingRenewals = 50_000 // renewals that wait to be forwarded
)

// lateDeparture is how late a target's statement that it is gone may arrive. A target
// sends it until it is acknowledged, over some seconds, and a partition may delay it.
const lateDeparture = time.Minute

// entry is a target's record with the state of its lease at this host. Times
// are in Unix nanoseconds to keep entries small.
type entry struct {
	rec           *Record
	hash          uint64 // of the target's name, for rendezvous weights
	renewedSeq    uint64 // seq of the newest known renewal of rec's content
	renewedAt     int64  // when this host received that renewal
	leaseStart    int64  // start of the current lease period
	statusSince   int64  // when this host learned of rec.Status, or when rec expired
	restartedAt   int64  // when this host learned of rec.Incarnation in place of another one, 0 if never
	owners        owners
	standbyWeight uint64 // weight of owners[1]; a heavier host that joins becomes an owner
	position      int    // in Registry.list
}

// Registry holds the records of all targets. Only the control goroutine uses
// it; traffic goroutines read its View.
type Registry struct {
	self         *liveHost
	hosts        hostSet
	quorate      bool
	entries      map[string]*entry
	list         []*entry          // the same entries, for fast iteration
	owned        map[string]*entry // unexpired targets whose lease this host owns, as primary or standby
	expired      map[string]*entry
	byAddress    map[uint64]*entry // unexpired targets
	layouts      layoutTable
	pending      map[string][]Renewal // by owner
	pendingCount int
	pendingSince time.Time
	intern       *interner
	view         *viewBuilder
	leasePeriod  time.Duration
	lastTick     time.Time
	lastCleanup  time.Time
}

// NewRegistry returns the empty registry of the host named self. Until
// MembersChanged says otherwise, self is the only live host.
func NewRegistry(self string) *Registry {
	r := &Registry{
		hosts:       newHostSet([]string{self}),
		quorate:     true,
		entries:     map[string]*entry{},
		owned:       map[string]*entry{},
		expired:     map[string]*entry{},
		byAddress:   map[uint64]*entry{},
		layouts:     newLayoutTable(),
		pending:     map[string][]Renewal{},
		intern:      newInterner(),
		view:        newViewBuilder(),
		leasePeriod: LeasePeriod,
	}
	r.self = r.hosts.byName[self]
	return r
}

// SetLeasePeriod replaces LeasePeriod, for targets that renew less often or
// whose renewals may arrive late. All hosts must use the same period.
func (r *Registry) SetLeasePeriod(d time.Duration) { r.leasePeriod = d }

// View returns the current view. It is immutable.
func (r *Registry) View() *View { return r.view.publish() }

// Record returns the record of a target, even if it is expired, and the time
// since its expiry.
func (r *Registry) Record(now time.Time, target string) (rec *Record, expiredFor time.Duration, ok bool) {
	e := r.entries[target]
	if e == nil {
		return nil, 0, false
	}
	return e.rec, e.expiredFor(now), true
}

// Records returns all records, including expired ones, in no particular order.
// Expired records near the end of their retention are left out, so that hosts
// that forget one at different times don't send it to each other.
func (r *Registry) Records(now time.Time) iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for _, e := range r.entries {
			if e.expiredFor(now) > ExpiredRetention*4/5 {
				continue
			}
			if !yield(e.rec) {
				return
			}
		}
	}
}

func (e *entry) expiredFor(now time.Time) time.Duration {
	if e.rec.Status != StatusExpired {
		return 0
	}
	return time.Duration(now.UnixNano() - e.statusSince)
}

// Step applies an event.
func (r *Registry) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return r.tick(now)
	case RecordReceived:
		return r.recordReceived(now, ev)
	case LayoutReceived:
		return r.layoutReceived(now, ev)
	case LayoutCommitted:
		return r.layoutCommitted(now, ev)
	case RenewalsReceived:
		return r.renewalsReceived(now, ev)
	case RenewalsFailed:
		r.renewalsFailed(now, ev)
	case DrainObserved:
		return r.drainObserved(now, ev)
	case MembersChanged:
		r.membersChanged(now, ev)
	}
	return nil
}

// Announce applies an announcement that a target sent to this host. A rejected
// announcement changes nothing; its error has one of the codes of this package.
func (r *Registry) Announce(now time.Time, a Announcement) ([]Effect, error) {
	if err := a.Validate(); err != nil {
		return logRejection(a.Target, err), err
	}
	rec, layouts := split(a)
	rec = r.intern.canonical(rec)
	e := r.entries[a.Target]
	if e != nil {
		if e.rec.Leaving && e.rec.Incarnation == rec.Incarnation {
			rec = rec.asLeaving()
		}
		if e.repeats(rec) {
			return nil, nil
		}
		if e.supersedes(rec) {
			return nil, verdict.New(verdict.NotRun, CodeStale,
				"announcement (%d, %d) of target %q is not newer than (%d, %d)", a.Incarnation, a.Seq, a.Target, e.rec.Incarnation, max(e.rec.Seq, e.renewedSeq))
		}
		if e.renewedBy(now, rec, r.leasePeriod) {
			r.renew(now, e, rec)
			return r.layouts.propose(now, layouts), nil
		}
	}
	if err := r.checkConflicts(rec, layouts); err != nil {
		return logRejection(a.Target, err), err
	}
	effects := r.learnLayouts(now, layouts, "")
	effects = append(effects, r.takeOverAddress(now, rec)...)
	effects = append(effects, logTransition(e, rec)...)
	e = r.store(now, rec)
	e.renewedSeq = rec.Seq
	e.renewedAt = now.UnixNano()
	return append(effects, disseminate(e, "")), nil
}

// repeats reports whether rec is a copy of the newest announcement received.
func (e *entry) repeats(rec *Record) bool {
	return rec.Incarnation == e.rec.Incarnation && rec.Seq == e.renewedSeq &&
		rec.contentHash == e.rec.contentHash && e.rec.Status != StatusExpired
}

// supersedes reports whether rec is not newer than e.
func (e *entry) supersedes(rec *Record) bool {
	if rec.Incarnation != e.rec.Incarnation {
		return rec.Incarnation < e.rec.Incarnation
	}
	return rec.Seq <= max(e.rec.Seq, e.renewedSeq)
}

// renewedBy reports whether rec only extends the lease. Nothing that a leaving
// target announces matters any more. Any other drain known from a reply outlasts announcements that may have been sent before it: only one that
// arrives at least a lease period later ends the drain.
func (e *entry) renewedBy(now time.Time, rec *Record, leasePeriod time.Duration) bool {
	if rec.Incarnation != e.rec.Incarnation || e.rec.Status == StatusExpired {
		return false
	}
	if e.rec.Leaving {
		return true
	}
	if e.rec.observedDrain() && rec.Status == StatusAlive {
		return now.UnixNano()-e.statusSince < int64(leasePeriod)
	}
	return rec.contentHash == e.rec.contentHash
}

// checkConflicts rejects an announcement that changes a known layout, or that
// has the address of another unexpired target of the same or a higher
// incarnation.
func (r *Registry) checkConflicts(rec *Record, layouts []*Layout) error {
	for _, l := range layouts {
		if known := r.layouts.get(l.IndexSnapshot); known != nil && known.Hash != l.Hash {
			return verdict.New(verdict.NotRun, CodeLayoutChanged,
				"target %q announces a layout or generation of index snapshot %q that differs from the known one", rec.Target, l.IndexSnapshot)
		}
	}
	other := r.byAddress[addressKey(rec.Address)]
	if other != nil && other.rec.Target != rec.Target && other.rec.Address == rec.Address && other.rec.Incarnation >= rec.Incarnation {
		return verdict.New(verdict.NotRun, CodeAddressTaken,
			"target %q announces address %s, which belongs to target %q", rec.Target, rec.Address, other.rec.Target)
	}
	return nil
}

// takeOverAddress expires an older target with the same address as rec. The
// platform reuses the address of a target that is gone, and the new target may
// announce itself before the lease of the old one has ended.
func (r *Registry) takeOverAddress(now time.Time, rec *Record) []Effect {
	other := r.byAddress[addressKey(rec.Address)]
	if other == nil || other.rec.Target == rec.Target || other.rec.Address != rec.Address {
		return nil
	}
	expiry := other.rec.with(max(other.rec.Seq, other.renewedSeq), StatusExpired)
	effects := logTransition(other, expiry)
	return append(effects, disseminate(r.store(now, expiry), ""))
}

// store adds or replaces the record of a target and starts a lease period.
func (r *Registry) store(now time.Time, rec *Record) *entry {
	e := r.entries[rec.Target]
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(rec.Target), position: len(r.list)}
		e.assign(r.hosts.owners(e.hash))
		r.entries[rec.Target] = e
		r.list = append(r.list, e)
	} else {
		r.unlink(now, e)
		if rec.Incarnation != e.rec.Incarnation {
			e.restartedAt = now.UnixNano()
		}
		if rec.Incarnation != e.rec.Incarnation || rec.contentHash != e.rec.contentHash {
			e.renewedSeq = 0
		}
	}
	if e.rec == nil || e.rec.Status != rec.Status || e.rec.Incarnation != rec.Incarnation {
		e.statusSince = now.UnixNano()
	}
	e.rec = rec
	e.leaseStart = now.UnixNano()
	r.link(e)
	return e
}

// link adds an entry to the indexes that match its status.
func (r *Registry) link(e *entry) {
	if e.rec.Status == StatusExpired {
		r.expired[e.rec.Target] = e
		delete(r.owned, e.rec.Target)
		return
	}
	r.byAddress[addressKey(e.rec.Address)] = e
	r.layouts.use(e.rec)
	r.view.add(e.rec)
	r.updateOwned(e)
}

// unlink removes an entry from the indexes before its record is replaced.
func (r *Registry) unlink(now time.Time, e *entry) {
	if e.rec.Status == StatusExpired {
		delete(r.expired, e.rec.Target)
		return
	}
	if key := addressKey(e.rec.Address); r.byAddress[key] == e {
		delete(r.byAddress, key)
	}
	r.layouts.release(now, e.rec)
	r.view.remove(e.rec)
}

// recordReceived merges a record from another host. Unlike an announcement it is
// never rejected for its layout or address, because all hosts must converge on
// the same records. Shards held under another layout are left out of the view.
func (r *Registry) recordReceived(now time.Time, ev RecordReceived) []Effect {
	if ev.Record.Validate() != nil {
		return nil
	}
	rec := r.intern.canonical(ev.Record)
	e := r.entries[rec.Target]
	if e != nil && rec.Compare(e.rec) <= 0 {
		return nil
	}
	if e == nil && rec.Status == StatusExpired && ev.ExpiredFor >= ExpiredRetention {
		return nil
	}
	if e != nil && rec.Status == StatusExpired && e.refutes(now, rec, r.leasePeriod) {
		return r.revive(now, e, e.renewedSeq, rec.Leaving)
	}
	e = r.store(now, rec)
	if rec.Status == StatusExpired {
		e.statusSince = now.Add(-ev.ExpiredFor).UnixNano()
	}
	return []Effect{disseminate(e, ev.From)}
}

// refutes reports whether this host received a renewal that is newer than an
// expiry and still within the lease period.
func (e *entry) refutes(now time.Time, expiry *Record, leasePeriod time.Duration) bool {
	return e.rec.Status != StatusExpired && expiry.Incarnation == e.rec.Incarnation &&
		e.renewedSeq > expiry.Seq && now.UnixNano()-e.renewedAt < int64(leasePeriod)
}

// revive gives a record a newer seq, so that it replaces its expiry at all hosts.
// leaving is set if the expiry is that of a leaving target.
func (r *Registry) revive(now time.Time, e *entry, seq uint64, leaving bool) []Effect {
	leaving = leaving || e.rec.Leaving
	status := e.rec.Status
	switch {
	case leaving:
		status = StatusDraining
	case status == StatusExpired:
		status = statusOf(e.rec.Phase)
	}
	renewedAt := e.renewedAt
	rec := e.rec.with(seq, status)
	rec.Leaving = leaving
	effects := logTransition(e, rec)
	e = r.store(now, rec)
	e.renewedSeq, e.renewedAt = seq, renewedAt
	d := disseminate(e, "")
	d.Urgent = true
	return append(effects, d)
}

// Depart applies a target's statement that it is gone. It holds for the rest of the
// target's incarnation, like Leaving: an announcement of it that arrives later was sent
// before. The statement names no incarnation, so one that arrives soon after the target
// started again may be that of the earlier one, and only drains the target.
//
// A target that this host does not know is an error, since nothing would be kept of the
// statement; another host may know the target.
func (r *Registry) Depart(now time.Time, target string) ([]Effect, error) {
	e := r.entries[target]
	if e == nil {
		return nil, verdict.New(verdict.NotRun, CodeUnknown, "target %q is not known", target)
	}
	restarted := e.restartedAt != 0 && now.UnixNano()-e.restartedAt < int64(lateDeparture)
	if e.rec.Status != StatusExpired {
		return r.drainObserved(now, DrainObserved{Target: target, Incarnation: e.rec.Incarnation, Leaving: !restarted}), nil
	}
	if e.rec.Leaving || restarted {
		return nil, nil
	}
	rec := e.rec.with(e.rec.Seq, StatusExpired)
	rec.Leaving = true
	return []Effect{disseminate(r.store(now, rec), "")}, nil
}

func (r *Registry) drainObserved(now time.Time, ev DrainObserved) []Effect {
	e := r.entries[ev.Target]
	switch {
	case e == nil, e.rec.Incarnation != ev.Incarnation, e.rec.Status == StatusExpired, e.rec.Leaving:
		return nil
	case e.rec.Status == StatusDraining && !ev.Leaving:
		return nil
	}
	rec := e.rec.with(e.rec.Seq, StatusDraining)
	rec.Leaving = ev.Leaving
	leaseAt := e.leaseStart
	effects := logTransition(e, rec)
	e = r.store(now, rec)
	e.leaseStart = leaseAt
	return append(effects, disseminate(e, ""))
}

func disseminate(e *entry, from string) Disseminate {
	return Disseminate{Target: e.rec.Target, From: from, Urgent: e.rec.Status != StatusAlive}
}

// logTransition logs a change of a record made at this host. The entry is nil for
// a target that was not known.
func logTransition(e *entry, rec *Record) []Effect {
	ev := eventChanged
	switch {
	case rec.Status == StatusExpired:
		ev = eventExpired
	case rec.Status == StatusDraining && (e == nil || e.rec.Status != StatusDraining):
		ev = eventDraining
	case e == nil || e.rec.Incarnation != rec.Incarnation:
		ev = eventAccepted
	case rec.Status == StatusAlive && e.rec.Status != StatusAlive:
		ev = eventReturned
	}
	detail := fmt.Sprintf("incarnation %d, seq %d, address %s", rec.Incarnation, rec.Seq, rec.Address)
	return []Effect{logEffect(ev, rec.Target, detail)}
}

func logRejection(target string, err error) []Effect {
	return []Effect{logEffect(eventRejected, target[:min(len(target), MaxNameBytes)], err.Error())}
}

func logEffect(ev eventlog.Event, target, detail string) Log {
	return Log{Event: ev, Target: target, Detail: detail}
}

// cleanup forgets expired records and unused layouts that are past their
// retention or exceed their bound.
func (r *Registry) cleanup(now time.Time) {
	if now.Sub(r.lastCleanup) < cleanupInterval {
		return
	}
	r.lastCleanup = now
	for _, e := range r.expired {
		if e.expiredFor(now) >= ExpiredRetention {
			r.forget(e)
		}
	}
	if excess := len(r.expired) - MaxExpired; excess > 0 {
		r.forgetOldest(excess)
	}
	for _, name := range r.layouts.prune(now) {
		r.view.dropLayout(name)
	}
}

func (r *Registry) forgetOldest(n int) {
	all := make([]*entry, 0, len(r.expired))
	for _, e := range r.expired {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return int(a.statusSince - b.statusSince) })
	for _, e := range all[:n] {
		r.forget(e)
	}
}

func (r *Registry) forget(e *entry) {
	delete(r.expired, e.rec.Target)
	delete(r.entries, e.rec.Target)
	last := len(r.list) - 1
	r.list[e.position] = r.list[last]
	r.list[e.position].position = e.position
	r.list[last] = nil
	r.list = r.list[:last]
}

func addressKey(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	b[16], b[17] = byte(a.Port()>>8), byte(a.Port())
	return xxhash.Sum64(b[:])
}
