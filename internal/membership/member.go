// Package membership discovers the other hosts, detects their failures, and
// determines whether this host's configuration is fresh enough to serve.
package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Roles is a set of roles of a host.
type Roles uint8

// Roles of a host.
const (
	RoleEntry   Roles = 1 << iota // serves callers
	RoleVoter                     // takes part in consensus
	RoleRelay                     // forwards updates for its region
	RoleFounder                   // a voter whose disk has been there since the first start of the whole system
)

// Has reports whether r includes all of want.
func (r Roles) Has(want Roles) bool { return r&want == want }

// String returns the roles as the settings name them.
func (r Roles) String() string {
	var names []string
	for i, n := range []string{"entry", "voter", "relay", "founder"} {
		if r.Has(1 << i) {
			names = append(names, n)
		}
	}
	return strings.Join(names, ",")
}

// Liveness is the state of a host as the others see it.
type Liveness uint8

// Liveness states, in order of precedence among records of one incarnation.
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

// Member is the record of a host that all hosts keep. Incarnation is initially
// the start time of the process, and grows with every refutation.
type Member struct {
	Host          string
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	Region        string
	FailureDomain string
	Roles         Roles
	// Capacity is the relative amount of work that the host can do for others.
	Capacity uint32
	State    Liveness
}

// Live reports whether the member counts as live. A suspected one does,
// because most suspicions are refuted.
func (m *Member) Live() bool { return m.State <= Suspect }

// Compare orders records of one host: the result is positive if m supersedes
// other. Records that differ only in other details are ordered by a hash, so
// that all hosts keep the same one.
func (m *Member) Compare(other *Member) int {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.State, other.State),
		cmp.Compare(m.hash(), other.hash()),
	)
}

// maxNameBytes bounds the names of hosts, regions and failure domains.
const maxNameBytes = 128

// Validate returns an error if the record is invalid.
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

// ContentHash returns a hash of the member's details without its incarnation
// and state.
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

// digest returns a hash of the whole record, or 0 for a member that is not
// live. Digests are combined by exclusive or.
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

// Position identifies a configuration by its place in the history.
type Position struct {
	Term     uint64
	Revision uint64
}

// Compare orders positions by term, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether the position is zero, which stands for no confirmed
// configuration.
func (p Position) IsZero() bool { return p == Position{} }

func later(p, q Position) Position {
	if p.Compare(q) >= 0 {
		return p
	}
	return q
}
