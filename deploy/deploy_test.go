// Package deploy holds the settings of the deployments; this test loads them.
package deploy

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/settings"
)

type deployment struct {
	voters         int
	domains        []string
	groups         []string
	crossTeam      routing.Request // by a team that does not own the group
	crossTeamGroup string          // that crossTeam reaches
}

var deployments = map[string]deployment{
	"hoa-sen": {
		3,
		[]string{"binh-duong", "dong-nai", "long-an", "thu-duc"},
		[]string{"design-archive", "print-planner", "showroom-app", "warehouse-desk"},
		routing.Request{Team: "showroom", Labels: routing.Labels{"app": "design-archive", "lang": "vi"}},
		"design-archive",
	},
	"tenjin": {
		5,
		[]string{"fukuoka", "kagoshima", "kumamoto", "oita"},
		[]string{"arrivals-intake", "landlord-portal", "pack-stock", "round-planner"},
		routing.Request{Team: "rounds", Labels: routing.Labels{"app": "pack-stock"}},
		"pack-stock",
	},
}

// Guards against change files that the store rejects, and against groups that no
// request or the wrong request reaches.
func TestChangeFilesAreAccepted(t *testing.T) {
	for name, d := range deployments {
		s := config.NewStore()
		files, err := filepath.Glob(filepath.Join(name, "changes", "*.json"))
		require.NoError(t, err)
		require.Len(t, files, 2)
		for i, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			dec := json.NewDecoder(bytes.NewReader(text))
			dec.DisallowUnknownFields()
			var m confighttp.Change
			require.NoError(t, dec.Decode(&m), file)
			base := s.Revision()
			m.Author, m.Base = "test", &base
			c, err := m.Decode()
			require.NoError(t, err, file)
			c.ID = c.DerivedID()
			require.NoError(t, s.Apply(uint64(i+1), time.Unix(1, 0), c).Err(), file)
		}
		require.Equal(t, d.groups, s.Table().GroupNames())
		for _, g := range d.groups {
			require.Equal(t, []string{g}, s.Table().GroupsOf(routing.Labels{"app": g, "zone": "x"}))
		}
		for _, sel := range s.Table().Selectors() {
			g, _, err := s.Table().Route(routing.Request{Team: sel.Team, Labels: sel.Match})
			require.NoError(t, err)
			require.Equal(t, sel.Group, g.Name)
		}
		g, _, err := s.Table().Route(d.crossTeam)
		require.NoError(t, err)
		require.Equal(t, d.crossTeamGroup, g.Name)
	}
}

func readEnv(t *testing.T, files ...string) map[string]string {
	env := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			if strings.HasPrefix(line, "#") {
				continue
			}
			k, v, ok := strings.Cut(line, "=")
			require.True(t, ok && strings.HasPrefix(k, "HAWTHORNLOCK_") && v != "", "%s: %s", file, line)
			require.NotContains(t, env, k, file)
			env[strings.TrimPrefix(k, "HAWTHORNLOCK_")] = v
		}
	}
	return env
}

// parseHost parses the environment of one host as the daemon does.
func parseHost(t *testing.T, env map[string]string) *settings.Settings {
	t.Helper()
	known := map[string]bool{}
	for _, f := range settings.Reference() {
		known[f.Env] = true
		t.Setenv(f.Env, f.Default)
	}
	for k, v := range env {
		require.True(t, known[settings.EnvPrefix+"_"+k], "no setting has the variable %s", k)
		t.Setenv(settings.EnvPrefix+"_"+k, v)
	}
	s, err := settings.Parse(nil, io.Discard)
	require.NoError(t, err)
	return s
}

// Guards against environment files that keep a host from starting, settings
// that disagree between hosts, and a failure domain whose loss would cost the
// quorum.
func TestSettingsAgree(t *testing.T) {
	for name, d := range deployments {
		files, err := filepath.Glob(filepath.Join(name, "hosts", "*.env"))
		require.NoError(t, err)
		require.Len(t, files, 12)
		hosts := map[string]*settings.Settings{}
		perDomain, votersPerDomain := map[string]int{}, map[string]int{}
		addresses := map[netip.AddrPort]bool{}
		for _, file := range files {
			s := parseHost(t, readEnv(t, filepath.Join(name, "common.env"), file))
			require.Equal(t, s.Host+".env", filepath.Base(file))
			require.Contains(t, d.domains, s.FailureDomain)
			require.Contains(t, s.Peers, s.PeerListen, file)
			require.Len(t, s.Peers, len(files))
			require.Len(t, s.Voters, d.voters)
			hosts[s.Host] = s
			perDomain[s.FailureDomain]++
			if s.HasRole(settings.Voter) {
				votersPerDomain[s.FailureDomain]++
			}
			for _, l := range []netip.AddrPort{s.CallerListen, s.TargetListen, s.AdminListen, s.PeerListen} {
				require.False(t, addresses[l], "%s: %s is used twice", file, l)
				addresses[l] = true
			}
			require.Error(t, confighttp.CheckBind(s.AdminListen.String(), nil))
			require.NotEmpty(t, s.AdminTokenFile)
		}
		require.Len(t, perDomain, 4)
		for _, v := range hosts[strings.TrimSuffix(filepath.Base(files[0]), ".env")].Voters {
			require.Contains(t, hosts, v.Host)
			require.Equal(t, hosts[v.Host].PeerListen, v.Peer)
			require.True(t, hosts[v.Host].HasRole(settings.Voter), v.Host)
		}
		total := 0
		for domain, n := range votersPerDomain {
			total += n
			require.Less(t, n, (d.voters+2)/2, "the loss of %s would cost the quorum", domain)
		}
		require.Equal(t, d.voters, total)
	}
}
