// Package targets is the registry of targets. It holds what each target
// announces about itself: its searchers, the shards that they hold, and its
// index snapshots with their layouts. A target expires when it no longer renews
// its lease.
package targets

import (
	"net/netip"
	"unicode/utf8"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Limits on one announcement. They bound the memory that a faulty target can
// claim.
const (
	MaxSearchers   = 64
	MaxShards      = 4096
	MaxSnapshots   = 8
	MaxLabels      = 64
	MaxNameBytes   = 128
	MaxConnections = 100_000
	MaxSlots       = 10_000
	MaxSeq         = 1 << 62
)

// Error codes of rejected announcements.
const (
	CodeInvalid       verdict.Code = "invalid_announcement"
	CodeStale         verdict.Code = "stale_announcement"
	CodeLayoutChanged verdict.Code = "layout_changed"
	CodeAddressTaken  verdict.Code = "address_taken"
	CodeUnknown       verdict.Code = "unknown_target"
)

// Phase is the state that a target reports about itself.
type Phase string

// Phases of a target.
const (
	Ready    Phase = "ready"
	Cold     Phase = "cold"
	Draining Phase = "draining"
)

// Holding lists the shards of one index snapshot that a searcher holds.
type Holding struct {
	IndexSnapshot string
	Shards        []string
}

// Searcher is a part of a target that runs searches in its own slots.
type Searcher struct {
	Name  string
	Slots int
	Holds []Holding
}

// IndexSnapshot is a version of an index and the full list of its shards.
// Among the snapshots of one group the highest Generation is the newest.
type IndexSnapshot struct {
	Name       string
	Generation uint64
	Layout     []string
}

// Reported is the health and load that a target reports. It may be outdated or
// wrong, so it is only a hint.
type Reported struct {
	Healthy bool
	Load    float64
}

// Announcement is a target's description of itself. Announcements of one target
// are ordered by (Incarnation, Seq).
type Announcement struct {
	Target          string
	Incarnation     uint64
	Seq             uint64
	Address         netip.AddrPort
	FailureDomain   string
	Labels          map[string]string
	ConnectionLimit int
	Phase           Phase
	Searchers       []Searcher
	IndexSnapshots  []IndexSnapshot
	Reported        Reported
}

// Validate checks the announcement and returns the first fault it finds.
func (a *Announcement) Validate() error {
	if err := a.validateIdentity(); err != nil {
		return err
	}
	layouts, err := a.validateSnapshots()
	if err != nil {
		return err
	}
	return a.validateSearchers(layouts)
}

func (a *Announcement) validateIdentity() error {
	switch {
	case !validName(a.Target):
		return invalid("target name %q is empty, too long or not UTF-8", a.Target)
	case a.Incarnation == 0:
		return invalid("incarnation is missing")
	case a.Seq > MaxSeq:
		return invalid("seq %d is greater than %d", a.Seq, uint64(MaxSeq))
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return invalid("address %q is not an IP address and port", a.Address)
	case a.Address.Addr().IsUnspecified() || a.Address.Addr().IsMulticast():
		return invalid("address %q is unspecified or multicast", a.Address)
	case !validName(a.FailureDomain):
		return invalid("failure domain %q is empty or too long", a.FailureDomain)
	case a.ConnectionLimit < 1 || a.ConnectionLimit > MaxConnections:
		return invalid("connection limit %d is outside 1..%d", a.ConnectionLimit, MaxConnections)
	case a.Phase != Ready && a.Phase != Cold && a.Phase != Draining:
		return invalid("state %q is not ready, cold or draining", a.Phase)
	case len(a.Labels) > MaxLabels:
		return invalid("%d labels, at most %d are allowed", len(a.Labels), MaxLabels)
	}
	for k, v := range a.Labels {
		if !validName(k) || !validText(v) {
			return invalid("label %q has an empty, too long or malformed name or value", k)
		}
	}
	return nil
}

func (a *Announcement) validateSnapshots() (map[string]map[string]bool, error) {
	if len(a.IndexSnapshots) > MaxSnapshots {
		return nil, invalid("%d index snapshots, at most %d are allowed", len(a.IndexSnapshots), MaxSnapshots)
	}
	layouts := make(map[string]map[string]bool, len(a.IndexSnapshots))
	for _, s := range a.IndexSnapshots {
		if !validName(s.Name) {
			return nil, invalid("index snapshot name %q is empty or too long", s.Name)
		}
		if layouts[s.Name] != nil {
			return nil, invalid("index snapshot %q is listed twice", s.Name)
		}
		if len(s.Layout) == 0 || len(s.Layout) > MaxShards {
			return nil, invalid("layout of index snapshot %q has %d shards, outside 1..%d", s.Name, len(s.Layout), MaxShards)
		}
		shards := make(map[string]bool, len(s.Layout))
		for _, shard := range s.Layout {
			if !validName(shard) || shards[shard] {
				return nil, invalid("layout of index snapshot %q has an empty, too long or repeated shard name %q", s.Name, shard)
			}
			shards[shard] = true
		}
		layouts[s.Name] = shards
	}
	return layouts, nil
}

func (a *Announcement) validateSearchers(layouts map[string]map[string]bool) error {
	if len(a.Searchers) == 0 || len(a.Searchers) > MaxSearchers {
		return invalid("%d searchers, outside 1..%d", len(a.Searchers), MaxSearchers)
	}
	names := make(map[string]bool, len(a.Searchers))
	for _, s := range a.Searchers {
		if !validName(s.Name) || names[s.Name] {
			return invalid("searcher name %q is empty, too long or repeated", s.Name)
		}
		names[s.Name] = true
		if s.Slots < 1 || s.Slots > MaxSlots {
			return invalid("searcher %q has %d slots, outside 1..%d", s.Name, s.Slots, MaxSlots)
		}
		held := make(map[string]bool, len(s.Holds))
		for _, h := range s.Holds {
			if held[h.IndexSnapshot] {
				return invalid("searcher %q lists index snapshot %q twice", s.Name, h.IndexSnapshot)
			}
			held[h.IndexSnapshot] = true
			if layouts[h.IndexSnapshot] == nil {
				return invalid("searcher %q holds unknown index snapshot %q", s.Name, h.IndexSnapshot)
			}
			for _, shard := range h.Shards {
				if !layouts[h.IndexSnapshot][shard] {
					return invalid("searcher %q holds shard %q, which is outside the layout of %q", s.Name, shard, h.IndexSnapshot)
				}
			}
		}
	}
	return nil
}

// validName reports whether a name can be stored and sent. The encoding between
// hosts fails for a whole message if one of its texts is not UTF-8.
func validName(s string) bool { return s != "" && validText(s) }

func validText(s string) bool { return len(s) <= MaxNameBytes && utf8.ValidString(s) }

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, CodeInvalid, format, args...)
}
