package connections

import (
	"slices"
	"time"
)

// Phase says what limits this host's shares.
type Phase uint8

// Phases of a host.
const (
	Fenced     Phase = iota // the member list is unknown or not confirmed: no connections
	NotMember               // the host is not on the member list: no connections
	Starting                // an earlier list that this host doesn't know may still be in use: no connections
	Restarted               // the target may still count connections of an earlier process: part of the reserve
	Transition              // the smallest share of several lists
	Complete                // the whole share
)

// String returns the name of the phase for state dumps.
func (p Phase) String() string {
	return [...]string{"fenced", "not_member", "starting", "restarted", "transition", "complete"}[p]
}

// View is an immutable snapshot of the shares. It is safe for concurrent use.
type View struct {
	phase          Phase
	reservePercent int
	list           *memberList
	earlier        []*memberList
}

// Share is this host's part of a target's connection limit.
type Share struct {
	Connections int
	Phase       Phase
}

// BelowOne reports whether the limit is too small to give this host a
// connection. Its requests must then go through the host that View.Holder
// returns.
func (s Share) BelowOne() bool { return s.Connections == 0 && s.Phase == Complete }

// Epoch returns the epoch of the member list, or 0.
func (v View) Epoch() uint64 {
	if v.list == nil {
		return 0
	}
	return v.list.epoch
}

// Phase returns what limits the shares.
func (v View) Phase() Phase { return v.phase }

// Share returns this host's share of the limit of a target.
func (v View) Share(target string, limit int) Share {
	out := Share{Phase: v.phase}
	if v.phase == Fenced || limit <= 0 {
		return out
	}
	hash := targetHash(target)
	reserve := limit * v.reservePercent / 100
	switch v.phase {
	case Complete, Transition, Restarted:
		out.Connections = v.list.split(hash, limit-reserve)
	}
	if v.phase == Restarted {
		out.Connections = min(out.Connections, v.list.split(hash, reserve))
	}
	for _, l := range v.earlier {
		out.Connections = min(out.Connections, v.boundOf(l, hash, limit, reserve))
	}
	return out
}

// Holder returns the other host with the highest rendezvous weight for a
// target, or an empty string if there is none. Its cost grows with the number
// of hosts, so it is not part of Share.
func (v View) Holder(target string) string {
	if v.phase == Fenced {
		return ""
	}
	return v.list.holder(targetHash(target))
}

func (v View) boundOf(l *memberList, hash uint64, limit, reserve int) int {
	bound := l.split(hash, limit-reserve)
	if v.phase == Restarted {
		bound = min(bound, l.split(hash, reserve))
	}
	return bound
}

// Same reports whether v and w give the same shares.
func (v View) Same(w View) bool {
	return v.phase == w.phase && v.list == w.list && slices.Equal(v.earlier, w.earlier)
}

// View returns the current view.
func (s *Shares) View(now time.Time) View { return s.view(now) }

func (s *Shares) view(now time.Time) View {
	v := View{phase: s.phase(now), reservePercent: s.cfg.ReservePercent, list: s.list}
	if v.phase == Transition || v.phase == Restarted {
		v.earlier = slices.Clone(s.earlier)
	}
	return v
}

// phase returns the current phase. A new process uses no connections for half
// the leftover timeout, and then only its part of the reserve until the whole
// timeout has passed. So even if the host restarts repeatedly, targets count
// the connections of at most one earlier process beside those of the current
// one: once both have opened connections, all processes before them ended at
// least the whole timeout ago.
func (s *Shares) phase(now time.Time) Phase {
	age := now.Sub(s.started)
	switch {
	case s.list == nil || s.fenced:
		return Fenced
	case s.list.self < 0:
		return NotMember
	case !s.knowsEarlier || age < s.cfg.LeftoverTimeout/2:
		return Starting
	case age < s.cfg.LeftoverTimeout:
		return Restarted
	case s.completed == s.list.epoch:
		return Complete
	default:
		return Transition
	}
}
