package consensus

import (
	"slices"
	"time"
)

// heartbeatRound is a heartbeat round and the time when it was sent.
type heartbeatRound struct {
	round  uint64
	sentAt time.Time
}

// broadcastHeartbeat sends a new heartbeat round to all followers.
func (n *Node) broadcastHeartbeat() {
	l := &n.leading
	l.round++
	l.heartbeatAt = n.now
	l.rounds = slices.DeleteFunc(l.rounds, func(r heartbeatRound) bool {
		return n.now.Sub(r.sentAt) > n.opts.ElectionTimeout
	})
	l.rounds = append(l.rounds, heartbeatRound{l.round, n.now})
	for _, p := range n.followers() {
		n.send(p.member, Heartbeat{Round: l.round, Commit: min(n.hard.Commit, p.match)})
	}
}

func (n *Node) onHeartbeat(from Member, h Heartbeat) {
	n.commitTo(h.Commit)
	n.send(from, HeartbeatReply{Round: h.Round})
}

func (n *Node) onHeartbeatReply(p *progress, r HeartbeatReply) {
	i := slices.IndexFunc(n.leading.rounds, func(h heartbeatRound) bool { return h.round == r.Round })
	if i >= 0 && n.leading.rounds[i].sentAt.After(p.leaseFrom) {
		p.leaseFrom = n.leading.rounds[i].sentAt
	}
	p.round = max(p.round, min(r.Round, n.leading.round))
	n.resend(p)
}

// quorumValue returns the greatest value reached by a majority of the voters,
// where own is the value of this node.
func quorumValue[T any](n *Node, own T, value func(*progress) T, compare func(a, b T) int) T {
	voters := n.voters()
	values := make([]T, 0, len(voters.Voters))
	for _, m := range voters.Voters {
		if m.Identity == n.self() {
			values = append(values, own)
		} else {
			values = append(values, value(n.leading.progress[m.Identity]))
		}
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[voters.Quorum()-1]
}

// leaseDuration returns how long a confirmed heartbeat round rules out another
// leader, counted from its sending and with clocks within the drift bound.
func (n *Node) leaseDuration() time.Duration {
	return n.opts.ElectionTimeout - n.opts.MaxClockDrift
}

// leaseExpiry returns the end of the lease, when the leader steps down. Until a
// round is confirmed it counts from the election. This applies to stepping down
// only: leaseHeld requires a confirmed round.
func (n *Node) leaseExpiry() time.Time {
	from := n.leaseFrom()
	if from.Before(n.leading.since) {
		from = n.leading.since
	}
	return from.Add(n.leaseDuration())
}

func (n *Node) leaseFrom() time.Time {
	return quorumValue(n, n.now, func(p *progress) time.Time { return p.leaseFrom }, time.Time.Compare)
}

// leaseHeld reports whether this node holds the leader's lease, so that no other
// node can be leader now, provided that the clock of Step counts suspensions.
func (n *Node) leaseHeld() bool {
	if n.role != Leader || n.leading.leaseReleased {
		return false
	}
	from := n.leaseFrom()
	return !from.IsZero() && n.now.Before(from.Add(n.leaseDuration()))
}

// checkLease steps down if the lease has expired. It runs before every event, so
// that a leader that was paused steps down before it acts.
func (n *Node) checkLease() {
	if n.role == Leader && !n.now.Before(n.leaseExpiry()) {
		n.becomeFollower(n.hard.Term, Member{}, ReasonLeaseExpired)
	}
}
