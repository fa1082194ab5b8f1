// Package deploy holds the settings of the deployments; this test loads them.
package deploy

import (
	"bytes"
	"encoding/json"
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
)

type deployment struct {
	voters  int
	domains []string
	groups  []string
	shared  routing.Request // reaches a group of another team
	to      string
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

// Guards against change files that the store refuses, and against groups that
// no request or the wrong one reaches.
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
		g, _, err := s.Table().Route(d.shared)
		require.NoError(t, err)
		require.Equal(t, d.to, g.Name)
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

var knownSettings = map[string]bool{
	"HOST": true, "REGION": true, "FAILURE_DOMAIN": true, "ROLES": true, "DATA_DIR": true, "PEERS": true, "VOTERS": true,
	"CALLER_LISTEN": true, "TARGET_LISTEN": true, "ADMIN_LISTEN": true, "PEER_LISTEN": true, "ADMIN_TOKEN_FILE": true,
}

// Guards against settings that disagree between hosts, and against a failure
// domain whose loss takes the quorum with it.
func TestSettingsAgree(t *testing.T) {
	for name, d := range deployments {
		files, err := filepath.Glob(filepath.Join(name, "hosts", "*.env"))
		require.NoError(t, err)
		require.Len(t, files, 12)
		perDomain, votersPerDomain, addresses := map[string]int{}, map[string]int{}, map[string]bool{}
		for _, file := range files {
			env := readEnv(t, filepath.Join(name, "common.env"), file)
			for k := range env {
				require.True(t, knownSettings[k], "%s: %s", file, k)
			}
			host := env["HOST"]
			require.Equal(t, host+".env", filepath.Base(file))
			require.Contains(t, d.domains, env["FAILURE_DOMAIN"])
			perDomain[env["FAILURE_DOMAIN"]]++
			require.Contains(t, strings.Split(env["PEERS"], ","), host+"="+env["PEER_LISTEN"])
			require.Len(t, strings.Split(env["PEERS"], ","), 12)
			voters := strings.Split(env["VOTERS"], ",")
			require.Len(t, voters, d.voters)
			isVoter := strings.Contains(","+env["VOTERS"]+",", ","+host+",")
			require.Equal(t, isVoter, strings.Contains(env["ROLES"], "voter"), file)
			require.Equal(t, isVoter, env["DATA_DIR"] != "", file)
			if isVoter {
				votersPerDomain[env["FAILURE_DOMAIN"]]++
			}
			for _, l := range []string{"CALLER_LISTEN", "TARGET_LISTEN", "ADMIN_LISTEN", "PEER_LISTEN"} {
				_, err := netip.ParseAddrPort(env[l])
				require.NoError(t, err, file)
				require.False(t, addresses[env[l]], "%s: %s is used twice", file, env[l])
				addresses[env[l]] = true
			}
			require.Error(t, confighttp.CheckBind(env["ADMIN_LISTEN"], nil))
			require.NotEmpty(t, env["ADMIN_TOKEN_FILE"])
		}
		require.Len(t, perDomain, 4)
		total := 0
		for domain, n := range votersPerDomain {
			total += n
			require.Less(t, n, (d.voters+2)/2, "the loss of %s ends the quorum", domain)
		}
		require.Equal(t, d.voters, total)
	}
}
