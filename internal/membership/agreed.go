package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// JoinAfter, LeaveAfter and RemoveAfter are how long a host must keep its state
// before the agreed list follows. They double with every recent flap of the
// host.
const (
	JoinAfter       = 5 * time.Second
	LeaveAfter      = 5 * time.Second
	RemoveAfter     = 30 * time.Second
	ProposeInterval = 5 * time.Second
	flapMemory      = 10 * time.Minute
	maxFlaps        = 5
)

// countFlap counts returns of a lost host. It starts anew if the host kept its
// state for longer than flapMemory.
func (rec *memberRecord) countFlap(now time.Time, live bool) {
	if now.Sub(rec.since) > flapMemory {
		rec.flaps = 0
	}
	if live && !rec.Live() && rec.flaps < maxFlaps {
		rec.flaps++
	}
}

// settled reports whether a host has kept its state for long enough.
func (rec *memberRecord) settled(now time.Time, after time.Duration) bool {
	return now.Sub(rec.since) >= after<<rec.flaps
}

func (s *State) agreedListApplied(list AgreedList) {
	if list.Epoch <= s.agreed.Epoch {
		return
	}
	s.agreed = list
	clear(s.isAgreed)
	for _, h := range list.Hosts {
		s.isAgreed[h] = true
	}
	for h := range s.forgotten {
		if !s.isAgreed[h] {
			delete(s.forgotten, h)
		}
	}
}

// AgreedList returns the agreed list in force.
func (s *State) AgreedList() AgreedList { return s.agreed }

// hostForgotten marks a host as left and schedules its removal from the agreed
// list.
func (s *State) hostForgotten(now time.Time, host string) []Effect {
	if host == s.self.Host {
		return nil
	}
	if s.isAgreed[host] {
		s.forgotten[host] = true
		s.proposeAt = time.Time{}
	}
	rec := s.members[host]
	if rec == nil || rec.State == Left {
		return nil
	}
	m := rec.Member
	m.State = Left
	s.put(now, m)
	return []Effect{Disseminate{Host: host, Urgent: true}}
}

// propose proposes a new agreed list when the live hosts have differed from it
// for long enough, or when an operator forgot hosts.
func (s *State) propose(now time.Time) []Effect {
	if !s.leading || now.Before(s.proposeAt) {
		return nil
	}
	p := ProposeMemberList{After: s.agreed.Epoch, ByOperator: len(s.forgotten) > 0}
	if p.ByOperator {
		p.Hosts = s.withoutForgotten()
		p.Base = max(len(p.Hosts), s.agreed.Base-len(s.forgotten))
	} else {
		p.Hosts = s.desiredHosts(now)
		p.Base = max(len(p.Hosts), s.agreed.Base)
	}
	if slices.Equal(p.Hosts, slices.Sorted(slices.Values(s.agreed.Hosts))) {
		return nil
	}
	s.proposeAt = now.Add(ProposeInterval)
	detail := fmt.Sprintf("%d hosts after epoch %d", len(p.Hosts), p.After)
	return []Effect{p, Log{Event: eventListProposed, Host: s.self.Host, Detail: detail}}
}

func (s *State) withoutForgotten() []string {
	var hosts []string
	for _, h := range s.agreed.Hosts {
		if !s.forgotten[h] {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// desiredHosts returns the agreed hosts without those to be removed and with
// those that joined. It keeps the most recently lost hosts if fewer than a
// majority of the base, or of the present list, would otherwise remain.
func (s *State) desiredHosts(now time.Time) []string {
	var hosts []string
	var lost []string
	for _, h := range s.agreed.Hosts {
		if s.lost(now, h) {
			lost = append(lost, h)
		} else {
			hosts = append(hosts, h)
		}
	}
	kept := len(hosts)
	for h, rec := range s.members {
		if !s.isAgreed[h] && rec.State == Alive && s.joins(now, rec) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(lost, func(a, b string) int {
		return cmp.Or(s.lostSince(b).Compare(s.lostSince(a)), cmp.Compare(a, b))
	})
	missing := max(s.agreed.Base/2+1-len(hosts), len(s.agreed.Hosts)/2+1-kept, 0)
	hosts = append(hosts, lost[:min(missing, len(lost))]...)
	slices.Sort(hosts)
	return hosts
}

// joins reports whether a live host has been there long enough for the agreed list.
//
// The first list has all live hosts once this host has been there long enough. The
// others are known some milliseconds later than this host itself, and a first list
// without them would make every later change depend on this host: a majority of a
// replaced list must have seen the one that replaced it.
func (s *State) joins(now time.Time, rec *memberRecord) bool {
	if s.agreed.Epoch == 0 {
		rec = s.members[s.self.Host]
	}
	return rec.settled(now, JoinAfter)
}

// lost reports whether an agreed host has been gone long enough to be removed.
// A leader that never heard of a host counts from the start of its leadership.
func (s *State) lost(now time.Time, host string) bool {
	rec := s.members[host]
	switch {
	case rec == nil:
		return now.Sub(s.leadSince) >= RemoveAfter
	case rec.State == Left:
		return rec.settled(now, LeaveAfter)
	case rec.State == Dead:
		return rec.settled(now, RemoveAfter)
	default:
		return false
	}
}

func (s *State) lostSince(host string) time.Time {
	if rec := s.members[host]; rec != nil {
		return rec.since
	}
	return time.Time{}
}
