package routeplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

func validPlan() *Plan {
	return &Plan{
		Version:  3,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "one", Host: "x.example", PathPrefix: "/p/", Timeout: time.Second, Splits: []Split{{Service: "a", Weight: 1}}},
			{Name: "two", Host: "x.example", PathPrefix: "/p/q/", Timeout: time.Second, Gather: &Gather{Services: []string{"a", "b"}, TopK: 5, MinRatio: 0.5}},
		},
	}
}

// Guards against a new plan in which one route hides another, and against a plan in
// the log that can no longer be read because of a newer check.
func TestRoutesThatMatchTheSameRequests(t *testing.T) {
	require.NoError(t, validPlan().ValidateNew())
	for _, host := range []string{"X.Example", "x.example.", "x.example:80", "X.EXAMPLE.:8080"} {
		p := validPlan()
		p.Routes[1].Host, p.Routes[1].PathPrefix = host, "/p/"
		require.NoError(t, p.Validate(), host)
		err := p.ValidateNew()
		require.Equal(t, CodeInvalidPlan, verdict.CodeOf(err), host)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	}
}

// Guards against accepting an invalid plan and rejecting a valid one.
func TestValidate(t *testing.T) {
	require.NoError(t, validPlan().Validate())
	for name, breakPlan := range map[string]func(*Plan){
		"unknown service": func(p *Plan) { p.Routes[0].Splits[0].Service = "c" },
		"unknown shard":   func(p *Plan) { p.Routes[1].Gather.Services[1] = "c" },
		"repeated shard":  func(p *Plan) { p.Routes[1].Gather.Services[1] = "a" },
		"same place":      func(p *Plan) { p.Routes[1].PathPrefix = "/p/" },
		"no weight":       func(p *Plan) { p.Routes[0].Splits[0].Weight = 0 },
		"negative weight": func(p *Plan) { p.Routes[0].Splits = []Split{{"a", -1}, {"b", 3}} },
		"no timeout":      func(p *Plan) { p.Routes[0].Timeout = 0 },
		"both kinds":      func(p *Plan) { p.Routes[0].Gather = p.Routes[1].Gather },
		"neither kind":    func(p *Plan) { p.Routes[0].Splits = nil },
		"open prefix":     func(p *Plan) { p.Routes[0].PathPrefix = "/p" },
		"ratio above 1":   func(p *Plan) { p.Routes[1].Gather.MinRatio = 1.5 },
	} {
		p := validPlan()
		breakPlan(p)
		err := p.Validate()
		require.Error(t, err, name)
		require.Equal(t, CodeInvalidPlan, verdict.CodeOf(err), name)
	}
}

// Guards against a request that is routed by a shorter prefix or by another host
// name.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(validPlan())
	for path, want := range map[string]string{"/p/": "one", "/p/x": "one", "/p/q/": "two", "/p/q/r/s": "two", "/p/q": "one"} {
		require.Equal(t, want, table.Route("X.example:80", path).Name, path)
	}
	for _, path := range []string{"", "/", "/p", "/px/", "p/"} {
		require.Nil(t, table.Route("x.example", path), path)
	}
	require.Nil(t, table.Route("y.example", "/p/"))
}

// Guards against rounding of the ratio that requires one shard too few or too
// many.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards int
		ratio  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {20, 0.9, 18}, {3, 0, 1}, {10, 1, 10}, {90, 0.95, 86}} {
		g := Gather{Services: make([]string, c.shards), MinRatio: c.ratio}
		require.Equal(t, c.want, g.MinShards(), "%d shards at %v", c.shards, c.ratio)
	}
}

// Guards against an older plan that replaces a newer one, in whatever order
// plans arrive from the log, peers and snapshots.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			p := validPlan()
			p.Version = v
			before := s.Document()
			r := s.Apply(&Document{Version: v, Plan: p})
			require.Equal(t, v > highest, r.Applied)
			highest = max(highest, v)
			require.Equal(t, highest, s.Version())
			require.Equal(t, highest, s.Table().Version)
			if !r.Applied {
				require.Same(t, before, s.Document(), "a plan whose version is not higher must change nothing")
			}
		}
	})
}
