package daemon

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/gathering"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/settings"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// fleetSnapshot returns what a host knows in a fleet of 6 strong and 294 weak hosts.
// The plan gathers from the shards of the new index. It still has the services of the
// old one, and a route that names one of them, as after a reshard.
// There are no searchers in the lost failure domains.
func fleetSnapshot(t *testing.T, known int, lost ...string) *control.Snapshot {
	t.Helper()
	const hosts, shards = 300, 90
	s := &control.Snapshot{AgreedMembers: config.Members{Epoch: 1}, WithdrawalsKnown: true}
	for i := range hosts {
		h := control.Host{Host: fmt.Sprintf("h%03d", i), FailureDomain: fmt.Sprintf("fd%d", i%6), Capacity: 19, Live: true}
		if i < 6 {
			h.Capacity = 51
		}
		s.AgreedMembers.Hosts = append(s.AgreedMembers.Hosts, h.Host)
		if i < known {
			s.Hosts = append(s.Hosts, h)
		}
	}
	plan := &routeplan.Plan{Version: 9}
	gather := &routeplan.Gather{TopK: 1, MinRatio: 0.9}
	registry := targets.NewRegistry("h000")
	addService := func(name string, connections int) {
		plan.Services = append(plan.Services, routeplan.Service{Name: name, MaxConnections: connections})
		for k := range 3 {
			if slices.Contains(lost, fmt.Sprintf("fd%d", k)) {
				continue
			}
			_, err := registry.Announce(time.Unix(1000, 0), targets.Announcement{
				Target: fmt.Sprintf("%s-%d", name, k), Incarnation: 1, Seq: 1, FailureDomain: fmt.Sprintf("fd%d", k), ConnectionLimit: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(k), byte(len(plan.Services) >> 8), byte(len(plan.Services))}), 80),
				Labels:  map[string]string{ServiceLabel: name}, Phase: targets.Ready, Searchers: []targets.Searcher{{Name: "s", Slots: 3}},
			})
			require.NoError(t, err)
		}
	}
	for i := range shards {
		addService(fmt.Sprintf("old%d", i), 177)
		addService(fmt.Sprintf("new%d", i), 177)
		gather.Services = append(gather.Services, fmt.Sprintf("new%d", i))
	}
	addService("desk", 1900)
	plan.Routes = []routeplan.Route{
		{Name: "all", Host: "x", PathPrefix: "/all/", Gather: gather},
		{Name: "old", Host: "x", PathPrefix: "/old/", Splits: []routeplan.Split{{Service: "old0", Weight: 1}}},
		{Name: "mixed", Host: "x", PathPrefix: "/mixed/", Splits: []routeplan.Split{{Service: "old0", Weight: 1}, {Service: "new0", Weight: 1}, {Service: "desk", Weight: 1}}},
		{Name: "desk", Host: "x", PathPrefix: "/desk/", Splits: []routeplan.Split{{Service: "desk", Weight: 1}}},
	}
	s.Plan, s.Targets = routeplan.NewTable(plan), registry.View()
	return s
}

// Guards against hosts that together keep more connections to a searcher than it
// grants, which it resets and they open again.
func TestNoServiceIsReachedFromMoreHostsThanItGrants(t *testing.T) {
	s := fleetSnapshot(t, 300)
	held := make(map[string]int)
	for _, h := range s.Hosts {
		d := &Daemon{settings: &settings.Settings{Host: h.Host}}
		p := newPlacement(s, time.Hour, nil)
		for service, specs := range d.searcherSpecs(s, p, len(s.Hosts)) {
			held[service] += specs[0].Capacity
			require.Len(t, specs, 3)
		}
	}
	for service, n := range held {
		granted, _ := s.Plan.Service(service)
		require.LessOrEqual(t, n, granted.MaxConnections, service)
	}
	require.Equal(t, 300, held["desk"]/min(held["desk"]/300, maxConnectionsPerHost), "every host reaches a service that grants enough")
	require.Positive(t, held["old0"], "a route still names it")
	require.Zero(t, held["old1"], "no route names it")
}

// Guards against a host that has just started and opens connections to all searchers
// before it knows how many hosts there are.
func TestStartingHostKeepsNoConnectionsOpen(t *testing.T) {
	s := fleetSnapshot(t, 1)
	s.AgreedMembers = config.Members{}
	d := &Daemon{settings: &settings.Settings{Host: "h200"}}
	for service, specs := range d.searcherSpecs(s, newPlacement(s, 0, nil), 1) {
		for _, spec := range specs {
			require.True(t, spec.OnDemand, service)
		}
	}
}

// Guards against a gatherer that restarts and sends handed-over requests to a failure domain
// of whose withdrawal it does not know yet.
func TestNoSearchersUntilTheWithdrawalsAreKnown(t *testing.T) {
	s := fleetSnapshot(t, 300)
	p := newPlacement(s, time.Hour, nil)
	d := &Daemon{settings: &settings.Settings{Host: "h000"}}
	require.NotEmpty(t, d.searcherSpecs(s, p, len(s.Hosts)))
	s.WithdrawalsKnown = false
	require.Empty(t, d.searcherSpecs(s, p, len(s.Hosts)))
}

// Guards against requests that are handed to a host without connections to one of the
// services among which their route divides them, and against gatherers that also carry
// out the requests to single services.
func TestRouteIsCarriedOutByHostsWithAllItsConnections(t *testing.T) {
	s := fleetSnapshot(t, 300)
	p := newPlacement(s, time.Hour, nil)
	for path, services := range map[string][]string{"/all/x": {"new0", "new1"}, "/old/x": {"old0"}, "/mixed/x": {"old0", "new0", "desk"}} {
		hosts := p.gatherersOf(s.Plan.Route("x", path))
		require.NotEmpty(t, hosts, path)
		for _, h := range hosts {
			specs := (&Daemon{settings: &settings.Settings{Host: h.Name}}).searcherSpecs(s, p, len(s.Hosts))
			for _, service := range services {
				require.Len(t, specs[service], 3, path)
			}
		}
	}
	require.Nil(t, p.gatherersOf(s.Plan.Route("x", "/desk/x")))
	for _, h := range p.gatherersOf(s.Plan.Route("x", "/old/x")) {
		require.False(t, gathering.Contains(p.gatherers["new0"], h.Name))
	}
}
