package querybench

import "fmt"

// compared are the policies of the main tables.
var compared = []Policy{Random, Fixed, Omniscient, Ours}

// loads are the loads of the main tables.
var loads = []float64{0.3, 0.7, 0.95, 1.3}

// Loads of the other tables. In a case with a fault, the remaining replicas must
// be able to take over the work of the faulty one. With two replicas, this
// limits the load to one half.
const (
	usualLoad = 0.7
	overload  = 1.3
	faultLoad = 0.4
)

func sections(scale Scale) []section {
	out := []section{}
	for _, stragglers := range []float64{0.01, 0.05} {
		s := section{title: fmt.Sprintf("Load, %.0f %% stragglers", 100*stragglers)}
		for _, shape := range Shapes {
			for _, load := range loads {
				s.add(Case{Shape: shape, Load: load, Stragglers: stragglers, Queries: scale.Queries}, compared...)
			}
		}
		out = append(out, s)
	}
	wide := section{title: "480 shards"}
	for _, stragglers := range []float64{0.01, 0.05} {
		wide.add(Case{Shape: Wide, Load: usualLoad, Stragglers: stragglers, Queries: scale.Wide}, compared...)
	}
	return append(out, wide, faults(scale), gap(scale), variants(scale), hostParts(scale), caching(scale))
}

func faults(scale Scale) section {
	s := section{title: "Faults"}
	for _, shape := range Shapes[:2] {
		for _, fault := range []Fault{FaultRefusing, FaultSilent, FaultDraining, FaultMisleading, FaultCold} {
			s.add(Case{Shape: shape, Load: faultLoad, Stragglers: 0.01, Fault: fault, Queries: scale.Queries}, append(compared, Reported)...)
		}
	}
	return s
}

// gap measures the causes of the distance to the omniscient bound: it adds cases
// without stragglers, cases with one host that sees every sub-request in flight,
// and hosts that share their counts.
func gap(scale Scale) section {
	s := section{title: "What the distance to the bound is made of"}
	policies := []Policy{Omniscient, NoHedging, Ours, Shared}
	for _, load := range []float64{usualLoad, overload} {
		for _, stragglers := range []float64{0, 0.01} {
			for _, hosts := range []int{defaultHosts, 1} {
				s.add(Case{Shape: Shapes[0], Load: load, Stragglers: stragglers, Queries: scale.Queries, Hosts: hosts}, policies...)
			}
		}
	}
	return s
}

func (s *section) add(c Case, policies ...Policy) {
	c.Seed = seed
	if c.Hosts == 0 {
		c.Hosts = defaultHosts
	}
	for _, p := range policies {
		c.Policy = p
		s.cases = append(s.cases, c)
	}
}

// variants measures the parts of the hedging policy one by one.
func variants(scale Scale) section {
	named := func(name string, change func(*Policy)) Policy {
		p := Ours
		p.Name = name
		change(&p)
		return p
	}
	policies := []Policy{
		Omniscient,
		Ours,
		named("no bound by median", func(p *Policy) { p.OverMedian = -1 }),
		named("3 x median", func(p *Policy) { p.OverMedian = 3 }),
		named("2 x median", func(p *Policy) { p.OverMedian = 2 }),
		named("no hold-back", func(p *Policy) { p.NoHoldBack = true }),
		named("6 % budget", func(p *Policy) { p.Limits.HedgePermille = 60 }),
		named("12 % budget", func(p *Policy) { p.Limits.HedgePermille = 120 }),
		named("small burst", func(p *Policy) { p.SmallBurst = true }),
		named("gate as signal", func(p *Policy) { p.GateSignal = true }),
	}
	s := section{title: "Parts of the hedging policy"}
	for _, stragglers := range []float64{0.01, 0.05} {
		for _, load := range []float64{usualLoad, overload} {
			s.add(Case{Shape: Shapes[0], Load: load, Stragglers: stragglers, Queries: scale.Queries}, policies...)
		}
		s.add(Case{Shape: Wide, Load: 0.3, Stragglers: stragglers, Queries: scale.Wide}, policies...)
	}
	return s
}

// hostParts replaces the simplified replica choice and admission of the bench by
// those of a host.
func hostParts(scale Scale) section {
	choice, gate, both := Ours, Ours, Ours
	choice.Name, choice.choice = "host's choice", chooseHost
	gate.Name, gate.HostGate = "host's admission", true
	both.Name, both.choice, both.HostGate = "host's choice and admission", chooseHost, true
	s := section{title: "The host's own replica choice and admission"}
	for _, shape := range Shapes {
		for _, load := range []float64{usualLoad, overload} {
			s.add(Case{Shape: shape, Load: load, Stragglers: 0.01, Queries: scale.Queries}, Omniscient, Ours, choice, gate, both)
		}
	}
	return s
}

// caching compares affinity with choice by load, for targets that cache.
func caching(scale Scale) section {
	two := Ours
	two.Name, two.Caching = "two choices", true
	policies := []Policy{two}
	for _, bound := range []int{1, 2, 4, noLimit} {
		p := Ours
		p.Name, p.Caching, p.choice, p.Overflow = fmt.Sprintf("affinity, overflow at %d", bound), true, chooseAffinity, bound
		if bound == noLimit {
			p.Name = "affinity, no overflow"
		}
		policies = append(policies, p)
	}
	s := section{title: "Targets that cache"}
	for _, shape := range Shapes[:2] {
		for _, load := range loads {
			s.add(Case{Shape: shape, Load: load, Stragglers: 0.01, Queries: scale.Queries}, policies...)
		}
	}
	return s
}
