package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of settings. The staleness is at most 4 s because a change must be in
// force everywhere within that time; the default of 3 s leaves a second of it.
const (
	minStaleness  = time.Second
	maxStaleness  = 4 * time.Second
	maxClockDrift = 0.2
	maxPermille   = 1000
	maxNameBytes  = 64
	minLease      = time.Second
	maxLease      = time.Minute
	// minRevocation leaves time for the polls through which a host learns that its keys
	// are confirmed.
	minRevocation = time.Second
	maxRevocation = time.Hour
	// minQuotaWindow is four lease periods of tokens, which may shift requests from one
	// window into the next.
	minQuotaWindow = time.Second
	maxQuotaWindow = time.Minute
	maxQuotaSlack  = 1_000_000
	// maxLossTolerance is a minority of five voters, the most that a log has.
	maxLossTolerance = 2
	maxCapacity      = 1_000_000_000
	maxWarmupOverage = 100
	maxWarmupSlack   = 1_000_000
	minMemoryLimit   = 64 << 20 // bytes; a host at rest needs about half of it
)

func (r *raw) check(c *checker) *Settings {
	s := r.Settings
	s.Roles = parseRoles(c, r.roles)
	s.Peers = parsePeers(c, r.peers)
	s.Voters = parseVoters(c, r.voters)
	s.FailureDomains = parseFailureDomains(c, r.failureDomains)
	s.CallerListen = parseAddress(c, "caller-listen", r.callerListen)
	s.TargetListen = parseAddress(c, "target-listen", r.targetListen)
	s.AdminListen = parseAddress(c, "admin-listen", r.adminListen)
	s.PeerListen = parseAddress(c, "peer-listen", r.peerListen)
	s.ReadyListen = parseOptional(c, "ready-listen", r.readyListen)
	s.MetricsListen = parseOptional(c, "metrics-listen", r.metricsListen)
	level, err := zerolog.ParseLevel(r.logLevel)
	if err != nil || r.logLevel == "" {
		c.add("-log-level %q is not debug, info, warn or error", r.logLevel)
	}
	s.LogLevel = level
	s.checkNames(c)
	s.checkVoter(c)
	s.checkListeners(c)
	s.checkNumbers(c)
	return &s
}

func (s *Settings) checkNames(c *checker) {
	for _, f := range []struct{ flag, value string }{{"host", s.Host}, {"region", s.Region}, {"failure-domain", s.FailureDomain}} {
		switch {
		case f.value == "":
			c.add("-%s is missing", f.flag)
		case len(f.value) > maxNameBytes || strings.ContainsAny(f.value, " ,=/\t\n"):
			c.add("-%s %q is longer than %d bytes or holds a space, comma, slash or equals sign", f.flag, f.value, maxNameBytes)
		}
	}
}

// checkVoter reports contradictions between the roles, the voters, the data
// directory and the peer listener.
func (s *Settings) checkVoter(c *checker) {
	switch n := len(s.Voters); {
	case s.FindVoters && n > 0:
		c.add("-find-voters and -voters exclude each other")
	case !s.FindVoters && n != 1 && n != 3 && n != 5:
		c.add("-voters names %d hosts; 1, 3 or 5 are possible", n)
	}
	if s.FoundLog && !s.FindVoters {
		c.add("-found-log needs -find-voters")
	}
	voter := s.HasRole(Voter)
	if voter && s.DataDir == "" {
		c.add("the role voter needs -data-dir")
	}
	if !voter && s.DataDir != "" {
		c.add("-data-dir is set, but the host does not have the role voter")
	}
	i := slices.IndexFunc(s.Voters, func(v VoterAddress) bool { return v.Host == s.Host })
	if !voter && i >= 0 {
		c.add("-voters names this host, which does not have the role voter")
	}
	if i >= 0 && s.Voters[i].Peer.Port() != 0 && s.PeerListen.Port() != 0 && s.Voters[i].Peer.Port() != s.PeerListen.Port() {
		c.add("-voters gives this host port %d, but -peer-listen uses port %d", s.Voters[i].Peer.Port(), s.PeerListen.Port())
	}
}

func (s *Settings) checkListeners(c *checker) {
	listeners := []struct {
		flag string
		addr netip.AddrPort
	}{{"caller-listen", s.CallerListen}, {"target-listen", s.TargetListen}, {"admin-listen", s.AdminListen}, {"peer-listen", s.PeerListen}}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.addr.IsValid() && a.addr.Port() != 0 && a.addr == b.addr {
				c.add("-%s and -%s use the same address %s", b.flag, a.flag, a.addr)
			}
		}
	}
	if s.AdminTokenFile == "" && s.AdminListen.IsValid() && !s.AdminListen.Addr().IsLoopback() {
		c.add("-admin-listen %s is not on loopback; that needs -admin-token-file", s.AdminListen)
	}
	if s.PeerListen.IsValid() && s.PeerListen.Addr().IsUnspecified() {
		c.add("-peer-listen must name the IP address by which other hosts reach this one")
	}
}

func (s *Settings) checkNumbers(c *checker) {
	if s.MemoryLimit != 0 && s.MemoryLimit < minMemoryLimit {
		c.add("-memory-limit %d is not 0 and less than %d", s.MemoryLimit, minMemoryLimit)
	}
	if s.ConfigStaleness < minStaleness || s.ConfigStaleness > maxStaleness {
		c.add("-config-staleness %s is outside %s..%s", s.ConfigStaleness, minStaleness, maxStaleness)
	}
	if !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxClockDrift) {
		c.add("-max-clock-drift %v is outside 0..%v", s.MaxClockDrift, maxClockDrift)
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{
		{"shutdown-timeout", s.ShutdownTimeout}, {"default-timeout", s.DefaultTimeout}, {"max-timeout", s.MaxTimeout},
	} {
		if d.value <= 0 {
			c.add("-%s must be above zero", d.flag)
		}
	}
	if s.RevocationBound != 0 && (s.RevocationBound < minRevocation || s.RevocationBound > maxRevocation) {
		c.add("-revocation-bound %s is neither 0 nor within %s..%s", s.RevocationBound, minRevocation, maxRevocation)
	}
	if !(s.WarmupOverage >= 0 && s.WarmupOverage <= maxWarmupOverage) || !(s.WarmupSlack >= 0 && s.WarmupSlack <= maxWarmupSlack) {
		c.add("-warmup-overage %v is outside 0..%d, or -warmup-slack %v outside 0..%d", s.WarmupOverage, maxWarmupOverage, s.WarmupSlack, maxWarmupSlack)
	}
	c.problems = append(c.problems, s.QuotaProblems()...)
	if s.LeasePeriod < minLease || s.LeasePeriod > maxLease {
		c.add("-lease-period %s is outside %s..%s", s.LeasePeriod, minLease, maxLease)
	}
	if s.RetryExtra < 0 || s.RetryWindow <= 0 {
		c.add("-retry-extra can't be negative, and -retry-window must be above zero")
	}
	if s.Capacity < 1 || s.Capacity > maxCapacity {
		c.add("-capacity %d is outside 1..%d", s.Capacity, maxCapacity)
	}
	if s.LossTolerance < 1 || s.LossTolerance > maxLossTolerance {
		c.add("-loss-tolerance %d is outside 1..%d", s.LossTolerance, maxLossTolerance)
	}
	if s.BalancerLag < 0 || s.NetworkAllowance < 0 {
		c.add("-balancer-lag and -network-allowance can't be negative")
	}
	if s.DefaultTimeout > s.MaxTimeout {
		c.add("-default-timeout %s is above -max-timeout %s", s.DefaultTimeout, s.MaxTimeout)
	}
	if s.MaxQueries < 1 || s.QueueLength < 1 {
		c.add("-max-queries and -queue-length must be at least 1")
	}
	s.Intake.check(c)
	if s.HedgePermille < 0 || s.HedgePermille > maxPermille || s.RetryPermille < 0 || s.RetryPermille > maxPermille {
		c.add("-hedge-permille and -retry-permille are outside 0..%d", maxPermille)
	}
}

// QuotaProblems lists what is wrong with the bound on the requests of an account.
func (s *Settings) QuotaProblems() Problems {
	var c checker
	if s.QuotaWindow < minQuotaWindow || s.QuotaWindow > maxQuotaWindow {
		c.add("-quota-window %s is outside %s..%s", s.QuotaWindow, minQuotaWindow, maxQuotaWindow)
	}
	if !(s.QuotaOverage >= 0 && s.QuotaOverage <= 1) {
		c.add("-quota-overage %v is outside 0..1", s.QuotaOverage)
	}
	if !(s.QuotaSlack >= 0 && s.QuotaSlack <= maxQuotaSlack) {
		c.add("-quota-slack %v is outside 0..%d", s.QuotaSlack, maxQuotaSlack)
	}
	return c.problems
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func parseRoles(c *checker, text string) []Role {
	var out []Role
	for _, part := range splitList(text) {
		r := Role(part)
		if r != Entry && r != Voter && r != Relay {
			c.add("-roles holds %q, which is not entry, voter or relay", part)
			continue
		}
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		c.add("-roles names no role")
	}
	return out
}

func parseAddress(c *checker, flagName, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		c.add("-%s %q is not an IP address and port", flagName, text)
	}
	return a
}

func parseOptional(c *checker, flagName, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	return parseAddress(c, flagName, text)
}

func parsePeers(c *checker, text string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, part := range splitList(text) {
		out = append(out, parseAddress(c, "peers", part))
	}
	return out
}

func parseFailureDomains(c *checker, text string) map[string]string {
	out := make(map[string]string)
	for _, part := range splitList(text) {
		name, region, ok := strings.Cut(part, "=")
		if !ok || name == "" || region == "" || len(name) > maxNameBytes {
			c.add("-failure-domains holds %q, which is not name=region", part)
			continue
		}
		if _, repeated := out[name]; repeated {
			c.add("-failure-domains names %q twice", name)
		}
		out[name] = region
	}
	return out
}

func parseVoters(c *checker, text string) []VoterAddress {
	var out []VoterAddress
	for _, part := range splitList(text) {
		name, addr, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			c.add("-voters holds %q, which is not name=IP:port", part)
			continue
		}
		v := VoterAddress{Host: name, Peer: parseAddress(c, "voters", addr)}
		if slices.ContainsFunc(out, func(o VoterAddress) bool { return o.Host == v.Host || o.Peer == v.Peer }) {
			c.add("-voters names %q or its address twice", part)
		}
		out = append(out, v)
	}
	return out
}
