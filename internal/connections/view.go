package connections

import (
	"slices"
	"time"
)

// Phase says what bounds this host's shares.
type Phase uint8

// Phases of a host.
const (
	Fenced     Phase = iota // the member list is unknown or not confirmed: no connections
	NotMember               // the host is not on the member list: no connections
	Starting                // an earlier list may be in use that this host doesn't know: no connections
	Restarted               // the target may count connections of an earlier process: part of the reserve
	Transition              // the smallest share of several lists
	Complete                // the whole share
)

// String returns the phase for state dumps.
func (p Phase) String() string {
	return [...]string{"fenced", "not_member", "starting", "restarted", "transition", "complete"}[p]
}

// View is an immutable state of the shares that any goroutine may read.
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
// connection, so that its requests must go through View.Holder.
func (s Share) BelowOne() bool { return s.Connections == 0 && s.Phase == Complete }

// Epoch returns the epoch of the member list, or 0.
func (v View) Epoch() uint64 {
	if v.list == nil {
		return 0
	}
	return v.list.epoch
}

// Phase returns what bounds the shares.
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

// Holder returns the other host that is first in line for connections to a
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

func (v View) Same(w View) bool {
	return v.phase == w.phase && v.list == w.list && slices.Equal(v.earlier, w.earlier)
}

// View returns the present view.
func (s *Shares) View(now time.Time) View { return s.view(now) }

func (s *Shares) view(now time.Time) View {
	v := View{phase: s.phase(now), reservePercent: s.cfg.ReservePercent, list: s.list}
	if v.phase == Transition || v.phase == Restarted {
		v.earlier = slices.Clone(s.earlier)
	}
	return v
}

// phase derives the phase. A process uses nothing until it is half the
// leftover timeout old, and then only its part of the reserve until the whole
// timeout has passed. So even if the host restarts again and again, at most
// one earlier process's connections count beside the present one's: those of
// an earlier one that used the reserve, or the share, have been closed for
// the leftover timeout.
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
