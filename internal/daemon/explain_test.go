package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/config/confighttp"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle"
)

// Guards against an explanation by a host that is cut off or stops which does not say so.
func TestExplanationSaysWhenTheHostIsCutOffOrStops(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	explain := func(s control.Snapshot) (out confighttp.RouteExplanation) {
		explainControl(&out, now, &s)
		return out
	}
	fresh := explain(control.Snapshot{Phase: lifecycle.Serving, PlanConfirmedAt: now.Add(-200 * time.Millisecond)})
	require.Empty(t, fresh.Warnings)
	require.Nil(t, fresh.Refused)
	require.InDelta(t, 200, *fresh.PlanAgeMS, 1e-6)
	old := explain(control.Snapshot{Phase: lifecycle.Serving, PlanConfirmedAt: now.Add(-12 * time.Second)})
	require.Len(t, old.Warnings, 1)
	require.Contains(t, old.Warnings[0], "for 12s")
	never := explain(control.Snapshot{Phase: lifecycle.Serving})
	require.Nil(t, never.PlanAgeMS)
	require.Len(t, never.Warnings, 1)
	require.NotNil(t, explain(control.Snapshot{Phase: lifecycle.Drained, PlanConfirmedAt: now}).Refused)
}
