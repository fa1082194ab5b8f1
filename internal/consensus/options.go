package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Options are the settings of a node. Zero fields take the defaults.
type Options struct {
	Self    Member   // identity, name and address of this node
	Initial []Member // initial voters; only name and address are used

	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader before an election.
	// The actual time is random between one and two timeouts.
	ElectionTimeout time.Duration
	// MaxClockDrift bounds the difference between the clocks of two hosts over
	// one election timeout. It shortens the lease.
	MaxClockDrift time.Duration

	MaxAppendEntries     int
	MaxAppendBytes       int
	MaxAppendsInFlight   int // per follower
	MaxProposalBytes     int
	MaxProposalsInFlight int // appended but not committed
	MaxInFlightBytes     int // data appended but not committed
	MaxPersistsInFlight  int // emitted but not durable
	MaxReadsInFlight     int
	SnapshotChunkBytes   int
	// TrailingEntries is the number of compacted entries kept in memory, for
	// followers that lag slightly.
	TrailingEntries int
	MaxLearners     int

	Rand *rand.Rand // seeded source of election jitter
}

// Defaults of Options.
const (
	DefaultHeartbeatInterval    = 100 * time.Millisecond
	DefaultElectionTimeout      = time.Second
	DefaultMaxClockDrift        = 100 * time.Millisecond
	DefaultMaxAppendEntries     = 512
	DefaultMaxAppendBytes       = 1 << 20
	DefaultMaxAppendsInFlight   = 16
	DefaultMaxProposalBytes     = 1 << 20
	DefaultMaxProposalsInFlight = 1024
	DefaultMaxInFlightBytes     = 32 << 20
	DefaultMaxPersistsInFlight  = 64
	DefaultMaxReadsInFlight     = 4096
	DefaultSnapshotChunkBytes   = 512 << 10
	DefaultTrailingEntries      = 1024
	DefaultMaxLearners          = 8
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&o.MaxAppendEntries, DefaultMaxAppendEntries)
	setDefault(&o.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&o.MaxAppendsInFlight, DefaultMaxAppendsInFlight)
	setDefault(&o.MaxProposalBytes, DefaultMaxProposalBytes)
	setDefault(&o.MaxProposalsInFlight, DefaultMaxProposalsInFlight)
	setDefault(&o.MaxInFlightBytes, DefaultMaxInFlightBytes)
	setDefault(&o.MaxPersistsInFlight, DefaultMaxPersistsInFlight)
	setDefault(&o.MaxReadsInFlight, DefaultMaxReadsInFlight)
	setDefault(&o.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&o.TrailingEntries, DefaultTrailingEntries)
	setDefault(&o.MaxLearners, DefaultMaxLearners)
	return o
}

// Validate returns all problems of the options as one joined error.
func (o Options) Validate() error {
	o = o.withDefaults()
	var problems []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, errors.Newf(format, args...))
		}
	}
	check(o.Self.Identity != "", "consensus: the identity is empty")
	check(o.Self.Name != "", "consensus: the host name is empty")
	check(o.Rand != nil, "consensus: no random source")
	check(o.HeartbeatInterval > 0, "consensus: heartbeat interval %v is not positive", o.HeartbeatInterval)
	check(o.MaxClockDrift >= 0, "consensus: clock drift %v is negative", o.MaxClockDrift)
	check(o.ElectionTimeout-o.MaxClockDrift >= 2*o.HeartbeatInterval,
		"consensus: election timeout %v less clock drift %v is shorter than two heartbeat intervals of %v",
		o.ElectionTimeout, o.MaxClockDrift, o.HeartbeatInterval)
	switch len(o.Initial) {
	case 0, 1, 3, 5:
	default:
		check(false, "consensus: %d initial voters; allowed are 1, 3 or 5", len(o.Initial))
	}
	names := initialNames(o.Initial)
	check(len(slices.Compact(slices.Clone(names))) == len(names), "consensus: an initial voter is named twice")
	return errors.Join(problems...)
}

// initialNames returns the sorted names of the initial voters.
func initialNames(initial []Member) []string {
	names := make([]string, 0, len(initial))
	for _, m := range initial {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}
