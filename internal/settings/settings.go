// Package settings reads the daemon's settings from flags and environment
// variables and checks them at startup.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"
)

// EnvPrefix starts the name of every environment variable. The variable of
// the flag -data-dir is HAWTHORNLOCK_DATA_DIR.
const EnvPrefix = "HAWTHORNLOCK"

// ExitCode is the exit code of a process whose settings are invalid.
const ExitCode = 2

// Role is a duty of a host.
type Role string

// Roles of a host.
const (
	Entry Role = "entry"
	Voter Role = "voter"
	Relay Role = "relay"
)

// VoterAddress is the address of a host that holds the replicated log.
type VoterAddress struct {
	Host string
	Peer netip.AddrPort
}

// Settings are the checked settings of one daemon.
type Settings struct {
	Host          string
	Region        string
	FailureDomain string
	Roles         []Role
	// FailureDomains are the known failure domains with the region of each, if the
	// settings list them.
	FailureDomains map[string]string
	DataDir        string
	Peers          []netip.AddrPort
	Voters         []VoterAddress

	CallerListen  netip.AddrPort
	TargetListen  netip.AddrPort
	AdminListen   netip.AddrPort
	PeerListen    netip.AddrPort
	ReadyListen   netip.AddrPort // readiness only; zero for none
	MetricsListen netip.AddrPort // metrics only; zero for none

	// ServePlan serves callers by the route plan instead of groups and
	// selectors, see package routeplan.
	ServePlan     bool
	FindVoters    bool          // voters find each other; Voters is empty
	FoundLog      bool          // with FindVoters: this is the system's first start
	LossTolerance int           // with FindVoters: voters that may be lost at once
	LeasePeriod   time.Duration // of targets
	RetryExtra    int           // with ServePlan: extra attempts at a service per RetryWindow by all hosts, in addition to RetryPermille of its requests
	RetryWindow   time.Duration // with ServePlan
	MemoryLimit   uint64        // of the process in bytes; 0 for none
	Capacity      uint          // for work on behalf of other hosts, relative to theirs
	Intake        Intake
	// RevocationBound is the longest time for which a revoked key may still be accepted
	// on any host; 0 for no bound.
	RevocationBound time.Duration
	// A cold target gets at most WarmupOverage times the rate of its service, and
	// WarmupSlack more, requests a second, over all hosts.
	WarmupOverage float64
	WarmupSlack   float64
	// All hosts together forward at most (rate x QuotaWindow + burst) x (1 + QuotaOverage)
	// + QuotaSlack requests of an account in any QuotaWindow.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64 // requests

	AdminTokenFile   string
	LogLevel         zerolog.Level
	ConfigStaleness  time.Duration
	MaxClockDrift    float64 // largest relative difference of two clocks' rates, 0 to 0.2
	BalancerLag      time.Duration
	ShutdownTimeout  time.Duration
	DefaultTimeout   time.Duration
	MaxTimeout       time.Duration
	NetworkAllowance time.Duration
	MaxQueries       int
	QueueLength      int
	HedgePermille    int
	RetryPermille    int
	Seed             uint64
}

// HasRole reports whether the host has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// raw holds the values of flags and environment variables before they are parsed
// and checked.
type raw struct {
	Settings
	failureDomains                                      string
	roles, peers, voters, logLevel                      string
	callerListen, targetListen, adminListen, peerListen string
	readyListen, metricsListen                          string
}

func (r *raw) flags() *flag.FlagSet {
	fs := flag.NewFlagSet("hawthornlockd", flag.ContinueOnError)
	fs.StringVar(&r.Host, "host", "", "name of this host, unique among all hosts")
	fs.StringVar(&r.Region, "region", "local", "region of this host")
	fs.StringVar(&r.FailureDomain, "failure-domain", "", "failure domain of this host")
	fs.StringVar(&r.failureDomains, "failure-domains", "", "comma-separated name=region of all failure domains, the only ones that can be withdrawn; empty for those of the known hosts and targets")
	fs.StringVar(&r.roles, "roles", "entry", "comma-separated roles: entry, voter, relay")
	fs.StringVar(&r.DataDir, "data-dir", "", "data directory on the host's disk; only with the role voter")
	fs.StringVar(&r.peers, "peers", "", "comma-separated IP:port of other hosts' peer listeners, from which this host learns the others")
	fs.StringVar(&r.voters, "voters", "", "comma-separated name=IP:port of the hosts that hold the replicated log: 1, 3 or 5")
	fs.StringVar(&r.callerListen, "caller-listen", "127.0.0.1:7401", "IP:port for callers")
	fs.StringVar(&r.targetListen, "target-listen", "127.0.0.1:7402", "IP:port for targets' announcements")
	fs.StringVar(&r.adminListen, "admin-listen", "127.0.0.1:7403", "IP:port for administration, metrics and state")
	fs.StringVar(&r.peerListen, "peer-listen", "127.0.0.1:7404", "IP:port for other hosts")
	fs.StringVar(&r.readyListen, "ready-listen", "", "IP:port that serves only the readiness of this host; empty for none")
	fs.StringVar(&r.metricsListen, "metrics-listen", "", "IP:port that serves only /metrics; empty for none")
	fs.BoolVar(&r.ServePlan, "serve-plan", false, "serve callers by the route plan instead of groups and selectors")
	fs.BoolVar(&r.FindVoters, "find-voters", false, "hosts with the role voter find each other through -peers, which must be the same on all hosts at the first start; -voters stays empty")
	fs.BoolVar(&r.FoundLog, "found-log", false, "with -find-voters: this is the first start of the whole system, with empty disks")
	fs.IntVar(&r.LossTolerance, "loss-tolerance", 1, "with -find-voters: hosts with the role voter that may be lost at once, 1 or 2")
	fs.DurationVar(&r.LeasePeriod, "lease-period", 3*time.Second, "how long a target counts as alive after its last announcement, 1s to 1m")
	fs.IntVar(&r.RetryExtra, "retry-extra", 60, "with -serve-plan: extra attempts at one service per -retry-window by all hosts, in addition to -retry-permille of its requests")
	fs.DurationVar(&r.RetryWindow, "retry-window", 10*time.Second, "with -serve-plan: time window of the limit on extra attempts")
	fs.Uint64Var(&r.MemoryLimit, "memory-limit", 0, "bytes of memory that the process may use; 0 for no limit, otherwise at least 67108864")
	fs.UintVar(&r.Capacity, "capacity", 1, "capacity of this host for work on behalf of other hosts, relative to theirs, 1 to 1000000000")
	fs.DurationVar(&r.RevocationBound, "revocation-bound", 0, "with -serve-plan: how long after the acknowledgement of a plan without a key requests with it may still run, on any host, in touch or not, 1s to 1h; 0 for no bound")
	fs.Float64Var(&r.WarmupOverage, "warmup-overage", 1.5, "with -serve-plan: factor by which the requests a second to a cold target, over all hosts, may exceed the rate that the route plan states, 0 to 100")
	fs.Float64Var(&r.WarmupSlack, "warmup-slack", 5, "with -serve-plan: requests a second that a cold target may get in addition, over all hosts, 0 to 1000000")
	fs.DurationVar(&r.QuotaWindow, "quota-window", 5*time.Second, "with -serve-plan: time window of the bound on an account's requests, 1s to 1m: all hosts together forward at most (rate x window + burst) x (1 + -quota-overage) + -quota-slack of them in any window")
	fs.Float64Var(&r.QuotaOverage, "quota-overage", 0.1, "with -serve-plan: share by which an account's requests may exceed its rate and burst in any -quota-window, 0 to 1")
	fs.Float64Var(&r.QuotaSlack, "quota-slack", 20, "with -serve-plan: requests by which an account may exceed that in addition, 0 to 1000000")
	fs.StringVar(&r.AdminTokenFile, "admin-token-file", "", "file with a team and its token, separated by space, on each line, not accessible to everyone; without it the admin listener must be on loopback")
	fs.StringVar(&r.logLevel, "log-level", "info", "minimum level of the events to log: debug, info, warn, error")
	fs.DurationVar(&r.ConfigStaleness, "config-staleness", 3*time.Second, "how long a host serves an unconfirmed configuration, 1s to 4s")
	fs.Float64Var(&r.MaxClockDrift, "max-clock-drift", 0.05, "largest relative difference between the clock rates of two hosts, 0 to 0.2")
	fs.DurationVar(&r.BalancerLag, "balancer-lag", 2*time.Second, "how long the load balancer still sends work after readiness turns false")
	fs.DurationVar(&r.ShutdownTimeout, "shutdown-timeout", 30*time.Second, "how long a graceful shutdown waits for work in progress")
	fs.DurationVar(&r.DefaultTimeout, "default-timeout", 2*time.Second, "timeout of a request if neither it nor its group sets one")
	fs.DurationVar(&r.MaxTimeout, "max-timeout", 10*time.Second, "longest timeout that a caller may set")
	fs.DurationVar(&r.NetworkAllowance, "network-allowance", 2*time.Millisecond, "network time subtracted from the deadline that a target gets")
	fs.IntVar(&r.MaxQueries, "max-queries", 256, "maximum number of queries in progress at this host")
	fs.IntVar(&r.QueueLength, "queue-length", 512, "maximum number of queries of one group that wait at this host")
	fs.IntVar(&r.HedgePermille, "hedge-permille", 30, "extra sub-requests by hedging, per thousand")
	fs.IntVar(&r.RetryPermille, "retry-permille", 100, "extra sub-requests by retries, per thousand")
	r.Intake.flags(fs)
	fs.Uint64Var(&r.Seed, "seed", 0, "seed of random decisions; 0 derives one from the clock")
	return fs
}

// Parse reads flags and environment variables and returns every problem at
// once. It returns flag.ErrHelp after printing the usage to out.
func Parse(args []string, out io.Writer) (*Settings, error) {
	var r raw
	fs := r.flags()
	fs.SetOutput(out)
	fs.Usage = func() { usage(out, fs) }
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, err
	}
	var c checker
	if fs.NArg() > 0 {
		c.add("unexpected argument %q", fs.Arg(0))
	}
	s := r.check(&c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

func usage(out io.Writer, fs *flag.FlagSet) {
	fmt.Fprintf(out, `hawthornlockd answers callers' queries over many shards.

Usage:
  hawthornlockd -host NAME -failure-domain NAME [flags]

One host on its own:
  hawthornlockd -host a -failure-domain fd1 -roles entry,voter \
      -data-dir ./data -voters a=127.0.0.1:7404

Every flag can be set by an environment variable: -data-dir is %s_DATA_DIR.

Flags:
`, EnvPrefix)
	fs.PrintDefaults()
}

// Flag describes one setting for the generated reference.
type Flag struct {
	Name, Env, Default, Usage string
}

// Reference lists all settings by name.
func Reference() []Flag {
	var r raw
	var out []Flag
	r.flags().VisitAll(func(f *flag.Flag) {
		env := EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		out = append(out, Flag{Name: f.Name, Env: env, Default: f.DefValue, Usage: f.Usage})
	})
	return out
}

// Problems lists everything that is wrong with the settings.
type Problems []string

// Error lists the problems, one a line.
func (p Problems) Error() string {
	return fmt.Sprintf("%d problems with the settings:\n  - %s", len(p), strings.Join(p, "\n  - "))
}

type checker struct{ problems Problems }

func (c *checker) add(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.WithStack(c.problems)
}

// Defaults returns the settings without any flag. They are not valid by
// themselves, since a host needs a name.
func Defaults() *Settings {
	var r raw
	r.flags()
	return &r.Settings
}
