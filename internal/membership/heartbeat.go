package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > PauseBound {
		effects = append(effects, Log{Event: eventPaused, Host: s.self.Host, Detail: now.Sub(s.lastTick).String()})
		s.forgetEvidence(now)
	}
	s.lastTick = now
	s.updateReport(now)
	if s.self.State != Left && !s.replaced {
		effects = append(effects, s.detect(now)...)
		effects = append(effects, s.sendHeartbeats(now)...)
		effects = append(effects, s.probe(now)...)
		effects = append(effects, s.propose(now)...)
	}
	effects = append(effects, s.compareWithNeighbours(now)...)
	s.cleanup(now)
	return effects
}

// forgetEvidence discards evidence from before a pause, and gives every
// neighbour the full suspicion time again.
func (s *State) forgetEvidence(now time.Time) {
	for _, c := range s.contacts {
		c.since = now
		c.echoAt = time.Time{}
	}
	clear(s.reports)
	s.confirmed = LeaderConfirmed{}
}

// contactOf returns the contact with a host and creates it if needed.
func (s *State) contactOf(now time.Time, host string) *contact {
	c := s.contacts[host]
	if c == nil {
		c = &contact{since: now, introduce: true}
		s.contacts[host] = c
	}
	return c
}

// detect suspects neighbours that no host has heard for SuspectAfter, and
// declares hosts dead that stayed suspect for their confirmation time.
func (s *State) detect(now time.Time) []Effect {
	var effects []Effect
	for _, host := range s.neighbours {
		rec, c := s.members[host], s.contacts[host]
		if rec == nil || c == nil || rec.State != Alive || now.Sub(c.lastEvidence()) <= SuspectAfter {
			continue
		}
		effects = append(effects, s.declare(now, rec, Suspect, Log{Event: eventSuspect, Host: host})...)
	}
	for _, host := range s.suspects() {
		rec := s.members[host]
		if now.Sub(rec.since) > s.confirmTime(host) {
			effects = append(effects, s.declare(now, rec, Dead, Log{Event: eventDead, Host: host})...)
		}
	}
	return effects
}

func (s *State) declare(now time.Time, rec *memberRecord, state Liveness, log Log) []Effect {
	m := rec.Member
	m.State = state
	s.put(now, m)
	return []Effect{log, Disseminate{Host: m.Host, Urgent: true}}
}

func (s *State) suspects() []string {
	return slices.Sorted(maps.Keys(s.suspected))
}

func (s *State) confirmTime(host string) time.Duration {
	if _, neighbour := slices.BinarySearch(s.neighbours, host); neighbour {
		return ConfirmAfter
	}
	return ConfirmFarAfter
}

// lastEvidence returns when the host was last heard by any host. A new contact
// counts as heard, so that it gets the full suspicion time.
func (c *contact) lastEvidence() time.Time {
	return slices.MaxFunc([]time.Time{c.since, c.heardAt, c.indirectAt}, time.Time.Compare)
}

// sendHeartbeats sends a heartbeat to each neighbour with which an exchange is
// due. One exchange serves both sides, so one of them waits longer.
func (s *State) sendHeartbeats(now time.Time) []Effect {
	var effects []Effect
	for _, host := range s.neighbours {
		rec, c := s.members[host], s.contacts[host]
		if rec == nil || c == nil || !s.exchangeDue(now, host, c) {
			continue
		}
		c.sentAt = now
		effects = append(effects, SendHeartbeat{To: host, Address: rec.PeerAddress, Heartbeat: s.newHeartbeat(now, host)})
	}
	return effects
}

// catchUpInterval is the interval of a leader's heartbeats to a host that has
// not seen its configuration. It is short because an operator waits until a
// majority has seen a change.
const catchUpInterval = 50 * time.Millisecond

func (s *State) exchangeDue(now time.Time, host string, c *contact) bool {
	if now.Sub(s.lastExchange(host, c)) >= s.intervalTo(host) {
		return true
	}
	return s.leading && c.seen.Compare(s.applied) < 0 && now.Sub(c.sentAt) >= catchUpInterval
}

// lastExchange returns when this host last sent to another one or heard from
// it. Between two relays, which both start exchanges, only sending counts.
func (s *State) lastExchange(host string, c *contact) time.Time {
	if s.bothRelays(host) || c.sentAt.After(c.heardAt) {
		return c.sentAt
	}
	return c.heardAt
}

// intervalTo returns the interval after which this host starts an exchange.
// One side waits longer than the other: a relay, since hosts start exchanges
// with their relays, or the host with the greater name if there are no relays.
// Two relays both start exchanges, which keeps the age of region reports under
// 2 s.
func (s *State) intervalTo(host string) time.Duration {
	waits := host < s.self.Host
	if s.topology != nil {
		waits = s.topology.isRelay(s.self.Host) && !s.topology.isRelay(host)
	}
	if waits {
		return HeartbeatInterval * 3 / 2
	}
	return HeartbeatInterval
}

func (s *State) bothRelays(host string) bool {
	return s.topology != nil && s.topology.isRelay(s.self.Host) && s.topology.isRelay(host)
}

// probe sends heartbeats to the seeds and the dead hosts every SeedInterval while
// this host has no neighbours, and otherwise to one of them every ProbeInterval,
// so that two groups of hosts that declared each other dead merge again.
func (s *State) probe(now time.Time) []Effect {
	if len(s.neighbours) == 0 {
		if now.Sub(s.seedsAt) < SeedInterval {
			return nil
		}
		s.seedsAt = now
		var effects []Effect
		for _, p := range s.probes() {
			effects = append(effects, s.sendProbe(now, p))
		}
		return effects
	}
	if now.Sub(s.probeAt) < ProbeInterval {
		return nil
	}
	s.probeAt = now
	probes := s.probes()
	if len(probes) == 0 {
		return nil
	}
	s.probeNext++
	return []Effect{s.sendProbe(now, probes[s.probeNext%len(probes)])}
}

// probe is an address at which a dead host or an unknown one may run.
type probe struct {
	address netip.AddrPort
	dead    *Member // last known at the address; nil for a seed that is not known
}

// sendProbe returns a heartbeat to a probed address. It carries the record that
// declares the host there dead, which that host must refute: a host that never
// learned of the declaration would answer all probes and still not count as
// live, and it starts no exchange of its own while probes keep arriving.
func (s *State) sendProbe(now time.Time, p probe) SendHeartbeat {
	hb := s.newHeartbeat(now, "")
	if p.dead != nil {
		hb.Updates = []Member{*p.dead}
	}
	return SendHeartbeat{Address: p.address, Heartbeat: hb}
}

// maxProbed limits the dead hosts that are probed.
const maxProbed = 64

// probes returns the addresses of the seeds and of dead hosts that belong to no
// live host.
func (s *State) probes() []probe {
	live := map[netip.AddrPort]bool{}
	dead := map[netip.AddrPort]*Member{}
	for _, rec := range s.members {
		if rec.Live() {
			live[rec.PeerAddress] = true
		} else if rec.State == Dead && rec.newerThan(dead[rec.PeerAddress]) {
			dead[rec.PeerAddress] = &rec.Member
		}
	}
	addresses := slices.SortedFunc(maps.Keys(dead), netip.AddrPort.Compare)
	addresses = append(slices.Clone(s.settings.Seeds), addresses[:min(len(addresses), maxProbed)]...)
	var out []probe
	for _, a := range addresses {
		if !live[a] {
			out = append(out, probe{address: a, dead: dead[a]})
		}
	}
	return out
}

// newerThan reports whether m replaces other, a member at the same address.
func (m *Member) newerThan(other *Member) bool {
	return other == nil || m.Incarnation > other.Incarnation || m.Incarnation == other.Incarnation && m.Host > other.Host
}

// newHeartbeat returns a heartbeat to a host, or to a seed if host is empty.
func (s *State) newHeartbeat(now time.Time, host string) Heartbeat {
	hb := Heartbeat{
		Host:        s.self.Host,
		Incarnation: s.self.Incarnation,
		Token:       now.UnixNano(),
		Applied:     s.advertised(),
		Seen:        s.seen,
		MemberEpoch: s.agreed.Epoch,
		ShareEpoch:  s.shareEpoch,
		ShareDone:   s.shareDone,
		Ready:       s.ready,
		Digest:      s.digest,
		Silent:      s.silent(now),
		Reports:     s.reportsFor(now, host),
	}
	c := s.contacts[host]
	if c == nil || c.introduce || s.self.State != Alive {
		self := s.self
		hb.Self = &self
	}
	if c == nil {
		return hb
	}
	hb.Echo = c.token
	hb.Heard = s.lastHeard(now, c.askedAbout)
	rec := s.members[host]
	hb.Introduce = rec == nil || rec.Incarnation < c.incarnation
	if rec != nil && rec.State != Alive {
		hb.Updates = []Member{rec.Member}
	}
	return hb
}

// silent returns the neighbours that this host has not heard for SilentAfter.
func (s *State) silent(now time.Time) []string {
	var hosts []string
	for _, host := range s.neighbours {
		c := s.contacts[host]
		if c != nil && now.Sub(c.heardAt) > SilentAfter && len(hosts) < MaxSilent {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (s *State) lastHeard(now time.Time, hosts []string) []LastHeard {
	var heard []LastHeard
	for _, host := range hosts {
		c := s.contacts[host]
		if c != nil && !c.heardAt.IsZero() && now.Sub(c.heardAt) <= SuspectAfter {
			heard = append(heard, LastHeard{Host: host, Age: now.Sub(c.heardAt)})
		}
	}
	return heard
}

func (s *State) heartbeatReceived(now time.Time, ev HeartbeatReceived) []Effect {
	effects := s.process(now, &ev.Heartbeat)
	reply := s.newHeartbeat(now, ev.Heartbeat.Host)
	return append(effects, ReplyHeartbeat{Call: ev.Call, Heartbeat: reply})
}

// process applies a heartbeat, whether request or reply.
func (s *State) process(now time.Time, hb *Heartbeat) []Effect {
	if hb.Host == s.self.Host || hb.Host == "" {
		return nil // for example from this host itself, whose address is among the seeds
	}
	var effects []Effect
	if hb.Self != nil && hb.Self.Host == hb.Host && hb.Self.Validate() == nil {
		effects = append(effects, s.senderRecordReceived(now, *hb.Self)...)
	}
	for _, m := range hb.Updates[:min(len(hb.Updates), MaxUpdates)] {
		effects = append(effects, s.memberReceived(now, MemberReceived{From: hb.Host, Member: m})...)
	}
	c := s.contactOf(now, hb.Host)
	c.introduce = hb.Introduce
	if hb.Incarnation < c.incarnation || s.outdated(hb) {
		return effects
	}
	if hb.Incarnation > c.incarnation {
		c.reset(hb.Incarnation)
	}
	s.recordHeartbeat(now, c, hb)
	return effects
}

// senderRecordReceived merges the record that a host sent of itself.
func (s *State) senderRecordReceived(now time.Time, m Member) []Effect {
	old := s.members[m.Host]
	fresh := old == nil || old.Incarnation < m.Incarnation
	if !s.merge(now, m) {
		return nil
	}
	effects := []Effect{Disseminate{Host: m.Host, Urgent: true}}
	if fresh && m.State == Alive {
		effects = append(effects, Log{Event: eventJoined, Host: m.Host, Detail: m.PeerAddress.String()})
	}
	return effects
}

// outdated reports whether a heartbeat comes from a process that a newer one
// has replaced. Its content must not count as the new one's.
func (s *State) outdated(hb *Heartbeat) bool {
	rec := s.members[hb.Host]
	return rec != nil && hb.Incarnation < rec.Incarnation
}

// reset discards what an earlier process of the host sent.
func (c *contact) reset(incarnation uint64) {
	*c = contact{incarnation: incarnation, since: c.since, heardAt: c.heardAt, sentAt: c.sentAt, introduce: c.introduce}
}

func (s *State) recordHeartbeat(now time.Time, c *contact, hb *Heartbeat) {
	c.heardAt = now
	if hb.Echo >= s.startedAt.UnixNano() && hb.Echo <= now.UnixNano() {
		if at := time.Unix(0, hb.Echo); at.After(c.echoAt) {
			c.echoAt = at
		}
	}
	c.applied = later(c.applied, hb.Applied)
	c.seen = later(c.seen, later(hb.Seen, hb.Applied))
	s.seen = later(s.seen, c.seen)
	c.memberEpoch = max(c.memberEpoch, hb.MemberEpoch)
	c.shareEpoch = max(c.shareEpoch, hb.ShareEpoch)
	if hb.Token < c.token {
		return // an older message that arrived late
	}
	c.token = hb.Token
	c.ready = hb.Ready
	c.askedAbout = hb.Silent[:min(len(hb.Silent), MaxSilent)]
	if hb.Digest == s.digest {
		c.differsSince = time.Time{}
	} else if c.differsSince.IsZero() {
		c.differsSince = now
	}
	for _, h := range hb.Heard[:min(len(hb.Heard), MaxSilent)] {
		s.recordIndirect(now, h)
	}
	s.reportsReceived(c, hb)
}

func (s *State) recordIndirect(now time.Time, h LastHeard) {
	c := s.contacts[h.Host]
	if c == nil || h.Age < 0 {
		return
	}
	if at := now.Add(-h.Age); at.After(c.indirectAt) {
		c.indirectAt = at
	}
}

// compareWithNeighbours reports neighbours that have had a newer configuration or
// a different member digest for too long.
func (s *State) compareWithNeighbours(now time.Time) []Effect {
	var effects []Effect
	for _, host := range s.neighbours {
		c := s.contacts[host]
		if c == nil {
			continue
		}
		if c.applied.Compare(s.applied) <= 0 {
			c.aheadSince = time.Time{}
		} else if c.aheadSince.IsZero() {
			c.aheadSince = now
		}
		if !c.aheadSince.IsZero() && now.Sub(c.aheadSince) > time.Second && now.Sub(c.aheadLogged) > time.Second {
			c.aheadLogged = now
			effects = append(effects, FeedBehind{Peer: host, Position: c.applied}, Log{Event: eventFeedBehind, Host: host})
		}
		if !c.differsSince.IsZero() && now.Sub(c.differsSince) > resyncAfter && now.Sub(c.resyncAt) > resyncInterval {
			c.resyncAt = now
			effects = append(effects, Resync{Peer: host})
		}
	}
	return effects
}
