package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// Guards against an incremental update of the catalogs that misses or keeps a
// target, index snapshot or group. Compares the result with a full build.
func TestCatalogsEqualAFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		reg := targets.NewRegistry("h")
		incremental, seq := newCatalogs(), uint64(0)
		changed := map[string]bool{}
		groups := []routing.Group{{Name: "all"}, {Name: "g0", Match: routing.Labels{"app": "g0"}}}
		record := func(effects []targets.Effect) {
			for _, e := range effects {
				if d, ok := e.(targets.Disseminate); ok {
					changed[d.Target] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				seq++
				a := benchAnnouncement(rapid.IntRange(0, 5).Draw(t, "target"), seq)
				a.Labels = map[string]string{"app": fmt.Sprintf("g%d", rapid.IntRange(0, 1).Draw(t, "app"))}
				a.Phase = rapid.SampledFrom([]targets.Phase{targets.Ready, targets.Draining}).Draw(t, "phase")
				if rapid.Bool().Draw(t, "empty") {
					a.Searchers[0].Holds = nil
				}
				effects, err := reg.Announce(now, a)
				require.NoError(t, err)
				record(effects)
			},
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					now = now.Add(100 * time.Millisecond)
					record(reg.Step(now, targets.Tick{}))
				}
			},
			"group": func(t *rapid.T) {
				match := routing.Labels{"app": fmt.Sprintf("g%d", rapid.IntRange(0, 2).Draw(t, "app"))}
				groups = []routing.Group{{Name: "all"}, {Name: fmt.Sprintf("x%d", rapid.IntRange(0, 1).Draw(t, "name")), Match: match}}
			},
			"publish": func(t *rapid.T) {
				table := routing.NewTable(1, groups, nil)
				incremental.update(table, reg.View(), nil, changed)
				clear(changed)
				full := newCatalogs()
				full.update(table, reg.View(), nil, nil)
				require.Equal(t, full.byGroup, incremental.byGroup)
				for _, g := range groups {
					require.ElementsMatch(t, full.groupMembers[g.Name], incremental.groupMembers[g.Name])
				}
			},
		})
	})
}
