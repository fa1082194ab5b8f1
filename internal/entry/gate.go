package entry

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Gate says whether a host may take new work. The control goroutine publishes
// it. Its evidence ends by itself, so a process that was paused refuses work
// as soon as it runs again, before it has handled any other event.
type Gate struct {
	Accepting bool                // false before the first confirmed configuration and during shutdown
	Reason    string              // why Accepting is false
	Evidence  membership.Evidence // that the configuration is current
	// ServesUnconfirmed says that work is taken also while nothing confirms the
	// configuration.
	ServesUnconfirmed bool
}

// retryAfterRefusal is the retry hint of a refusal. The load balancer sends
// the retry to another host.
const retryAfterRefusal = 50 * time.Millisecond

// Check returns nil if new work may start now.
func (g Gate) Check(now time.Time) error {
	if !g.Accepting {
		return verdict.New(verdict.NotRun, CodeNotReady, "this host takes no new work: %s", g.Reason).WithRetryAfter(retryAfterRefusal)
	}
	if !g.ServesUnconfirmed && g.Evidence.Freshness(now) == membership.Stale {
		return verdict.New(verdict.NotRun, CodeConfigStale, "this host can't confirm that its configuration is current").WithRetryAfter(retryAfterRefusal)
	}
	return nil
}
