package entry

import (
	"time"

	"github.com/hawthornlock/hawthornlock/internal/membership"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Gate decides whether a host may accept new work. The control goroutine
// publishes it. Its Evidence expires by itself, so a process that was paused
// rejects work as soon as it resumes, before it handles any other event.
type Gate struct {
	Accepting bool                // false before the first confirmed configuration and during shutdown
	Reason    string              // why Accepting is false
	Evidence  membership.Evidence // that the configuration is current
	// ServesUnconfirmed allows new work while the configuration is unconfirmed.
	ServesUnconfirmed bool
}

// retryAfterRefusal is the retry hint of a rejected request. The load balancer
// sends the retry to another host.
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
