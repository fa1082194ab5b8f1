package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	genTeam   = rapid.SampledFrom([]string{"", "red", "blue"})
	genLabels = rapid.Custom(func(t *rapid.T) Labels {
		return rapid.MapOfN(rapid.SampledFrom([]string{"site", "app", "tier"}), rapid.SampledFrom([]string{"1", "2"}), 0, 3).Draw(t, "labels")
	})
	genGroup = rapid.SampledFrom([]string{"g1", "g2"})
)

func genSelectors(t *rapid.T) []Selector {
	out := make([]Selector, rapid.IntRange(1, 8).Draw(t, "n"))
	for i := range out {
		out[i] = Selector{
			Name: fmt.Sprintf("s%d", i), Team: genTeam.Draw(t, "team"),
			Match: genLabels.Draw(t, "match"), Group: genGroup.Draw(t, "group"),
		}
	}
	return out
}

func allRequests() []Request {
	var out []Request
	values := []string{"", "1", "2"}
	for _, team := range []string{"red", "blue", "other"} {
		for n := range 27 {
			l := Labels{}
			for _, k := range []string{"site", "app", "tier"} {
				if v := values[n%3]; v != "" {
					l[k] = v
				}
				n /= 3
			}
			out = append(out, Request{Team: team, Labels: l})
		}
	}
	return out
}

// Guards against routing that depends on the order in which selectors were
// pushed.
func TestRoutingDoesNotDependOnTheOrderOfPushes(t *testing.T) {
	groups := []Group{{Name: "g1"}, {Name: "g2"}}
	rapid.Check(t, func(t *rapid.T) {
		selectors := genSelectors(t)
		a := NewTable(1, groups, selectors)
		b := NewTable(1, groups, rapid.Permutation(selectors).Draw(t, "order"))
		require.Equal(t, a.Selectors(), b.Selectors())
		for _, r := range allRequests() {
			require.Equal(t, a.Explain(r).Winner, b.Explain(r).Winner)
		}
	})
}

// Guards against undetected pairs of selectors whose names alone decide where a
// request goes, and against conflicts reported for selectors that never match
// the same request.
func TestAmbiguousAgreesWithAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selectors := genSelectors(t)
		want := map[string]bool{}
		for _, a := range selectors {
			for _, b := range selectors {
				for _, r := range allRequests() {
					if a.Name < b.Name && a.Group != b.Group && a.Specificity() == b.Specificity() && a.matches(r) && b.matches(r) {
						want[a.Name+b.Name] = true
					}
				}
			}
		}
		got := map[string]bool{}
		for _, p := range Ambiguous(selectors) {
			got[p.First.Name+p.Second.Name] = true
		}
		require.Equal(t, want, got)
	})
}

// Guards against an explanation that names another winner than routing uses,
// or that calls the winner a mismatch.
func TestExplainAgreesWithRoute(t *testing.T) {
	groups := []Group{{Name: "g1"}}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(7, groups, genSelectors(t))
		r := Request{Team: genTeam.Draw(t, "team"), Labels: genLabels.Draw(t, "labels"), Group: rapid.SampledFrom([]string{"", "g1", "g2"}).Draw(t, "group")}
		_, winner, err := table.Route(r)
		e := table.Explain(r)
		require.Equal(t, err == nil, e.Winner != nil)
		require.Len(t, e.Evaluations, len(table.Selectors()))
		first := ""
		for _, ev := range e.Evaluations {
			require.NotEmpty(t, ev.Reason)
			if ev.Matches && first == "" {
				first = ev.Selector.Name
			}
		}
		if r.Group != "g2" {
			require.Equal(t, winner.Name, first)
		}
	})
}
