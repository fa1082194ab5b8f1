package querybench

import "fmt"

// compared are the policies of the main tables.
var compared = []Policy{Random, Fixed, Omniscient, Ours}

// loads are those of the main tables.
var loads = []float64{0.3, 0.7, 0.95, 1.3}

// faultLoad is the load of the cases with a fault.
const faultLoad = 0.7

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
		wide.add(Case{Shape: Wide, Load: faultLoad, Stragglers: stragglers, Queries: scale.Wide}, compared...)
	}
	return append(out, wide, faults(scale), oneHost(scale))
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

// oneHost shows what uncoordinated hosts cost: a single host sees every
// sub-request in flight.
func oneHost(scale Scale) section {
	s := section{title: "One host"}
	for _, shape := range Shapes {
		s.add(Case{Shape: shape, Load: faultLoad, Stragglers: 0.01, Queries: scale.Queries, Hosts: 1}, compared...)
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
