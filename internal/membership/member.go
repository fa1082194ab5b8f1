// Package membership finds the other hosts, watches which of them are alive,
// and tells whether this host's configuration is fresh enough to serve.
package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Roles are what a host does.
type Roles uint8

// Roles of a host.
const (
	RoleEntry Roles = 1 << iota // serves callers
	RoleVoter                   // takes part in consensus
	RoleRelay                   // forwards dissemination for its region
)

// Has reports whether r includes all of want.
func (r Roles) Has(want Roles) bool { return r&want == want }

// String returns the roles as the settings name them.
func (r Roles) String() string {
	var names []string
	for i, n := range []string{"entry", "voter", "relay"} {
		if r.Has(1 << i) {
			names = append(names, n)
		}
	}
	return strings.Join(names, ",")
}

// Liveness is the state of a host as the others see it.
type Liveness uint8

// Liveness in order of precedence among news of one incarnation.
const (
	Alive   Liveness = iota
	Suspect          // not heard for a while; may refute with a higher incarnation
	Dead             // suspected for long enough
	Left             // shut down or removed by an operator
)

// String returns the state as logs and the state dump show it.
func (l Liveness) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(l, Left)]
}

// Member is a host as the others know it. Incarnation starts at the time of
// the process start and grows with every refutation.
type Member struct {
	Host          string
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	Region        string
	FailureDomain string
	Roles         Roles
	// Capacity is how much work the host can take for others, relative to them.
	Capacity uint32
	State    Liveness
}

// Live reports whether the member counts as live. A suspect does, because
// most suspicions are refuted.
func (m *Member) Live() bool { return m.State <= Suspect }

// Compare orders the news of one host: the result is positive if m replaces
// other. Equal incarnations and states with different details are ordered by
// a hash, so that all hosts keep the same ones.
func (m *Member) Compare(other *Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.State, other.State),
		cmp.Compare(m.hash(), other.hash()),
	)
}

// maxNameBytes bounds the names of hosts, regions and failure domains.
const maxNameBytes = 128

// Validate returns the first reason why news of a member can't be used.
func (m *Member) Validate() error {
	switch {
	case m.Host == "" || max(len(m.Host), len(m.Region), len(m.FailureDomain)) > maxNameBytes:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "host %q has an empty or too long name", m.Host)
	case !m.PeerAddress.IsValid():
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "host %q has no peer address", m.Host)
	case m.State > Left:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "host %q has unknown state %d", m.Host, m.State)
	}
	return nil
}

// ContentHash identifies the details of a member besides its incarnation and
// state.
func (m *Member) ContentHash() uint64 { return m.hash() }

func (m *Member) hash() uint64 {
	var buf [256]byte
	b := append(buf[:0], m.Host...)
	b = append(b, 0)
	b = m.PeerAddress.AppendTo(b)
	b = append(b, 0)
	b = append(b, m.Region...)
	b = append(b, 0)
	b = append(b, m.FailureDomain...)
	b = append(b, 0, byte(m.Roles))
	b = binary.LittleEndian.AppendUint32(b, m.Capacity)
	return xxhash.Sum64(b)
}

// digest identifies the member with its incarnation and state. Digests are
// combined by exclusive or.
func (m *Member) digest() uint64 {
	if !m.Live() {
		return 0
	}
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], m.hash())
	binary.LittleEndian.PutUint64(b[8:], m.Incarnation)
	b[16] = byte(m.State)
	return xxhash.Sum64(b[:])
}

// Position is a place in the history of the configuration.
type Position struct {
	Term     uint64
	Revision uint64
}

// Compare orders positions by term, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether the host has no configuration confirmed yet.
func (p Position) IsZero() bool { return p == Position{} }

func later(p, q Position) Position {
	if p.Compare(q) >= 0 {
		return p
	}
	return q
}
