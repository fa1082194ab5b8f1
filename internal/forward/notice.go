package forward

import (
	"slices"
	"time"
)

// Notice is what a searcher states about itself in a reply, apart from the
// request.
type Notice struct {
	Leaving bool          // it takes no further requests
	Pause   time.Duration // for how long it takes no requests from this host; 0 for none
}

// MaxPause is the longest pause that a searcher can ask for. A greater value is
// taken for a mistake, but still keeps requests away for this long.
const MaxPause = 10 * time.Minute

// Bounds on what a group remembers about searchers that it no longer has.
const (
	restrictionRetention = 15 * time.Minute
	maxRestrictions      = 1024
)

// restriction is what a group remembers about a searcher that left it. A searcher
// may be listed again, by a delayed announcement or when this host gathers again,
// and must then not get requests that it refused before.
type restriction struct {
	leaving     bool
	pausedUntil time.Time
	since       time.Time
}

func (r restriction) expired(now time.Time) bool {
	return !now.Before(r.pausedUntil) && (!r.leaving || now.Sub(r.since) > restrictionRetention)
}

// Note records what a searcher stated about itself.
func (g *Group) Note(now time.Time, id Identity, n Notice) {
	until := now.Add(min(n.Pause, MaxPause))
	if s := g.find(id); s != nil {
		s.leaving = s.leaving || n.Leaving
		if n.Pause > 0 && until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
		return
	}
	if n != (Notice{}) {
		r := g.restrictions[id]
		r.leaving, r.since = r.leaving || n.Leaving, now
		if n.Pause > 0 && until.After(r.pausedUntil) {
			r.pausedUntil = until
		}
		g.restrictions[id] = r
	}
}

// MayReceive reports whether a request that was assigned to a searcher may still
// be sent to it. The answer can change while a connection is being opened.
func (g *Group) MayReceive(now time.Time, id Identity) bool {
	s := g.find(id)
	if s == nil {
		r := g.restrictions[id]
		return !r.leaving && !now.Before(r.pausedUntil)
	}
	return !s.gone && !s.leaving && !s.pausedAt(now)
}

// Leaving returns the searchers of the group that said that they leave.
func (g *Group) Leaving() []Identity {
	var out []Identity
	for _, s := range g.searchers {
		if s.leaving {
			out = append(out, s.Identity)
		}
	}
	return out
}

func (g *Group) find(id Identity) *Searcher {
	i := slices.IndexFunc(g.searchers, func(s *Searcher) bool { return s.Identity == id })
	if i < 0 {
		return nil
	}
	return g.searchers[i]
}

func (s *Searcher) pausedAt(now time.Time) bool { return now.Before(s.pausedUntil) }

// remember stores the restrictions of a searcher that the group no longer has.
func (g *Group) remember(now time.Time, s *Searcher) {
	if s.leaving || s.pausedAt(now) {
		g.restrictions[s.Identity] = restriction{leaving: s.leaving, pausedUntil: s.pausedUntil, since: now}
	}
}

// restore applies the remembered restrictions to a searcher that joins the group.
func (g *Group) restore(s *Searcher) {
	if r, ok := g.restrictions[s.Identity]; ok {
		s.leaving, s.pausedUntil = r.leaving, r.pausedUntil
		delete(g.restrictions, s.Identity)
	}
}

// forgetRestrictions removes expired restrictions and, above the bound, the
// oldest ones.
func (g *Group) forgetRestrictions(now time.Time) {
	for id, r := range g.restrictions {
		if r.expired(now) {
			delete(g.restrictions, id)
		}
	}
	for len(g.restrictions) > maxRestrictions {
		var oldest Identity
		var since time.Time
		for id, r := range g.restrictions {
			if since.IsZero() || r.since.Before(since) {
				oldest, since = id, r.since
			}
		}
		delete(g.restrictions, oldest)
	}
}

// Resume returns when the first searcher that may get an attempt ends the pause
// that it asked for. It returns the zero time if one may get the attempt without
// a pause, or if none may at all.
func (g *Group) Resume(now time.Time, opts AttemptOptions) time.Time {
	var first time.Time
	for _, s := range g.searchers {
		switch {
		case !s.usable(), !g.gate.Admits(now, s.Identity), !opts.AllowTried && slices.Contains(opts.Tried, s):
		case !s.pausedAt(now):
			return time.Time{}
		case first.IsZero() || s.pausedUntil.Before(first):
			first = s.pausedUntil
		}
	}
	return first
}

// awaitResume delays the next attempt of a sub-request whose searchers all asked
// for a pause. If none resumes before the deadline, it only records when one
// will, for the retry hint.
func (r *Run) awaitResume(now time.Time, sub *subRequest, opts AttemptOptions) {
	opts.AllowTried = len(sub.attempts) > 0 && sub.lastResult() == Rejected
	if r.pausedTooLong(now, sub, opts) {
		return
	}
	if resume := r.env.Resume(now, sub.service, opts); !resume.IsZero() {
		sub.notBefore = later(sub.notBefore, resume)
	}
}

// pausedTooLong reports whether all searchers of a sub-request asked for pauses
// that end after the deadline, and records the end of the first one.
func (r *Run) pausedTooLong(now time.Time, sub *subRequest, opts AttemptOptions) bool {
	resume := r.env.Resume(now, sub.service, opts)
	if resume.IsZero() || resume.Before(r.deadline) {
		return false
	}
	sub.resume = resume
	return true
}
